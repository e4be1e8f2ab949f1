"""The gateway's process over sockets; the test plays its engine, coordinator and clients.

Tests wait for events only; no result depends on how long something takes.
"""

from __future__ import annotations

import json
import socket
import struct
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tealwing.mysql import packets
from tealwing.resp import messages
from tests.peers import LIMIT, Client, Coordinator, Peer, Program, event, member, request, say

PAGE = b"a\tb\tc\nd\te\tf\n"
OTHER_CALL = "0000000000000b0b"


class Site:
    """One gateway with one engine and one coordinator."""

    def __init__(self, folder: Path, **changes: Any) -> None:
        self.engine, self.coordinator = Peer(), Coordinator()
        self.program = Program(folder, self.engine.address, self.coordinator.address, **changes)
        self.address = self.program.address()

    def client(self) -> Client:
        return Client(self.address)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path)
    yield site
    errors = site.program.end()
    site.engine.listener.close()
    site.coordinator.listener.close()
    assert errors == ""


def serve(site: Site, client: Client) -> None:
    """Answer the client's query at the engine, and check the rows that the client gets."""
    sock, parts = site.engine.next(b"want")
    say(sock, parts[1], b"200", b"sheets=1", PAGE)
    assert client.rows() == [b"\x01a\x01b\x01c", b"\x01d\x01e\x01f"]


def serve_one(site: Site, call: str) -> None:
    client = site.client()
    client.ask(call=call)
    serve(site, client)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RD)  # wakes the reader thread, which also holds the socket
    sock.close()


def test_login_ping_and_query_in_one_write_are_answered(site: Site) -> None:
    also = packets.packet(0, b"\x0e") + packets.packet(0, b"\x03" + request())
    client = Client(site.address, also=also)
    assert client.login == client.read() == packets.ok()
    serve(site, client)


def test_all_pages_are_fetched_and_fields_pass_unchanged(site: Site) -> None:
    client = site.client()
    client.ask(op="load", dedupe="5c0f", work=820.0, heap_mb=96)
    sock, parts = site.engine.next(b"want")
    assert parts[1] == b"9b1f03aa5c7e2d41" and parts[3] == b"SELECT a FROM s_7.t"
    fields = dict(pair.split(b"=") for pair in parts[2].split(b","))
    assert fields[b"lane"] == b"load" and fields[b"dedupe"] == b"5c0f" and 0 < int(fields[b"ttl"]) <= 20000
    say(sock, parts[1], b"status", b"why=frac,val=0.5", b"")
    for _ in range(2):  # a duplicate answer must not invalidate the first
        say(sock, parts[1], b"200", b"sheets=3,rep=queue:0;inflight:7", PAGE)
    assert [site.engine.next(b"turn")[1][2] for _ in range(2)] == [b"1", b"2"]
    for text in (b"3\t3\t3\n", b"4\t4\t4\n"):  # pages arrive in any order; of duplicates the first is used
        say(sock, parts[1], b"chunk", b"sheet=2", text)
    say(sock, parts[1], b"chunk", b"sheet=1", b"2\t2\t2\n")
    assert client.rows()[2:] == [b"\x012\x012\x012", b"\x013\x013\x013"]
    site.engine.next(b"shut")


