"""Raft, the core: no I/O, no clock but the one passed in, the same for the same seed and events.

After Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), with Ongaro's dissertation for
pre-vote, check-quorum, read-index and membership changes of one member at a time. Like etcd's raft package the core
keeps state and makes messages, and a shell moves messages and writes the disk: it calls `step`, `tick`, `propose` or
`read`, then takes `ready()`, writes what that says to disk, calls `entries_saved`, and only then sends the messages and
applies what is committed.

Disks that come back older (ours). A member whose disk lost its last writes has forgotten votes that it gave and entries
that it acknowledged, and does not know it. With `stale` = s, at most s members at a time may be in that state. Each
start is *unconfirmed* until the leader says `ConfirmIncarnation`, and every quorum of which u members are unconfirmed
needs min(s, u) members more than a majority. Two such quorums share a member that has forgotten nothing, so what Raft
rests on holds. The leader says `ConfirmIncarnation` once the member has what was committed when the leader knew that it
still led, as of after the member's start: its vote in that start shows that, or a round that a quorum without it has
answered since. Votes may be forgotten while a candidate still collects them: it leads only once all whose votes it
counts have said that they hold them still (see election). docs/replication.md has the argument, and
benchmarks/consensus.py the model check.

The class is built in layers, each on the one before it; read them in this order: records, state, quorum, follower,
replication, commit, membership, leader, election, core.
"""

from __future__ import annotations

from tealwing.replica.raft.core import Raft
from tealwing.replica.raft.records import BusyError, Mode, NotLeaderError, Options, Progress, Ready, Role, SnapshotMeta

__all__ = [
    "BusyError", "Mode", "NotLeaderError", "Options", "Progress", "Raft", "Ready", "Role", "SnapshotMeta",
]  # fmt: skip
