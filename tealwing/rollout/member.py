"""One gateway's part in a change of rules: when it may decide, and under which version; pure.

It closes as it applies `Close`, says so once the mark is on its disk, and opens on nothing but a known outcome. With
`serve` its disk is enough at a start; with `hold` it decides nothing until its Begin is applied here and a permit says
that nobody has gone on without it. The argument is in docs/rules.md.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable

from tealwing.leases.bounds import DEFAULT_BOUNDS, LeaseBounds
from tealwing.rollout.actions import FOREVER, HELD, Action, Check, Gate, Read, Restart, Say, Token, WriteMark
from tealwing.rollout.permit import Permit
from tealwing.rollout.retry import MOST, Retry
from tealwing.rollout.view import FederatedView, View, view
from tealwing.rules.records import Begin, Closed, LostTouch, Verdict

__all__ = [
    "HELD", "Action", "Check", "FederatedView", "Gate", "Machine", "Read", "Restart", "Say", "Token", "View",
    "WriteMark", "view",
]  # fmt: skip

GUESS = 1.0  # s after which the sabotaged guess


class Machine:
    """Asked by the shell after every applied entry and on a tick; it never waits."""

    def __init__(
        self,
        name: str,
        lost_touch: LostTouch,
        start: int,
        permit: float = 2.0,
        bounds: LeaseBounds = DEFAULT_BOUNDS,
        mark: int = 0,
        build: int = 1,
        seed: int = 0,
        sabotage: frozenset[str] = frozenset(),
        disk: View | None = None,
        federated: bool = False,
        disk_federated: FederatedView | None = None,
        peers: int = 0,
    ) -> None:
        """permit is s. mark is the number on disk, 0 for none.

        disk is what the state on this disk said at the start, before any entry came from others; None, or one without
        us: it knows nothing. peers is how many members the section `peers` has: at a start the log is not known yet.
        federated: this site takes part in a federation, whose log on this disk is disk_federated.
        """
        self.name, self.lost_touch, self.start, self.mark = name, lost_touch, start, mark
        self._permit, self._build, self._sabotage, self._federated = permit, build, sabotage, federated
        holds = lost_touch == "hold"
        self._site = Permit(permit, bounds, holds)
        self._fed = Permit(permit, bounds, holds)
        self._view: View | None = disk
        self._fed_view: FederatedView | None = disk_federated
        self._from_disk = disk is not None and disk.me is not None
        if not holds and disk is not None and disk.me is not None and disk.me.lost_touch == "serve" and mark != HELD:
            self._site.trust()  # whoever went on has waited for a word of ours, which the mark would tell
        if not holds and disk_federated is not None and disk_federated.me is not None:
            self._fed.trust()
        self._retry, self._serial = Retry(seed), 0
        self._peers = peers
        self._checked: dict[int, tuple[bool, str]] = {}  # of the version in flight alone
        self._closed_at: tuple[int, float] | None = None  # for the sabotaged

    # What came of what was asked for

    def marked(self, number: int) -> None:
        """That number is on disk."""
        self.mark = number

    def checked(self, number: int, yes: bool, reason: str = "") -> None:
        """What the check of a version's bundle gave."""
        self._checked = {number: (yes, reason)}

    def said(self, now: float, action: Action, ok: bool) -> None:
        """An action was done, or was not: what the state does not show is asked for again in its time anyway."""

    def read_sent(self, now: float, federation: bool = False) -> Token:
        """A read is sent now; the token goes with it."""
        self._serial += 1
        return Token(self._serial, now, self.start, federation)

    def read_done(self, now: float, token: Token, index: int) -> None:
        """All that was committed when the read was sent lies at or before that index."""
        (self._fed if token.federation else self._site).answered(token, index)
        self._take()

    def read_wanted(self, federation: bool = False) -> bool:
        """Whether a read of that log would allow more than is allowed already: for the model check."""
        return (self._fed if federation else self._site).until < FOREVER

    def read_failed(self, now: float, token: Token) -> None:
        """Nobody could say."""
        (self._fed if token.federation else self._site).failed(now, min(MOST, 0.1 * self._permit))

    def clone(self) -> Machine:
        """One like this that goes its own way, but for its retries: for the model check."""
        twin = copy.copy(self)
        twin._site, twin._fed = self._site.clone(), self._fed.clone()
        return twin

    def key(self) -> tuple[Hashable, ...]:
        """All that decides what it does later, but for its views and its retries: for the model check."""
        closed = self._closed_at if self._sabotage else None
        return (
            self.lost_touch, self.start, self.mark, self._from_disk, self._site.key(), self._fed.key(), closed,
            *self._checked,
        )  # fmt: skip

    # What to do

    def look(self, now: float, view: View, federated: FederatedView | None = None) -> list[Action]:
        """What there is to do by that state."""
        self._view, self._fed_view = view, federated or self._fed_view
        found: list[Action] = []
        me, renewed = view.me, False
        if me is not None and (me.start > self.start or (me.start == self.start and me.lapsed)):
            renewed = "no-permit" not in self._sabotage or me.start > self.start
        if me is not None and renewed:
            self.start = me.start + 1
            found.append(Restart(self.start))
            if self.lost_touch == "hold":
                self._site.drop()
                self._fed.drop()
        self._take()
        wanted = self._wanted(view)
        members = max(view.members, self._peers)
        self._retry.keep([key for key, _ in wanted])
        found += [action for key, action in wanted if self._retry.ready(now, key, members)]
        return found + self._reads(now, view)

    def _wanted(self, view: View) -> list[tuple[Hashable, Action]]:
        me, flight, holds = view.me, view.flight, self.lost_touch == "hold"
        if holds and self.mark != HELD:  # before the log may ever have us as `hold`: a later `serve` must not trust us
            return [("mark", WriteMark(HELD))]
        if me is None or me.start != self.start or me.lost_touch != self.lost_touch:
            replaces = me.start if me is not None else 0
            permit = round(self._permit * 1e3) if holds else 0
            return [(("begin", self.start, replaces),
                     Say(Begin(self.name, self.start, self.lost_touch, self._build, permit, replaces)))]  # fmt: skip
        if flight is None:
            self._checked = {}
        if not view.closing:
            if self.mark == HELD and not holds and self._site.until == FOREVER:
                return [("mark", WriteMark(view.active))]
            if flight is None or flight.phase not in ("proposed", "checked"):
                return []
            number, said = flight.number, flight.said.get(self.name)
            if said is not None and said.start == self.start:
                return []
            if number not in self._checked:
                return [(("check", number, self.start), Check(number))]
            yes, reason = self._checked[number]
            return [(("verdict", number, self.start), Say(Verdict(number, self.name, self.start, yes, reason)))]
        number = view.closing
        if me.closed == number:
            return []
        if not holds and self.mark != number:
            late = self.mark > number and not (self.mark == HELD and self._site.until == FOREVER)
            return [] if late else [(("mark", number), WriteMark(number))]
        return [(("closed", number, self.start), Say(Closed(number, self.name, self.start)))]

    def _reads(self, now: float, view: View) -> list[Action]:
        found: list[Action] = []
        me = view.me
        if me is not None and me.start == self.start and me.lost_touch == self.lost_touch and self._site.wants(now):
            found.append(Read())
        fed = self._fed_view
        if self._federated and fed is not None and fed.me is not None and self._fed.wants(now):
            found.append(Read(True))
        return found

    def _take(self) -> None:
        view, fed = self._view, self._fed_view
        if view is not None and view.me is not None and view.me.lost_touch == self.lost_touch:
            self._site.take(view, self.start, self._permit, self.start)
        if fed is not None and fed.me is not None and (self.lost_touch == "hold" or fed.me.lost_touch == "serve"):
            lasts = fed.me.permit / 1e3 if fed.me.lost_touch == "hold" else self._permit
            self._fed.take(fed, self.start, lasts, fed.me.start)

    # Whether requests are decided

    def gate(self, now: float) -> Gate:
        """What may be decided now. To be asked for anew after every look, and when `until` has come."""
        seen = self._view
        if seen is None:
            return Gate("shut", 0, 0, "nothing is known yet of the versions of the rules")
        closing = seen.closing
        if not closing and self.mark not in (0, HELD) and not seen.settled(self.mark):
            closing = self.mark
        if not (closing and self._closed_at and self._closed_at[0] == closing):
            self._closed_at = (closing, now) if closing else None
        why, until = self._barred(now, seen)
        if why:
            return Gate("shut", seen.active, closing, why)
        if (early := self._early(now, seen, closing)) is not None:
            return Gate("open", early, 0, "", until)
        if not closing:
            return Gate("open", seen.active, 0, "", until)
        if seen.known(closing) is None or 0 < self.mark < HELD and seen.known(self.mark) is None:
            return Gate("shut", seen.active, closing, f"closed for version {closing}, which is not known here", until)
        return Gate("closed", seen.active, closing, f"closed for version {closing} until its outcome is known", until)

    def _barred(self, now: float, seen: View) -> tuple[str, float]:
        """Why nothing may be decided, and until when that does not change by itself."""
        if "start-from-disk" in self._sabotage and self._from_disk and self.lost_touch == "hold":
            return "", FOREVER
        me, until = seen.me, self._site.until
        if "no-permit" in self._sabotage and until:
            return "", FOREVER
        if me is None:
            return "not in the fleet's table yet", until
        if self.lost_touch == "hold":
            if me.start != self.start or me.lost_touch != "hold":
                return "its start is not in the fleet's table yet", until
            if me.lapsed:
                return "the fleet has gone on without it: it begins anew", until
            if not self._site.valid(now):
                return "lost touch: its permit is over, and a majority has not answered since", until
        elif not self._site.valid(now):
            return "it does not know yet whether what its disk has is the newest", until
        if not self._federated:
            return "", until
        why = self._outside(now, seen)
        return why, min(until, self._fed.until)

    def _outside(self, now: float, seen: View) -> str:
        """Why the federation bars this site."""
        fed = self._fed_view
        if fed is None or fed.me is None:
            return "its site is not in the federation's table yet"
        if self.lost_touch == "serve" and fed.me.lost_touch == "hold":
            return "the federation may go on without this site until it knows that a gateway here serves on"
        if fed.me.lapsed:
            return "the federation has gone on without this site: it begins anew"
        if not self._fed.valid(now):
            return "lost touch with the federation: its permit is over" if self.lost_touch == "hold" else \
                "it does not know yet whether what its disk has of the federation is the newest"  # fmt: skip
        if fed.closing and fed.me.closed == fed.closing and fed.closing not in (seen.closing, seen.active):
            return f"the federation counts this site as closed for version {fed.closing}, and it has not closed here"
        if not seen.is_up_to(fed) and (seen.closing != fed.active or seen.active and not seen.decided):
            return f"version {fed.active} is in force in the federation, and not here yet"
        return ""

    def _early(self, now: float, seen: View, closing: int) -> int | None:
        """The version that a sabotaged member opens under without an outcome."""
        flight = seen.flight
        if not closing or flight is None or flight.number != closing:
            return None
        said = seen.me is not None and seen.me.closed == closing
        if "early-open" in self._sabotage and (self.mark == closing or said):
            return closing
        if "site-early" in self._sabotage and flight.federated and flight.phase == "agreed":
            return closing
        if "guess-after-close" in self._sabotage and self._closed_at and now - self._closed_at[1] >= GUESS:
            return seen.active
        return None
