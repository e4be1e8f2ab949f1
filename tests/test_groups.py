"""Raft groups on one link, batched reads, the links of learners, and the replacement of lost voters."""

from __future__ import annotations

import os
import socket
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest

from tealwing.lab.rig.ports import free_port
from tealwing.peers.clock import Clock
from tealwing.peers.link import Link
from tealwing.peers.plan import FULL_QUEUE_MEMBERS, Address, LinkTimes
from tealwing.peers.plan import Plan as PeersPlan
from tealwing.replica import commands as c
from tealwing.replica.forwarding.protocol import CallbackPending, ForwardReply
from tealwing.replica.forwarding.reads import MIN_ROUND_INTERVAL, ReadBatcher
from tealwing.replica.group import FEDERATION, SITE, Group
from tealwing.replica.membership.promotion import NextChange, Promotion, ProposedChange
from tealwing.replica.membership.voter_plan import next_change
from tealwing.replica.plan import ReplicaPlan
from tealwing.replica.raft import NotLeaderError, Raft, Role
from tealwing.replica.service.node import Replica, UnavailableError
from tests.peers import LIMIT
from tests.test_peers import until
from tests.test_replica import Fleet

QUICK = LinkTimes(heartbeat=0.1, suspect_after=1.0, dead_after=2.0)


def put(key: str, value: bytes) -> c.Command:
    return c.Command("t", 1, c.Put(key, value))


class Process:
    """A simulated process: a link, and a member of each of its Raft groups."""

    def __init__(
        self, folder: Path, name: str, members: tuple[tuple[str, Address], ...], groups: list[Group],
        learners: tuple[str, ...] = (), replace_after: float = 0.0,
    ) -> None:  # fmt: skip
        self.link = Link(PeersPlan("f", name, members, QUICK, learners=learners))
        self.replicas = {}
        for group in groups:
            plan = ReplicaPlan(str(folder / name / group.name), heartbeat_interval=0.05, election_timeout=0.4)
            self.replicas[group.name] = Replica(plan, self.link, Clock(), group=group)
        for replica in self.replicas.values():
            if replace_after:
                Promotion(replica, next_change, replace_after, 3)
            replica.start()
        self.link.start()

    def stop(self) -> None:
        for replica in self.replicas.values():
            replica.core.role = type(replica.core.role).FOLLOWER  # skips the leadership transfer
            replica.stop()
        self.link.stop()


@pytest.fixture
def three(tmp_path: Path) -> Iterator[list[Process]]:
    """Start three processes: a and b are members of the site group, b and c of the federation group."""
    members = tuple((name, ("127.0.0.1", free_port())) for name in "abc")
    site, federation = Group(SITE.name, 2, 3, ("a", "b")), Group(FEDERATION.name, 4, 5, ("b", "c"))
    groups = {"a": [site], "b": [site, federation], "c": [federation]}
    found = [Process(tmp_path, name, members, groups[name]) for name in "abc"]
    yield found
    for process in found:
        process.stop()


def test_groups_on_one_link_elect_and_apply_independently(three: list[Process]) -> None:
    a, b, other = three
    assert a.replicas["site"].write(put("k", b"site"), LIMIT).ok
    assert other.replicas["federation"].write(put("k", b"federation"), LIMIT).ok
    for group, value in (("site", b"site"), ("federation", b"federation")):
        b.replicas[group].read_index(LIMIT)
        assert b.replicas[group].state.tables["values"]["k"].value == value
        assert b.replicas[group].core.leader in b.replicas[group].core.members
    assert b.replicas["site"].core.members == ("a", "b") and b.replicas["federation"].core.members == ("b", "c")
    assert a.replicas["site"].core.progress.keys() | b.replicas["site"].core.progress.keys() <= {"a", "b"}
    names = {thread.name for thread in threading.enumerate()}
    assert {"replica", "replica-federation"} <= names
    # the site group loses its majority, the federation group does not
    a.stop()
    assert other.replicas["federation"].write(put("l", b"on"), LIMIT).ok
    until(lambda: not b.replicas["site"].core.leader)
    with pytest.raises(UnavailableError):
        b.replicas["site"].read_index(0.3)


