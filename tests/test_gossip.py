"""Gossip: the protocol's rules, whole clusters in virtual time, hostile peers, and the program that speaks it."""

from __future__ import annotations

import random
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tealwing import interface as api
from tealwing.conf import reader
from tealwing.conf.reader import ConfError
from tealwing.gossip import control, health_estimator, keys, local_evidence, messages, persisted_state, suspicion
from tealwing.gossip.config import Timing
from tealwing.gossip.errors import CorruptStateError, InvalidKeyError, MessageRejectedError, RejectionCause
from tealwing.gossip.health_estimator import EngineHealth, HealthEstimator
from tealwing.gossip.identity import Clock, LocalIdentity
from tealwing.gossip.members import Member, Members, State
from tealwing.gossip.messages import Alive, Dead, EngineObservation, Gossip, HealthReport, Left, Payload, Ping, Suspect
from tealwing.gossip.node import Node
from tealwing.gossip.replay_protection import ReplayFilter
from tealwing.gossip.rumour_queue import RumourQueue
from tealwing.gossip.send_queue import Priority, SendQueue
from tealwing.lab import gossip_trial
from tealwing.lab.network import EPOCH, Network, SimulatedKey, SimulatedKeyring, cluster, real_key
from tealwing.policy import Gateway
from tests.build import entry, listing, make_settings, sends
from tests.peers import LIMIT, SETTINGS, Program

# Messages


def payload(name: str = "n0", sequence: int = 1, at: float = EPOCH, boot: int = 5, **changes: Any) -> Payload:
    plain: dict[str, Any] = dict(
        name=name, boot=boot, sequence=sequence, sent_at_ms=round(at * 1e3), body=Ping(1, ""), rumours=[]
    )
    return Payload(**(plain | changes))


def alive(name: str = "n1", incarnation: int = 0, boot: int = 5) -> Alive:
    word = messages.sign_rumour(
        Alive(name, "10.0.0.9", 7946, boot, incarnation, bytes(8), bytes(64)), SimulatedKey(name)
    )
    assert isinstance(word, Alive)
    return word


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


def test_keys_end_are_revoked_and_overlap(tmp_path: Path) -> None:
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
def test_a_sequence_is_taken_once(sequences: list[int]) -> None:
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


def test_old_future_and_stale_datagrams() -> None:
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
def test_no_second_passes_the_ceiling(steps: list[tuple[float, int, int]]) -> None:
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


def test_rumours_go_out_a_bounded_number_of_times() -> None:
    waiting = RumourQueue()
    for number in range(5):
        waiting.add(Suspect(f"n{number}", 1, 0))
    sent = [waiting.take_piggyback(60, 4, []) for _ in range(40)]
    assert all(sum(Suspect(f"n{n}", 1, 0) in riding for riding in sent) == 4 for n in range(5)) and not len(waiting)
    waiting.add(Suspect("n0", 1, 0))
    waiting.add(Dead("n0", 1, 0))
    assert waiting.take_piggyback(500, 4, []) == [Dead("n0", 1, 0)], (
        "the newer word on a member takes the older one's place"
    )
    for _ in range(3):
        waiting.record_received(Dead("n0", 1, 0), 4)
    assert not len(waiting), "what others say too dies sooner"
    for number in range(1000):
        waiting.add(Suspect(f"m{number}", 1, 0))
    assert len(waiting) == 256


# The rules of doubt, every order of events: one subject, two observers


View = tuple[State, int]
World = tuple[int, tuple[View, View], frozenset[tuple[str, int]]]


def observer(view: View) -> Members:
    held = Members("me", random.Random(1))
    held.apply_alive(alive("n1", view[1]), 0.0)
    member = held.get("n1")
    assert member is not None
    if view[0] is State.SUSPECT:
        held.suspect(member, "me", 0.0)
    elif view[0] is State.DEAD:
        held.mark_dead(member, 0.0)
    return held


def view_of(held: Members) -> View:
    member = held.get("n1")
    assert member is not None
    return member.state, member.alive.incarnation


