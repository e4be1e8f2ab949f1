"""Snapshots: scheduling, writing on a separate thread, and installing one that is received in chunks."""

from __future__ import annotations

import random
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

import msgspec

from tealwing import log, threads
from tealwing.replica.group import Group
from tealwing.replica.messages import InstallSnapshot
from tealwing.replica.plan import ReplicaPlan
from tealwing.replica.raft import Raft, SnapshotMeta
from tealwing.replica.state import State
from tealwing.replica.storage.store import Storage

RETAINED_ENTRIES, RETAINED_BYTES = 2000, 8 << 20  # maximum log kept before a snapshot, for slightly lagging followers
# random factor of the interval: members apply the same entries and would otherwise write snapshots at the same time
INTERVAL_JITTER = (0.75, 1.25)
MAX_LOG_BYTES = 32 << 20  # log size at which a snapshot is due, however few the entries, as memory holds the log too


class SnapshotManager:
    """Snapshots of one member; confined to its thread, except for `request`."""

    def __init__(
        self, plan: ReplicaPlan, storage: Storage, core: Raft, queue: SimpleQueue[tuple[Any, ...]],
        replace: Callable[[State], None], group: Group,
    ) -> None:  # fmt: skip
        """Set up the manager; `replace` is called with the state of an installed snapshot."""
        self._group = group
        self._plan, self._storage, self._core, self._queue, self._replace = plan, storage, core, queue, replace
        self._writing = self._requested = False  # whether a write is in progress, and whether one was requested
        self._next_interval = random_interval(plan)  # entries until the next snapshot
        self.bytes = sum(len(entry.data) for entry in core.log)  # size of the entries since the last snapshot
        self.count = 0  # snapshots written

    def restart(self, core: Raft) -> None:
        """Switch to a core that was rebuilt from storage; a snapshot write in progress continues."""
        self._core = core
        self.bytes = sum(len(entry.data) for entry in core.log)

    def request(self) -> None:
        """Request a snapshot regardless of the entries since the last one; thread-safe."""
        self._requested = True
        self._queue.put(("wake",))

    def fill_chunk(self, snap: InstallSnapshot) -> InstallSnapshot | None:
        """Return the chunk with its bytes read from storage, or None if the snapshot no longer exists."""
        data = self._storage.snapshot_files.read_chunk(SnapshotMeta(snap.index, snap.index_term), snap.offset)
        return None if data is None else msgspec.structs.replace(snap, data=data)

    def receive_chunk(self, chunk: InstallSnapshot) -> bool:
        """Store a chunk of a received snapshot, and install the snapshot with the last one.

        Returns False if the snapshot is invalid. Raises OSError if the disk fails.
        """
        self._storage.snapshot_files.write_chunk(chunk.index, chunk.index_term, chunk.offset, chunk.data)
        if chunk.offset + len(chunk.data) < chunk.total:
            return True
        meta = self._storage.install_snapshot(chunk.index, chunk.index_term)
        if meta is None:
            self._core.snapshot_rejected()
            log.event("replica_snapshot_refused", index=chunk.index, **self._group.log_fields)
            return False
        installed = State()
        installed.load(meta.index, self._storage.snapshot_files.body(meta))
        self._core.snapshot_installed(meta)
        log.event("replica_snapshot_installed", index=meta.index, size=meta.size, **self._group.log_fields)
        self._replace(installed)
        return True

    def maybe_write(self, state: State) -> None:
        """Start writing a snapshot if one is due or was requested."""
        due = state.applied - self._core.snapshot.index >= self._next_interval or self.bytes >= MAX_LOG_BYTES
        if self._writing or not (due or self._requested):
            return
        self._requested = False
        index = state.applied
        term = self._core.term_at(index)
        if index <= self._core.snapshot.index or term is None:
            return
        copied_state, (voters, learners) = state.copy(), self._core.members_at(index)
        self._writing, self.bytes, self._next_interval = True, 0, random_interval(self._plan)

        def write() -> None:
            try:
                meta: SnapshotMeta | None = self._storage.snapshot_files.write(
                    index, term, voters, copied_state.dump(), learners
                )
            except OSError as error:
                log.event("replica_snapshot_not_written", index=index, error=str(error), **self._group.log_fields)
                meta = None
            self._queue.put(("snapshot_written", meta))

        try:
            threads.start(write, self._group.thread_name("replica-snapshot"))
        except threads.ThreadUnavailableError:
            self._writing = False

    def finish_write(self, meta: SnapshotMeta | None) -> None:
        """Adopt a written snapshot and compact the log; meta is None if the write failed."""
        self._writing = False
        if meta is None or meta.index <= self._core.snapshot.index:
            return
        self._storage.adopt_snapshot(meta)
        retained = size = 0
        for entry in reversed(self._core.entries(meta.index - RETAINED_ENTRIES + 1, meta.index)):
            size += len(entry.data)
            if size > RETAINED_BYTES:
                break
            retained += 1
        self._core.compact(meta, retained)
        self.count += 1
        log.event("replica_snapshot", index=meta.index, size=meta.size, **self._group.log_fields)


def random_interval(plan: ReplicaPlan) -> float:
    """Return the number of entries until the next snapshot, jittered."""
    return plan.snapshot_entries * random.uniform(*INTERVAL_JITTER)
