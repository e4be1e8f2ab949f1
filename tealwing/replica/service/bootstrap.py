"""Construction of a member from its storage: the Raft core, and the state machine up to the known commit index."""

from __future__ import annotations

from tealwing.peers.plan import Plan as PeersPlan
from tealwing.replica.group import Group
from tealwing.replica.messages import Kind
from tealwing.replica.plan import ReplicaPlan
from tealwing.replica.raft import Options, Raft
from tealwing.replica.state import State
from tealwing.replica.storage.records import StoredState
from tealwing.replica.storage.store import Storage


def read_state(storage: Storage, found: StoredState) -> State:
    """Return the state of the newest snapshot, or an empty state if there is none.

    Raises storage.StorageError if the snapshot can't be read.
    """
    state = State()
    if found.snapshot.index:
        state.load(found.snapshot.index, storage.snapshot_files.body(found.snapshot))
    return state


def make_core(
    plan: ReplicaPlan, peers: PeersPlan, group: Group, found: StoredState, now: float, incarnation: int
) -> Raft:
    """Return a Raft core restored from storage.

    `incarnation` is the incarnation number; no earlier start of this member may have used it.
    """
    voters, learners = group.initial_members(peers)
    return Raft(
        peers.name,
        () if plan.join else voters,
        now,
        seed=incarnation,
        incarnation=incarnation,
        options=Options(
            heartbeat_interval=plan.heartbeat_interval,
            election_timeout=plan.election_timeout,
            max_stale_disks=plan.max_stale_disks,
        ),
        term=found.term,
        vote=found.vote,
        snapshot=found.snapshot,
        log=found.log,
        incoming_snapshot=found.incoming,
        commit=found.commit,
        learners=() if plan.join else learners,
    )


def catch_up(core: Raft, state: State) -> None:
    """Apply the log up to the stored commit index; applying committed entries needs no leader."""
    for entry in core.ready().committed:
        if entry.kind is Kind.DATA:
            state.apply(entry.index, entry.data)
        state.applied = entry.index
