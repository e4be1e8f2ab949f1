"""The event loop of a Raft member: one thread that receives messages, persists, sends, applies and replies.

Other threads put requests into the queue and wait for the outcome. Proposals that are queued together share one sync.
The loop never blocks on a socket: messages go into the link's bounded send queues.
"""

from __future__ import annotations

import contextlib
import random
import threading
import time
import traceback
from collections.abc import Callable
from queue import Empty
from typing import Any

from tealwing import log, threads
from tealwing.peers.clock import Clock
from tealwing.peers.link import Link
from tealwing.replica import commands, messages
from tealwing.replica.commands import Command, CommandResult
from tealwing.replica.forwarding import batching, protocol
from tealwing.replica.forwarding.client import LeaderClient
from tealwing.replica.forwarding.protocol import CallbackPending, ForwardReply, ForwardRequest
from tealwing.replica.forwarding.protocol import OutcomeUnknownError as OutcomeUnknownError
from tealwing.replica.forwarding.protocol import UnavailableError as UnavailableError
from tealwing.replica.group import SITE, Group
from tealwing.replica.membership import changes
from tealwing.replica.plan import ReplicaPlan
from tealwing.replica.raft import BusyError, NotLeaderError, Role
from tealwing.replica.service import status
from tealwing.replica.service.member import Member
from tealwing.replica.service.recovery import FleetView
from tealwing.replica.storage.disk import Disk
from tealwing.replica.storage.durability import ReopenBackoff
from tealwing.replica.storage.records import StorageError

MAX_TICK = 0.05  # s, maximum wait for the queue whatever the deadlines, as the clock may be stepped
MAX_QUEUE_BATCH = 256  # maximum items taken from the queue before a write to disk
LEADERSHIP_TRANSFER_TIMEOUT = 0.5  # s for the transfer of leadership when the member stops
LEADERSHIP_TRANSFER_POLL = 0.01  # s between two checks whether the transfer is done


