"""Gossip in simulated clusters in virtual time, with network faults and malicious members."""

from __future__ import annotations

import random
import time
from typing import Any

import pytest
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tealwing.gossip import messages
from tealwing.gossip.members import State
from tealwing.gossip.messages import Dead, Gossip, Left, Suspect
from tealwing.gossip.send_queue import Priority
from tealwing.lab.network import Network, SimulatedKey, cluster
from tests.gossip import alive


# Hypothesis derives its examples from the source of this class (derandomize): changing a line changes the examples.
class Cluster(RuleBasedStateMachine):
    """Instances start, crash, restart, pause and are partitioned; after the faults have stopped they agree."""

    @initialize(seed=st.integers(0, 99))
    def start_cluster(self, seed: int) -> None:
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
    def pause(self, which: int, seconds: float) -> None:
        names = self.running()
        self.network.pause(names[which % len(names)], seconds)

    @rule(loss=st.sampled_from([0.0, 0.3]), copies=st.sampled_from([0.0, 0.5]), slow=st.booleans())
    def set_conditions(self, loss: float, copies: float, slow: bool) -> None:
        self.network.conditions.loss, self.network.conditions.copies = loss, copies
        self.network.conditions.delay = (0.0002, 0.25) if slow else (0.0002, 0.003)

    @rule(one_way=st.booleans(), part=st.integers(1, 3))
    def partition(self, one_way: bool, part: int) -> None:
        inside = {f"10.0.0.{i + 1}" for i in range(part)}
        self.network.conditions.cut = lambda source, to: (
            source[0] in inside and to[0] not in inside if one_way else (source[0] in inside) != (to[0] in inside)
        )

    @invariant()
    def limits_hold(self) -> None:
        assert self.network.max_bytes_per_second() <= self.network.times.max_bytes_per_s
        assert max((i.largest for i in self.network.instances.values()), default=0) <= messages.MAX_DATAGRAM_BYTES
        for instance in self.network.instances.values():
            assert not instance.node.silent, "an instance is silent, though no two have one name"

    def teardown(self) -> None:
        if not hasattr(self, "network"):
            return
        self.network.conditions.loss = self.network.conditions.copies = 0.0
        self.network.conditions.delay, self.network.conditions.cut = (0.0002, 0.003), lambda source, to: False
        assert self.network.until(self.network.agreed, 75.0) is not None, (
            "the members do not agree 75 s after the faults stopped"
        )
        deaths = len([1 for _, _, what, _ in self.network.events if what == "gossip_dead"])
        self.network.clock.run(self.network.clock.now + 20.0)
        assert self.network.agreed() and deaths == len(
            [1 for _, _, what, _ in self.network.events if what == "gossip_dead"]
        ), "the agreement did not last, or a live and reachable member was held dead"


Cluster.TestCase.settings = settings(max_examples=80, stateful_step_count=12, deadline=None, derandomize=True)
TestCluster = Cluster.TestCase

# The seed that hypothesis derived from the source of Cluster before its rules were renamed; with it the same 80
# examples are drawn as then.
FORMER_SEED = (
    30186863239803030812024515715192004958609850833007383382749332475614425099280761548866511120410610962847178521289101
)


@seed(FORMER_SEED)
class FormerCluster(Cluster):
    """The same rules and checks, with the examples that were drawn before the rules of Cluster were renamed."""


FormerCluster.TestCase.settings = Cluster.TestCase.settings
TestFormerCluster = FormerCluster.TestCase


def test_crash_is_detected_and_leave_is_immediate() -> None:
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


def test_later_start_keeps_name_and_number_limit_begins_later_boot(monkeypatch: pytest.MonkeyPatch) -> None:
    network = Network(2)
    cluster(network, 5)
    network.until(network.agreed, 30)
    first = network.instances["n4"]
    second = network.start("n4", [("10.0.0.1", 7946)])
    network.clock.run(network.clock.now + 20)
    assert first.node.silent and not second.node.silent, "the later start does not keep the name"
    assert any(what == "gossip_name_conflict" for _, _, what, _ in network.events)
    network.kill("n4")
    first.running = False
    monkeypatch.setattr(messages, "MAX_INCARNATION", 3)
    monkeypatch.setattr(messages, "MAX_SEQUENCE", network.instances["n0"].node.identity.sequence + 20)
    for _ in range(4):
        network.instances["n1"].node.membership.refute()
    network.clock.run(network.clock.now + 20)
    assert network.until(network.agreed, 60) is not None, (
        "an instance with a number at its limit does not begin a later boot"
    )
    assert (
        network.instances["n0"].node.identity.sequence < 2000 and network.instances["n1"].node.identity.incarnation <= 3
    )


def test_false_rumours_neither_kill_nor_restore_members() -> None:
    network = Network(3)
    cluster(network, 8)
    network.until(network.agreed, 30)
    sender, victim = network.instances["n7"].node, network.instances["n2"].node
    before = victim.identity.incarnation
    for other in network.live()[:7]:
        rumours: list[Any] = [
            Dead("n2", victim.identity.boot, before),
            Suspect("n2", victim.identity.boot, 2**31),  # an incarnation that n2 never announced
            Left("n3", network.instances["n3"].node.identity.boot, 0, bytes(8), bytes(64)),  # forged for n3
            alive("n3", 2**31, network.instances["n3"].node.identity.boot + 5),
        ]
        rumours[3] = messages.sign_rumour(rumours[3], SimulatedKey("n7"))
        sender.send(Priority.ANSWER, other.address, Gossip(), rumours)
    network._flush(network.instances["n7"])
    network.clock.run(network.clock.now + 3)
    assert victim.identity.incarnation == before + 1 and network.instances["n3"].node.identity.incarnation == 0
    assert network.agreed() and not any(what == "gossip_dead" for _, _, what, _ in network.events)
    network.kill("n5")
    network.until(network.agreed, 40)
    sender.send(Priority.ANSWER, network.instances["n0"].address, Gossip(), [alive("n5", 0, 5)])
    network._flush(network.instances["n7"])
    network.clock.run(network.clock.now + 5)
    assert network.agreed(), "a forged statement restores a dead member"


def test_old_replay_and_garbage_are_rejected_cheaply(monkeypatch: pytest.MonkeyPatch) -> None:
    network = Network(4)
    cluster(network, 5)
    recorded: list[tuple[Any, Any, bytes]] = []
    transmit = network._transmit

    def record(source: Any, to: Any, data: bytes) -> None:
        recorded.append((source, to, data))
        transmit(source, to, data)

    monkeypatch.setattr(network, "_transmit", record)
    network.until(network.agreed, 30)
    monkeypatch.setattr(network, "_transmit", transmit)
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
    assert time.process_time() - began < 1.0, "5,000 garbage datagrams cost 1 s of processor time or more"
    assert network.agreed()


def test_partition_heals_and_revoked_key_ejects_member() -> None:
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
