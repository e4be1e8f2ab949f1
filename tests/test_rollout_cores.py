"""The pure cores of a rollout: a member's machine, the coordinator, the expiry observer and the site delegate."""

from __future__ import annotations

from typing import Any

from tealwing.federation.site_delegate import SiteDelegate, required_proposals
from tealwing.lab.models.rollout_parts import empty, propose
from tealwing.lease_bounds import DEFAULT_BOUNDS
from tealwing.rollout.agent.actions import (
    HOLD_MARKER,
    CheckBundle,
    PersistMarker,
    ReadIndex,
    Restart,
    SubmitCommand,
)
from tealwing.rollout.agent.machine import Machine
from tealwing.rollout.agent.view import view_of
from tealwing.rollout.leader.coordinator import RolloutCoordinator
from tealwing.rollout.leader.expiry_observer import ExpiryObserver
from tealwing.rules import records as r
from tealwing.rules import registry

PERMIT_DURATION = DEFAULT_BOUNDS.holder_duration(2.0)  # s that a holder may use a permit of 2 s


class Log:
    """A registry with the index of its last entry; each command must be accepted."""

    def __init__(self, *modes: tuple[str, r.PartitionMode]) -> None:
        self.tables: dict[str, dict[str, Any]] = empty()
        self.index = 0
        for name, mode in modes:
            self.apply(r.Begin(name, 1, mode, permit=2000))

    def apply(self, *bodies: r.Body) -> None:
        for body in bodies:
            self.index += 1
            result = registry.apply(self.tables, self.index, body)
            assert result.ok, result.reason

    def propose_and_check(self, body: r.Propose | None = None) -> None:
        """Propose a version that all members accept."""
        self.apply(body or propose(0))
        flight = registry.in_flight(self.tables)
        assert flight is not None
        for name, member in self.tables["rule_members"].items():
            self.apply(r.Verdict(flight.number, name, member.start, True))

    def view(self, name: str) -> Any:
        return view_of(self.tables, self.index, name)


def test_member_reports_close_after_marker_and_opens_on_outcome() -> None:
    log = Log(("a", "serve"), ("b", "serve"))
    machine = Machine("a", "serve", 1, disk=log.view("a"))
    assert machine.gate_state(0.0).mode == "open"
    log.apply(propose(0))
    assert machine.step(0.0, log.view("a")) == [CheckBundle(1)]
    machine.checked(1, True)
    assert machine.step(0.1, log.view("a")) == [SubmitCommand(r.Verdict(1, "a", 1, True))]
    log.apply(r.Verdict(1, "a", 1, True), r.Verdict(1, "b", 1, True), r.Close(1))
    assert machine.step(0.2, log.view("a")) == [PersistMarker(1)] and machine.gate_state(0.2).mode == "closed"
    assert machine.step(0.21, log.view("a")) == []  # the marker is being written
    machine.marker_written(1)
    assert machine.step(0.22, log.view("a")) == [SubmitCommand(r.Closed(1, "a", 1))]
    assert machine.gate_state(1e6).mode == "closed"  # it never opens without an outcome
    times = [now / 100 for now in range(23, 1000) if machine.step(now / 100, log.view("a"))]
    pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert 5 < len(times) < 60 and max(pauses) <= 1.02  # the report is repeated with a growing backoff
    log.apply(r.Closed(1, "a", 1), r.Closed(1, "b", 1), r.Activate(1))
    assert machine.step(11.0, log.view("a")) == []
    assert (machine.gate_state(11.0).mode, machine.gate_state(11.0).number) == ("open", 1)


def test_serve_member_starts_from_disk_unless_marker_names_an_open_change() -> None:
    log = Log(("a", "serve"), ("b", "serve"))
    assert Machine("a", "serve", 2, disk=log.view("a"), marker=0).gate_state(0.0).mode == "open"
    # the marker names a version that the disk does not have
    assert Machine("a", "serve", 2, disk=log.view("a"), marker=1).gate_state(0.0).mode == "shut"
    log.propose_and_check()
    assert Machine("a", "serve", 2, disk=log.view("a"), marker=1).gate_state(0.0).mode == "closed"
    log.apply(r.Abort(1))
    assert Machine("a", "serve", 2, disk=log.view("a"), marker=1).gate_state(0.0).mode == "open"
    # the member was `hold` in the meantime
    assert Machine("a", "serve", 2, disk=log.view("a"), marker=HOLD_MARKER).gate_state(0.0).mode == "shut"
    assert Machine("a", "serve", 1).gate_state(0.0).mode == "shut"


