"""Gossip's messages: codec, keys, replay protection, and the queues of what is sent."""

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


def test_a_datagram_is_read_back_and_any_changed_byte_is_rejected() -> None:
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
def test_garbage_is_rejected_with_a_cause(data: bytes, head: bool) -> None:
    if head:
        data = messages.MAGIC + bytes([messages.VERSION]) + data
    with pytest.raises(MessageRejectedError):
        messages.decode(data, lambda *_: True)


@given(st.data())
def test_cut_and_nested_payloads_are_rejected(data: st.DataObject) -> None:
    whole = messages.encode(payload(rumours=[alive()]), SimulatedKey("n0"))
    cut = data.draw(st.integers(0, len(whole) - 1))
    with pytest.raises(MessageRejectedError):
        messages.decode(whole[:cut], lambda *_: True)
    deep = messages.MAGIC + bytes([messages.VERSION]) + bytes(72) + b"\x91" * data.draw(st.integers(1, 1300))
    with pytest.raises(MessageRejectedError):
        messages.decode(deep, lambda *_: True)


def test_keys_expire_are_revoked_and_overlap(tmp_path: Path) -> None:
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


# Replay


@given(st.lists(st.integers(0, 600), max_size=200))
def test_a_sequence_is_accepted_once(sequences: list[int]) -> None:
    fresh, taken, highest = ReplayFilter(10.0), set[int](), -1
    for sequence in sequences:
        new = sequence not in taken and sequence > highest - 256
        try:
            fresh.accept("n0", 1, sequence, round(EPOCH * 1e3), EPOCH)
            assert new
            taken.add(sequence)
            highest = max(highest, sequence)
        except MessageRejectedError as error:
            assert not new and error.cause is RejectionCause.REPEATED


def test_old_future_and_stale_datagrams_are_rejected() -> None:
    fresh, ms = ReplayFilter(10.0), round(EPOCH * 1e3)
    for at, boot, cause in (
        (ms - 3600_000, 1, RejectionCause.TIME),
        (ms + 11_000, 1, RejectionCause.TIME),
        (ms, ms + 60_000, RejectionCause.TIME),
    ):
        with pytest.raises(MessageRejectedError) as caught:
            fresh.accept("n0", boot, 1, at, EPOCH)
        assert caught.value.cause is cause
    fresh.accept("n0", 7, 900, ms + 5000, EPOCH)
    fresh.accept("n0", 8, 1, ms, EPOCH)  # a restart counts from the start
    with pytest.raises(MessageRejectedError) as caught:
        fresh.accept("n0", 7, 901, ms, EPOCH)
    assert caught.value.cause is RejectionCause.STALE


# The ceiling


@given(st.lists(st.tuples(st.floats(0, 0.3), st.integers(0, 3), st.integers(100, 1400)), max_size=150))
def test_no_second_exceeds_the_byte_limit(steps: list[tuple[float, int, int]]) -> None:
    budget, now, sent = SendQueue(8192.0, 0.0), 0.0, list[tuple[float, int]]()
    for passed, urgency, size in steps:
        now += passed
        budget.enqueue(Priority(urgency), now, ("h", 1), bytes(size))
        sent += [(now, len(data) + messages.HEADERS_BYTES) for _, data in budget.take_due(now)]
    for begin, _ in sent:
        assert sum(size for at, size in sent if begin <= at < begin + 1) <= 8192


def test_answers_go_first_and_bulk_is_not_starved() -> None:
    budget = SendQueue(16384.0, 0.0)
    for n in range(30):
        for urgency in reversed(Priority):
            budget.enqueue(urgency, 0.0, (urgency.name, n), bytes(400))
    names = [to for (to, _), _ in budget.take_due(0.0)]
    assert names[: names.count("ANSWER")] == ["ANSWER"] * names.count("ANSWER")
    budget = SendQueue(16384.0, 0.0)
    for n in range(30):
        budget.enqueue(Priority.RUMOUR, 0.0, ("RUMOUR", n), bytes(700))
        budget.enqueue(Priority.BULK, 0.0, ("BULK", n), bytes(700))
    names = [to for (to, _), _ in budget.take_due(0.0)]
    assert abs(names.count("BULK") - names.count("RUMOUR")) <= 1 and names


def test_rumours_are_sent_a_bounded_number_of_times() -> None:
    waiting = RumourQueue()
    for number in range(5):
        waiting.add(Suspect(f"n{number}", 1, 0))
    sent = [waiting.take_piggyback(60, 4, []) for _ in range(40)]
    assert all(sum(Suspect(f"n{n}", 1, 0) in riding for riding in sent) == 4 for n in range(5)) and not len(waiting)
    waiting.add(Suspect("n0", 1, 0))
    waiting.add(Dead("n0", 1, 0))
    assert waiting.take_piggyback(500, 4, []) == [Dead("n0", 1, 0)], (
        "the newer rumour about a member replaces the older one"
    )
    for _ in range(3):
        waiting.record_received(Dead("n0", 1, 0), 4)
    assert not len(waiting), "what others send too dies out sooner"
    for number in range(1000):
        waiting.add(Suspect(f"m{number}", 1, 0))
    assert len(waiting) == 256