@pytest.mark.parametrize(
    "trouble", ["reset", "malformed", "stalled", "page", "lost page", "500", "odd rows", "too large"]
)
def test_failed_attempt_is_followed_by_another(site: Site, trouble: str) -> None:
    # each of these attempts may have run at the engine; a failure ends at most the connection it occurred on
    client = site.client()
    client.ask()
    sock, parts = site.engine.next(b"want")
    if trouble == "reset":
        reset(sock)
    elif trouble == "malformed":
        sock.sendall(b"$hello\r\n")
    elif trouble == "stalled":  # guards against blocking other requests of the connection behind an incomplete message
        sock.sendall(messages.encode(parts[1], b"200", b"sheets=1", PAGE)[:-9])
        assert not sock.recv(1)
    elif trouble == "lost page":
        say(sock, parts[1], b"200", b"sheets=2", PAGE)
        site.engine.next(b"turn")
        site.engine.next(b"shut")
    elif trouble == "500":
        say(sock, parts[1], b"500", b"-", b"")
    elif trouble == "odd rows":
        say(sock, parts[1], b"200", b"sheets=1", b"only one column\n")
        assert not sock.recv(1)  # further data on this connection can't be trusted
    elif trouble == "too large":  # guards memory, which must hold the results of all clients at once
        say(sock, parts[1], b"200", b"sheets=6", PAGE * 1200)
        for sheet in range(1, 6):
            site.engine.next(b"turn")
            say(sock, parts[1], b"chunk", b"sheet=%d" % sheet, PAGE * 1200)
    else:
        say(sock, parts[1], b"200", b"sheets=2", PAGE)
        site.engine.next(b"turn")
        say(sock, parts[1], b"500", b"-", b"")
        site.engine.next(b"shut")
    serve(site, client)