def test_member_with_empty_folder_opens_once_a_read_is_applied() -> None:
    log = Log(("a", "serve"), ("b", "serve"))
    old = log.view("a")
    log.propose_and_check()
    log.apply(r.Close(1), r.Closed(1, "a", 1), r.Closed(1, "b", 1), r.Activate(1))
    machine = Machine("a", "serve", 1)
    assert machine.step(0.0, old) == [ReadIndex()] and machine.gate_state(0.0).mode == "shut"
    machine.read_completed(0.1, machine.read_sent(0.0), log.index)
    machine.step(0.2, old)
    assert machine.gate_state(0.2).mode == "shut"
    machine.step(0.3, log.view("a"))
    assert (machine.gate_state(0.3).mode, machine.gate_state(0.3).number) == ("open", 1)


def test_hold_member_opens_only_for_a_permit_counted_from_the_read() -> None:
    log = Log(("b", "serve"))
    machine = Machine("a", "hold", 7)
    assert machine.step(0.0, log.view("a")) == [PersistMarker(HOLD_MARKER)]  # before the log can have it as `hold`
    machine.marker_written(HOLD_MARKER)
    (begin,) = machine.step(0.1, log.view("a"))
    assert isinstance(begin, SubmitCommand) and isinstance(begin.body, r.Begin)
    log.apply(begin.body)
    assert machine.step(0.2, log.view("a")) == [ReadIndex()] and machine.gate_state(0.2).mode == "shut"
    token = machine.read_sent(10.0)
    machine.read_completed(11.0, token, log.index + 1)
    assert machine.gate_state(11.0).mode == "shut"  # the read's index is not applied yet
    log.apply(r.Begin("c", 1, "serve"))
    machine.step(11.1, log.view("a"))
    gate = machine.gate_state(11.1)
    assert gate.mode == "open" and abs(gate.until - 10.0 - PERMIT_DURATION) < 1e-9
    expired = machine.gate_state(10.0 + PERMIT_DURATION)
    assert expired.mode == "shut" and "lost touch" in expired.reason
    log.apply(r.ExpirePermit("a", 7))
    actions = machine.step(11.2, log.view("a"))
    assert actions[0] == Restart(8) and machine.gate_state(11.2).mode == "shut"
    assert isinstance(actions[1], SubmitCommand) and actions[1].body == r.Begin("a", 8, "hold", 1, 2000, 7)
    machine.read_completed(11.3, token, log.index)  # a read of the previous start
    log.apply(actions[1].body)
    machine.step(11.4, log.view("a"))
    assert machine.gate_state(11.4).mode == "shut"


def test_coordinator_expires_silent_members_before_closing_and_aborts_at_limit() -> None:
    log = Log(("a", "serve"), ("b", "hold"), ("c", "serve"))
    log.propose_and_check()
    coordinator = RolloutCoordinator("a", 5.0, 0.5)
    assert coordinator.step(0.0, log.tables, []) == []  # this member does not lead
    coordinator.set_leading(0.0, True)
    assert coordinator.step(0.0, log.tables, []) == [r.Close(1)]
    coordinator.set_leading(1.0, False)
    coordinator.set_leading(1.0, True)
    coordinator.step(1.0, log.tables, ["b"])
    assert coordinator.step(1.6, log.tables, ["b"]) == [r.ExpirePermit("b", 1)]
    log.apply(r.ExpirePermit("b", 1))
    assert coordinator.step(2.0, log.tables, ["b"]) == []
    log.apply(r.ConfirmExpiry("b", log.index, "a"), r.ConfirmExpiry("b", log.index, "c"))
    (close,) = coordinator.step(3.0, log.tables, ["b"])
    log.apply(close, r.Closed(1, "a", 1))
    assert coordinator.step(3.1, log.tables, ["b", "c"]) == []  # c may serve on: the change can't go on without it
    (abort,) = coordinator.step(8.2, log.tables, ["b", "c"])
    assert isinstance(abort, r.Abort) and "c (silent)" in abort.reason
    log.apply(r.Closed(1, "c", 1))
    assert coordinator.step(8.3, log.tables, []) == [r.Activate(1)]


