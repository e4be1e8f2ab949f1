"""Leases: the holder's machine, the leader's expiry, the model of both, and the judge of what a resource saw."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from tealwing.lab.judges import leases
from tealwing.lab.models.explore import explore
from tealwing.lab.models.leases import Leases
from tealwing.lab.rig.ports import free_port
from tealwing.lease_bounds import DEFAULT_BOUNDS, LeaseBounds
from tealwing.leases import sweep
from tealwing.leases.expiry import LeaseExpiry
from tealwing.leases.holder import Action, Holder
from tealwing.leases.manager import LeaseManager
from tealwing.peers.clock import Clock
from tealwing.peers.link import Link
from tealwing.peers.plan import Plan as PeersPlan
from tealwing.replica import commands as c
from tealwing.replica.plan import ReplicaPlan
from tealwing.replica.service.node import Replica

TTL = 5.0
MAY = DEFAULT_BOUNDS.holder_duration(TTL) - DEFAULT_BOUNDS.loss_notice


def held(now: float = 100.0) -> Holder:
    holder = Holder("t", TTL)
    assert holder.tick(now) == [Action.ACQUIRE] and holder.granted(now + 0.5, 7) == [Action.GAINED]
    return holder


def test_the_two_ends_leave_no_overlap_whatever_clocks_do_within_the_bound() -> None:
    for bounds in (DEFAULT_BOUNDS, LeaseBounds(max_drift=0.1, max_step=0.5)):
        for ttl in (1.0, 5.0, 600.0):
            slow, fast = 1.0 - bounds.max_drift, 1.0 + bounds.max_drift
            holder_at_most = (bounds.holder_duration(ttl) + bounds.max_step) / slow  # a slow clock that stepped back
            leader_at_least = (bounds.expiry_delay(ttl) - bounds.max_step) / fast  # a fast one that stepped on
            assert holder_at_most <= leader_at_least + 1e-9


def test_a_lease_counts_from_when_it_was_asked_for_and_is_lost_before_it_is_over() -> None:
    holder = held()
    assert holder.valid(100.0 + MAY - 0.01) and not holder.valid(100.0 + MAY + 0.01)
    assert holder.tick(100.0 + 0.3 * TTL) == [Action.RENEW]  # and no answer comes
    assert holder.tick(100.01 + MAY) == [Action.LOST]
    assert holder.granted(100.01 + MAY, 7) == [Action.GAINED]  # the answer, late: from when the renewal was sent
    assert holder.valid(101.5 + MAY - 0.01) and not holder.valid(101.5 + MAY + 0.01)


def test_an_answer_that_took_as_long_as_the_lease_gives_nothing() -> None:
    holder = Holder("t", TTL)
    holder.tick(100.0)
    assert holder.granted(100.0 + MAY + 0.1, 7) == [] and not holder.valid(100.0 + MAY + 0.1)


def test_a_refused_holder_stops_at_once_and_tries_again_with_growing_waits() -> None:
    holder = held()
    holder.tick(101.5)
    assert holder.rejected(101.6) == [Action.LOST] and holder.tick(101.65) == []
    times, now = [], 101.6
    for _ in range(6):
        while holder.tick(now) != [Action.ACQUIRE]:
            now += 0.01
        times.append(now)
        holder.rejected(now)
    waits = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert waits == sorted(waits) and 0.9 < waits[-1] <= 1.02
    holder.released(now)
    assert holder.tick(now) == [Action.ACQUIRE]  # nobody holds it any more: no need to wait


def test_an_unanswered_renewal_leaves_what_is_held_and_is_sent_again() -> None:
    holder = held()
    holder.tick(101.5)
    assert holder.timed_out(102.0) == [] and holder.valid(102.0) and holder.tick(102.2) == [Action.RENEW]
    assert holder.granted(102.3, 9) == [Action.LOST, Action.GAINED]  # another grant: the task begins anew


def test_the_leader_finds_a_lease_expired_after_all_of_its_time_and_a_new_leader_begins_anew() -> None:
    expiry = LeaseExpiry()
    expiry.granted(0.0, "t", 7, 7, TTL)  # as a follower: it is not ours to judge
    assert expiry.expired(100.0) == []
    expiry.set_leading(100.0, True)
    waits = DEFAULT_BOUNDS.expiry_delay(TTL)
    assert expiry.expired(100.0 + waits - 0.01) == [] and expiry.expired(100.0 + waits) == [("t", 7, 7)]
    assert expiry.expired(100.1 + waits) == [] and expiry.expired(101.1 + waits) == [("t", 7, 7)]  # proposed again
    expiry.granted(103.0, "t", 7, 12, TTL)
    assert expiry.expired(103.0 + waits) == [("t", 7, 12)]
    expiry.ended("t")
    assert expiry.expired(1000.0) == []


@pytest.fixture
def alone(tmp_path: Path) -> Iterator[tuple[Replica, LeaseManager]]:
    """A fleet of one, which leads itself."""
    plan = PeersPlan("f", "a", (("a", ("127.0.0.1", free_port())),))
    link = Link(plan)
    replica = Replica(
        ReplicaPlan(str(tmp_path / "replica"), heartbeat_interval=0.02, election_timeout=0.1), link, Clock()
    )
    manager = LeaseManager(replica, replica.clock)
    replica.start()
    manager.start()
    yield replica, manager
    manager.stop()
    replica.stop()
    link.stop()


def test_a_block_holds_its_lease_and_its_commands_count_under_it_alone(alone: tuple[Replica, LeaseManager]) -> None:
    replica, manager = alone
    with manager.lease("t", 2.0) as held:
        assert held.valid()
        fenced = replica.write(c.Command("", 0, c.Put("k", b"v"), held.fence()), 5.0)
        assert fenced.ok
        with pytest.raises(ValueError, match="lease t: another task of this gateway already wants it"):
            manager.task("t", 2.0, lambda held: None)
        assert held.wait(1.2)  # it has been renewed meanwhile: two seconds would be over soon
    assert not held.valid()
    assert not replica.state.tables["leases"]["t"].held  # it was given back
    with manager.lease("t", 2.0) as again:
        assert again.token > held.token
        late = replica.write(c.Command("", 0, c.Put("k", b"old"), held.fence()), 5.0)
        assert not late.ok and "stale token" in late.reason
    with pytest.raises(ValueError, match=r"lease u: a TTL of 0\.5 s; allowed: 1 s or more"):
        manager.task("u", 0.5, lambda held: None)


def test_a_lease_that_another_holds_is_not_granted(alone: tuple[Replica, LeaseManager]) -> None:
    replica, manager = alone
    assert replica.write(c.Command("", 0, c.Acquire("t", "another/1", 60_000)), 5.0).ok
    with pytest.raises(TimeoutError), manager.lease("t", 2.0, wait=0.5):
        raise AssertionError("it was granted")


def test_no_two_holders_act_at_once_in_all_interleavings_of_a_few_steps() -> None:
    for model in (Leases(8), Leases(8, renewing=True)):
        found = explore(model, 9)
        assert found.is_exhaustive and found.broken == "" and found.states > 20_000


def test_known_faults_of_leases_are_found_with_short_stories() -> None:
    ignored = explore(Leases(8, "drift-ignored", leaders=0, acts=0), 12)
    assert "a and b both may act" in ignored.broken and len(ignored.trace) == 12
    renewed = explore(Leases(8, "renewal-after-expiry", leaders=0, acts=0, renewing=True), 11)
    assert "both may act" in renewed.broken and any("Expire" in word for word in renewed.trace)


def act(t: float, token: int, accepted: bool = True, took: float = 0.01) -> dict[str, Any]:
    return {"t": t, "kind": "act", "name": "t", "token": token, "accepted": accepted, "took": took}


def test_the_judge_of_leases_can_fail() -> None:
    good = [act(1.0, 5), act(2.0, 5), act(2.1, 5, False), act(4.0, 9), act(5.0, 9)]
    assert leases.check(good, 6.0) == [] and [t.actions for t in leases.tenures(good)] == [2, 2]
    assert leases.handovers(good) == [pytest.approx(1.99)] and leases.idle(good, 0.0, 6.0)[-1] == pytest.approx(1.99)
    assert [v.rule for v in leases.check([*good, act(5.5, 5)], 6.0)] == ["stale-accepted", "overlap"]
    assert [v.rule for v in leases.check([act(1.0, 5), act(2.0, 9, took=1.5)], 6.0)] == ["overlap", "token"]
    assert "token" in [v.rule for v in leases.check([act(1.0, 9), act(2.0, 5)], 6.0)]


def test_a_clock_set_forward_sweeps_no_drain_that_still_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    # a drain is kept for a span of real time after its cut-off, whatever the machine's wall clock says
    drain, written, tasks = c.Drain(7, 0, notified=1_000, cutoff=2_000), list[c.Command](), list[Any]()
    state = SimpleNamespace(tables={"drains": {"7/0": drain}})
    replica = SimpleNamespace(lock=threading.Lock(), state=state, write=lambda command, _: written.append(command))
    manager = SimpleNamespace(task=lambda name, ttl, gained: tasks.append(gained))
    sweep.start_sweep(cast(Any, manager), cast(Any, replica))
    looks = [True] * 8
    held = SimpleNamespace(valid=lambda: bool(looks and looks.pop()), wait=lambda seconds: True, fence=lambda: None)
    monkeypatch.setattr(time, "time", lambda: 2.0 + 3600)  # s: the drain was told a moment ago
    tasks[0](held)
    assert not written


def test_a_drain_is_swept_once_its_time_has_passed_since_it_was_seen() -> None:
    drain, ages = c.Drain(7, 0, notified=1_000, cutoff=2_000), sweep.DrainAges()
    kept = 1.0 + sweep.RETENTION_MS / 1e3
    assert not ages.expired({"7/0": drain}, 100.0)
    assert not ages.expired({"7/0": drain}, 100.0 + kept - 0.01)
    assert ages.expired({"7/0": drain}, 100.0 + kept) == [drain]
    assert not ages.expired({}, 200.0) and not ages.expired({"7/0": drain}, 200.0)  # another drain of that engine