def successors(world: World) -> Iterator[tuple[str, World]]:
    own, views, words = world
    for kind, incarnation in words:
        if kind != "alive" and incarnation == own and own < 3:  # it hears of the doubt and refutes
            yield "refute", (own + 1, views, words | {("alive", own + 1)})
    for i, view in enumerate(views):
        moves: list[tuple[str, Members, set[tuple[str, int]]]] = []
        held = observer(view)
        member = held.get("n1")
        assert member is not None
        if member.state is State.ALIVE:
            moves.append(("probe", held, {("suspect", view[1])}))
            held.suspect(member, "me", 0.0)
        elif member.state is State.SUSPECT:
            moves.append(("time", held, {("dead", view[1])}))
            held.mark_dead(member, 0.0)
        for kind, incarnation in words:
            held = observer(view)
            if kind == "alive":
                held.apply_alive(alive("n1", incarnation), 0.0)
            else:
                held.apply_suspicion((Suspect if kind == "suspect" else Dead)("n1", 5, incarnation), "other", 9.0)
            moves.append((f"hears {kind}", held, set()))
        for what, held, said in moves:
            after = list(views)
            after[i] = view_of(held)
            yield what, (own, (after[0], after[1]), words | said)


def walk() -> tuple[int, str]:
    start: World = (0, ((State.ALIVE, 0), (State.ALIVE, 0)), frozenset({("alive", 0)}))
    seen, front = {start}, [start]
    while front:
        world = front.pop()
        for what, after in successors(world):
            own, views, _ = after
            for before, now in zip(world[1], views, strict=True):
                if now[1] > own:
                    return len(seen), f"{what}: an incarnation that the member never spoke of"
                if now[1] < before[1]:
                    return len(seen), f"{what}: an incarnation went back"
                if now[1] == before[1] and now[0] < before[0]:
                    return len(seen), f"{what}: a doubt ended with no word of the member's own"
                if what.startswith("hears") and now[0] is State.DEAD and before[0] is not State.DEAD:
                    return len(seen), f"{what}: held dead on another's word"
            if after not in seen:
                seen.add(after)
                front.append(after)
    return len(seen), ""


def test_every_order_of_doubts_and_refutations() -> None:
    states, wrong = walk()
    assert not wrong and states > 500


