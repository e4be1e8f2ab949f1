"""The peer link: frames, peer states, queues, control calls, and connections with invalid or incomplete input."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from queue import SimpleQueue
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tealwing.conf import reader
from tealwing.conf.reader import ConfError
from tealwing.gossip.members import State
from tealwing.peers import control, frames, inbound, messages
from tealwing.peers.clock import Clock
from tealwing.peers.control import ControlClient, ControlServer, RemoteCallError
from tealwing.peers.link import Link
from tealwing.peers.peer_table import PeerTable
from tealwing.peers.ping import PingService
from tealwing.peers.plan import LinkTimes, Plan
from tealwing.peers.send_queue import SendQueue
from tests.peers import LIMIT

QUICK = LinkTimes(heartbeat=0.05, suspect_after=0.3, dead_after=0.6, idle_timeout=1.0, hello_timeout=0.5)


def until(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + LIMIT
    while not condition():
        assert time.monotonic() < end, f"condition not met in {LIMIT:g} s"
        time.sleep(0.01)


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.binary(max_size=300), max_size=6), st.lists(st.integers(1, 40), max_size=60))
def test_parser_returns_whole_payloads_for_any_chunks(payloads: list[bytes], cuts: list[int]) -> None:
    data, parser, found = b"".join(map(frames.encode, payloads)), frames.Parser(), []
    at = 0
    for cut in cuts:
        found += parser.feed(data[at : at + cut])
        at += cut
    assert found + parser.feed(data[at:]) == payloads and not parser.has_partial_frame


@settings(derandomize=True, max_examples=300)
@given(st.binary(min_size=1, max_size=60), st.integers(0, 75), st.integers(1, 255))
def test_frame_with_changed_byte_is_rejected(payload: bytes, place: int, change: int) -> None:
    data = bytearray(frames.encode(payload))
    data[place % len(data)] ^= change
    with contextlib.suppress(frames.FrameError):
        assert frames.Parser().feed(bytes(data)) == []  # the length has grown: the parser waits for the rest


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=120))
def test_garbage_raises_only_frame_error(data: bytes) -> None:
    for read in (messages.decode, frames.Parser().feed):
        with contextlib.suppress(frames.FrameError):
            read(data)


def test_peer_table_tracks_states_and_rejects_repeated_messages() -> None:
    table = PeerTable(["b"], QUICK, 0.0)
    peer = table.get("b")
    assert peer is not None and peer.state is State.DEAD
    is_member, change = table.accept_hello("b", 5, 1.0)
    assert is_member and change is not None and change.state is State.ALIVE
    assert not table.accept_hello("stranger", 9, 1.0)[0]
    assert (
        table.accept_message("b", 5, 1) and not table.accept_message("b", 5, 1) and not table.accept_message("b", 4, 2)
    )
    assert [c.state for c in table.check_timeouts(1.4)] == [State.SUSPECT] and [
        c.state for c in table.check_timeouts(1.7)
    ] == [State.DEAD]
    # the sequence numbers of a new incarnation start again
    assert table.accept_hello("b", 6, 2.0)[0] and table.accept_message("b", 6, 1)
    assert peer.duplicates == 2
    table.set_members(["c"], 3.0)
    assert table.names() == ["c"] and table.record_contact("b", 3.0) is None


def test_full_peer_queue_drops_and_counts_oldest() -> None:
    queue = SendQueue(3, 100)
    for number in range(5):
        queue.put(b"%d" % number)
    assert queue.dropped == 2 and queue.get(0.0, 2) == [b"2", b"3"] and queue.get(0.0, 2) == [b"4"]
    queue.put(bytes(90))
    queue.put(bytes(90))
    assert len(queue) == 1 and queue.dropped == 3
    queue.close()
    assert queue.get(5.0, 1) is None


def test_skewed_clock_steps_and_drifts() -> None:
    clock = Clock()
    before = clock.now()
    clock.skew(100.0, 2.0)
    assert 100.0 <= clock.now() - before < 110.0 and clock.real(2.0) == 1.0


@pytest.fixture
def pair() -> Iterator[tuple[Link, Link, SimpleQueue[tuple[str, bytes]]]]:
    """Two links in this process, and the messages that b receives on channel 2."""
    from tealwing.lab.rig.ports import free_port

    members = tuple((name, ("127.0.0.1", free_port())) for name in "ab")
    a, b = (Link(Plan("f", name, members, QUICK, queue=16), incarnation=1) for name in "ab")
    received: SimpleQueue[tuple[str, bytes]] = SimpleQueue()
    b.on(2, lambda name, body: received.put((name, body)))
    yield a, b, received
    a.stop()
    b.stop()


def test_links_connect_detect_death_and_reconnect(
    pair: tuple[Link, Link, SimpleQueue[tuple[str, bytes]]],
) -> None:
    a, b, received = pair
    echo = PingService(a)
    PingService(b)
    a.start()
    b.start()
    until(lambda: a.live() == ["b"] and b.live() == ["a"])
    a.send("b", 2, b"x")
    assert received.get(timeout=LIMIT) == ("a", b"x")
    answer = echo.ping("b", "hello", LIMIT)
    assert answer is not None and (answer.responder, answer.text) == ("b", "hello")
    assert not a.send("nobody", 2, b"x")
    b.stop()
    until(lambda: a.status()[0]["state"] == "dead")
    again = Link(b.plan, incarnation=2)
    again.start()
    until(lambda: a.live() == ["b"] and again.live() == ["a"])
    again.set_members({"b": b.plan.address("b") or ("", 0)})  # a is no longer a member
    until(lambda: again.status() == [])
    until(lambda: a.status()[0]["connected"] is False or a.status()[0]["dials"] > 2)
    again.stop()


HELLO = frames.encode(messages.encode(messages.Hello("f", "a", "b", 1)))


@pytest.mark.parametrize(
    "sent",
    [
        b"garbage that is no frame at all",
        HELLO[:9],  # half a frame
        b"",  # nothing
        HELLO,  # a hello, then nothing
        HELLO + HELLO,
        frames.encode(messages.encode(messages.Heartbeat(1))),  # before the hello
        frames.encode(messages.encode(messages.Hello("other", "a", "b", 1))),
        frames.encode(messages.encode(messages.Hello("f", "stranger", "b", 1))),
        HELLO + frames.encode(b"\x93\x01"),
    ],
)
def test_invalid_peer_connection_is_closed(
    pair: tuple[Link, Link, SimpleQueue[tuple[str, bytes]]], sent: bytes
) -> None:
    _, b, _ = pair
    b.start()
    before = len(threads_now())
    connections = [socket.create_connection(b.address, LIMIT) for _ in range(4)]
    for sock in connections:
        sock.sendall(sent)
    for sock in connections:
        sock.settimeout(LIMIT)
        with contextlib.suppress(ConnectionResetError):
            assert sock.recv(1) == b""  # closed, at once or after its timeout
        sock.close()
    assert len(threads_now()) <= before  # no connection has a thread of its own
    until(lambda: not b._listener.connections)


def threads_now() -> list[str]:
    import threading

    return [thread.name for thread in threading.enumerate() if thread.name.startswith(("peer", "control"))]


def test_unidentified_connections_are_limited(pair: tuple[Link, Link, SimpleQueue[tuple[str, bytes]]]) -> None:
    _, b, _ = pair
    b.start()
    socks = [socket.create_connection(b.address, LIMIT) for _ in range(3 * inbound.SPARE_INBOUND)]
    until(lambda: len(b._listener.connections) <= 1 + inbound.SPARE_INBOUND)
    for sock in socks:
        sock.close()


def test_control_server_answers_valid_and_rejects_invalid_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "MAX_CONNECTIONS", 3)
    monkeypatch.setattr(control, "FRAME_TIMEOUT", 0.2)
    server = ControlServer(("127.0.0.1", 0))
    server.serve("twice", lambda fields: {"is": 2 * control.field(fields, "of", int)})
    server.serve("broken", lambda fields: {"is": 1 // 0})
    server.start()
    client = ControlClient(server.address)
    assert client.call("twice", of=4) == {"is": 8}
    wrong: list[tuple[str, dict[str, Any], str]] = [
        ("twice", {}, "of: missing"),
        ("twice", {"of": "x"}, "of: Expected `int`"),
        ("thrice", {}, "allowed: broken, twice"),
        ("broken", {}, "internal error; see control_call_failed"),
    ]
    for call, fields, why in wrong:
        with pytest.raises(RemoteCallError, match=why):
            client.call(call, **fields)
    half, garbage = (socket.create_connection(server.address, LIMIT) for _ in range(2))
    until(lambda: len(server._connections) == 3)
    with pytest.raises(RemoteCallError, match="3 connections are open already"):
        ControlClient(server.address).call("twice", of=1)
    half.sendall(frames.encode(b"xx")[:5])
    garbage.sendall(b"garbage!" * 4)
    for sock in (half, garbage):
        sock.settimeout(LIMIT)
        assert sock.recv(64) == b""
    assert client.call("twice", of=1) == {"is": 2}
    client.close()
    server.stop()


GOOD = """peers
    name n0
    member n0 127.0.0.1:7001
    member n1 127.0.0.1:7002
