"""Raft consensus core: no I/O, no clock but the `now` passed in, deterministic for a given seed and event sequence.

It follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and Ongaro's dissertation
for pre-vote, check-quorum, read-index and single-server membership changes. As in etcd's raft package, the core keeps
state and produces messages, and a shell does the I/O: it calls `step`, `tick`, `propose` or `read`, takes `ready()`,
writes its hard state and entries to disk, calls `entries_saved`, and only then sends the messages and applies the
committed entries.

Stale disks (an extension of Raft). A member whose disk lost its last writes has lost votes that it granted and entries
that it acknowledged, and cannot detect it. With `stale` = s, at most s members at a time may be in that state. Each
incarnation of a member is *unconfirmed* until the leader sends it `ConfirmIncarnation`, and a quorum with u unconfirmed
members needs min(s, u) members more than a majority. Any two such quorums share a member that has lost nothing, so
Raft's quorum intersection holds. The leader sends `ConfirmIncarnation` once the member holds everything committed at
some time after its start at which the leader is known to have led: a vote of that incarnation for the leader shows
this, or a later round acknowledged by a quorum without the member. As votes may be lost while a candidate still
collects them, it becomes leader only after a quorum of members has confirmed their votes (see election.py).
docs/replication.md has the proof, and benchmarks/consensus.py the model check.

The class `Raft` is built in layers, each derived from the one before. Read the modules in this order: records, state,
quorum, follower, replication, commit, membership, leader, election, core.
"""

from __future__ import annotations

from tealwing.replica.raft.core import Raft
from tealwing.replica.raft.records import BusyError, Mode, NotLeaderError, Options, Progress, Ready, Role, SnapshotMeta

__all__ = [
    "BusyError", "Mode", "NotLeaderError", "Options", "Progress", "Raft", "Ready", "Role", "SnapshotMeta",
]  # fmt: skip
