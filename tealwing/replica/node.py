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
from tealwing.replica import commands, gathering, messages, outcomes, roles, views
from tealwing.replica.asking import Asking
from tealwing.replica.commands import Command, CommandResult
from tealwing.replica.disk import Disk
from tealwing.replica.durability import Backoff
from tealwing.replica.group import SITE, Group
from tealwing.replica.member import Member
from tealwing.replica.outcomes import Answering, Ask, Told, Unavailable, Unknown
from tealwing.replica.plan import Plan
from tealwing.replica.raft import Busy, NotLeader, Role
from tealwing.replica.recovery import Seen
from tealwing.replica.storage import StorageError

__all__ = ["Replica", "Unavailable", "Unknown"]

LONGEST_TICK = 0.05  # s between two looks at the clock, whatever the deadlines: it may have been stepped
MOST_AT_ONCE = 256  # items of the queue before the disk is written
HAND_OVER, HAND_OVER_LOOK = 0.5, 0.01  # s that a leader's end may wait for another to lead, and between two looks


class Replica(Member):
    """One member of a replicated log, on its thread."""

    def __init__(self, plan: Plan, link: Link, clock: Clock, disk: Disk | None = None, group: Group = SITE) -> None:
        """Read the disk. storage.StorageError where it can't be trusted."""
        super().__init__(plan, link, clock, disk, group)
        self._stopped = threading.Event()
        self._leading = self._proposed = False  # whether we lead; whether proposals of this turn are still to be sent
        self._passed: list[bytes] = []  # commands of this turn of which nobody waits for what comes of them
        self._reached: set[str] = set()  # whom the link speaks to for us
        self._asking = Asking(
            link.plan.name, self._queue, lambda name, body: self._link.send(name, group.forward, body),
            lambda: self.core.leader, lambda: self.broken,
        )  # fmt: skip
        link.on(group.channel, self._hear)
        link.on(group.forward, self._hear_forwarded)
        self._reach()

    # Start and end

    def start(self) -> None:
        """Take part from now on."""
        threads.start(self._run, self.group.thread("replica"))
        views.tell_start(self)

    def stop(self) -> None:
        """Take part no more; what waits for an outcome has none. A leader hands over first, as far as that is quick."""
        if self.core.role is Role.LEADER and not self.broken:
            self._queue.put(("leave",))
            end = time.monotonic() + HAND_OVER
            while self.core.role is Role.LEADER and not self.broken and time.monotonic() < end:
                time.sleep(HAND_OVER_LOOK)
        self._stopped.set()
        self._asking.stop()
        self._queue.put(("wake",))

    # For other threads

    def write(self, command: Command, wait: float) -> CommandResult:
        """Have a command applied, wherever the leader is. Unknown or Unavailable where that is not seen in time.

        One with a sequence is tried again until the time is over: the state applies it once.
        """
        data = commands.encode(command)
        told = self._asking.at_leader(Ask(0, data), wait, again=bool(command.sequence))
        return commands.decode_result(told.result)

    def change_members(self, voters: list[str], wait: float, learners: list[str] | None = None) -> int:
        """Other members, learners None: as they are; the index of the entry that says so. Unknown or Unavailable."""
        return self._asking.at_leader(Ask(0, b"", voters, learners), wait, again=False).index

    def read_index(self, wait: float) -> int:
        """Wait until the state here has all that was committed when this was called. Unavailable where it can't."""
        return self._asking.read_index(wait)

    def propose_here(self, data: bytes) -> None:
        """Propose a command if this member leads; nobody hears what comes of it."""
        self._queue.put(("ask", Ask(0, data), lambda told: None))

    def change_here(self, voters: list[str], learners: list[str], told: Callable[[Told], None]) -> None:
        """Propose other members if this member leads; told hears what comes of it, on the member's thread."""
        self._queue.put(("ask", Ask(0, b"", voters, learners), told))

    def hurry(self) -> None:
        """If this member leads: say at once how far all is committed, not with the next beat."""
        self._queue.put(("hurry",))

    def pass_on(self, data: bytes) -> None:
        """Have whoever leads propose a command, if anybody does; nobody hears what comes of it."""
        self._asking.pass_on(data)

    def snapshot(self) -> None:
        """Write a snapshot soon, whatever has come since the last."""
        self.snapshots.want()

    def status(self) -> dict[str, Any]:
        """What operators ask for."""
        return views.status(self)

    def seen(self) -> Seen:
        """What this member sees of the fleet, for the order of return."""
        return views.seen(self, self._link.live())

    def plan_address(self, name: str) -> tuple[str, int] | None:
        """Where a gateway's link listens, by the section `peers`."""
        return self._link.plan.address(name)

    def digest(self) -> tuple[int, str]:
        """Index and hash of the state."""
        with self.lock:
            twin = self.state.copy()
        return twin.applied, twin.digest()

    # The link's reader thread

    def _hear(self, name: str, body: bytes) -> None:
        if self.broken or self._stopped.is_set():  # out, or at the end: nobody takes from the queue
            return
        self._queue.put(("message", name, messages.decode(body)))

    def _hear_forwarded(self, name: str, body: bytes) -> None:
        word = outcomes.decode(body)
        if isinstance(word, Told):
            self._asking.hear(word)
        elif not self.broken and not self._stopped.is_set():
            channel = self.group.forward
            self._queue.put(("ask", word, lambda told: self._link.send(name, channel, outcomes.encode(told))))

    # Our thread

    def _run(self) -> None:
        try:
            while not self._stopped.is_set():
                self._turn()
                if self.broken:
                    self._return_from_disk_fault()
        except commands.NewerEntry as error:
            self.broken = str(error)
        except Exception:
            self.broken = f"a fault of ours: {traceback.format_exc(limit=-3)}"
            log.check_invariant(False, f"the replica goes on: {self.broken}")
        finally:
            self._withdraw()
            self.storage.close()
            if self.broken:
                log.event("replica_broken", why=self.broken, **self.group.mark)

    def _withdraw(self) -> None:
        """Take part in nothing: lead nobody, and have no one wait."""
        self._waiting.fail_all()
        self._reading.fail_all()
        self._passed, self._proposed = [], False
        if self._leading:
            self._lead(False)

    def _return_from_disk_fault(self) -> None:
        """Stay out until the folder can be read and written again, then begin anew from it, as a start does."""
        begun, why = time.monotonic(), ""
        backoff = Backoff(random.Random())
        self._withdraw()
        log.event("replica_out", why=self.broken, **self.group.mark)
        while not self._stopped.wait(backoff.next_pause()):
            written = self._drop_queue()
            self._look()
            try:
                self._reopen()
            except (OSError, StorageError) as error:
                if str(error) != why:
                    why = str(error)
                    log.event("replica_still_out", why=why, **self.group.mark)
                self.broken = f"{why}; it comes back by itself once its folder can be read and written"
                self._queue_again(written)
                continue
            self._queue_again(written)
            took = round(time.monotonic() - begun, 3)
            log.event("replica_back", after_s=took, term=self.core.term, last=self.core.last_index, **self.group.mark)
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
                    item[2](Told(item[1].number, "not-leader", b"", 0))
                elif item[0] == "at":
                    self._waiting.at(item[1], item[2])
        return written

    def _queue_again(self, items: list[tuple[Any, ...]]) -> None:
        for item in items:
            self._queue.put(item)

    def _turn(self) -> None:
        due = min(self.core.next_deadline(), self._reading.due())
        wait = min(LONGEST_TICK, max(0.0, due - self.clock.now()))
        try:
            item = self._queue.get(timeout=self.clock.real(wait)) if wait > 0 else self._queue.get_nowait()
            for _ in range(MOST_AT_ONCE):
                self._take(item)
                item = self._queue.get_nowait()
        except Empty:
            pass
        self._propose_passed()
        self.core.tick(self.clock.now())
        self._reading.begin(self.clock.now())
        while self.core.has_ready() and not self.broken:
            self._do(self.core.ready())
        leads = self.core.role is Role.LEADER and self.core.commit >= self.core.settled
        if leads != self._leading:
            self._lead(leads)
        if leads:
            for ticked in self._ticked:
                ticked(self.clock.now())
        self._look()
        self._reach()
        views.note_leader(self)
        if not self.broken:
            self.snapshots.maybe_write(self.state)
            self._keep_commit()

    def _propose_passed(self) -> None:
        """Propose what was passed on, and send all proposals of this turn together."""
        now = self.clock.now()
        passed, self._passed = self._passed, []
        try:
            for data in gathering.gathered(passed):
                self.core.propose(now, data, more=True)
                self._proposed = True
        except (NotLeader, Busy):  # who said it says it again, until the state shows it
            pass
        if self._proposed:
            self._proposed = False
            self.core.send_new(now)

    def _look(self) -> None:
        before = self.back.phase
        seen = self.seen()
        if self.back.look(time.monotonic(), seen) is not before:
            log.event("recovery", phase=self.back.phase.value, why=self.back.reason(seen), **self.group.mark)

    def _reach(self) -> None:
        """Have the link speak to those that the log needs: what the file says of them may be old."""
        core = self.core
        names = {*core.members, *core.learners} if core.me in core.members else {*core.members, core.leader}
        if names != self._reached:
            self._reached = names
            self._link.reach(self.group.name, names)

    def _lead(self, leads: bool) -> None:
        self._leading = leads
        for led in self._led:
            led(leads)

    def _take(self, item: tuple[Any, ...]) -> None:
        now = self.clock.now()
        match item[0]:
            case "message":
                self.core.step(now, item[1], item[2])
            case "ask":
                self._asked_here(now, item[1], item[2])
            case "at":
                self._waiting.at(item[1], item[2])
                self._waiting.reached(self.state.applied)
            case "leave":
                to = self.core.hand_over(now) or None
                log.event("replica_handed_over", to=to, term=self.core.term, **self.group.mark)
            case "hurry":
                self.core.hurry(now)
            case "written":
                self.snapshots.written(item[1])

    def _asked_here(self, now: float, ask: Ask, answer: Callable[[Told], None]) -> None:
        """Somebody wants something of the leader."""
        if ask.command and not ask.number:
            self._passed.append(ask.command)
            return
        if len(self._waiting) + len(self._reading) >= outcomes.MOST_PENDING:
            answer(Told(ask.number, "busy", b"", 0))
            return
        try:
            if ask.members is not None:
                index, term = roles.change(self.core, now, ask.members, ask.learners)
            elif ask.command:
                index, term = self.core.propose(now, ask.command, more=True)
                self._proposed = True
            else:
                self._reading.ask(Answering(ask.number, answer))
                return
        except NotLeader:
            answer(Told(ask.number, "not-leader", b"", 0))
        except Busy:
            answer(Told(ask.number, "busy", b"", 0))
        except ValueError as error:
            answer(Told(ask.number, "refused", str(error).encode(), 0))
        else:
            self._waiting.propose(index, term, Answering(ask.number, answer))
