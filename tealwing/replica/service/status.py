"""What a member says of itself to operators, and what it sees of the fleet."""

from __future__ import annotations

from typing import Any

from tealwing import log
from tealwing.replica.service.member import Member
from tealwing.replica.service.recovery import FleetView

RECENT_TERMS = 64  # leaders by term that are remembered for the status


def status(replica: Member) -> dict[str, Any]:
    """What operators ask for."""
    core = replica.core
    role = "out" if replica.broken else core.role.value
    with replica.lock:
        counts, digest_at = replica.state.counts(), replica.state.applied
    return {
        "role": role,
        "term": core.term,
        "leader": core.leader,
        "members": list(core.members),
        "learners": list(core.learners),
        "commit": core.commit,
        "applied": digest_at,
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
    """What it sees of the fleet, for the order of return; live are the peers that are heard."""
    core = replica.core
    heard = 1 + sum(1 for name in live if name in core.members)
    leader = "" if replica.broken else core.leader
    return FleetView(leader, core.term, core.unconfirmed, core.commit, replica.state.applied, heard, len(core.members))


def note_leader(replica: Member) -> None:
    """Remember and log who leads which term, once."""
    core, terms = replica.core, replica.leaders_by_term
    if not core.leader or terms.get(core.term) == core.leader:
        return
    log.check_invariant(core.term not in terms, "one leader in a term")
    terms[core.term] = core.leader
    if len(terms) > RECENT_TERMS:
        del terms[min(terms)]
    log.event("replica_led", term=core.term, leader=core.leader, **replica.group.log_fields)


def log_start(replica: Member) -> None:
    """Log what the disk had, and what is believed of it."""
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
