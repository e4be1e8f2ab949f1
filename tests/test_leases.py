"""Leases: the holder's state machine, the leader's expiry, the model check of both, the manager, and the judge."""

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

TTL = 5.0  # s
VALID_TIME = DEFAULT_BOUNDS.holder_duration(TTL) - DEFAULT_BOUNDS.loss_notice  # s from the request to the loss


def granted_holder(now: float = 100.0) -> Holder:
    holder = Holder("t", TTL)
    assert holder.tick(now) == [Action.ACQUIRE] and holder.granted(now + 0.5, 7) == [Action.GAINED]
    return holder


def test_holder_duration_never_outlasts_leader_expiry_within_clock_bounds() -> None:
    for bounds in (DEFAULT_BOUNDS, LeaseBounds(max_drift=0.1, max_step=0.5)):
        for ttl in (1.0, 5.0, 600.0):
            slow, fast = 1.0 - bounds.max_drift, 1.0 + bounds.max_drift
            holder_at_most = (bounds.holder_duration(ttl) + bounds.max_step) / slow  # a slow clock, stepped back
            leader_at_least = (bounds.expiry_delay(ttl) - bounds.max_step) / fast  # a fast clock, stepped forward
            assert holder_at_most <= leader_at_least + 1e-9


def test_lease_duration_counts_from_request_and_loss_precedes_expiry() -> None:
    holder = granted_holder()
    assert holder.valid(100.0 + VALID_TIME - 0.01) and not holder.valid(100.0 + VALID_TIME + 0.01)
    assert holder.tick(100.0 + 0.3 * TTL) == [Action.RENEW]  # a renewal request without a reply
    assert holder.tick(100.01 + VALID_TIME) == [Action.LOST]
    assert holder.granted(100.01 + VALID_TIME, 7) == [Action.GAINED]  # a late reply: counts from the renewal request
    assert holder.valid(101.5 + VALID_TIME - 0.01) and not holder.valid(101.5 + VALID_TIME + 0.01)


def test_grant_received_after_its_duration_is_discarded() -> None:
    holder = Holder("t", TTL)
    holder.tick(100.0)
    assert holder.granted(100.0 + VALID_TIME + 0.1, 7) == [] and not holder.valid(100.0 + VALID_TIME + 0.1)


def test_rejected_holder_loses_lease_and_retries_with_backoff() -> None:
    holder = granted_holder()
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
    assert holder.tick(now) == [Action.ACQUIRE]  # the lease was released: no backoff


def test_unanswered_renewal_keeps_lease_and_is_retried() -> None:
    holder = granted_holder()
    holder.tick(101.5)
    assert holder.timed_out(102.0) == [] and holder.valid(102.0) and holder.tick(102.2) == [Action.RENEW]
    assert holder.granted(102.3, 9) == [Action.LOST, Action.GAINED]  # a new grant: the task restarts


def test_leader_expires_lease_after_its_full_duration_since_election() -> None:
    expiry = LeaseExpiry()
    expiry.granted(0.0, "t", 7, 7, TTL)  # a follower expires no leases
    assert expiry.expired(100.0) == []
    expiry.set_leading(100.0, True)
    delay = DEFAULT_BOUNDS.expiry_delay(TTL)
    assert expiry.expired(100.0 + delay - 0.01) == [] and expiry.expired(100.0 + delay) == [("t", 7, 7)]
    assert expiry.expired(100.1 + delay) == [] and expiry.expired(101.1 + delay) == [("t", 7, 7)]  # proposed again
    expiry.granted(103.0, "t", 7, 12, TTL)
    assert expiry.expired(103.0 + delay) == [("t", 7, 12)]
    expiry.ended("t")
    assert expiry.expired(1000.0) == []


@pytest.fixture
def alone(tmp_path: Path) -> Iterator[tuple[Replica, LeaseManager]]:
    """A fleet of one member, which is the leader."""
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