class Replica(Member):
    """A member of a replicated log, with its thread and the calls for other threads."""

    def __init__(
        self, plan: ReplicaPlan, link: Link, clock: Clock, disk: Disk | None = None, group: Group = SITE
    ) -> None:
        """Restore the member from storage. Raises storage.StorageError if its files are damaged or inconsistent."""
        super().__init__(plan, link, clock, disk, group)
        self._stopped = threading.Event()
        self._proposed = False  # whether this iteration has proposals that are not sent yet
        self._forwarded: list[bytes] = []  # commands received in this iteration for which no caller waits
        self._leader_client = LeaderClient(
            link.plan.name, self._queue, lambda name, body: self._link.send(name, group.forward_channel, body),
            lambda: self.core.leader, lambda: self.broken,
        )  # fmt: skip
        link.on(group.channel, self._on_message)
        link.on(group.forward_channel, self._on_forwarded)
        self._connect_members()

    def start(self) -> None:
        """Start the member's thread."""
        threads.start(self._run, self.group.thread_name("replica"))
        status.log_start(self)

    def stop(self) -> None:
        """Stop the member; pending calls fail. A leader first transfers its leadership, for a bounded time."""
        if self.core.role is Role.LEADER and not self.broken:
            self._queue.put(("transfer_leadership",))
            end = time.monotonic() + LEADERSHIP_TRANSFER_TIMEOUT
            while self.core.role is Role.LEADER and not self.broken and time.monotonic() < end:
                time.sleep(LEADERSHIP_TRANSFER_POLL)
        self._stopped.set()
        self._leader_client.stop()
        self._queue.put(("wake",))

    # Called by other threads

    def write(self, command: Command, timeout: float) -> CommandResult:
        """Propose a command to the leader and return its result once it is applied.

        A command with a sequence is retried for `timeout` seconds, as its session applies it only once. Raises
        OutcomeUnknownError if it may have been applied, UnavailableError if it was not.
        """
        data = commands.encode(command)
        reply = self._leader_client.call_leader(ForwardRequest(0, data), timeout, idempotent=bool(command.sequence))
        return commands.decode_result(reply.result)

    def change_members(self, voters: list[str], timeout: float, learners: list[str] | None = None) -> int:
        """Change the members and return the index of the configuration entry; `learners` None leaves them unchanged.

        Raises OutcomeUnknownError if the change may have been made, UnavailableError if it was not.
        """
        request = ForwardRequest(0, b"", voters, learners)
        return self._leader_client.call_leader(request, timeout, idempotent=False).index

    def read_index(self, timeout: float) -> int:
        """Return the read index, once the local state has applied it (Raft thesis, section 6.4).

        Raises UnavailableError if that fails or takes more than `timeout` seconds.
        """
        return self._leader_client.read_index(timeout)

    def forward(self, data: bytes) -> None:
        """Forward a command to the leader, if one is known; the outcome is discarded."""
        self._leader_client.forward(data)

    def status(self) -> dict[str, Any]:
        """Return the status for operators."""
        return status.status(self)

    def observe(self) -> FleetView:
        """Return this member's view of the fleet, for the recovery phases."""
        return status.observe(self, self._link.live())

    # Called on the link's reader thread

    def _on_message(self, name: str, body: bytes) -> None:
        if self.broken or self._stopped.is_set():  # out of service or stopping: the queue is not read
            return
        self._queue.put(("message", name, messages.decode(body)))

    def _on_forwarded(self, name: str, body: bytes) -> None:
        forwarded = protocol.decode(body)
        if isinstance(forwarded, ForwardReply):
            self._leader_client.handle_reply(forwarded)
        elif not self.broken and not self._stopped.is_set():
            channel = self.group.forward_channel
            self._queue.put(
                ("request", forwarded, lambda reply: self._link.send(name, channel, protocol.encode(reply)))
            )

    # Called on the member's thread

    def _run(self) -> None:
        try:
            while not self._stopped.is_set():
                self._run_once()
                if self.broken:
                    self._return_from_disk_fault()
        except commands.NewerEntryError as error:
            self.broken = str(error)
        except Exception:
            self.broken = f"internal error: {traceback.format_exc(limit=-3)}"
            log.check_invariant(False, f"the replica's thread runs without an unexpected error: {self.broken}")
        finally:
            self._withdraw()
            self.storage.close()
            if self.broken:
                log.event("replica_broken", why=self.broken, **self.group.log_fields)

    def _withdraw(self) -> None:
        """Fail the pending proposals and reads of a member out of service, and report the loss of leadership."""
        self._pending.fail_all()
        self._reads.fail_all()
        self._forwarded, self._proposed = [], False
        if self._leading:
            self._set_leading(False)

    def _return_from_disk_fault(self) -> None:
        """Wait until the storage directory is usable again or the member stops, then restore the member from it."""
        begun, why = time.monotonic(), ""
        backoff = ReopenBackoff(random.Random())
        self._withdraw()
        log.event("replica_out", why=self.broken, **self.group.log_fields)
        while not self._stopped.wait(backoff.next_pause()):
            written_snapshots = self._drop_queue()
            self._update_recovery()
            try:
                self._reopen()
            except (OSError, StorageError) as error:
                if str(error) != why:
                    why = str(error)
                    log.event("replica_still_out", why=why, **self.group.log_fields)
                self.broken = f"{why}; the member resumes by itself once its directory can be read and written"
                self._requeue(written_snapshots)
                continue
            self._requeue(written_snapshots)
            took = round(time.monotonic() - begun, 3)
            log.event(
                "replica_back", after_s=took, term=self.core.term, last=self.core.last_index, **self.group.log_fields
            )
            return

    def _drop_queue(self) -> list[tuple[Any, ...]]:
        """Drop the items queued for the discarded core and fail their callers; return those about written snapshots."""
        written_snapshots = []
        with contextlib.suppress(Empty):
            while True:
                item = self._queue.get_nowait()
                if item[0] == "snapshot_written":
                    written_snapshots.append(item)
                elif item[0] == "request":
                    item[2](ForwardReply(item[1].number, "not-leader", b"", 0))
                elif item[0] == "wait_for_index":
                    self._pending.wait_for_index(item[1], item[2])
        return written_snapshots

    def _requeue(self, items: list[tuple[Any, ...]]) -> None:
        for item in items:
            self._queue.put(item)

    def _run_once(self) -> None:
        """Run one iteration: process queued items and timers, then persist, send, apply and reply."""
        due = min(self.core.next_deadline(), self._reads.next_round_at())
        wait = min(MAX_TICK, max(0.0, due - self.clock.now()))
        try:
            item = self._queue.get(timeout=self.clock.real(wait)) if wait > 0 else self._queue.get_nowait()
            for _ in range(MAX_QUEUE_BATCH):
                self._handle_item(item)
                item = self._queue.get_nowait()
        except Empty:
            pass
        self._propose_forwarded()
        self.core.tick(self.clock.now())
        self._reads.begin(self.clock.now())
        while self.core.has_ready() and not self.broken:
            self._process_ready(self.core.ready())
        leads = self.core.role is Role.LEADER and self.core.commit >= self.core.term_start_index
        if leads != self._leading:
            self._set_leading(leads)
        if leads:
            for listener in self._on_leader_tick:
                listener(self.clock.now())
        self._update_recovery()
        self._connect_members()
        status.record_leader(self)
        if not self.broken:
            self.snapshots.maybe_write(self.state)
            self._save_commit()

    def _propose_forwarded(self) -> None:
        """Propose the forwarded commands, and send all proposals of this iteration together."""
        now = self.clock.now()
        forwarded, self._forwarded = self._forwarded, []
        try:
            for data in batching.batched(forwarded):
                self.core.propose(now, data, defer_send=True)
                self._proposed = True
        except (NotLeaderError, BusyError):  # the sender repeats the command until the state shows its effect
            pass
        if self._proposed:
            self._proposed = False
            self.core.send_deferred(now)

    def _update_recovery(self) -> None:
        before = self.recovery.phase
        view = self.observe()
        if self.recovery.update(time.monotonic(), view) is not before:
            log.event(
                "recovery", phase=self.recovery.phase.value, why=self.recovery.reason(view), **self.group.log_fields
            )

    def _handle_item(self, item: tuple[Any, ...]) -> None:
        now = self.clock.now()
        match item[0]:
            case "message":
                self.core.step(now, item[1], item[2])
            case "request":
                self._handle_request(now, item[1], item[2])
            case "wait_for_index":
                self._pending.wait_for_index(item[1], item[2])
                self._pending.index_reached(self.state.applied)
            case "transfer_leadership":
                to = self.core.transfer_leadership(now) or None
                log.event("replica_handed_over", to=to, term=self.core.term, **self.group.log_fields)
            case "broadcast_commit":
                self.core.broadcast_commit(now)
            case "snapshot_written":
                self.snapshots.finish_write(item[1])

    def _handle_request(self, now: float, request: ForwardRequest, reply: Callable[[ForwardReply], None]) -> None:
        """Handle a request to the leader: a proposal, a read index or a membership change."""
        if request.command and not request.number:
            self._forwarded.append(request.command)
            return
        if len(self._pending) + len(self._reads) >= protocol.MAX_PENDING:
            reply(ForwardReply(request.number, "busy", b"", 0))
            return
        try:
            if request.voters is not None:
                index, term = changes.change(self.core, now, request.voters, request.learners)
            elif request.command:
                index, term = self.core.propose(now, request.command, defer_send=True)
                self._proposed = True
            else:
                self._reads.add(CallbackPending(request.number, reply))
                return
        except NotLeaderError:
            reply(ForwardReply(request.number, "not-leader", b"", 0))
        except BusyError:
            reply(ForwardReply(request.number, "busy", b"", 0))
        except ValueError as error:
            reply(ForwardReply(request.number, "refused", str(error).encode(), 0))
        else:
            self._pending.add(index, term, CallbackPending(request.number, reply))
