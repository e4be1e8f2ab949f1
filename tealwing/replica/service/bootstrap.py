"""From what the disk has to a member: its core, and the state as far as it is known to be committed."""

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
    """The state of the newest snapshot; an empty one where there is none. storage.StorageError."""
    state = State()
    if found.snapshot.index:
        state.load(found.snapshot.index, storage.snapshot_files.body(found.snapshot))
    return state


def make_core(plan: ReplicaPlan, peers: PeersPlan, group: Group, found: StoredState, now: float, start: int) -> Raft:
    """The core as the disk has it; start is a number that no earlier start of this member had."""
    voters, learners = group.initial_members(peers)
    return Raft(
        peers.name,
        () if plan.join else voters,
        now,
        seed=start,
        incarnation=start,
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
    """Apply what was known to be committed: it is the state, whoever is there."""
    for entry in core.ready().committed:
        if entry.kind is Kind.DATA:
            state.apply(entry.index, entry.data)
        state.applied = entry.index