def test_few_members_confirm_an_expiry_after_the_full_delay() -> None:
    names = [f"m{place}" for place in range(20)]
    log = Log(*[(name, "hold") for name in ("x", *names)])
    observers = {name: ExpiryObserver(name) for name in ("x", *names)}
    log.apply(r.ExpirePermit("x", 1))
    for observer in observers.values():
        observer.applied(1.0, log.index, r.ExpirePermit("x", 1))
    delay = DEFAULT_BOUNDS.expiry_delay(2.0)
    assert not any(observer.due(1.0 + delay - 0.01, log.tables) for observer in observers.values())
    first = [name for name, observer in observers.items() if observer.due(1.0 + delay + 0.01, log.tables)]
    assert len(first) == 3 and "x" not in first
    later = [name for name, observer in observers.items() if observer.due(1.0 + delay + 3.6, log.tables)]
    assert len(later) == 20
    restarted = ExpiryObserver(first[0])  # it measures from when it first sees the expiry
    assert restarted.due(9.0, log.tables) == [] and restarted.due(9.01 + delay, log.tables)


def test_site_delegate_follows_the_federation_through_a_change() -> None:
    fed, site = Log(("B", "serve")), Log(("a", "serve"), ("b", "hold"))

    def step() -> tuple[list[r.Body], list[r.Body]]:
        return required_proposals("A", site.tables, fed.tables, fed.index)

    assert step() == ([], [r.Begin("A", 1, "serve", 1, 2000)])
    fed.apply(*step()[1])
    fed.apply(propose(0))
    (proposal,), federation_proposals = step()
    assert isinstance(proposal, r.Propose) and proposal.federated and proposal.number == 1
    assert federation_proposals == []
    site.propose_and_check(proposal)
    assert step() == ([], [r.Verdict(1, "A", 1, True)])
    fed.apply(*step()[1], r.Verdict(1, "B", 1, True))
    assert step() == ([], [])  # the site does not close before the federation does
    fed.apply(r.Close(1))
    assert step() == ([r.Close(1)], [])
    site.apply(r.Close(1), r.Closed(1, "a", 1))
    assert step() == ([], [])
    site.apply(r.Closed(1, "b", 1))
    assert step() == ([], [r.Closed(1, "A", 1)])
    fed.apply(r.Closed(1, "A", 1), r.Closed(1, "B", 1))
    assert step() == ([], [])
    fed.apply(r.Activate(1))
    assert step() == ([r.Activate(1, fed.index)], [])
    delegate = SiteDelegate("A")
    assert len(delegate.due_proposals(0.0, site.tables, fed.tables, fed.index)[0]) == 1
    assert delegate.due_proposals(0.01, site.tables, fed.tables, fed.index) == ([], [])
    site.apply(*step()[0])
    assert step() == ([], [])


def test_expired_site_begins_again_after_its_permits_end_and_it_has_the_active_version() -> None:
    fed, site = Log(("A", "hold"), ("B", "hold"), ("C", "hold")), Log(("a", "hold"))
    fed.propose_and_check()
    fed.apply(r.Close(1), r.Closed(1, "B", 1), r.Closed(1, "C", 1), r.ExpirePermit("A", 1))
    assert required_proposals("A", site.tables, fed.tables, fed.index)[1] == []
    expiry = fed.index
    fed.apply(r.ConfirmExpiry("A", expiry, "B"), r.ConfirmExpiry("A", expiry, "C"), r.Activate(1))
    (proposal,), federation_proposals = required_proposals("A", site.tables, fed.tables, fed.index)
    assert isinstance(proposal, r.Propose) and federation_proposals == []
    site.propose_and_check(proposal)
    site.apply(r.Close(1), r.Closed(1, "a", 1), r.Activate(1, fed.index))
    assert required_proposals("A", site.tables, fed.tables, fed.index) == ([], [r.Begin("A", 2, "hold", 1, 2000, 1)])


def test_gateway_is_shut_after_the_federation_expires_its_site() -> None:
    fed, site = Log(("A", "hold"), ("B", "hold"), ("C", "hold")), Log(("a", "hold"))
    machine = Machine("a", "hold", 1, marker=HOLD_MARKER, federated=True)
    assert machine.step(0.0, site.view("a"), fed.view("A")) == [ReadIndex(), ReadIndex(True)]
    machine.read_completed(0.0, machine.read_sent(0.0), site.index)
    assert "federation" in machine.gate_state(0.0).reason and machine.gate_state(0.0).mode == "shut"
    machine.read_completed(0.0, machine.read_sent(0.0, True), fed.index)
    assert machine.gate_state(0.1).mode == "open" and machine.gate_state(PERMIT_DURATION).mode == "shut"
    fed.apply(r.ExpirePermit("A", 1))
    machine.step(0.2, site.view("a"), fed.view("A"))
    assert machine.gate_state(0.2).mode == "shut"