def test_lease_block_renews_releases_and_fences_commands(alone: tuple[Replica, LeaseManager]) -> None:
    replica, manager = alone
    with manager.lease("t", 2.0) as held:
        assert held.valid()
        fenced = replica.write(c.Command("", 0, c.Put("k", b"v"), held.fence()), 5.0)
        assert fenced.ok
        with pytest.raises(ValueError, match="lease t: another task of this gateway already wants it"):
            manager.task("t", 2.0, lambda held: None)
        assert held.wait(1.2)  # renewed in between, as the TTL is 2 s
    assert not held.valid()
    assert not replica.state.tables["leases"]["t"].held  # it was released at the end of the block
    with manager.lease("t", 2.0) as again:
        assert again.token > held.token
        late = replica.write(c.Command("", 0, c.Put("k", b"old"), held.fence()), 5.0)
        assert not late.ok and "stale token" in late.reason
    with pytest.raises(ValueError, match=r"lease u: a TTL of 0\.5 s; allowed: 1 s or more"):
        manager.task("u", 0.5, lambda held: None)


def test_lease_held_by_another_client_is_not_granted(alone: tuple[Replica, LeaseManager]) -> None:
    replica, manager = alone
    assert replica.write(c.Command("", 0, c.Acquire("t", "another/1", 60_000)), 5.0).ok
    with pytest.raises(TimeoutError), manager.lease("t", 2.0, wait=0.5):
        raise AssertionError("a lease that another client holds was granted")


def test_leases_are_exclusive_in_exhaustive_exploration() -> None:
    for model in (Leases(8), Leases(8, renewing=True)):
        found = explore(model, 9)
        assert found.is_exhaustive and found.broken == "" and found.states > 20_000


def test_lease_model_finds_known_mutations_with_short_traces() -> None:
    ignored = explore(Leases(8, "drift-ignored", leaders=0, acts=0), 12)
    assert "a and b both may act" in ignored.broken and len(ignored.trace) == 12
    renewed = explore(Leases(8, "renewal-after-expiry", leaders=0, acts=0, renewing=True), 11)
    assert "both may act" in renewed.broken and any("Expire" in step for step in renewed.trace)


def act(t: float, token: int, accepted: bool = True, took: float = 0.01) -> dict[str, Any]:
    return {"t": t, "kind": "act", "name": "t", "token": token, "accepted": accepted, "took": took}


def test_lease_judge_reports_each_violation() -> None:
    good = [act(1.0, 5), act(2.0, 5), act(2.1, 5, False), act(4.0, 9), act(5.0, 9)]
    assert leases.check(good, 6.0) == [] and [t.actions for t in leases.tenures(good)] == [2, 2]
    assert leases.handovers(good) == [pytest.approx(1.99)] and leases.idle(good, 0.0, 6.0)[-1] == pytest.approx(1.99)
    assert [v.rule for v in leases.check([*good, act(5.5, 5)], 6.0)] == ["stale-accepted", "overlap"]
    assert [v.rule for v in leases.check([act(1.0, 5), act(2.0, 9, took=1.5)], 6.0)] == ["overlap", "token"]
    assert "token" in [v.rule for v in leases.check([act(1.0, 9), act(2.0, 5)], 6.0)]


def test_forward_clock_step_does_not_remove_active_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards the record of an active drain: its retention counts by the monotonic clock, as the wall clock may step
    drain, written, tasks = c.Drain(7, 0, notified=1_000, cutoff=2_000), list[c.Command](), list[Any]()
    state = SimpleNamespace(tables={"drains": {"7/0": drain}})
    replica = SimpleNamespace(lock=threading.Lock(), state=state, write=lambda command, _: written.append(command))
    manager = SimpleNamespace(task=lambda name, ttl, gained: tasks.append(gained))
    sweep.start_sweep(cast(Any, manager), cast(Any, replica))
    checks = [True] * 8
    held = SimpleNamespace(valid=lambda: bool(checks and checks.pop()), wait=lambda seconds: True, fence=lambda: None)
    # s; by the monotonic clock the drain was announced a moment ago
    monkeypatch.setattr(time, "time", lambda: 2.0 + 3600)
    tasks[0](held)
    assert not written


def test_drain_record_expires_after_retention_since_first_seen() -> None:
    drain, ages = c.Drain(7, 0, notified=1_000, cutoff=2_000), sweep.DrainAges()
    retention = 1.0 + sweep.RETENTION_MS / 1e3  # s, with the grace time
    assert not ages.expired({"7/0": drain}, 100.0)
    assert not ages.expired({"7/0": drain}, 100.0 + retention - 0.01)
    assert ages.expired({"7/0": drain}, 100.0 + retention) == [drain]
    assert not ages.expired({}, 200.0) and not ages.expired({"7/0": drain}, 200.0)  # a later drain of that engine
