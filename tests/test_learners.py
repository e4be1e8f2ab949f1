"""Learners: replication without a vote, promotion, and the replacement of lost voters."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing.lab.models.consensus import Budget, Consensus
from tealwing.lab.models.explore import explore, wander
from tealwing.lab.models.starts import led, likely
from tealwing.replica.membership.voter_plan import next_change
from tealwing.replica.messages import AppendEntries, Entry, Kind, learners_of, members_data, voters_of
from tealwing.replica.raft import BusyError, Raft, Role, SnapshotMeta
from tealwing.replica.storage.store import Storage
from tests.test_replica import Fleet

ABC = ("a", "b", "c")


class FleetWithLearners(Fleet):
    """A fleet whose initial configuration has learners."""

    def __init__(self, names: str, learners: tuple[str, ...], **options: Any) -> None:
        super().__init__(names, **options)
        for name in [*names, *learners]:
            self.members[name] = Raft(name, tuple(names), self.now, ord(name[-1]), 1, self.options, learners=learners)
            self.applied[name], self.reads[name] = [], []

    def change(self, leader: Raft, voters: tuple[str, ...], learners: tuple[str, ...] | None) -> None:
        leader.change_members(self.now, voters, learners)
        self.process_ready(leader.local_id)
        self.deliver_all()


def test_configuration_without_learners_keeps_the_old_encoding(tmp_path: Path) -> None:
    assert members_data(ABC) == b"\x93\xa1a\xa1b\xa1c"
    with_learner = Entry(1, 1, Kind.MEMBERS, members_data(ABC, ("d",)))
    old = Entry(1, 1, Kind.MEMBERS, b"\x93\xa1a\xa1b\xa1c")
    assert [(voters_of(e), learners_of(e)) for e in (with_learner, old)] == [(ABC, ("d",)), (ABC, ())]
    storage = Storage(tmp_path)
    storage.open()
    plain = storage.snapshot_files.write(4, 2, ABC, [b"x"])
    # without learners the description has the form of older builds
    assert b"\x93\x04\x02\x93\xa1a\xa1b\xa1c" in (storage.snapshot_files.read_chunk(plain, 0) or b"")
    meta = storage.snapshot_files.write(5, 2, ABC, [b"x"], ("d",))
    found = Storage(tmp_path).open().snapshot
    assert found == meta and found.learners == ("d",)
    core = Raft("d", (), 0.0, snapshot=meta)
    assert (core.members, core.learners) == (ABC, ("d",))


def test_learner_replicates_entries_without_counting_in_quorums() -> None:
    fleet = FleetWithLearners("abc", ("d", "e"), check_quorum=False, uncommitted_to_learners=True)
    leader = fleet.leader()
    fleet.propose(leader, b"before")
    fleet.run(0.2)
    assert fleet.applied["d"] == fleet.applied["e"] == [(2, b"before")]
    others = [name for name in "abc" if name != leader.local_id]
    fleet.blocked = {(a, b) for n in others for m in fleet.members for a, b in ((n, m), (m, n))}
    before = leader.commit
    fleet.propose(leader, b"on three disks of five, but at one voter only")
    leader.read(fleet.now, 7)
    fleet.run(3.0)
    assert (
        leader.progress["d"].match == leader.last_index and leader.commit == before and not fleet.reads[leader.local_id]
    )
    fleet.isolate(leader.local_id)
    fleet.members["d"].campaign(fleet.now)
    assert fleet.members["d"].role is Role.FOLLOWER and not fleet.members["d"].has_ready()
    fleet.blocked = set()
    new_leader = fleet.leader()
    assert new_leader.transfer_leadership(fleet.now) in ABC


def test_membership_change_is_single_and_waits_for_lagging_learner() -> None:
    fleet = FleetWithLearners("abc", ("d", "e"))
    leader = fleet.leader()
    for voters, learners in (
        (ABC, ("d", "e")), (ABC, ()), (("a", "b", "c", "d", "e"), ()), (("a", "b", "c", "d"), ("d", "e")),
        (("a", "b"), ("d", "e")), (("a", "b", "c", "x"), ("d", "e")), (("a", "b", "d"), ("c", "e")), ((), ("d", "e")),
    ):  # fmt: skip
        with pytest.raises(ValueError, match=r"one change at a time|name each member once"):
            leader.change_members(fleet.now, voters, learners)
    fleet.isolate("d")
    fleet.propose(leader, b"missed")
    leader.broadcast_commit(fleet.now)
    with pytest.raises(BusyError, match=r"d is behind"):
        leader.change_members(fleet.now, (*ABC, "d"), ("e",))
    fleet.blocked = set()
    fleet.run(1.5)
    fleet.isolate("d")
    fleet.run(0.7)
    with pytest.raises(BusyError, match=r"no reply from d for 0\.\d s"):
        leader.change_members(fleet.now, (*ABC, "d"), ("e",))
    fleet.blocked = set()
    fleet.run(1.0)
    fleet.change(leader, (*ABC, "d"), ("e",))
    fleet.run(0.2)
    assert {m.members for m in fleet.members.values()} == {(*ABC, "d")}
    fleet.change(leader, tuple(n for n in (*ABC, "d") if n != leader.local_id), tuple(sorted((leader.local_id, "e"))))
    new = fleet.leader()  # the old leader demoted itself, and the others elect another
    assert leader.role is Role.FOLLOWER and new.local_id != leader.local_id and leader.local_id in new.learners
    fleet.propose(new, b"after")
    fleet.run(0.3)
    assert fleet.applied[leader.local_id][-1][1] == b"after"
    fleet.change(new, new.members, tuple(n for n in new.learners if n != "e"))
    assert "e" not in new.progress


def test_learner_is_promoted_only_after_its_incarnation_is_confirmed() -> None:
    # guards against the loss of acknowledged entries: a learner may have voted before, and its disk may be stale since
    fleet = FleetWithLearners("abc", ("d",), max_stale_disks=1)
    for member in fleet.members.values():
        member.unconfirmed = False
    leader = fleet.leader()
    fleet.propose(leader, b"x")
    fleet.members["d"] = Raft("d", (), fleet.now, 9, 2, fleet.options)  # with an empty disk, which knows no members
    assert fleet.members["d"].unconfirmed
    fleet.run(0.06)
    fleet.blocked = {(a, b) for a in fleet.members for b in fleet.members if a in ABC and b in ABC}
    leader._begin_round(fleet.now)
    leader.progress["d"].next_heartbeat = 0.0
    leader._begin_round(fleet.now)
    fleet.process_ready(leader.local_id)
    fleet.deliver_all()  # d has all entries, but no voter has acknowledged a round since its start
    assert leader.progress["d"].match == leader.commit and fleet.members["d"].unconfirmed
    with pytest.raises(BusyError, match=r"d has restarted"):
        leader.change_members(fleet.now, (*ABC, "d"), ())
    fleet.blocked = set()
    fleet.run(1.5)
    assert not fleet.members["d"].unconfirmed
    with pytest.raises(ValueError, match="at least 3 voters"):  # quorums of two voters tolerate no stale disk
        leader.change_members(fleet.now, ("a", "b"), ("c", "d"))
    fleet.change(leader, (*ABC, "d"), ())
    # d restarts without the entry that promoted it
    fleet.members["d"] = Raft("d", ABC, fleet.now, 9, 3, fleet.options, leader.term)
    leader.step(fleet.now, "d", fleet.members["d"]._append_reply(False, 0, 0))
    another = next(n for n in ABC if n != leader.local_id)
    assert not leader.is_quorum([leader.local_id, "d", another])  # three of four voters, one of them unconfirmed
    assert leader.is_quorum(["a", "b", "c"])


def test_leader_spreads_learner_heartbeats_and_broadcasts_commits() -> None:
    learners = tuple(f"l{number:03}" for number in range(200))
    fleet = FleetWithLearners("abc", learners)
    leader = fleet.leader()
    fleet.run(3.0)
    counts = []
    for _ in range(20):
        fleet.now += 0.1
        leader.tick(fleet.now)
        out = leader.ready().messages
        counts.append(sum(1 for name, _ in out if name in learners))
        fleet.sent += [(leader.local_id, name, message) for name, message in out]
        fleet.deliver_all()
    assert max(counts) <= 60 and min(counts) >= 20 and 780 <= sum(counts) <= 820  # 40 per round, not 200
    fleet.propose(leader, b"new")
    fleet.propose(leader, b"newer")
    assert leader.commit == leader.last_index
    assert {fleet.members[name].last_index for name in learners} == {leader.last_index - 2}
    assert leader.broadcast_commit(fleet.now)
    out = leader.ready().messages  # one message to each learner, with the new entries and the commit index
    assert sorted(name for name, _ in out if name in learners) == list(learners)
    fleet.sent += [(leader.local_id, name, message) for name, message in out]
    fleet.deliver_all()
    assert {fleet.members[name].commit for name in (*ABC, *learners)} == {leader.commit}
    # nothing was committed since, so no second round is started
    assert not leader.broadcast_commit(fleet.now) and not leader.has_ready()
    assert not fleet.members["l000"].broadcast_commit(fleet.now)


def test_unreachable_learners_do_not_occupy_snapshot_transfers() -> None:
    fleet = FleetWithLearners("abc", ("d", "e", "f", "g"))
    leader = fleet.leader()
    fleet.blocked = {(a, b) for a in fleet.members for b in fleet.members if a not in ABC or b not in ABC}
    fleet.propose(leader, b"x")
    fleet.run(2.0)
    fleet.snapshots[leader.local_id] = bytes(range(100))
    leader.compact(SnapshotMeta(leader.commit, leader.term, ABC, 100, leader.learners))
    fleet.blocked = {(a, b) for a in fleet.members for b in fleet.members if a in ("d", "e") or b in ("d", "e")}
    fleet.run(3.0)
    assert leader.progress["g"].match == leader.commit and leader.progress["d"].match < leader.commit
    leader.progress["d"].next_heartbeat = fleet.now
    leader._begin_round(fleet.now)
    sent = [message for name, message in leader.ready().messages if name == "d"]
    assert len(sent) == 1 and isinstance(sent[0], AppendEntries) and not sent[0].entries


# Choice of the voters


def test_next_change_promotes_learner_then_demotes_lost_voter() -> None:
    last_contact = {"a": 100.0, "b": 99.0, "c": 10.0, "d": 99.5, "e": 99.5}
    first = next_change(ABC, ("e", "d"), last_contact, ("d", "e"), 100.0, 60.0, 3)
    assert first is not None and (first.voters, first.learners) == (("a", "b", "c", "d"), ("e",))
    second = next_change(first.voters, first.learners, last_contact, ("e",), 101.0, 60.0, 3)
    assert second is not None and "c" in second.reason
    assert (second.voters, second.learners) == (("a", "b", "d"), ("c", "e"))
    assert next_change(second.voters, second.learners, last_contact, ("e",), 102.0, 60.0, 3) is None
    assert next_change(ABC, ("d", "e"), last_contact, (), 100.0, 60.0, 3) is None  # no learner has caught up
    # only a minority of the voters is live
    assert next_change(ABC, ("d", "e"), last_contact | {"b": 1.0}, ("d", "e"), 100.0, 60.0, 3) is None


NAMES = st.lists(st.sampled_from("abcdefghij"), unique=True, min_size=1, max_size=10)


@given(
    names=NAMES, split=st.integers(1, 5), silent=st.sets(st.sampled_from("abcdefghij")),
    ready=st.sets(st.sampled_from("abcdefghij")), desired=st.integers(1, 5), order=st.randoms(),
)  # fmt: skip
def test_planned_changes_keep_live_majority_and_terminate(
    names: list[str], split: int, silent: set[str], ready: set[str], desired: int, order: Any
) -> None:
    voters, learners = tuple(names[:split]), tuple(names[split:])
    last_contact = {name: 0.0 if name in silent else 99.0 for name in names}
    live_at_start = len(set(voters) - silent)
    for _ in range(12):
        change = next_change(voters, learners, last_contact, ready, 100.0, 50.0, desired)
        shuffled = order.sample(voters, len(voters)), order.sample(learners, len(learners))
        assert next_change(*shuffled, last_contact, ready, 100.0, 50.0, desired) == change
        if change is None:
            break
        moved = set(change.voters) ^ set(voters)
        assert len(moved) == 1 and moved == set(change.learners) ^ set(learners)
        assert len(set(change.voters) - silent) >= max(live_at_start, len(change.voters) // 2 + 1)
        assert moved <= silent or moved <= ready - silent
        voters, learners = change.voters, change.learners
    else:
        raise AssertionError("further changes are planned after 12 of them")


# The model check


def test_learner_promotion_is_safe_in_exhaustive_exploration() -> None:
    found = explore(Consensus(Budget(2, 1, 1, 1, 0, 0), learners="d"), 5)
    assert found.is_exhaustive and found.broken == ""
    promoted = Budget(1, 0, 0, 1, 0, 0, promotions=1)
    for early in (True, False):
        found = explore(Consensus(promoted, begin=led, learners="d", early=early), 6)
        assert found.is_exhaustive and found.broken == "" and found.states > 1_000


def test_model_check_finds_counted_learner_acknowledgement() -> None:
    found = explore(Consensus(Budget(2, 0, 0, 0, 0, 0), "count-learners", learners="d"), 8)
    assert "without the entry 1 that is committed" in found.broken and len(found.trace) == 8


@pytest.mark.parametrize("stale", [0, 1])
def test_promotions_and_demotions_are_safe_in_random_walks(stale: int) -> None:
    budget = Budget(12, 30, 8, 3, 6 * stale, 5, 3, promotions=6, demotions=6)
    found = wander(Consensus(budget, stale=stale, learners="de", early=not stale), 100, 160, 1, likely)
    assert found.broken == "" and found.steps > 10_000
