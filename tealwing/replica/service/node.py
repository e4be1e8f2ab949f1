"""The shell round the core: one thread that takes messages, writes the disk, sends, applies and answers.

Other threads put what they want into the queue and wait for its outcome. Proposals that wait together are written with
one sync. Nothing here waits for a socket: sends go into the link's bounded outboxes.
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
from tealwing.replica.forwarding.protocol import (
    CallbackPending,
    ForwardReply,
    ForwardRequest,
    OutcomeUnknownError,
    UnavailableError,
)
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

__all__ = ["OutcomeUnknownError", "Replica", "UnavailableError"]

MAX_TICK = 0.05  # s between two looks at the clock, whatever the deadlines: it may have been stepped
MAX_QUEUE_BATCH = 256  # items of the queue before the disk is written
LEADERSHIP_TRANSFER_TIMEOUT, LEADERSHIP_TRANSFER_POLL = (
    0.5,
    0.01,
)  # s that a leader's end may wait for another to lead, and between two looks


class Replica(Member):
    """One member of a replicated log, on its thread."""

    def __init__(
        self, plan: ReplicaPlan, link: Link, clock: Clock, disk: Disk | None = None, group: Group = SITE
    ) -> None:
        """Read the disk. storage.StorageError where it can't be trusted."""
        super().__init__(plan, link, clock, disk, group)
        self._stopped = threading.Event()
        self._proposed = False  # whether proposals of this turn are still to be sent
        self._forwarded: list[bytes] = []  # commands of this turn of which nobody waits for what comes of them
        self._leader_client = LeaderClient(
            link.plan.name, self._queue, lambda name, body: self._link.send(name, group.forward_channel, body),
            lambda: self.core.leader, lambda: self.broken,
        )  # fmt: skip
        link.on(group.channel, self._on_message)
        link.on(group.forward_channel, self._on_forwarded)
        self._connect_members()

    def start(self) -> None:
        """Take part from now on."""
        threads.start(self._run, self.group.thread_name("replica"))
        status.log_start(self)

    def stop(self) -> None:
        """Take part no more; what waits for an outcome has none. A leader hands over first, as far as that is quick."""
        if self.core.role is Role.LEADER and not self.broken:
            self._queue.put(("leave",))
            end = time.monotonic() + LEADERSHIP_TRANSFER_TIMEOUT
            while self.core.role is Role.LEADER and not self.broken and time.monotonic() < end:
                time.sleep(LEADERSHIP_TRANSFER_POLL)
        self._stopped.set()
        self._leader_client.stop()
        self._queue.put(("wake",))

    # For other threads

    def write(self, command: Command, timeout: float) -> CommandResult:
        """Have a command applied, wherever the leader is. Unknown or Unavailable where that is not seen in time.

        One with a sequence is tried again until the time is over: the state applies it once.
        """
        data = commands.encode(command)
        reply = self._leader_client.call_leader(ForwardRequest(0, data), timeout, idempotent=bool(command.sequence))
        return commands.decode_result(reply.result)

    def change_members(self, voters: list[str], timeout: float, learners: list[str] | None = None) -> int:
        """Other members, learners None: as they are; the index of the entry that says so. Unknown or Unavailable."""
        return self._leader_client.call_leader(
            ForwardRequest(0, b"", voters, learners), timeout, idempotent=False
        ).index

    def read_index(self, timeout: float) -> int:
        """Wait until the state here has all that was committed when this was called. Unavailable where it can't."""
        return self._leader_client.read_index(timeout)

    def forward(self, data: bytes) -> None:
        """Have whoever leads propose a command, if anybody does; nobody hears what comes of it."""
        self._leader_client.forward(data)

    def status(self) -> dict[str, Any]:
        """What operators ask for."""
        return status.status(self)

    def observe(self) -> FleetView:
        """What this member sees of the fleet, for the order of return."""
        return status.observe(self, self._link.live())

    # The link's reader thread

    def _on_message(self, name: str, body: bytes) -> None:
        if self.broken or self._stopped.is_set():  # out, or at the end: nobody takes from the queue
            return
        self._queue.put(("message", name, messages.decode(body)))

    def _on_forwarded(self, name: str, body: bytes) -> None:
        forwarded = protocol.decode(body)
        if isinstance(forwarded, ForwardReply):
            self._leader_client.handle_reply(forwarded)
        elif not self.broken and not self._stopped.is_set():
            channel = self.group.forward_channel
            self._queue.put(("ask", forwarded, lambda told: self._link.send(name, channel, protocol.encode(told))))

    # Our thread

    def _run(self) -> None:
        try:
            while not self._stopped.is_set():
                self._run_once()
                if self.broken:
                    self._return_from_disk_fault()
        except commands.NewerEntryError as error:
            self.broken = str(error)
        except Exception:
            self.broken = f"a fault of ours: {traceback.format_exc(limit=-3)}"
            log.check_invariant(False, f"the replica goes on: {self.broken}")
        finally:
            self._withdraw()
            self.storage.close()
            if self.broken:
                log.event("replica_broken", why=self.broken, **self.group.log_fields)

    def _withdraw(self) -> None:
        """Take part in nothing: lead nobody, and have no one wait."""
        self._pending.fail_all()
        self._reads.fail_all()
        self._forwarded, self._proposed = [], False
        if self._leading:
            self._set_leading(False)

    def _return_from_disk_fault(self) -> None:
        """Stay out until the folder can be read and written again, then begin anew from it, as a start does."""
        begun, why = time.monotonic(), ""
        backoff = ReopenBackoff(random.Random())
        self._withdraw()
        log.event("replica_out", why=self.broken, **self.group.log_fields)
        while not self._stopped.wait(backoff.next_pause()):
            written = self._drop_queue()
            self._update_recovery()
            try:
                self._reopen()
            except (OSError, StorageError) as error:
                if str(error) != why:
                    why = str(error)
                    log.event("replica_still_out", why=why, **self.group.log_fields)
                self.broken = f"{why}; it comes back by itself once its folder can be read and written"
                self._requeue(written)
                continue
            self._requeue(written)
            took = round(time.monotonic() - begun, 3)
            log.event(
                "replica_back", after_s=took, term=self.core.term, last=self.core.last_index, **self.group.log_fields
            )
            return

    def _drop_queue(self) -> list[tuple[Any, ...]]:
        """Drop what was said to the core that is no more, and answer who waits; the words of snapshots written stay."""
        written = []
        with contextlib.suppress(Empty):
            while True:
                item = self._queue.get_nowait()
                if item[0] == "written":
                    written.append(item)
                elif item[0] == "ask":
                    item[2](ForwardReply(item[1].number, "not-leader", b"", 0))
                elif item[0] == "at":
                    self._pending.wait_for_index(item[1], item[2])
        return written

    def _requeue(self, items: list[tuple[Any, ...]]) -> None:
        for item in items:
            self._queue.put(item)

    def _run_once(self) -> None:
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
            for ticked in self._on_leader_tick:
                ticked(self.clock.now())
        self._update_recovery()
        self._connect_members()
        status.note_leader(self)
        if not self.broken:
            self.snapshots.maybe_write(self.state)
            self._save_commit()

    def _propose_forwarded(self) -> None:
        """Propose what was passed on, and send all proposals of this turn together."""
        now = self.clock.now()
        forwarded, self._forwarded = self._forwarded, []
        try:
            for data in batching.batched(forwarded):
                self.core.propose(now, data, defer_send=True)
                self._proposed = True
        except (NotLeaderError, BusyError):  # who said it says it again, until the state shows it
            pass
        if self._proposed:
            self._proposed = False
            self.core.send_deferred(now)

    def _update_recovery(self) -> None:
        before = self.recovery.phase
        seen = self.observe()
        if self.recovery.update(time.monotonic(), seen) is not before:
            log.event(
                "recovery", phase=self.recovery.phase.value, why=self.recovery.reason(seen), **self.group.log_fields
            )

    def _handle_item(self, item: tuple[Any, ...]) -> None:
        now = self.clock.now()
        match item[0]:
            case "message":
                self.core.step(now, item[1], item[2])
            case "ask":
                self._handle_request(now, item[1], item[2])
            case "at":
                self._pending.wait_for_index(item[1], item[2])
                self._pending.index_reached(self.state.applied)
            case "leave":
                to = self.core.transfer_leadership(now) or None
                log.event("replica_handed_over", to=to, term=self.core.term, **self.group.log_fields)
            case "hurry":
                self.core.broadcast_commit(now)
            case "written":
                self.snapshots.finish_write(item[1])

    def _handle_request(self, now: float, request: ForwardRequest, reply: Callable[[ForwardReply], None]) -> None:
        """Somebody wants something of the leader."""
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
