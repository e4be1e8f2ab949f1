"""Status of a member for operators, its view of the fleet, and the log events of its start and its leaders."""

from __future__ import annotations

from typing import Any

from tealwing import log
from tealwing.replica.service.member import Member
from tealwing.replica.service.recovery import FleetView

RECENT_TERMS = 64  # latest terms whose leaders are kept for the status


def status(replica: Member) -> dict[str, Any]:
    """Return a member's status for operators."""
    core = replica.core
    role = "out" if replica.broken else core.role.value
    with replica.lock:
        counts, applied = replica.state.counts(), replica.state.applied
    return {
        "role": role,
        "term": core.term,
        "leader": core.leader,
        "members": list(core.members),
        "learners": list(core.learners),
        "commit": core.commit,
        "applied": applied,
        "last": core.last_index,
        "stable": core.stable,
        "snapshot": core.snapshot.index,
        "unsure": core.unconfirmed,
        "broken": replica.broken,
        "held": counts,
        "snapshots": replica.snapshots.count,
        "kept": replica.storage.commit,
        "save_ms_max": round(replica.slowest_save * 1e3, 1),
        "refused_stale": replica.state.rejected_stale,
        "phase": replica.recovery.phase.value,
        "leaders": {str(term): name for term, name in list(replica.leaders_by_term.items())},
    }


def observe(replica: Member, live: list[str]) -> FleetView:
    """Return a member's view of the fleet, for the recovery phases; `live` names the reachable peers."""
    core = replica.core
    reachable = 1 + sum(1 for name in live if name in core.members)
    leader = "" if replica.broken else core.leader
    return FleetView(
        leader, core.term, core.unconfirmed, core.commit, replica.state.applied, reachable, len(core.members)
    )


def record_leader(replica: Member) -> None:
    """Record and log the leader of the current term, once per term."""
    core, terms = replica.core, replica.leaders_by_term
    if not core.leader or terms.get(core.term) == core.leader:
        return
    log.check_invariant(core.term not in terms, "a term has at most one leader")
    terms[core.term] = core.leader
    if len(terms) > RECENT_TERMS:
        del terms[min(terms)]
    log.event("replica_led", term=core.term, leader=core.leader, **replica.group.log_fields)


def log_start(replica: Member) -> None:
    """Log what was restored from storage, and the degree of trust in each item of it."""
    found, core = replica.stored, replica.core
    log.event(
        "replica_started", term=found.term, snapshot=found.snapshot.index, last=core.last_index,
        cut_bytes=found.truncated_bytes, fresh=found.fresh, members=list(core.members), unsure=core.unconfirmed,
        **replica.group.log_fields,
    )  # fmt: skip
    for item in replica.trust_report:
        log.event(
            "recovery_belief", what=item.kind, key=item.key, trust=item.trust.value, why=item.reason,
            until_ms=item.until_ms, **replica.group.log_fields,
        )  # fmt: skip
