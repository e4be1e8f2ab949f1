"""Applies rumours about members, passes on those that are new, and refutes those about this instance; pure."""

from __future__ import annotations

from tealwing.gossip.context import NodeContext
from tealwing.gossip.events import MemberChange, NameConflict
from tealwing.gossip.health_reports import HealthReports
from tealwing.gossip.members import State
from tealwing.gossip.messages import Alive, Dead, HealthReport, Left, Payload, Rumour, Suspect
from tealwing.gossip.verification import RumourVerifier

SUSPICION_RATE, SUSPICION_BURST = 2.0, 16.0  # suspicions accepted of a sender per second and in a burst (a rack fails)


class Membership:
    """Owns the limits on suspicions by sender, and the time of this instance's next refutation."""

    def __init__(self, context: NodeContext, verifier: RumourVerifier, reports: HealthReports) -> None:
        self._context, self._verifier, self._reports = context, verifier, reports
        self._suspicion_tokens: dict[str, tuple[float, float]] = {}  # by sender: tokens, and the time of their count
        self._refutation_due, self._next_refutation = False, context.clock.now

    def tick(self) -> None:
        """Refute the suspicions of this instance, all of them at once, if a refutation is due."""
        clock = self._context.clock
        if self._refutation_due and clock.now >= self._next_refutation:
            self._refutation_due = False
            self._next_refutation = clock.now + self._context.timing.probe_interval / 2
            self._context.local_health.degrade(1)
            self.refute()

    def refute(self) -> None:
        """Publish a new incarnation of this instance."""
        self._context.counters.refuted += 1
        self._context.outgoing.publish(self._context.identity.next_incarnation())

    def record_contact(self, name: str, boot: int) -> None:
        """Record a datagram from a member, which ends a suspicion of it."""
        members = self._context.members
        if members.record_contact(name, boot, self._context.clock.now):
            member = members.get(name)
            if member is not None:
                self._context.report(MemberChange.REFUTED, member)

    def apply(self, rumour: Rumour, sender: str) -> None:
        """Apply one rumour of a datagram, and pass it on if it is new."""
        if rumour.name == self._context.identity.name:
            self._apply_to_self(rumour)
            return
        self._context.outgoing.record_received(rumour)
        match rumour:
            case Alive():
                self._apply_alive(rumour)
            case Left():
                self._apply_left(rumour)
            case Suspect() | Dead():
                self._apply_suspicion(rumour, sender)
            case HealthReport():
                self._reports.apply(rumour)

    def restore_member(self, alive: Alive) -> None:
        """Add a member from the persisted state if the signature of its `Alive` is valid."""
        if alive.name != self._context.identity.name and self._is_authentic(alive):
            self._context.members.apply_alive(alive, self._context.clock.now)

    def check_name_conflict(self, payload: Payload) -> None:
        """Check a datagram of another instance of this name: of two under one name the later start keeps it."""
        context = self._context
        in_time = abs(payload.sent_at_ms / 1e3 - context.clock.unix_time) <= context.timing.max_clock_skew
        if payload.boot > context.identity.boot and in_time:
            self._yield_name(payload.boot)

    def forget(self, name: str) -> None:
        """Drop the limit on suspicions by a member that has been removed."""
        self._suspicion_tokens.pop(name, None)

    def _apply_alive(self, rumour: Alive) -> None:
        # only a new statement is worth the cost of a signature check
        context, known = self._context, self._context.members.get(rumour.name)
        if known is not None and (rumour.boot, rumour.incarnation) <= known.version:
            return
        if rumour.boot / 1e3 > context.clock.unix_time + context.timing.max_clock_skew:
            return
        if not self._is_authentic(rumour):
            return
        before = known.state if known is not None else None
        member = context.members.apply_alive(rumour, context.clock.now)
        if member is None:
            return
        context.outgoing.publish(rumour)
        if before is None or before >= State.DEAD:
            context.report(MemberChange.JOINED, member)
        elif before is State.SUSPECT:
            context.report(MemberChange.REFUTED, member)

    def _apply_left(self, rumour: Left) -> None:
        context, known = self._context, self._context.members.get(rumour.name)
        if known is None or known.state is State.LEFT or not self._is_authentic(rumour):
            return
        member = context.members.apply_left(rumour, context.clock.now)
        if member is not None:
            context.outgoing.publish(rumour)
            context.report(MemberChange.LEFT, member)

    def _apply_suspicion(self, rumour: Suspect | Dead, sender: str) -> None:
        context = self._context
        if not self._allow_suspicion(sender):
            return
        member, is_news = context.members.apply_suspicion(rumour, sender, context.clock.now)
        if member is not None:
            context.report(MemberChange.SUSPECTED, member)
        if is_news:
            context.outgoing.publish(Suspect(rumour.name, rumour.boot, rumour.incarnation))

    def _apply_to_self(self, rumour: Rumour) -> None:
        """Apply a rumour about this instance: only a suspicion of its present incarnation or a later boot counts."""
        identity = self._context.identity
        match rumour:
            case Suspect() | Dead():
                if (rumour.boot, rumour.incarnation) == (identity.boot, identity.incarnation):
                    self._refutation_due = True
            case Alive() | Left() | HealthReport():
                if rumour.boot > identity.boot and self._is_authentic(rumour):
                    self._yield_name(rumour.boot)

    def _allow_suspicion(self, sender: str) -> bool:
        """Take a token of the sender's bucket: one sender that suspects all must not make every member refute."""
        now = self._context.clock.now
        tokens, at = self._suspicion_tokens.get(sender, (SUSPICION_BURST, now))
        tokens = min(SUSPICION_BURST, tokens + SUSPICION_RATE * (now - at))
        self._suspicion_tokens[sender] = max(tokens - 1, 0.0), now
        return tokens >= 1

    def _is_authentic(self, rumour: Alive | Left | HealthReport) -> bool:
        return self._verifier.is_authentic(rumour)

    def _yield_name(self, later_boot: int) -> None:
        """Stop sending: a later start has this instance's name."""
        identity = self._context.identity
        if not identity.silent:
            identity.silent = True
            self._context.events.append(NameConflict(identity.name, identity.boot, later_boot))