def test_request_with_the_id_of_an_open_one_is_rejected(site: Site) -> None:
    # guards an open request: engines identify requests by id, and would answer one with the other's rows
    client, other = site.client(), site.client()
    client.ask()
    sock, parts = site.engine.next(b"want")
    other.send(0x03, request().replace(b"s_7", b"s_8"))
    assert other.error()[0] == 1210
    say(sock, parts[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    other.ask()  # the id has been used
    assert other.error()[0] == 1105
    other.ask(call=OTHER_CALL)
    serve(site, other)


def test_request_at_a_full_engine_is_rejected_with_a_pushback_time(site: Site) -> None:
    client = site.client()
    client.ask()
    sock, parts = site.engine.next(b"want")
    say(sock, parts[1], b"503", b"rep=queue:0;inflight:70", b"")
    code, text = client.error()
    assert code == 1226 and 0 < int(text.partition("pushback=")[2]) <= 1000


def test_request_is_rejected_if_its_engine_refuses_the_connect(tmp_path: Path) -> None:
    closed = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{closed.getsockname()[1]}"
    closed.close()
    program = Program(tmp_path, address)
    client = Client(program.address())
    client.ask()
    assert client.error()[0] == 1226
    assert program.end() == ""


def test_all_threads_share_one_heap(site: Site) -> None:
    # guards memory: the C library reserves a heap of 64 MB per thread, and other threads can't use its free parts
    for number in range(5):
        serve_one(site, f"{number:016x}")
    sizes = []
    for line in Path(f"/proc/{site.program.process.pid}/maps").read_text().splitlines():
        start, end = line.split()[0].split("-")
        sizes += [int(end, 16) - int(start, 16)] if "---p" in line else []
    assert max(sizes) < 32 << 20


def test_kill_query_cancels_the_attempt(site: Site) -> None:
    client, other = site.client(), site.client()
    client.ask()
    sock, parts = site.engine.next(b"want")
    other.send(3, b"KILL QUERY %d" % client.id)
    assert other.read() == packets.ok()
    assert site.engine.next(b"never_mind")[1][1] == parts[1]
    assert client.error()[0] == 1317
    say(sock, parts[1], b"200", b"sheets=1", b"late\tlate\tlate\n")
    client.ask()  # the same id: its first attempt may have run, and the late answer must not count for this request
    assert client.error()[0] == 1105
    client.ask(call=OTHER_CALL)
    again, parts = site.engine.next(b"want")
    assert parts[1] == OTHER_CALL.encode()
    say(again, parts[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    other.send(3, b"KILL QUERY 99999")
    assert other.error()[0] == 1094


def test_timed_out_attempt_is_cancelled_and_its_request_answered(site: Site) -> None:
    client = site.client()
    client.ask(ttl=400)
    _, parts = site.engine.next(b"want")
    assert site.engine.next(b"never_mind")[1][1] == parts[1]
    assert client.error()[0] in (1105, 1226)
    client.ask(call="00000000000000aa")
    serve(site, client)


def test_unsupported_commands_get_mysql_errors(site: Site) -> None:
    client = site.client()
    for command, body, code in [(0x05, b"", 1047), (0x02, b"none", 1049), (0x03, request(op="x"), 1210)]:
        client.send(command, body)
        assert client.error()[0] == code
    client.send(0x03, b"SELECT 1")
    assert client.error()[0] == 1210
    client.sock.sendall(b"\xff\xff\xff\0")  # announces a packet of 16 MB
    assert client.error()[0] == 1153
    with pytest.raises(EOFError):
        client.read()
    assert Client(site.address, user=b"root").login[0] == 0xFF
    assert site.engine.got.empty()


def test_sigterm_finishes_open_requests(site: Site) -> None:
    client = site.client()
    client.ask()
    sock, parts = site.engine.next(b"want")
    site.program.terminate()
    site.program.wait_for("draining")
    late = site.client()  # clients may still connect for a while
    late.send(0x0E)
    assert late.read() == packets.ok()
    say(sock, parts[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    site.program.wait_for("stopped")
    assert site.program.process.wait(LIMIT) == 0


def test_sigterm_fails_requests_that_cannot_finish_in_time(site: Site) -> None:
    client = site.client()
    client.ask()
    site.engine.next(b"want")
    site.program.terminate()
    assert client.error()[0] == 1105
    assert site.program.process.wait(LIMIT) == 0


def test_watch_resumes_after_a_reconnect(site: Site) -> None:
    sock, words = site.coordinator.next(b"follow")
    assert words[1] == b"1"
    second = Peer()
    line = json.dumps(event(2, member("s-1", second.address))).encode() + b"\n"
    sock.sendall(line[:20])
    sock.sendall(line[20:] + b'{"index":2}\n')
    site.program.wait_for("engine_list")
    sock.shutdown(socket.SHUT_RDWR)
    sock, words = site.coordinator.next(b"follow")
    assert words[1] == b"2"
    sock.sendall(line)  # a repeat is dropped
    client = site.client()  # guards a changed address: the connection to the old one must not be used
    client.ask()
    answering, parts = second.next(b"want")
    say(answering, parts[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2


def test_sighup_moves_to_the_new_coordinator_during_an_open_request(site: Site) -> None:
    # guards against the default action of SIGHUP, missed updates and disturbed open requests
    old, _ = site.coordinator.next(b"follow")
    client = site.client()
    client.ask()
    sock, parts = site.engine.next(b"want")
    site.program.reload("{not JSON")
    assert "not JSON" in site.program.wait_for("configuration_unusable")["error"]
    old.sendall(json.dumps(event(2, member("s-2", "127.0.0.1:1", phase="draining"))).encode() + b"\n")
    site.program.wait_for("engine_list")  # the old configuration stays in force
    new = Coordinator()
    site.program.reload(json.dumps(site.program.config | {"coordinator": new.address}))
    assert new.next(b"follow")[1][1] == b"2"  # event numbers continue
    say(sock, parts[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    new.listener.close()


@pytest.mark.parametrize(
    "key, changes",
    [
        ("LB_CONFIG", None),
        ("listen", {"listen": "nowhere"}),
        ("coordinator", {"coordinator": 7}),
        ("seed", {"seed": "xyz"}),
        ("limits.sockets", {"limits": {"sockets": 3}}),
        ("settings", {"settings": {}}),
        ("known", {"known": {"index": 1}}),
    ],
)
def test_bad_configuration_ends_the_program_with_one_line_that_names_the_key(
    tmp_path: Path, key: str, changes: dict[str, Any] | None
) -> None:
    if changes is None:
        got = subprocess.run([sys.executable, "-m", "tealwing"], env={}, capture_output=True, text=True)
        code, errors = got.returncode, got.stderr
    else:
        process = Program(tmp_path, "127.0.0.1:1", **changes).process
        errors, code = process.communicate(timeout=LIMIT)[1], process.returncode
    assert code == 1 and errors.startswith(f"tealwing: {key}") and errors.count("\n") == 1