def test_broadcast_commit_sends_commit_index_before_next_heartbeat() -> None:
    fleet = Fleet()
    leader = fleet.leader()
    follower = next(m for m in fleet.members.values() if m is not leader)
    fleet.propose(leader, b"decisive")
    assert leader.commit > follower.commit  # no time has passed, so no heartbeat was sent
    follower.broadcast_commit(fleet.now)  # on a follower it does nothing
    assert not follower.has_ready()
    leader.broadcast_commit(fleet.now)
    fleet.process_ready(leader.local_id)
    fleet.deliver_all()
    assert follower.commit == leader.commit and fleet.applied[follower.local_id][-1][1] == b"decisive"


class FakeCore:
    """A stand-in for the Raft core that records the rounds requested for reads."""

    def __init__(self) -> None:
        self.numbers: list[int] = []
        self.role, self.leader = Raft("a", ("a",), 0.0).role, "b"
        self.leads = True

    def read(self, now: float, number: int) -> None:
        if not self.leads:
            raise NotLeaderError("b")
        self.numbers.append(number)


def test_read_batcher_shares_rounds_started_after_each_read() -> None:
    core: Any = FakeCore()
    reads = ReadBatcher(core)
    replies: list[ForwardReply] = []
    with pytest.raises(NotLeaderError):
        reads.add(CallbackPending(1, replies.append))
    core.role = Role.LEADER
    for number in range(100):
        reads.add(CallbackPending(number, replies.append))
    reads.begin(1.0)
    assert core.numbers == [1] and reads.rounds == 1 and reads.requested == 100
    reads.add(CallbackPending(100, replies.append))  # requested after the round's start: not served by it
    reads.confirmed(1, 7)
    assert [t.number for t in replies] == list(range(100)) and {t.index for t in replies} == {7}
    reads.begin(1.0 + MIN_ROUND_INTERVAL / 2)
    assert core.numbers == [1] and reads.next_round_at() == pytest.approx(1.0 + MIN_ROUND_INTERVAL)
    reads.begin(1.0 + MIN_ROUND_INTERVAL)
    assert core.numbers == [1, 2]
    reads.failed(2)
    reads.add(CallbackPending(101, replies.append))
    core.leads = False
    reads.begin(0.5)  # a backward step of the clock does not delay the read
    assert [(t.number, t.status) for t in replies[100:]] == [(100, "lost"), (101, "not-leader")] and len(reads) == 0


