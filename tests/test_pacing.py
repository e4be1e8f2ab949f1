"""Limits on the load of a large fleet's voters: heartbeats, descriptors, entries for learners, retries."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tealwing.conf import reader
from tealwing.lab.rollout import trials
from tealwing.lab.rollout.measure import quantile
from tealwing.peers import inbound, section
from tealwing.peers.errors import LinkError
from tealwing.peers.plan import MAX_HEARTBEAT_RATE, LinkTimes, Plan
from tealwing.replica.messages import AppendEntries
from tealwing.replica.raft import Options, Raft, Role
from tealwing.rollout.agent import retry
from tealwing.rollout.agent.actions import SubmitCommand
from tealwing.rollout.agent.machine import Machine
from tealwing.rollout.agent.view import View
from tests.test_conf import problems

# Heartbeats of the link


def test_up_to_400_members_keep_configured_link_times() -> None:
    assert LinkTimes().scaled_for(400) == LinkTimes()
    assert LinkTimes(heartbeat=0.5, suspect_after=2.5).scaled_for(1000) == LinkTimes(
        heartbeat=0.5, suspect_after=2.5, dead_after=5.0, idle_timeout=25.0
    )


@given(st.integers(1, 5000), st.floats(0.05, 2.0))
@hypothesis_settings(derandomize=True, deadline=None)
def test_scaled_heartbeats_of_voter_stay_within_rate_limit(members: int, interval: float) -> None:
    times = LinkTimes(heartbeat=interval).scaled_for(members)
    assert members / times.heartbeat <= max(MAX_HEARTBEAT_RATE, members / interval) * 1.000001
    assert times.heartbeat >= interval and times.suspect_after >= 3 * times.heartbeat
    assert times.heartbeat < times.suspect_after < times.dead_after < times.idle_timeout


# Descriptors of the link


def plan(members: int, learner: bool) -> Plan:
    names = [f"n{number}" for number in range(members)]
    addresses = tuple((name, ("127.0.0.1", 10_000 + number)) for number, name in enumerate(names))
    return Plan("fleet", names[-1] if learner else "n0", addresses, learners=tuple(names[5:]))


def test_voter_needs_descriptors_for_all_members_but_learner_does_not() -> None:
    inbound.check_descriptors(plan(256, learner=False), 1024)
    with pytest.raises(LinkError, match="ulimit -n") as error:
        inbound.check_descriptors(plan(1105, learner=False), 1024)
    assert "4416 or more" in str(error.value)
    inbound.check_descriptors(plan(1105, learner=False), 4416)
    inbound.check_descriptors(plan(700, learner=True), 1500)


def test_peers_section_accepts_at_most_1100_members(tmp_path: Path) -> None:
    lines = ["peers", "    name n0"]
    lines += [f"    member n{k} 127.0.0.1:{10_000 + k}" + (" learner" if k >= 5 else "") for k in range(1101)]
    (tmp_path / "fits.conf").write_text("\n".join(lines[:-1]) + "\n")
    assert len(reader.read(str(tmp_path / "fits.conf")).records["peers"].members) == 1100
    assert any("1101 members" in str(problem) for problem in problems(tmp_path, "\n".join(lines) + "\n"))
    assert section.MAX_MEMBERS == 1100


# Entries for learners


class Cluster:
    """One voter, which leads, and learners; messages arrive without delay."""

    def __init__(self, learners: int, message_rate: float) -> None:
        names = tuple(f"l{number}" for number in range(learners))
        options = Options(learner_message_rate=message_rate)
        self.cores = {
            name: Raft(name, ("a",), 0.0, 1, number, options, learners=names)
            for number, name in enumerate(("a", *names), 1)
        }
        self.now, self.sent = 0.0, 0  # messages with entries that the leader has sent
        while self.leader.role is not Role.LEADER:
            self.round()
        for _ in range(20):
            self.round()
        self.sent = 0

    @property
    def leader(self) -> Raft:
        return self.cores["a"]

    def round(self) -> None:
        """Advance the time by 0.1 s."""
        self.now += 0.1
        self.leader.tick(self.now)
        self.deliver()

    def deliver(self) -> None:
        """Handle all messages and saves until no member has any."""
        while busy := [core for core in self.cores.values() if core.has_ready()]:
            for core in busy:
                ready = core.ready()
                if ready.entries:
                    core.entries_saved(self.now, ready.entries[-1].index, ready.entries[-1].term)
                for name, message in ready.messages:
                    self.sent += core is self.leader and isinstance(message, AppendEntries) and bool(message.entries)
                    self.cores[name].step(self.now, core.local_id, message)


@pytest.mark.parametrize(("rate", "least", "most"), [(100.0, 300, 500), (1e9, 2000, 2100)])
def test_entries_reach_learners_in_paced_rounds(rate: float, least: int, most: int) -> None:
    cluster = Cluster(50, rate)
    for _ in range(40):  # 4 s, an entry and a round each 0.1 s
        cluster.leader.propose(cluster.now, b"x")
        cluster.deliver()
        cluster.round()
    assert least <= cluster.sent <= most
    for _ in range(20):
        cluster.round()
    assert {core.commit for core in cluster.cores.values()} == {cluster.leader.last_index}


def test_broadcast_commit_does_not_wait_for_paced_round() -> None:
    cluster = Cluster(50, 1.0)  # 50 s between two rounds with entries for learners
    for _ in range(600):
        cluster.round()
    cluster.leader.propose(cluster.now, b"x")
    cluster.round()  # sends the entry to all; for 50 s none follows, except where a learner's heartbeat is due
    before = cluster.sent
    cluster.leader.propose(cluster.now, b"y")
    cluster.deliver()
    assert cluster.sent == before
    assert cluster.leader.broadcast_commit(cluster.now)
    cluster.deliver()
    assert cluster.sent == before + 50


# Retries


def test_retries_become_rarer_in_large_fleets_only() -> None:
    few, many = retry.Retry(1), retry.Retry(1)
    assert few.ready(0.0, "x", 200) and many.ready(0.0, "x", 4000)
    ((_, due),) = few.due()
    assert retry.MIN_BACKOFF <= due <= 3 * retry.MIN_BACKOFF
    ((_, later),) = many.due()
    assert later >= 4000 / retry.REPEAT_RATE
    assert not many.ready(later - 0.01, "x", 4000) and many.ready(later, "x", 4000)


def test_starting_member_of_large_fleet_repeats_begin_less_often() -> None:
    # Guards the start of a large fleet: 1,100 members without a table kept repeating Begin, and none was admitted.
    empty_view = View(0, 0, None, None)
    few, many = Machine("g1", "serve", 1, seed=1, peers=5), Machine("g1", "serve", 1, seed=1, peers=4000)
    moments = [tenth / 10 for tenth in range(40)]
    commands_of_few = [
        action for now in moments for action in few.step(now, empty_view) if isinstance(action, SubmitCommand)
    ]
    commands_of_many = [
        action for now in moments for action in many.step(now, empty_view) if isinstance(action, SubmitCommand)
    ]
    assert len(commands_of_many) == 1 < len(commands_of_few)


# A whole fleet


def test_leader_messages_per_member_grow_little_with_fleet() -> None:
    # Guards against an overload of the leader: successive rounds with entries for all left it no time to handle the
    # members' messages, so they repeated them. For one change it sent 20 messages to each of 1,100 members, and three
    # to each of 200.
    few, _ = trials.run_and_measure(trials.shape(1, 60, "serve"), 2, 3, loss=0.0)
    many, _ = trials.run_and_measure(trials.shape(1, 300, "serve"), 2, 3, loss=0.0)
    assert few.wrong == many.wrong == [] and few.failed == many.failed == 0
    assert quantile(many.by_leader, 0.5) / 300 < 1.6 * quantile(few.by_leader, 0.5) / 60
