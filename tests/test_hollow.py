"""Tests of the hollow fleet: rule changes, a leader's loss, and the estimate of the resources that a fleet needs."""

from __future__ import annotations

import dataclasses
import os
import time

import pytest

from benchmarks.capacity import control
from benchmarks.capacity.change import make_change
from tealwing.lab.hollow import requirements
from tealwing.lab.hollow.fleet import HollowFleet
from tealwing.lab.hollow.specification import Fleet, peers_plan

pytestmark = pytest.mark.trial

OPEN_LIMIT = 60.0  # s for all gates to open


def specification(members: int, voters: int = 5) -> Fleet:
    names = tuple(f"g{number:04}" for number in range(members))
    return Fleet(names, tuple(range(20_000, 20_000 + members)), voters)


def test_hollow_fleet_applies_a_change_at_every_member() -> None:
    with HollowFleet(9, members_a_host=4) as fleet:
        assert str(fleet.need).startswith("6 processes, ")
        fleet.start(OPEN_LIMIT)
        pids = [host.process.pid for host in fleet.hosts if host.process is not None]
        assert len(pids) == fleet.need.processes == 6
        before = fleet.metrics()
        at, phase = make_change(fleet, 0)
        assert phase == "active"
        until = time.monotonic() + OPEN_LIMIT
        while len(found := (after := fleet.metrics()).in_force(1)) < 9 and time.monotonic() < until:
            time.sleep(0.05)
        assert len(found) == 9 and all(when > at for when in found.values())
        assert after.leader() in fleet.fleet.members[:5]
        rows = control.costs_by_role(fleet, before, after)
        assert all(rows[role][0] > 0 and rows[role][1] > 0 for role in control.ROLES)
        # bytes are counted by the sender and by the receiver, so both totals must roughly agree
        then, now = before.members(), after.members()
        sent = sum(now[name].sent_bytes - then[name].sent_bytes for name in now)
        received = sum(now[name].received_bytes - then[name].received_bytes for name in now)
        assert 0.8 < sent / received < 1.25
        assert sum(len(host.held_ms) for host in after.hosts) >= 9
        assert fleet.faults() == ""
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


def test_hollow_fleet_elects_a_new_leader_after_a_kill() -> None:
    with HollowFleet(7, members_a_host=1) as fleet:
        fleet.start(OPEN_LIMIT)
        leader = fleet.metrics().leader()
        fleet.host_of(leader).kill()
        until = time.monotonic() + OPEN_LIMIT
        while fleet.metrics().leader() in ("", leader):
            assert time.monotonic() < until
            time.sleep(0.05)


def test_fleet_larger_than_the_machine_is_rejected() -> None:
    needed = requirements.need(specification(1105), 15)
    assert needed.processes == 5 + 74
    assert needed.threads > 1100 * 10 and needed.descriptors > 2 * 1104
    available = requirements.AvailableResources(300, 50_000, 20_000, 16_000, 32.0)
    requirements.check(needed, available)
    too_small = {"processes": 70, "threads": 900, "descriptors": 1000, "memory_mb": 100, "processors": 6}
    for what, least in too_small.items():
        with pytest.raises(requirements.FleetTooLargeError, match=f"{what.replace('_', ' ')}.*:"):
            requirements.check(needed, dataclasses.replace(available, **{what: least}))


def test_hollow_members_link_like_real_gateways() -> None:
    fleet = specification(8)
    assert peers_plan(fleet, "g0007", None).linked_members() == set(fleet.members[:5])
    assert peers_plan(fleet, "g0000", 7000).linked_members() == set(fleet.members[1:])
    assert peers_plan(fleet, "g0000", 7000).control == ("127.0.0.1", 7000)
