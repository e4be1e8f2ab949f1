"""What whoever leads a site's log says for the site in the federation's log, and does in its own; pure.

In the federation's registry the members are sites. All here follows from entries that are committed in either log and
from nothing else: two delegates of one site, or an old one, say nothing that is not so.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Any

from tealwing.rollout.agent.retry import Retry
from tealwing.rollout.agent.view import CLOSING, View, view_of
from tealwing.rules.records import (
    Abort,
    Activate,
    Begin,
    Body,
    Close,
    Closed,
    Member,
    PartitionMode,
    Propose,
    Verdict,
    Version,
)

Tables = Mapping[str, Mapping[str, Any]]
Said = tuple[list[Body], list[Body]]  # for the site's log, and for the federation's
SELDOM = 30.0  # s at most between tries of a version that this site turns down


def duties(site: str, site_tables: Tables, fed_tables: Tables, fed_index: int) -> Said:
    """What to propose in the site's log, and what in the federation's, by both states as they are applied here.

    The federation's state is that at fed_index. Said again, each of these changes nothing more.
    """
    here, there = view_of(site_tables, 0, site), view_of(fed_tables, fed_index, site)
    gateways: Mapping[str, Member] = site_tables["rule_members"]
    if not gateways:
        return [], []
    versions: Mapping[str, Version] = fed_tables["rules"]
    ours = _here(here, there, versions, fed_index)
    theirs = _begin(site, here, there, gateways)
    me, flight = there.local_member, there.in_flight
    if me is not None and not me.expiry_index and flight is not None and not theirs:
        number = flight.number
        if flight.phase in ("proposed", "checked"):
            said = flight.verdicts.get(site)
            if (said is None or said.start != me.start) and (word := _word(here, site_tables, number)) is not None:
                theirs.append(Verdict(number, site, me.start, *word))
        elif here.closing_for == number and me.closed_for != number and here.phase_of(number) == "agreed":
            theirs.append(Closed(number, site, me.start))
    return ours, theirs


def _here(here: View, there: View, versions: Mapping[str, Version], fed_index: int) -> list[Body]:
    flight = here.in_flight
    if flight is not None:
        if not flight.federated:
            return []  # of before the site took part: its own log ends it
        number, theirs = flight.number, versions.get(str(flight.number))
        if theirs is None:  # not heard of yet, or over so long ago that nothing needs it here
            gone = there.phase_of(number) is not None
            return [Abort(number, "it is long over in the federation", fed_index)] if gone else []
        if theirs.phase in ("rejected", "aborted", "withdrawn"):
            return [Abort(number, theirs.outcome, theirs.phase_index)]
        in_force = theirs.phase in ("active", "superseded")
        if flight.phase == "checked" and (in_force or theirs.phase in CLOSING):
            return [Close(number)]
        if flight.phase == "agreed" and in_force:
            return [Activate(number, theirs.phase_index)]
        return []
    wanted = versions.get(str(there.active)) if not here.is_up_to(there) else there.in_flight
    if wanted is None:
        return []
    phase = here.phase_of(wanted.number)
    if phase is None or phase == "rejected" and wanted.phase == "active":
        return [
            Propose(
                here.active,
                wanted.digest,
                wanted.text,
                wanted.author,
                wanted.created_ms,
                wanted.reason,
                wanted.number,
                True,
                wanted.min_build,
            )
        ]
    return []


def _begin(site: str, here: View, there: View, gateways: Mapping[str, Member]) -> list[Body]:
    """A site begins when it has what is in force, and its earlier permits are over.

    A lapsed gateway's new start is its own; a site's is nobody's: its gateways may still have permits of the old one.
    """
    me = there.local_member
    serves = any(member.partition_mode == "serve" for member in gateways.values())
    mode: PartitionMode = "serve" if serves or me is not None and me.partition_mode == "serve" else "hold"
    build = min(member.build for member in gateways.values())
    permit = max(member.permit for member in gateways.values())
    if me is None:
        return [Begin(site, 1, mode, build, permit)] if here.is_up_to(there) else []
    if me.expiry_index and not (me.expiry_confirmed and here.is_up_to(there)):
        return []
    if me.expiry_index or me.partition_mode != mode:
        return [Begin(site, me.start + 1, mode, build, permit, me.start)]
    return []


def _word(here: View, site_tables: Tables, number: int) -> tuple[bool, str] | None:
    """The site's word on a version that is proposed; None as long as it has none."""
    phase = here.phase_of(number)
    if phase in ("checked", "preparing", "agreed", "active"):
        return True, ""
    if phase in ("rejected", "aborted", "withdrawn"):
        kept: Version | None = site_tables["rules"].get(str(number))
        return False, kept.outcome if kept is not None else f"number {number} was given at this site already"
    if phase is None and 0 < number <= here.last_number or phase == "superseded":
        return False, f"number {number} was given at this site already"
    return None


class Delegate:
    """The duties, each no more often than its wait allows."""

    def __init__(self, site: str, seed: int = 0) -> None:
        self.site, self._retry, self._proposals = site, Retry(seed), Retry(seed + 1, SELDOM)

    def look(self, now: float, site_tables: Tables, fed_tables: Tables, fed_index: int) -> Said:
        """What to propose now in the site's log, and in the federation's; for whoever leads the site's log."""
        ours, theirs = duties(self.site, site_tables, fed_tables, fed_index)
        keyed: list[tuple[Hashable, Body]] = [(_key(body), body) for body in (*ours, *theirs)]
        self._retry.retain([key for key, body in keyed if not isinstance(body, Propose)])
        ready = [body for key, body in keyed if self._due(now, key, body)]
        return [body for body in ours if body in ready], [body for body in theirs if body in ready]

    def _due(self, now: float, key: Hashable, body: Body) -> bool:
        if not isinstance(body, Propose):
            return self._retry.ready(now, key)
        self._proposals.retain([key])  # not forgotten while it is in flight: one that is turned down comes again seldom
        return self._proposals.ready(now, key)


def _key(body: Body) -> Hashable:
    match body:
        case Begin():
            return "begin", body.start
        case Propose() | Activate() | Abort() | Close() | Closed() | Verdict():
            return type(body).__name__, body.number
        case _:
            return repr(body)