"""


@pytest.mark.parametrize(
    ("wrong", "what"),
    [
        (GOOD.replace("name n0", "name n7"), "name: found n7; allowed: a name that a member line has"),
        (GOOD.replace("member n1", "member n0"), "a second member n0"),
        (GOOD.replace("7002", "7001"), "the address of n0"),
        (GOOD.replace("127.0.0.1:7002", "localhost"), "member: found n1 localhost"),
        (GOOD + "    doubt 3s\n", "lost: found 2s; allowed: more than doubt, 3s"),
        (GOOD + "    beat 500ms\n", "doubt: found 1s; allowed: more than three beats"),
        (GOOD + "    speed fast\n", "peers speed"),
        (GOOD + "    member n2 127.0.0.1:7003 voter\n", "member: found n2 127.0.0.1:7003 voter"),
        (GOOD.replace("7001", "7001 learner").replace("7002", "7002 learner"), "at least one member that votes"),
        (GOOD + "".join(f"    member m{n} 127.0.0.1:{7003 + n}\n" for n in range(63)), "at most 64; more can be"),
    ],
)
def test_peers_section_errors_name_the_directive(tmp_path: Path, wrong: str, what: str) -> None:
    path = tmp_path / "x.conf"
    path.write_text(GOOD)
    plan = reader.read(str(path)).records["peers"]
    assert plan.address("n1") == ("127.0.0.1", 7002) and not plan.faults and plan.learners == ()
    path.write_text(GOOD + "".join(f"    member m{n} 127.0.0.1:{7003 + n} learner\n" for n in range(254)))
    many = reader.read(str(path)).records["peers"]
    assert len(many.learners) == 254 and many.linked_members() == {name for name, _ in many.members} - {"n0"}
    path.write_text(wrong)
    with pytest.raises(ConfError) as found:
        reader.read(str(path))
    assert what in str(found.value)
