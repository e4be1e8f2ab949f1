"""A Raft member without its thread: core, storage and state machine, and the processing of the core's output."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from queue import SimpleQueue
from typing import Any

from tealwing import log
from tealwing.peers.clock import Clock
from tealwing.peers.link import Link
from tealwing.replica import commands, messages
from tealwing.replica.forwarding.pending import PendingProposals
from tealwing.replica.forwarding.protocol import ForwardReply, ForwardRequest
from tealwing.replica.forwarding.reads import ReadBatcher
from tealwing.replica.group import SITE, Group
from tealwing.replica.messages import InstallSnapshot, InstallSnapshotReply, Kind, Message
from tealwing.replica.plan import ReplicaPlan
from tealwing.replica.raft import Ready
from tealwing.replica.service import bootstrap
from tealwing.replica.service.listeners import Listeners
from tealwing.replica.service.recovery import Recovery, assess_trust
from tealwing.replica.service.snapshots import SnapshotManager
from tealwing.replica.state import State
from tealwing.replica.storage.disk import Disk
from tealwing.replica.storage.store import Storage

COMMIT_SAVE_INTERVAL = 0.25  # s between two writes of the commit index while nothing else is written


class Member(Listeners):
    """Core, storage and state machine of one member; confined to its thread, except for reads under the lock."""

    def __init__(
        self, plan: ReplicaPlan, link: Link, clock: Clock, disk: Disk | None = None, group: Group = SITE
    ) -> None:
        """Restore the member from storage. Raises storage.StorageError if its files are damaged or inconsistent."""
        super().__init__()
        self.plan, self._link, self.clock, self.group = plan, link, clock, group
        self.disk = disk or Disk()
        self.storage = Storage(Path(plan.directory), self.disk)
        self.recovery = Recovery(time.monotonic())
        self.lock = threading.Lock()  # guards the state and the fields that the status reads
        self.stored = self.storage.open()
        self.state = bootstrap.read_state(self.storage, self.stored)  # other threads read it under the lock
        self.incarnation = random.SystemRandom().randrange(1, 2**53)
        self.core = bootstrap.make_core(plan, link.plan, group, self.stored, clock.now(), self.incarnation)
        self._queue: SimpleQueue[tuple[Any, ...]] = SimpleQueue()  # a kind and its arguments: see Replica._handle_item
        self.snapshots = SnapshotManager(plan, self.storage, self.core, self._queue, self._replace_state, group)
        bootstrap.catch_up(self.core, self.state)
        self.trust_report = assess_trust(self.state, self.core.last_index, int(time.time() * 1e3))
        self.recovery.disk_read(time.monotonic())
        self._pending, self._reads = PendingProposals(), ReadBatcher(self.core)
        self.broken = ""
        self._leading = False
        self._connected: set[str] = set()  # members that the link connects to for this group
        self.leaders_by_term: dict[int, str] = {}  # leader by term, as observed by this member
        self._commit_saved_at = 0.0  # monotonic time of the last write of the commit index
        self.slowest_save = 0.0  # s, longest write and sync so far

    def _reopen(self) -> None:
        """Rebuild the core from storage after a disk fault, as at a start of the process.

        The state machine is kept: all applied entries were committed, and entries that the log delivers again are
        skipped. Raises OSError or storage.StorageError if the storage is still unusable.
        """
        self.stored = self.storage.reopen(allow_loss=self.plan.max_stale_disks > 0)
        incarnation = random.SystemRandom().randrange(1, 2**53)
        core = bootstrap.make_core(self.plan, self._link.plan, self.group, self.stored, self.clock.now(), incarnation)
        if not self.stored.lost_acknowledged:  # unlike a new process, this one still knows what it has acknowledged
            core.unconfirmed = self.core.unconfirmed
        self.core = core
        self.snapshots.restart(self.core)
        self._reads = ReadBatcher(self.core)
        self.broken = ""

    def _process_ready(self, ready: Ready) -> None:
        """Process the core's output in order: persist, then send the messages that depend on it, then apply."""
        if not self._save(ready):
            return
        if ready.entries:
            self.core.entries_saved(self.clock.now(), ready.entries[-1].index, ready.entries[-1].term)
        for name, message in ready.messages:
            self._send(name, message)
        for entry in ready.committed:
            self._apply(entry)
        if ready.committed:
            self._pending.index_reached(self.state.applied)
        for number in ready.failed_reads:
            self._reads.failed(number)
        for number, index in ready.reads:
            self._reads.confirmed(number, index)

    def _save(self, ready: Ready) -> bool:
        """Persist hard state, entries and snapshot chunk; return False if the disk failed."""
        begun = time.monotonic()
        try:
            commit = min(self.core.commit, self.core.stable)
            due = ready.hard_state is not None or ready.entries or begun - self._commit_saved_at >= COMMIT_SAVE_INTERVAL
            if due:
                self.storage.save(ready.hard_state, ready.entries, commit)
                self._commit_saved_at = begun
            if ready.chunk is not None and not self.snapshots.receive_chunk(ready.chunk):
                ready.messages = [m for m in ready.messages if not isinstance(m[1], InstallSnapshotReply)]
        except OSError as error:
            self.broken = str(error)
            return False
        took = time.monotonic() - begun
        self.slowest_save = max(self.slowest_save, took)
        if took >= self.plan.election_timeout / 2:  # no message is answered during the write, so an election may follow
            log.event("replica_disk_slow", took=round(took, 3), entries=len(ready.entries), **self.group.log_fields)
        return True

    def _send(self, name: str, message: Message) -> None:
        if isinstance(message, InstallSnapshot):  # the core selects the chunk, storage has the bytes
            filled = self.snapshots.fill_chunk(message)
            if filled is None:
                return  # the snapshot was replaced: the next heartbeat starts the transfer of the newer one
            message = filled
        self._link.send(name, self.group.channel, messages.encode(message))

    def _apply(self, entry: messages.Entry) -> None:
        """Apply a committed entry, and notify the listeners and the caller that proposed it."""
        if entry.index <= self.state.applied:  # after `_reopen` the state is ahead of the log
            return
        command = result = None
        self.snapshots.bytes += len(entry.data)
        with self.lock:
            if entry.kind is Kind.DATA:
                result = self.state.apply(entry.index, entry.data)
            else:
                self.state.applied = entry.index
        if self._on_applied and entry.kind is Kind.DATA:
            try:
                command = commands.decode(entry.data)
            except ValueError:
                command = None
        for listener in self._on_applied:
            listener(entry.index, command, result)
        self._pending.entry_applied(entry, result)

    def _replace_state(self, fresh: State) -> None:
        """Replace the state by that of an installed snapshot, unless the state is ahead of it."""
        if fresh.applied < self.state.applied:
            return
        with self.lock:
            fresh.rejected_stale = self.state.rejected_stale
            self.state = fresh
        for listener in self._on_state_replaced:
            listener()
        self._pending.index_reached(fresh.applied)

    def _save_commit(self) -> None:
        """Persist the commit index periodically: a restarted member applies committed entries without a leader."""
        commit, now = min(self.core.commit, self.core.stable), time.monotonic()
        if self.storage.commit >= commit or now - self._commit_saved_at < COMMIT_SAVE_INTERVAL:
            return
        self._commit_saved_at = now
        try:
            self.storage.save(None, (), commit)
        except OSError as error:
            self.broken = str(error)

    def plan_address(self, name: str) -> tuple[str, int] | None:
        """Return the link address of a gateway by the section `peers`, or None if the gateway is not listed."""
        return self._link.plan.address(name)

    def digest(self) -> tuple[int, str]:
        """Return the applied index and the hash of the state."""
        with self.lock:
            state = self.state.copy()
        return state.applied, state.digest()

    def _connect_members(self) -> None:
        """Connect the link to the members by the log's configuration, as the configuration file may be outdated."""
        core = self.core
        names = {*core.members, *core.learners} if core.local_id in core.members else {*core.members, core.leader}
        if names != self._connected:
            self._connected = names
            self._link.set_additional_peers(self.group.name, names)

    def _set_leading(self, leads: bool) -> None:
        self._leading = leads
        for listener in self._on_leadership:
            listener(leads)

    def propose_if_leader(self, data: bytes) -> None:
        """Propose a command if this member leads; the outcome is discarded."""
        self._queue.put(("request", ForwardRequest(0, data), lambda reply: None))

    def change_members_if_leader(
        self, voters: list[str], learners: list[str], reply: Callable[[ForwardReply], None]
    ) -> None:
        """Propose a membership change if this member leads; `reply` gets the outcome, on the member's thread."""
        self._queue.put(("request", ForwardRequest(0, b"", voters, learners), reply))

    def broadcast_commit(self) -> None:
        """Send the commit index to the followers at once, not with the next heartbeat, if this member leads."""
        self._queue.put(("broadcast_commit",))

    def snapshot(self) -> None:
        """Request a snapshot regardless of the number of entries since the last one."""
        self.snapshots.request()
