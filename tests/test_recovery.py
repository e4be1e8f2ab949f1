"""Recovery of a gateway: trust in its stored state, phases up to readiness, and limited snapshot transfers."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tealwing import interface as api
from tealwing.lab.faults import scenario
from tealwing.lab.judges import clients
from tealwing.lab.rig import layouts, runs
from tealwing.lab.rig.configuration import Layout
from tealwing.lab.rig.trial import Trial
from tealwing.lease_bounds import DEFAULT_BOUNDS
from tealwing.replica import commands as c
from tealwing.replica.messages import InstallSnapshot
from tealwing.replica.raft import Mode, SnapshotMeta
from tealwing.replica.service.recovery import (
    MAX_AGE_MS,
    PEER_QUERY_TIMEOUT,
    AssessedItem,
    FleetView,
    Phase,
    Recovery,
    Trust,
    assess_trust,
)
from tealwing.replica.service.state_feed import missing_commands
from tealwing.replica.state import State
from tests.test_replica import Fleet, apply_body
from tests.test_trials import run

NOW = 1_800_000_000_000  # ms


def assessed_items(state: State, last: int = 0) -> dict[tuple[str, str], AssessedItem]:
    return {(item.kind, item.key): item for item in assess_trust(state, last or state.applied, NOW)}


def test_last_good_settings_are_trusted_and_invalid_ones_never() -> None:
    state = State()
    apply_body(state, 1, c.Settings(1, b"old"))
    apply_body(state, 2, c.Settings(2, b"good"))
    apply_body(state, 3, c.Settings(3, b"bad", valid=False))
    found = assessed_items(state)
    assert found["settings", "2"].trust is Trust.TRUSTED and found["settings", "3"].trust is Trust.NEVER
    assert ("settings", "1") not in found


def test_lease_held_before_restart_is_not_trusted() -> None:
    state = State()
    apply_body(state, 1, c.Acquire("sweep", "me/1", 5000))
    apply_body(state, 2, c.Acquire("free", "me/1", 5000))
    apply_body(state, 3, c.Release("free", 2))
    found = assessed_items(state)
    assert found["lease", "sweep"].trust is Trust.WAITS and ("lease", "free") not in found
    assert found["lease", "sweep"].until_ms == NOW + round(DEFAULT_BOUNDS.expiry_delay(5.0) * 1e3)


def test_drain_keeps_first_cutoff_and_items_of_unknown_age_are_marked() -> None:
    state = State()
    apply_body(state, 1, c.Drain(7, 0, NOW - 3000, NOW - 2000))
    apply_body(state, 2, c.Drain(7, 0, NOW - 1000, NOW))  # announced again later
    apply_body(state, 3, c.Drain(8, 0, NOW + 60_000, NOW + 61_000))  # ahead of the local clock
    apply_body(state, 4, c.Note(7, 0, "cold", NOW - 1000))
    apply_body(state, 5, c.Note(7, 0, "aside"))
    apply_body(state, 6, c.Level("few", "load", NOW - MAX_AGE_MS - 1))
    found = assessed_items(state, last=9)
    assert found["drain", "7/0"].until_ms == NOW - 2000 and found["drain", "7/0"].trust is Trust.TRUSTED
    assert found["drain", "8/0"].trust is Trust.MARKED and found["drain", "8/0"].until_ms == NOW
    assert found["notes", "7/0/cold"].trust is Trust.TRUSTED and found["notes", "7/0/aside"].trust is Trust.MARKED
    assert found["levels", "few"].trust is Trust.MARKED and found["log", "7..9"].trust is Trust.MARKED


def test_missing_commands_omit_what_the_state_has() -> None:
    state = State()
    draining, ready = api.Health.DRAINING, api.Health.READY
    entries = [
        api.EngineListEntry(7, 0, 0, 0, draining, 1.0, 0.0),
        api.EngineListEntry(8, 0, 0, 0, ready, 1.0, NOW / 1e3 - 2),
    ]
    first = missing_commands(entries, state, NOW, 1000, 13_000)
    assert first == [c.Drain(7, 0, NOW, NOW + 1000), c.Note(8, NOW - 2000, "cold", NOW - 2000)]
    for index, body in enumerate(first, 1):
        apply_body(state, index, body)
    assert missing_commands(entries, state, NOW + 500, 1000, 13_000) == []
    later_entries = [
        api.EngineListEntry(7, 0, 0, 0, ready, 1.0, 0.0),
        api.EngineListEntry(8, 0, 0, 0, api.Health.GONE, 1.0, 0.0),
    ]
    removals = missing_commands(later_entries, state, NOW + 900, 1000, 13_000)
    assert removals == [c.Drain(7, 0, removed=True), c.Note(8, NOW - 2000, "cold", removed=True)]
    for index, body in enumerate(removals, 3):
        assert apply_body(state, index, body).ok
    assert state.counts()["drains"] == state.counts()["notes"] == 0


def view(leader: str = "", commit: int = 10, applied: int = 10, unconfirmed: bool = False, term: int = 3) -> FleetView:
    return FleetView(leader, term, unconfirmed, commit, applied, 2, 3)


def test_recovery_becomes_ready_without_quorum() -> None:
    recovery = Recovery(0.0)
    assert recovery.update(0.1, view("b")) is Phase.DISK and not recovery.ready
    recovery.disk_read(0.2)
    assert recovery.update(0.3, view()) is Phase.QUERYING_PEERS and not recovery.ready and not recovery.may_change
    assert (
        recovery.update(0.2 + PEER_QUERY_TIMEOUT, view()) is Phase.STANDALONE
        and recovery.ready
        and not recovery.may_change
    )
    assert "2 of 3 members are heard" in recovery.reason(view())
    # the catch-up target is the commit index at the first contact with the leader
    assert recovery.update(3.0, view("b", commit=20)) is Phase.STANDALONE
    assert recovery.update(3.1, view("b", commit=30, applied=19)) is Phase.STANDALONE
    assert recovery.update(3.2, view("b", commit=30, applied=20, unconfirmed=True)) is Phase.STANDALONE
    assert recovery.update(3.3, view("b", commit=30, applied=20)) is Phase.MEMBER and recovery.may_change
    # the quorum is lost again
    assert recovery.update(4.0, view()) is Phase.STANDALONE and recovery.ready and not recovery.may_change
    assert recovery.report(view(), [])["member_after_s"] == 3.3


def test_recovery_becomes_member_as_soon_as_caught_up() -> None:
    recovery = Recovery(0.0)
    recovery.disk_read(0.1)
    assert recovery.update(0.2, view("a")) is Phase.MEMBER and recovery.ready


def test_leader_limits_concurrent_snapshot_transfers() -> None:
    # guards the leader's disk and link against overload when all members need a snapshot at the same time
    fleet = Fleet("abcdefg")
    leader = fleet.leader()
    fleet.blocked = {(leader.local_id, name) for name in "abcdefg"} | {(name, leader.local_id) for name in "abcdefg"}
    others = [name for name in "abcdefg" if name != leader.local_id]
    for name in others:
        leader.progress[name].match, leader.progress[name].next, leader.progress[name].mode = 0, 1, Mode.PROBE
        leader.progress[name].last_contact = fleet.now
        leader.progress[name].inflight.clear()
    fleet.snapshots[leader.local_id] = bytes(100)
    leader.compact(SnapshotMeta(leader.commit, leader.term, tuple("abcdefg"), 100))
    fleet.sent.clear()
    leader._begin_round(fleet.now)
    assert len([message for _, message in leader.ready().messages if isinstance(message, InstallSnapshot)]) == 2
    fleet.blocked = set()
    fleet.run(8.0)
    assert {m.commit for m in fleet.members.values()} == {leader.commit} and leader.commit > 0


def query(number: int, begin: float, end: float, outcome: str = "served") -> list[dict[str, Any]]:
    invocation = {"t": begin, "kind": "invoke", "id": number, "op": "query", "process": "a"}
    return [invocation, {"t": end, "kind": "ok", "id": number, "word": outcome, "text": ""}]


def test_client_judge_reports_refusal_outside_faults() -> None:
    down = [
        {"t": 2.0, "kind": "fault", "what": "kill", "span": "a", "who": "a"},
        {"t": 4.0, "kind": "fault", "what": "over", "span": "a", "over": True},
    ]
    cut_off = {"t": 2.1, "kind": "unknown", "id": 2, "why": "closed"}
    events = [*query(1, 1.0, 1.1), *query(2, 1.9, 2.1)[:1], *down, cut_off, *query(3, 4.5, 4.6)]
    assert clients.check(events, 10.0) == []
    assert len(clients.check([*events, *query(4, 5.0, 5.1, "refused")], 10.0)) == 1


@pytest.mark.trial
def test_fleet_recovers_from_power_loss(tmp_path: Path) -> None:
    found = runs.run_trial(scenario.load("power-loss"), 5, 20.0, 1, tmp_path / "out")
    assert [str(violation) for violation in found.violations] == []
    figures = found.summary
    assert [figures[key] for key in ("lost", "divergent", "split_brain", "refused_for_quorum")] == [0, 0, 0, 0]
    assert figures["acknowledged_before"] > 50 and figures["ready"] == 5 and figures["quorum_ms"] is not None


@pytest.mark.trial
def test_single_gateway_of_three_serves_but_rejects_settings() -> None:
    from tealwing.lab.client import Session
    from tealwing.lab.rig.loads.queries import readiness
    from tests.test_peers import until

    with Trial(scenario.load("power-loss"), 3, 5.0, 1, layout=Layout(layouts.SECTIONS["power"], 2)) as trial:
        trial.start()
        one = trial.processes["n0"]
        engine = trial.engines.members()[1] | {"phase": "draining"}
        trial.coordinator.publish([engine])
        caller = trial.caller("n0")
        # all three gateways record the drain, which is stored once
        until(lambda: caller.call("replica.status")["held"]["drains"] == 1)
        applied = caller.call("replica.status")["applied"]
        until(lambda: caller.call("replica.status")["kept"] >= applied)  # the commit index is on its disk
        caller.close()
        for process in trial.processes.values():
            process.kill()
        one.start()
        one.ready()
        listen, admin = one.address("listen"), one.address("admin")
        assert listen is not None and admin is not None
        text = b"/* op=lookup,call=00000000000000aa,ttl=3000,org=graan-koop,work=2.0,heap_mb=4 */ SELECT a FROM s_1.t"
        assert Session(listen).query(text, 5.0).outcome == "served"  # even while the gateway is not ready
        until(lambda: readiness(admin).startswith("ready: no leader is known; 1 of 3 members are heard"))
        caller = trial.caller("n0")
        reply = caller.call("replica.settings", text=b"{}")
        assert reply["word"] == "unavailable" and "no leader is known" in reply["why"]
        recovery = caller.call("replica.recovery")
        assert recovery["phase"] == "alone"
        assert [(b["trust"], b["until_ms"] > 0) for b in recovery["beliefs"] if b["what"] == "drain"] == [
            ("held", True)
        ]
        assert not any(lease["valid"] for lease in caller.call("lease.list")["here"])
        for name in ("n1", "n2"):
            trial.processes[name].start()
        until(lambda: readiness(admin).startswith("ready: caught up"))
        with pytest.raises(Exception, match="text: "):
            caller.call("replica.settings", text=b"{}")
        code, output = run("replica", "status", "--control", "{}:{}".format(*one.control))
        assert code == 0 and "members n0, n1, n2" in output
        assert trial.fault_lines() == []