@pytest.mark.parametrize("fault", ["same incarnation", "dead on a word", "any incarnation"])
def test_the_walk_catches_planted_faults(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def same(self: Members, word: Alive, now: float) -> Member | None:
        return self._store(Member(word, State.ALIVE, now))

    def buried(self: Members, word: Any, by: str, now: float) -> Any:
        known = self.get(word.name)
        if known is not None and isinstance(word, Dead):
            self.mark_dead(known, now)
        return None, False

    def higher(self: Members, word: Any, by: str, now: float) -> Any:
        self._store(Member(alive("n1", word.incarnation + 1), State.SUSPECT, now))
        return None, False

    if fault == "same incarnation":
        monkeypatch.setattr(Members, "apply_alive", same)
    else:
        monkeypatch.setattr(Members, "apply_suspicion", buried if fault == "dead on a word" else higher)
    assert walk()[1]


def test_a_suspicion_shrinks_as_others_confirm() -> None:
    held = suspicion.Suspicion(0.0, {"a"})
    ends = [held.deadline(100, 1.0)]
    for name in "abcde":
        held.confirm(name)
        ends.append(held.deadline(100, 1.0))
    least, most = suspicion.timeout_bounds(100, 1.0)
    assert ends[0] == most and ends[-1] == least and ends == sorted(ends, reverse=True)


# Whole clusters


class Cluster(RuleBasedStateMachine):
    """Instances that start, die, restart, stand still and are cut off; after it all they agree."""

    @initialize(seed=st.integers(0, 99))
    def begin(self, seed: int) -> None:
        self.network = Network(seed)
        self.names = [instance.node.name for instance in cluster(self.network, 6, skew=2.5)]
        self.network.clock.run(5.0)

    def running(self) -> list[str]:
        return [i.node.name for i in self.network.instances.values() if i.running and i.paused is None]

    @rule(seconds=st.floats(0.2, 6.0))
    def wait(self, seconds: float) -> None:
        self.network.clock.run(self.network.clock.now + seconds)

    @precondition(lambda self: len(self.running()) > 3)
    @rule(which=st.integers(0, 9))
    def kill(self, which: int) -> None:
        names = self.running()
        self.network.kill(names[which % len(names)])

    @rule(which=st.integers(0, 9))
    def restart(self, which: int) -> None:
        name = self.names[which % len(self.names)]
        instance = self.network.instances[name]
        if instance.running:
            self.network.kill(name)
            self.network.clock.run(self.network.clock.now + 0.3)
        self.network.start(name, [(f"10.0.0.{i}", 7946) for i in (1, 2, 3)], instance.skew, instance.address)

    @precondition(lambda self: len(self.running()) > 4)
    @rule(which=st.integers(0, 9), seconds=st.floats(1.0, 8.0))
    def stand_still(self, which: int, seconds: float) -> None:
        names = self.running()
        self.network.pause(names[which % len(names)], seconds)

    @rule(loss=st.sampled_from([0.0, 0.3]), copies=st.sampled_from([0.0, 0.5]), slow=st.booleans())
    def weather(self, loss: float, copies: float, slow: bool) -> None:
        self.network.conditions.loss, self.network.conditions.copies = loss, copies
        self.network.conditions.delay = (0.0002, 0.25) if slow else (0.0002, 0.003)

    @rule(one_way=st.booleans(), part=st.integers(1, 3))
    def cut(self, one_way: bool, part: int) -> None:
        inside = {f"10.0.0.{i + 1}" for i in range(part)}
        self.network.conditions.cut = lambda source, to: (
            source[0] in inside and to[0] not in inside if one_way else (source[0] in inside) != (to[0] in inside)
        )

    @invariant()
    def bounds(self) -> None:
        assert self.network.max_bytes_per_second() <= self.network.times.max_bytes_per_s
        assert max((i.largest for i in self.network.instances.values()), default=0) <= messages.MAX_DATAGRAM_BYTES
        for instance in self.network.instances.values():
            assert not instance.node.silent, "nobody takes another's name here"

    def teardown(self) -> None:
        if not hasattr(self, "network"):
            return
        self.network.conditions.loss = self.network.conditions.copies = 0.0
        self.network.conditions.delay, self.network.conditions.cut = (0.0002, 0.003), lambda source, to: False
        assert self.network.until(self.network.agreed, 75.0) is not None, "agreement after the faults have stopped"
        deaths = len([1 for _, _, what, _ in self.network.events if what == "gossip_dead"])
        self.network.clock.run(self.network.clock.now + 20.0)
        assert self.network.agreed() and deaths == len(
            [1 for _, _, what, _ in self.network.events if what == "gossip_dead"]
        ), "and it lasts: no live and reachable member is held dead"


Cluster.TestCase.settings = settings(max_examples=80, stateful_step_count=12, deadline=None, derandomize=True)
TestCluster = Cluster.TestCase


def test_a_death_is_known_and_a_clean_end_at_once() -> None:
    network = Network(1)
    cluster(network, 10)
    assert network.until(network.agreed, 30) is not None
    network.kill("n4")
    took = network.until(network.agreed, 40)
    assert took is not None and took < 15
    leaver = network.instances["n5"]
    leaver.node.leave(network.clock.now, network.wall(0))
    network._flush(leaver)
    network.kill("n5")
    assert (took := network.until(network.agreed, 10)) is not None and took < 2


def test_two_under_one_name_and_limits_of_numbers(monkeypatch: pytest.MonkeyPatch) -> None:
    network = Network(2)
    cluster(network, 5)
    network.until(network.agreed, 30)
    first = network.instances["n4"]
    second = network.start("n4", [("10.0.0.1", 7946)])
    network.clock.run(network.clock.now + 20)
    assert first.node.silent and not second.node.silent, "the later start keeps the name"
    assert any(what == "gossip_name_conflict" for _, _, what, _ in network.events)
    network.kill("n4")
    first.running = False
    monkeypatch.setattr(messages, "MAX_INCARNATION", 3)
    monkeypatch.setattr(messages, "MAX_SEQUENCE", network.instances["n0"].node.identity.sequence + 20)
    for _ in range(4):
        network.instances["n1"].node.membership.refute()
    network.clock.run(network.clock.now + 20)
    assert network.until(network.agreed, 60) is not None, "numbers at their limits begin a later life"
    assert (
        network.instances["n0"].node.identity.sequence < 2000 and network.instances["n1"].node.identity.incarnation <= 3
    )


def test_false_words_on_oneself_on_others_and_on_the_dead() -> None:
    network = Network(3)
    cluster(network, 8)
    network.until(network.agreed, 30)
    liar, victim = network.instances["n7"].node, network.instances["n2"].node
    before = victim.identity.incarnation
    for other in network.live()[:7]:
        words: list[Any] = [
            Dead("n2", victim.identity.boot, before),
            Suspect("n2", victim.identity.boot, 2**31),  # of an incarnation that it never had
            Left("n3", network.instances["n3"].node.identity.boot, 0, bytes(8), bytes(64)),  # in another's name
            alive("n3", 2**31, network.instances["n3"].node.identity.boot + 5),
        ]
        words[3] = messages.sign_rumour(words[3], SimulatedKey("n7"))
        liar.send(Priority.ANSWER, other.address, Gossip(), words)
    network._flush(network.instances["n7"])
    network.clock.run(network.clock.now + 3)
    assert victim.identity.incarnation == before + 1 and network.instances["n3"].node.identity.incarnation == 0
    assert network.agreed() and not any(what == "gossip_dead" for _, _, what, _ in network.events)
    network.kill("n5")
    network.until(network.agreed, 40)
    liar.send(Priority.ANSWER, network.instances["n0"].address, Gossip(), [alive("n5", 0, 5)])
    network._flush(network.instances["n7"])
    network.clock.run(network.clock.now + 5)
    assert network.agreed(), "praise of a dead one brings it back to nobody"


def test_a_recording_of_an_hour_ago_and_garbage_change_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    network = Network(4)
    cluster(network, 5)
    recorded: list[tuple[Any, Any, bytes]] = []
    carry = network._transmit

    def record(source: Any, to: Any, data: bytes) -> None:
        recorded.append((source, to, data))
        carry(source, to, data)

    monkeypatch.setattr(network, "_transmit", record)
    network.until(network.agreed, 30)
    monkeypatch.setattr(network, "_transmit", carry)
    network.clock.run(network.clock.now + 3600)
    node = network.instances["n0"].node
    before = dict(node.counters.rejected)
    for source, to, data in recorded:
        if to == node.address:
            network.inject(source, to, data)
    network.clock.run(network.clock.now + 5)
    rejected = {cause: n - before.get(cause, 0) for cause, n in node.counters.rejected.items()}
    assert rejected.get("time", 0) + rejected.get("flood", 0) == sum(to == node.address for _, to, _ in recorded)
    rng = random.Random(1)
    began = time.process_time()
    for i in range(5000):
        data = rng.randbytes(rng.randrange(1, 1500))
        node.receive(network.clock.now + i / 5000, network.wall(0), ("10.9.9.9", 9), data)
    assert time.process_time() - began < 1.0, "5,000 a second of garbage cost less than the second"
    assert network.agreed()


def test_a_cut_into_halves_heals_and_a_key_that_is_taken_back_is_out() -> None:
    network = Network(5)
    cluster(network, 10)
    network.until(network.agreed, 30)
    half = {f"10.0.0.{i}" for i in range(1, 6)}
    network.conditions.cut = lambda source, to: (source[0] in half) != (to[0] in half)
    network.clock.run(network.clock.now + 60)
    assert all(i.node.members.live == 4 for i in network.live())
    network.kill("n8")
    network.start("new", [("10.0.0.1", 7946)])
    network.conditions.cut = lambda source, to: False
    assert network.until(network.agreed, 60) is not None
    for instance in network.live():
        if instance.node.name != "n2":
            allowed = instance.node.verifier.verify
            instance.node.verifier.verify = lambda name, *rest, allowed=allowed: name != "n2" and allowed(name, *rest)
            instance.node.verifier.valid.clear()
    network.clock.run(network.clock.now + 40)
    held = {m.alive.name: m.state for m in network.instances["n0"].node.members}
    assert held["n2"] is State.DEAD and network.instances["n0"].node.counters.rejected["signature"] > 0


# Beliefs


def words(slow: float, samples: float = 3.0, engine: int = 1) -> list[EngineHealth]:
    return [EngineHealth(engine, 0, slow, 0.0, samples)]


def test_a_minority_moves_nothing_and_a_majority_a_bounded_lot() -> None:
    held = HealthEstimator()
    for peer in range(3):
        held.add_report(f"liar{peer}", 0.0, words(1000.0, 1e6))
    assert not held.estimate(0.0, {}, 20, 8), "three of twenty have no quorum"
    for peer in range(12):
        held.add_report(f"n{peer}", 0.0, words(1.0))
    assert not held.estimate(0.0, {}, 20, 8), "and are trimmed away"
    for peer in range(12):
        held.add_report(f"n{peer}", 1.0, words(4.0))
    assert not held.estimate(1.0, {}, 20, 8), "one look may be chance"
    assert held.estimate(1.25, {}, 20, 8) == {(1, 0): health_estimator.MAX_LATENCY_FACTOR}
    own = {(1, 0): EngineHealth(1, 0, 1.0, 0.0, health_estimator.OWN_EVIDENCE_SAMPLES)}
    assert not held.estimate(1.0, own, 20, 8), "our own fresh evidence goes before it"
    assert not held.estimate(1.0 + health_estimator.REPORT_LIFETIME + 0.1, {}, 20, 8), "and it ages out"


def test_beliefs_lean_on_a_share_of_the_fleet_only() -> None:
    held = HealthEstimator()
    for peer in range(16):
        held.add_report(f"n{peer}", 0.0, [EngineHealth(engine, 0, 5.0, 0.0, 3.0) for engine in range(8)])
    held.estimate(0.0, {}, 20, 8)
    assert len(held.estimate(0.25, {}, 20, 8)) == 2


def test_trust_falls_fast_to_a_floor_and_comes_back_slowly() -> None:
    held, own = HealthEstimator(), {(1, 0): EngineHealth(1, 0, 1.0, 0.0, 5.0)}
    for second in range(12):
        held.add_report("liar", second, words(9.0))
        held.estimate(second, own, 20, 8)
    assert held.trust["liar"] == health_estimator.MIN_TRUST
    for second in range(12, 22):
        held.add_report("liar", second, words(1.0))
        held.estimate(second, own, 20, 8)
    assert health_estimator.MIN_TRUST < held.trust["liar"] < 0.35


@given(st.lists(st.tuples(st.floats(0, 1000), st.floats(0, 1)), min_size=1, max_size=30), st.floats(0.0, 0.34))
def test_the_trimmed_mean_lies_within_what_the_rest_say(said: list[tuple[float, float]], lying: float) -> None:
    total = sum(weight for _, weight in said)
    if total < 0.01:
        return
    lies = [(1e6, lying * total / (1 - lying))]
    mean = health_estimator.trimmed_mean(said + lies)
    assert min(v for v, _ in said) - 1e-6 <= mean <= max(v for v, _ in said) + 1e-6


def test_a_restart_under_the_same_number_is_another_engine() -> None:
    held = HealthEstimator()
    for peer in range(16):
        held.add_report(f"n{peer}", 0.0, [EngineHealth(1, 1000, 5.0, 0.0, 3.0)])
    held.estimate(0.0, {}, 20, 8)
    doubts = held.estimate(0.25, {}, 20, 8)
    assert set(doubts) == {(1, 1000)}
    gateway = Gateway(make_settings(gateway_count=20), 1)
    gateway.handle(0.0, listing(entry(1, started=2.0), entry(2)))
    gateway.handle(0.0, api.EngineHealthEstimates(doubts))
    assert gateway.engines[1].latency_factor == 1.0


def test_a_doubt_leans_and_does_not_bar() -> None:
    def share(doubts: dict[tuple[int, int], float], engines: int = 2) -> float:
        gateway, to = Gateway(make_settings(gateway_count=20), 1), list[int]()
        gateway.handle(0.0, listing(*(entry(n + 1) for n in range(engines))))
        gateway.handle(0.0, api.EngineHealthEstimates(doubts))
        for id_ in range(12):
            to += [send.engine for send in sends(gateway.handle(0.001 * id_, api.Request(id_, 0, 5.0)))]
        return to.count(1) / len(to)

    assert share({}) > 0.4 and share({(1, 0): 2.0}) < 0.1 and share({(1, 0): 2.0}, 1) == 1.0
    assert local_evidence.observe_engines(Gateway(make_settings(), 1)) == {}


def test_a_trial_with_liars_shuns_nothing_that_is_well() -> None:
    found = gossip_trial.run_trial(20, 3, 2, 12.0, 3)
    assert found["healthy_shunned"] == 0 and found["false_deaths"] == 0
    assert found["bytes_per_s_max"] <= found["ceiling_bytes_per_s"]
    assert found["slow_engine_known_mean_s"] < found["slow_engine_known_alone_mean_s"]
    assert found == gossip_trial.run_trial(20, 3, 2, 12.0, 3), "the same seed gives the same trial"


# The file, the section, the program


def test_the_file_is_whole_or_set_aside(tmp_path: Path) -> None:
    path = tmp_path / "gossip.state"
    assert persisted_state.load(path, "n0") is None
    persisted_state.save(path, "n0", 7, [alive()], {"n1": 0.25, "n2": 7.0})
    found = persisted_state.load(path, "n0")
    assert found is not None and found.members == [alive()] and found.trust == {"n1": 0.25, "n2": 1.0}
    whole = path.read_bytes()
    for bad in (whole[:-20], b"", b"hello\n", whole.replace(b"n1", b"n9", 1)):
        path.write_bytes(bad)
        with pytest.raises(CorruptStateError, match="set aside"):
            persisted_state.load(path, "n0")
        assert not path.exists() and path.with_name("gossip.state.bad").read_bytes() == bad
    path.write_bytes(whole)
    with pytest.raises(CorruptStateError, match="it is of n0"):
        persisted_state.load(path, "other")


def test_what_was_written_is_looked_for_again() -> None:
    ring, toy = SimulatedKeyring(), SimulatedKey("n0")
    clock = Clock(0.0, EPOCH)
    node = Node(LocalIdentity("n0", ("10.0.0.1", 1), toy, clock), clock, ring.verify, Timing(), [], random.Random(1))
    node.restore([alive("n1"), replace_signature(alive("n2"))], {"n1": 0.2})
    assert [m.alive.name for m in node.members] == ["n1"] and node.health_estimator.trust == {"n1": 0.2}


def replace_signature(word: Alive) -> Alive:
    return Alive(word.name, word.host, word.port, word.boot, word.incarnation, word.key, bytes(64))


def conf(folder: Path, of: str, names: str = "ab", seed: int = 0, **changes: str) -> str:
    lines = {"name": of, "listen": "127.0.0.1:0", "key": str(folder / f"{of}.key"), "period": "200ms"}
    lines |= {"answer": "90ms", "control": str(folder / f"{of}.sock"), "file": str(folder / f"{of}.state")}
    for other in names:
        if not (folder / f"{other}.key").exists():
            keys.write_private(folder / f"{other}.key", real_key(other).private)
    text = "gossip\n" + "".join(f"    {key} {value}\n" for key, value in (lines | changes).items())
    text += "".join(f"    peer {other} {keys.write_public(real_key(other).public)}\n" for other in names)
    return text + (f"    seed 127.0.0.1:{seed}\n" if seed else "")


def test_the_section_names_what_is_wrong(tmp_path: Path) -> None:
    path = tmp_path / "t.conf"
    path.write_text(conf(tmp_path, "a"))
    assert reader.read(str(path)).records["gossip"].timing.probe_interval == 0.2
    wrong = conf(tmp_path, "a", listen="here", ceiling="1KB", skew="1h", name="a b")
    wrong += "    peer c xx\n    seed 1.2.3.4\n"
    path.write_text(wrong)
    with pytest.raises(ConfError) as caught:
        reader.read(str(path))
    assert sorted(p.directive for p in caught.value.problems) == ["ceiling", "listen", "name", "peer", "seed", "skew"]
    path.write_text(conf(tmp_path, "a", name="c", answer="150ms"))
    with pytest.raises(ConfError) as caught:
        reader.read(str(path))
    assert [p.directive for p in caught.value.problems] == ["name", "answer"]


PEERS = SETTINGS | {"Allowed": SETTINGS["Allowed"] | {"Peers": True}}


def start(folder: Path, text: str, **changes: Any) -> Program:
    folder.mkdir(exist_ok=True)
    return Program(folder, "127.0.0.1:1", conf=text, settings=PEERS, **changes)


def live(path: Path) -> list[str]:
    return sorted(m["name"] for m in control.query(str(path))["members"] if m["state"] == "alive")


def until(holds: Any) -> None:
    end = time.monotonic() + LIMIT
    while not holds():
        assert time.monotonic() < end, "it did not come to pass"
        time.sleep(0.05)


def test_two_programs_find_each_other_and_a_restart_remembers(tmp_path: Path) -> None:
    first = start(tmp_path / "1", conf(tmp_path, "a"))
    port = first.wait_for("gossip_started")["address"][1]
    second = start(tmp_path / "2", conf(tmp_path, "b", seed=port))
    second.wait_for("gossip_started")
    until(lambda: live(tmp_path / "a.sock") == ["b"] and live(tmp_path / "b.sock") == ["a"])
    table = subprocess.run(
        [sys.executable, "-m", "tealwing", "gossip", "members", "--control", str(tmp_path / "a.sock")],
        cwd=Path(__file__).parent.parent, capture_output=True, text=True, check=True,
    ).stdout  # fmt: skip
    assert "a: 1 members" in table and "alive" in table
    second.terminate()
    second.process.wait(timeout=LIMIT)
    until(lambda: live(tmp_path / "a.sock") == [])
    again = start(tmp_path / "3", conf(tmp_path, "b"))  # without a seed: the file knows
    until(lambda: live(tmp_path / "a.sock") == ["b"])
    first.conf.write_text(conf(tmp_path, "a", "a"))  # the other's key is taken back
    first.reload(first.path.read_text())
    until(lambda: live(tmp_path / "a.sock") == [])
    assert control.query(str(tmp_path / "a.sock"))["rejected"]["signature"] > 0
    assert [p.end() for p in (first, second, again)] == ["", "", ""]


@pytest.mark.parametrize("wrong", ["forbidden", "other key", "no key", "taken"])
def test_gossip_that_can_not_begin_ends_the_start(tmp_path: Path, wrong: str) -> None:
    text, settings_ = conf(tmp_path, "a"), PEERS
    taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    taken.bind(("127.0.0.1", 0))
    if wrong == "forbidden":
        settings_ = SETTINGS
    elif wrong == "other key":
        text = text.replace("a.key", "b.key")
    elif wrong == "no key":
        text = text.replace("a.key", "none.key")
    else:
        text = text.replace("127.0.0.1:0", f"127.0.0.1:{taken.getsockname()[1]}")
    program = Program(tmp_path, "127.0.0.1:1", conf=text, settings=settings_)
    assert program.process.wait(timeout=LIMIT) == 1
    assert "gossip" in program.end()
    taken.close()


def test_members_of_nobody_is_a_finding(tmp_path: Path) -> None:
    call = [sys.executable, "-m", "tealwing", "gossip", "members", "--control", str(tmp_path / "none")]
    done = subprocess.run(call, cwd=Path(__file__).parent.parent, capture_output=True, text=True)
    assert done.returncode == 1 and "no instance answers" in done.stderr


def test_a_file_that_does_not_fit_leaves_gossip_as_it_is(tmp_path: Path) -> None:
    # guards "a good file in whole": levels that name no class of the platform must not end gossip half way
    program = start(tmp_path / "1", conf(tmp_path, "a"))
    program.wait_for("gossip_started")
    levels = "levels\n  level x\n    enter when fleet.load > 2 for 1s\n    exit when fleet.load < 1 for 5s\n"
    program.conf.write_text(levels + "    admit nothing 0%\n")
    program.reload(program.path.read_text())
    assert "no class nothing" in program.wait_for("operators_file_unusable")["problems"][0]
    assert control.query(str(tmp_path / "a.sock"))["name"] == "a"
    program.conf.write_text(conf(tmp_path, "a", skew="20s"))
    program.reload(program.path.read_text())
    assert "times changed" in program.wait_for("operators_file_unusable")["problems"][0]
    program.conf.write_text("# off\n")
    program.reload(program.path.read_text())
    until(lambda: not control.is_answering(str(tmp_path / "a.sock")))
    assert program.end() == ""
