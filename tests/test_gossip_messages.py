"""Gossip's messages: codec, keys, replay protection, and the queues of datagrams and rumours."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing.gossip import keys, messages
from tealwing.gossip.errors import InvalidKeyError, MessageRejectedError, RejectionCause
from tealwing.gossip.messages import Dead, EngineObservation, HealthReport, Suspect
from tealwing.gossip.replay_protection import ReplayFilter
from tealwing.gossip.rumour_queue import RumourQueue
from tealwing.gossip.send_queue import Priority, SendQueue
from tealwing.lab.network import EPOCH, SimulatedKey, real_key
from tests.gossip import alive, payload


def test_datagram_round_trips_and_any_changed_byte_is_rejected() -> None:
    key, ring = real_key("n0"), keys.Keyring([keys.AllowedKey("n0", real_key("n0").public)])
    sent = payload(
        rumours=[
            alive(),
            Suspect("n2", 5, 1),
            HealthReport("n1", 5, 9, [EngineObservation(7, 0, 2.5, 0.1, 3.0)], bytes(8), bytes(64)),
        ]
    )
    data = messages.encode(sent, key)
    assert messages.decode(data, ring.verify) == sent
    for place in range(len(data)):
        with pytest.raises(MessageRejectedError):
            messages.decode(data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :], ring.verify)


@given(st.binary(max_size=1500), st.booleans())
def test_garbage_datagram_is_rejected(data: bytes, head: bool) -> None:
    if head:
        data = messages.MAGIC + bytes([messages.VERSION]) + data
    with pytest.raises(MessageRejectedError):
        messages.decode(data, lambda *_: True)


@given(st.data())
def test_truncated_and_deeply_nested_datagrams_are_rejected(data: st.DataObject) -> None:
    whole = messages.encode(payload(rumours=[alive()]), SimulatedKey("n0"))
    cut = data.draw(st.integers(0, len(whole) - 1))
    with pytest.raises(MessageRejectedError):
        messages.decode(whole[:cut], lambda *_: True)
    deep = messages.MAGIC + bytes([messages.VERSION]) + bytes(72) + b"\x91" * data.draw(st.integers(1, 1300))
    with pytest.raises(MessageRejectedError):
        messages.decode(deep, lambda *_: True)


def test_keys_overlap_expire_and_are_revoked(tmp_path: Path) -> None:
    old, new = real_key("n0-old"), real_key("n0-new")
    ring = keys.Keyring([keys.AllowedKey("n0", old.public, valid_until=100.0), keys.AllowedKey("n0", new.public)])
    for at, key, holds in ((50, old, True), (50, new, True), (100, old, False), (100, new, True)):
        ring.unix_time = at
        assert ring.verify("n0", key.key_id, b"x", key.sign(b"x")) is holds
    ring.replace([keys.AllowedKey("n0", old.public)])
    assert not ring.verify("n0", new.key_id, b"x", new.sign(b"x")) and not ring.verify(
        "n1", old.key_id, b"x", old.sign(b"x")
    )
    path = tmp_path / "k"
    keys.write_private(path, old.private)
    assert keys.read_private(path).public == old.public and path.stat().st_mode & 0o777 == 0o600
    with pytest.raises(FileExistsError):
        keys.write_private(path, old.private)
    path.chmod(0o644)
    with pytest.raises(InvalidKeyError, match="0600"):
        keys.read_private(path)


# Replay protection


@given(st.lists(st.integers(0, 600), max_size=200))
def test_replay_filter_accepts_sequence_number_once(sequences: list[int]) -> None:
    replay_filter, accepted, highest = ReplayFilter(10.0), set[int](), -1
    for sequence in sequences:
        new = sequence not in accepted and sequence > highest - 256
        try:
            replay_filter.accept("n0", 1, sequence, round(EPOCH * 1e3), EPOCH)
            assert new
            accepted.add(sequence)
            highest = max(highest, sequence)
        except MessageRejectedError as error:
            assert not new and error.cause is RejectionCause.REPEATED


def test_replay_filter_rejects_old_future_and_stale_datagrams() -> None:
    replay_filter, ms = ReplayFilter(10.0), round(EPOCH * 1e3)
    for at, boot, cause in (
        (ms - 3600_000, 1, RejectionCause.TIME),
        (ms + 11_000, 1, RejectionCause.TIME),
        (ms, ms + 60_000, RejectionCause.TIME),
    ):
        with pytest.raises(MessageRejectedError) as caught:
            replay_filter.accept("n0", boot, 1, at, EPOCH)
        assert caught.value.cause is cause
    replay_filter.accept("n0", 7, 900, ms + 5000, EPOCH)
    replay_filter.accept("n0", 8, 1, ms, EPOCH)  # the sequence numbers of a new boot start again
    with pytest.raises(MessageRejectedError) as caught:
        replay_filter.accept("n0", 7, 901, ms, EPOCH)
    assert caught.value.cause is RejectionCause.STALE


# The byte limit and the queues


@given(st.lists(st.tuples(st.floats(0, 0.3), st.integers(0, 3), st.integers(100, 1400)), max_size=150))
def test_datagrams_of_any_second_stay_within_byte_limit(steps: list[tuple[float, int, int]]) -> None:
    send_queue, now, sent = SendQueue(8192.0, 0.0), 0.0, list[tuple[float, int]]()
    for passed, priority, size in steps:
        now += passed
        send_queue.enqueue(Priority(priority), now, ("h", 1), bytes(size))
        sent += [(now, len(data) + messages.HEADERS_BYTES) for _, data in send_queue.take_due(now)]
    for begin, _ in sent:
        assert sum(size for at, size in sent if begin <= at < begin + 1) <= 8192


def test_answers_are_sent_first_and_bulk_is_not_starved() -> None:
    send_queue = SendQueue(16384.0, 0.0)
    for n in range(30):
        for priority in reversed(Priority):
            send_queue.enqueue(priority, 0.0, (priority.name, n), bytes(400))
    names = [to for (to, _), _ in send_queue.take_due(0.0)]
    assert names[: names.count("ANSWER")] == ["ANSWER"] * names.count("ANSWER")
    send_queue = SendQueue(16384.0, 0.0)
    for n in range(30):
        send_queue.enqueue(Priority.RUMOUR, 0.0, ("RUMOUR", n), bytes(700))
        send_queue.enqueue(Priority.BULK, 0.0, ("BULK", n), bytes(700))
    names = [to for (to, _), _ in send_queue.take_due(0.0)]
    assert abs(names.count("BULK") - names.count("RUMOUR")) <= 1 and names


def test_rumour_is_sent_bounded_number_of_times() -> None:
    queue = RumourQueue()
    for number in range(5):
        queue.add(Suspect(f"n{number}", 1, 0))
    sent = [queue.take_piggyback(60, 4, []) for _ in range(40)]
    assert all(sum(Suspect(f"n{n}", 1, 0) in rumours for rumours in sent) == 4 for n in range(5)) and not len(queue)
    queue.add(Suspect("n0", 1, 0))
    queue.add(Dead("n0", 1, 0))
    assert queue.take_piggyback(500, 4, []) == [Dead("n0", 1, 0)], (
        "the newer rumour about a member does not replace the older one"
    )
    for _ in range(3):
        queue.record_received(Dead("n0", 1, 0), 4)
    assert not len(queue), "receipts from other members do not count as sends"
    for number in range(1000):
        queue.add(Suspect(f"m{number}", 1, 0))
    assert len(queue) == 256
