"""Snapshots: when one is due, writing it on a thread of its own, and taking another's in pieces."""

from __future__ import annotations

import random
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

import msgspec

from tealwing import log, threads
from tealwing.replica.group import Group
from tealwing.replica.messages import Snap
from tealwing.replica.plan import Plan
from tealwing.replica.raft import Meta, Raft
from tealwing.replica.state import State
from tealwing.replica.storage import Storage

TRAIL, TRAIL_BYTES = 2000, 8 << 20  # entries kept behind a snapshot, for who is a little behind
SPREAD = (0.75, 1.25)  # times the entries of the plan, at random: members apply the same and would all write at once
LOG_BYTES = 32 << 20  # of entries after which a snapshot is due, however few they are: the log is in memory too


class Snapshots:
    """One member's snapshots. Its thread's own, but for `want`."""

    def __init__(
        self, plan: Plan, storage: Storage, core: Raft, queue: SimpleQueue[tuple[Any, ...]],
        replace: Callable[[State], None], group: Group,
    ) -> None:  # fmt: skip
        """replace takes the state that another's snapshot makes."""
        self._group = group
        self._plan, self._storage, self._core, self._queue, self._replace = plan, storage, core, queue, replace
        self._writing = self._wanted = False  # one, on a thread of its own; asked for
        self._due = plan_due(plan)  # entries after which the next snapshot is written
        self.bytes = sum(len(entry.data) for entry in core.log)  # of entries since the last snapshot
        self.count = 0  # written

    def restart(self, core: Raft) -> None:
        """Go on with a core that was made anew from the disk; a snapshot that is being written stays under way."""
        self._core = core
        self.bytes = sum(len(entry.data) for entry in core.log)

    def want(self) -> None:
        """Write one soon, whatever has come since the last; any thread."""
        self._wanted = True
        self._queue.put(("wake",))

    def fill(self, snap: Snap) -> Snap | None:
        """The piece that the core wants to send, with its bytes, which are the disk's. None: it is no more."""
        data = self._storage.read_chunk(Meta(snap.index, snap.index_term), snap.offset)
        return None if data is None else msgspec.structs.replace(snap, data=data)

    def take(self, chunk: Snap) -> bool:
        """A piece of another's snapshot; with the last one it becomes ours. False where it was no good. OSError."""
        self._storage.write_chunk(chunk.index, chunk.index_term, chunk.offset, chunk.data)
        if chunk.offset + len(chunk.data) < chunk.total:
            return True
        meta = self._storage.install(chunk.index, chunk.index_term)
        if meta is None:
            self._core.not_installed()
            log.event("replica_snapshot_refused", index=chunk.index, **self._group.mark)
            return False
        fresh = State()
        fresh.load(meta.index, self._storage.body(meta))
        self._core.installed(meta)
        log.event("replica_snapshot_installed", index=meta.index, size=meta.size, **self._group.mark)
        self._replace(fresh)
        return True

    def maybe_write(self, state: State) -> None:
        """Begin to write one if it is due, or was asked for."""
        due = state.applied - self._core.snapshot.index >= self._due or self.bytes >= LOG_BYTES
        if self._writing or not (due or self._wanted):
            return
        self._wanted = False
        index = state.applied
        term = self._core.term_at(index)
        if index <= self._core.snapshot.index or term is None:
            return
        twin, (voters, learners) = state.copy(), self._core.members_at(index)
        self._writing, self.bytes, self._due = True, 0, plan_due(self._plan)

        def write() -> None:
            try:
                meta: Meta | None = self._storage.write_snapshot(index, term, voters, twin.dump(), learners)
            except OSError as error:
                log.event("replica_snapshot_not_written", index=index, error=str(error), **self._group.mark)
                meta = None
            self._queue.put(("written", meta))

        try:
            threads.start(write, self._group.thread("replica-snapshot"))
        except threads.ThreadUnavailableError:
            self._writing = False

    def written(self, meta: Meta | None) -> None:
        """The thread that wrote one is done; None: it could not."""
        self._writing = False
        if meta is None or meta.index <= self._core.snapshot.index:
            return
        self._storage.adopt(meta)
        trail = size = 0
        for entry in reversed(self._core.entries(meta.index - TRAIL + 1, meta.index)):
            size += len(entry.data)
            if size > TRAIL_BYTES:
                break
            trail += 1
        self._core.compacted(meta, trail)
        self.count += 1
        log.event("replica_snapshot", index=meta.index, size=meta.size, **self._group.mark)


def plan_due(plan: Plan) -> float:
    """Entries after which the next snapshot is due."""
    return plan.snapshot_entries * random.uniform(*SPREAD)
