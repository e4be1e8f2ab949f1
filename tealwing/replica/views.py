"""What a member says of itself to operators, and what it sees of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tealwing import log
from tealwing.replica.recovery import Seen

if TYPE_CHECKING:
    from tealwing.replica.node import Replica

RECENT_TERMS = 64  # leaders by term that are remembered for the status


def status(replica: Replica) -> dict[str, Any]:
    """What operators ask for."""
    core = replica.core
    role = "out" if replica.broken else core.role.value
    with replica.lock:
        counts, digest_at = replica.state.counts(), replica.state.applied
    return {
        "role": role, "term": core.term, "leader": core.leader, "members": list(core.members),
        "learners": list(core.learners), "commit": core.commit, "applied": digest_at, "last": core.last_index,
        "stable": core.stable, "snapshot": core.snapshot.index, "unsure": core.unsure, "broken": replica.broken,
        "held": counts, "snapshots": replica.snapshots.count, "kept": replica.storage.commit,
        "save_ms_max": round(replica.slowest_save * 1e3, 1), "refused_stale": replica.state.refused_stale,
        "phase": replica.back.phase.value, "leaders": {str(term): name for term, name in list(replica.terms.items())},
    }  # fmt: skip


def seen(replica: Replica, live: list[str]) -> Seen:
    """What it sees of the fleet, for the order of return; live are the peers that are heard."""
    core = replica.core
    heard = 1 + sum(1 for name in live if name in core.members)
    leader = "" if replica.broken else core.leader
    return Seen(leader, core.term, core.unsure, core.commit, replica.state.applied, heard, len(core.members))


def note_leader(replica: Replica) -> None:
    """Remember and log who leads which term, once."""
    core, terms = replica.core, replica.terms
    if not core.leader or terms.get(core.term) == core.leader:
        return
    log.check_invariant(core.term not in terms, "one leader in a term")
    terms[core.term] = core.leader
    if len(terms) > RECENT_TERMS:
        del terms[min(terms)]
    log.event("replica_led", term=core.term, leader=core.leader, **replica.group.mark)


def tell_start(replica: Replica) -> None:
    """Log what the disk had, and what is believed of it."""
    found, core = replica.found, replica.core
    log.event(
        "replica_started", term=found.term, snapshot=found.snapshot.index, last=core.last_index,
        cut_bytes=found.cut, fresh=found.fresh, members=list(core.members), unsure=core.unsure,
        **replica.group.mark,
    )  # fmt: skip
    for belief in replica.beliefs:
        log.event(
            "recovery_belief", what=belief.what, key=belief.key, trust=belief.trust.value, why=belief.why,
            until_ms=belief.until_ms, **replica.group.mark,
        )  # fmt: skip
