"""What keeps the load of a large fleet's voters bounded: heartbeats, news for learners, repeats, idle ticks."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tealwing.conf import reader
from tealwing.lab.rollout import trials
from tealwing.lab.rollout.measure import share
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


def test_up_to_four_hundred_members_keep_the_times_that_the_file_says() -> None:
    assert LinkTimes().scaled_for(400) == LinkTimes()
    assert LinkTimes(heartbeat=0.5, suspect_after=2.5).scaled_for(1000) == LinkTimes(
        heartbeat=0.5, suspect_after=2.5, dead_after=5.0, idle_timeout=25.0
    )


@given(st.integers(1, 5000), st.floats(0.05, 2.0))
@hypothesis_settings(derandomize=True, deadline=None)
def test_a_voter_takes_in_no_more_heartbeats_a_second_than_it_can(members: int, beat: float) -> None:
    times = LinkTimes(heartbeat=beat).scaled_for(members)
    assert members / times.heartbeat <= max(MAX_HEARTBEAT_RATE, members / beat) * 1.000001
    assert times.heartbeat >= beat and times.suspect_after >= 3 * times.heartbeat
    assert times.heartbeat < times.suspect_after < times.dead_after < times.idle_timeout


# Descriptors of the link


def plan(members: int, learner: bool) -> Plan:
    names = [f"n{number}" for number in range(members)]
    addresses = tuple((name, ("127.0.0.1", 10_000 + number)) for number, name in enumerate(names))
    return Plan("fleet", names[-1] if learner else "n0", addresses, learners=tuple(names[5:]))


def test_a_voter_of_many_members_wants_descriptors_for_all_of_them_and_a_learner_does_not() -> None:
    inbound.check_descriptors(plan(256, learner=False), 1024)
    with pytest.raises(LinkError, match="ulimit -n") as fault:
        inbound.check_descriptors(plan(1105, learner=False), 1024)
    assert "4416 or more" in str(fault.value)
    inbound.check_descriptors(plan(1105, learner=False), 4416)
    inbound.check_descriptors(plan(700, learner=True), 1500)


def test_the_section_takes_as_many_members_as_were_measured_and_no_more(tmp_path: Path) -> None:
    lines = ["peers", "    name n0"]
    lines += [f"    member n{k} 127.0.0.1:{10_000 + k}" + (" learner" if k >= 5 else "") for k in range(1101)]
    (tmp_path / "fits.conf").write_text("\n".join(lines[:-1]) + "\n")
    assert len(reader.read(str(tmp_path / "fits.conf")).records["peers"].members) == 1100
    assert any("1101 members" in str(problem) for problem in problems(tmp_path, "\n".join(lines) + "\n"))
    assert section.MAX_MEMBERS == 1100


# News for learners


class Cluster:
    """One voter, which leads, and learners; all messages arrive at once."""

    def __init__(self, learners: int, news_rate: float) -> None:
        names = tuple(f"l{number}" for number in range(learners))
        options = Options(learner_message_rate=news_rate)
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
        """A tenth of a second passes."""
        self.now += 0.1
        self.leader.tick(self.now)
        self.deliver()

    def deliver(self) -> None:
        """Do what all want until nobody wants anything."""
        while busy := [core for core in self.cores.values() if core.has_ready()]:
            for core in busy:
                ready = core.ready()
                if ready.entries:
                    core.entries_saved(self.now, ready.entries[-1].index, ready.entries[-1].term)
                for name, message in ready.messages:
                    self.sent += core is self.leader and isinstance(message, AppendEntries) and bool(message.entries)
                    self.cores[name].step(self.now, core.local_id, message)


@pytest.mark.parametrize(("rate", "least", "most"), [(100.0, 300, 500), (1e9, 2000, 2100)])
def test_entries_that_trickle_in_reach_learners_in_paced_rounds(rate: float, least: int, most: int) -> None:
    cluster = Cluster(50, rate)
    for _ in range(40):  # 4 s, an entry and a round each 0.1 s
        cluster.leader.propose(cluster.now, b"x")
        cluster.deliver()
        cluster.round()
    assert least <= cluster.sent <= most
    for _ in range(20):
        cluster.round()
    assert {core.commit for core in cluster.cores.values()} == {cluster.leader.last_index}


def test_what_is_hurried_does_not_wait_for_a_paced_round() -> None:
    cluster = Cluster(50, 1.0)  # 50 s between two rounds with news
    for _ in range(600):
        cluster.round()
    cluster.leader.propose(cluster.now, b"x")
    cluster.round()  # this one has the news for all; the next has none for 50 s, but where a learner's own beat is due
    before = cluster.sent
    cluster.leader.propose(cluster.now, b"y")
    cluster.deliver()
    assert cluster.sent == before
    assert cluster.leader.broadcast_commit(cluster.now)
    cluster.deliver()
    assert cluster.sent == before + 50


# Repeats


def test_members_of_a_large_fleet_repeat_less_often_and_those_of_a_small_one_as_before() -> None:
    few, many = retry.Retry(1), retry.Retry(1)
    assert few.ready(0.0, "x", 200) and many.ready(0.0, "x", 4000)
    ((_, due),) = few.due()
    assert retry.MIN_BACKOFF <= due <= 3 * retry.MIN_BACKOFF
    ((_, later),) = many.due()
    assert later >= 4000 / retry.REPEAT_RATE
    assert not many.ready(later - 0.01, "x", 4000) and many.ready(later, "x", 4000)


def test_a_member_that_starts_among_many_repeats_its_begin_less_often() -> None:
    # guards the start of a large fleet: 1,100 members that knew no table yet said Begin ever again, and none got in
    nothing = View(0, 0, None, None)
    few, many = Machine("g1", "serve", 1, seed=1, peers=5), Machine("g1", "serve", 1, seed=1, peers=4000)
    moments = [tenth / 10 for tenth in range(40)]
    said_by_few = [action for now in moments for action in few.step(now, nothing) if isinstance(action, SubmitCommand)]
    said_by_many = [
        action for now in moments for action in many.step(now, nothing) if isinstance(action, SubmitCommand)
    ]
    assert len(said_by_many) == 1 < len(said_by_few)


# All of it


def test_the_leader_of_many_says_little_more_to_each_than_that_of_few() -> None:
    # guards against the collapse at size: rounds with news for all, one after another, left a leader no time to take
    # in what members said, so that they said it again; at 1,100 it sent 20 messages to each for a change, at 200 three
    few, _ = trials.sized(trials.shape(1, 60, "serve"), 2, 3, loss=0.0)
    many, _ = trials.sized(trials.shape(1, 300, "serve"), 2, 3, loss=0.0)
    assert few.wrong == many.wrong == [] and few.failed == many.failed == 0
    assert share(many.by_leader, 0.5) / 300 < 1.6 * share(few.by_leader, 0.5) / 60