def test_concurrent_reads_share_few_rounds(tmp_path: Path) -> None:
    members = (("a", ("127.0.0.1", free_port())),)
    process = Process(tmp_path, "a", members, [SITE])
    replica = process.replicas["site"]
    try:
        assert replica.write(put("k", b"v"), LIMIT).ok
        threads = [threading.Thread(target=replica.read_index, args=(LIMIT,)) for _ in range(200)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(LIMIT)
        assert replica._reads.requested >= 200 and replica._reads.rounds < 100
    finally:
        process.stop()


# Learners on the link


def fleet_of(count: int, voters: int, listener: Address) -> tuple[tuple[tuple[str, Address], ...], tuple[str, ...]]:
    names = [f"n{number}" for number in range(count)]
    return tuple((name, listener) for name in names), tuple(names[voters:])


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize(("name", "linked"), [("n0", 199), ("n199", 5)])
def test_learner_links_to_voters_only_and_voter_to_all_members(name: str, linked: int) -> None:
    others = socket.create_server(("127.0.0.1", 0), backlog=256)  # the address of all other members; never reads
    host, port = others.getsockname()
    members, learners = fleet_of(200, 5, (host, port))
    own_address = ("127.0.0.1", free_port())
    members = tuple((n, own_address if n == name else address) for n, address in members)
    link = Link(PeersPlan("f", name, members, QUICK, learners=learners))
    before = descriptors()
    link.start()
    until(lambda: sum(peer["connected"] for peer in link.status()) == linked)
    senders = [t for t in threading.enumerate() if t.name.startswith("peer-n")]
    assert len(senders) == linked
    assert descriptors() - before <= linked + 8
    states = {peer["state"] for peer in link.status()}
    assert states == ({"dead"} if linked == 199 else {"dead", "unlinked"})
    link.set_additional_peers("site", {"n0", "n100"})  # n100 is the leader, contrary to the configuration file
    assert len([p for p in link.status() if p["state"] == "unlinked"]) == 199 - linked - (linked == 5)
    link.set_additional_peers("site", {"n0"})
    assert len([p for p in link.status() if p["state"] == "unlinked"]) == 199 - linked
    link.stop()
    others.close()
    until(lambda: not [t for t in threading.enumerate() if t.name.startswith("peer-n")])


def test_total_size_of_send_queues_is_bounded() -> None:
    few, many = (PeersPlan("f", "n0", fleet_of(n, 5, ("127.0.0.1", 1))[0]) for n in (FULL_QUEUE_MEMBERS, 256))
    assert (
        few.queue_bytes_per_peer() == few.queue_bytes
        and many.queue_bytes_per_peer() > 1 << 20
        and 256 * many.queue_bytes_per_peer() <= 512 << 20
    )


# Replacement of lost voters


class PlannedChange:
    voters, learners, reason = ("a", "n"), ("b",), "no message from b"


def test_promotion_proposes_next_change_only_after_the_previous_reply() -> None:
    class FakeReplica:
        group, local_id = FEDERATION, "a"
        core = Raft("a", ("a", "b"), 0.0)
        requests: list[tuple[list[str], list[str], Any]] = []  # noqa: RUF012

        def on_leader_tick(self, listener: Any) -> None:
            self.tick = listener

        def change_members_if_leader(self, *request: Any) -> None:
            self.requests.append(request)

    replica: Any = FakeReplica()
    calls: list[tuple[Any, ...]] = []

    def planned_change(*arguments: Any, **more: Any) -> ProposedChange | None:
        calls.append(arguments)
        return PlannedChange()

    Promotion(replica, cast(NextChange, planned_change), 30.0, 3)
    replica.tick(10.0)
    replica.tick(20.0)
    assert [(v, ln) for v, ln, _ in replica.requests] == [(["a", "n"], ["b"])]
    assert calls[0] == (("a", "b"), (), {"a": 10.0}, [], 10.0, 30.0, 3)
    replica.requests[0][2](ForwardReply(0, "busy", b"", 0))
    replica.tick(20.1)
    replica.tick(20.2)  # within the check interval: not checked again
    assert len(replica.requests) == 2


def test_learner_replaces_lost_voter_over_voter_only_links(tmp_path: Path) -> None:
    members = tuple((name, ("127.0.0.1", free_port())) for name in "abcde")
    processes = {name: Process(tmp_path, name, members, [SITE], tuple("de"), 2.0) for name in "abcde"}
    replicas = {name: process.replicas["site"] for name, process in processes.items()}
    try:
        assert replicas["d"].write(put("k", b"v"), LIMIT).ok
        until(lambda: all(r.state.tables["values"].keys() == {"k"} for r in replicas.values()))
        assert replicas["d"].core.members == ("a", "b", "c") and replicas["d"].core.learners == ("d", "e")
        states = {peer["name"]: peer["state"] for peer in processes["d"].link.status()}
        assert states == {"a": "alive", "b": "alive", "c": "alive", "e": "unlinked"}
        lost = next(name for name in "abc" if replicas[name].core.leader != name)
        processes.pop(lost).stop()
        replicas.pop(lost)
        until(lambda: all(lost in r.core.learners and len(r.core.members) == 3 for r in replicas.values()))
        promoted = next(name for name in "de" if name in replicas[name].core.members)
        other = "d" if promoted == "e" else "e"  # it now has a link to the promoted member
        until(lambda: {p["name"]: p["state"] for p in processes[other].link.status()}[promoted] == "alive")
        assert replicas[other].write(put("l", b"on"), LIMIT).ok
    finally:
        for process in processes.values():
            process.stop()
