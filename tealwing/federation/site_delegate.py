"""The site delegate: what the leader of a site's log proposes in the federation's log and in the site's; pure.

In the federation's registry the members are sites. All proposals follow only from committed entries of the two logs, so
those of two concurrent delegates of one site, or of a former one, are correct too.
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
Proposals = tuple[list[Body], list[Body]]  # for the site's log, and for the federation's
REJECTED_RETRY_INTERVAL = 30.0  # s; maximum between two proposals of a version that this site rejects


def required_proposals(site: str, site_tables: Tables, fed_tables: Tables, fed_index: int) -> Proposals:
    """Return what to propose in the site's log and what in the federation's, from both states as applied here.

    fed_index is the index of the federation's state. Each proposal is idempotent.
    """
    site_view, federation_view = view_of(site_tables, 0, site), view_of(fed_tables, fed_index, site)
    gateways: Mapping[str, Member] = site_tables["rule_members"]
    if not gateways:
        return [], []
    versions: Mapping[str, Version] = fed_tables["rules"]
    site_proposals = _site_proposals(site_view, federation_view, versions, fed_index)
    federation_proposals = _membership_proposals(site, site_view, federation_view, gateways)
    local, flight = federation_view.local_member, federation_view.in_flight
    if local is not None and not local.expiry_index and flight is not None and not federation_proposals:
        number = flight.number
        if flight.phase in ("proposed", "checked"):
            verdict = flight.verdicts.get(site)
            if (verdict is None or verdict.start != local.start) and (
                new_verdict := _site_verdict(site_view, site_tables, number)
            ) is not None:
                federation_proposals.append(Verdict(number, site, local.start, *new_verdict))
        elif site_view.closing_for == number and local.closed_for != number and site_view.phase_of(number) == "agreed":
            federation_proposals.append(Closed(number, site, local.start))
    return site_proposals, federation_proposals


def _site_proposals(
    site_view: View, federation_view: View, versions: Mapping[str, Version], fed_index: int
) -> list[Body]:
    flight = site_view.in_flight
    if flight is not None:
        if not flight.federated:
            return []  # proposed before the site joined the federation: the site's log decides it
        number, federation_version = flight.number, versions.get(str(flight.number))
        if federation_version is None:  # not applied here yet, or trimmed there since its outcome
            trimmed = federation_view.phase_of(number) is not None
            return (
                [Abort(number, "the federation decided it long ago and has trimmed it", fed_index)] if trimmed else []
            )
        if federation_version.phase in ("rejected", "aborted", "withdrawn"):
            return [Abort(number, federation_version.outcome, federation_version.phase_index)]
        in_force = federation_version.phase in ("active", "superseded")
        if flight.phase == "checked" and (in_force or federation_version.phase in CLOSING):
            return [Close(number)]
        if flight.phase == "agreed" and in_force:
            return [Activate(number, federation_version.phase_index)]
        return []
    target = (
        versions.get(str(federation_view.active))
        if not site_view.is_up_to(federation_view)
        else federation_view.in_flight
    )
    if target is None:
        return []
    phase = site_view.phase_of(target.number)
    if phase is None or (phase == "rejected" and target.phase == "active"):
        return [
            Propose(
                site_view.active,
                target.digest,
                target.text,
                target.author,
                target.created_ms,
                target.reason,
                target.number,
                True,
                target.min_build,
            )
        ]
    return []


def _membership_proposals(
    site: str, site_view: View, federation_view: View, gateways: Mapping[str, Member]
) -> list[Body]:
    """Return the site's `Begin`, due once it has the version in force and its earlier permits have expired.

    The start of a site, unlike that of a gateway, is not tied to a process: its gateways may still hold permits of an
    earlier start.
    """
    local = federation_view.local_member
    serves = any(member.partition_mode == "serve" for member in gateways.values())
    mode: PartitionMode = "serve" if serves or (local is not None and local.partition_mode == "serve") else "hold"
    build = min(member.build for member in gateways.values())
    permit = max(member.permit for member in gateways.values())
    if local is None:
        return [Begin(site, 1, mode, build, permit)] if site_view.is_up_to(federation_view) else []
    if local.expiry_index and not (local.expiry_confirmed and site_view.is_up_to(federation_view)):
        return []
    if local.expiry_index or local.partition_mode != mode:
        return [Begin(site, local.start + 1, mode, build, permit, local.start)]
    return []


def _site_verdict(site_view: View, site_tables: Tables, number: int) -> tuple[bool, str] | None:
    """Return whether the site accepts a proposed version, and the reason if not; None while undecided."""
    phase = site_view.phase_of(number)
    if phase in ("checked", "preparing", "agreed", "active"):
        return True, ""
    if phase in ("rejected", "aborted", "withdrawn"):
        recorded: Version | None = site_tables["rules"].get(str(number))
        return False, recorded.outcome if recorded is not None else f"this site has already assigned number {number}"
    if (phase is None and 0 < number <= site_view.last_number) or phase == "superseded":
        return False, f"this site has already assigned number {number}"
    return None


class SiteDelegate:
    """The delegate of one site: its required proposals, each repeated only after its backoff."""

    def __init__(self, site: str, seed: int = 0) -> None:
        self.site = site
        self._retry, self._propose_retry = Retry(seed), Retry(seed + 1, REJECTED_RETRY_INTERVAL)

    def due_proposals(self, now: float, site_tables: Tables, fed_tables: Tables, fed_index: int) -> Proposals:
        """Return what to propose now in the site's log and in the federation's; for the leader of the site's log."""
        site_proposals, federation_proposals = required_proposals(self.site, site_tables, fed_tables, fed_index)
        keyed: list[tuple[Hashable, Body]] = [(_key(body), body) for body in (*site_proposals, *federation_proposals)]
        self._retry.retain([key for key, body in keyed if not isinstance(body, Propose)])
        ready = [body for key, body in keyed if self._is_due(now, key, body)]
        return [body for body in site_proposals if body in ready], [
            body for body in federation_proposals if body in ready
        ]

    def _is_due(self, now: float, key: Hashable, body: Body) -> bool:
        if not isinstance(body, Propose):
            return self._retry.ready(now, key)
        self._propose_retry.retain([key])  # kept, so that the backoff grows while a site rejects the version
        return self._propose_retry.ready(now, key)


def _key(body: Body) -> Hashable:
    match body:
        case Begin():
            return "begin", body.start
        case Propose() | Activate() | Abort() | Close() | Closed() | Verdict():
            return type(body).__name__, body.number
        case _:
            return repr(body)
