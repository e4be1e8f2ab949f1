"""The shell round the core: one thread that takes messages, writes the disk, sends, applies and answers.

Other threads put what they want into the queue and wait for its outcome. Proposals that wait together are written with
one sync. Nothing here waits for a socket: sends go into the link's bounded outboxes.
"""

from __future__ import annotations

import itertools
import random
import threading
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from queue import Empty, SimpleQueue
from typing import Any

import msgspec

from tealwing import log, threads
from tealwing.peers.clock import Clock
from tealwing.peers.link import Link
from tealwing.replica import commands, messages
from tealwing.replica.commands import Command, Result
from tealwing.replica.disk import Disk
from tealwing.replica.messages import Kind, Message, Snap, SnapReply
from tealwing.replica.plan import Plan
from tealwing.replica.raft import Busy, Meta, NotLeader, Options, Raft, Ready, Role
from tealwing.replica.recovery import Return, Seen, beliefs
from tealwing.replica.state import State
from tealwing.replica.storage import Storage

FORWARD = 3  # channel of the peer link: what followers pass on to the leader
LONGEST_TICK = 0.05  # s between two looks at the clock, whatever the deadlines: it may have been stepped
MOST_AT_ONCE = 256  # items of the queue before the disk is written
MOST_PENDING = 1024  # proposals and reads that wait for their outcome
TRAIL, TRAIL_BYTES = 2000, 8 << 20  # entries kept behind a snapshot, for who is a little behind
SPREAD = (0.75, 1.25)  # times the entries of the plan, at random: members apply the same and would all write at once
LOG_BYTES = 32 << 20  # of entries after which a snapshot is due, however few they are: the log is in memory too
ASK_AGAIN = (0.03, 0.3)  # s between two tries to reach a leader, least and most, jittered
LEADER_WAIT = 1.0  # s that one try at the leader may take before another is made
COMMIT_EVERY = 0.25  # s between two words to the disk of how far the log is committed, where nothing else is written
HAND_OVER, HAND_OVER_LOOK = 0.5, 0.01  # s that a leader's end may wait for another to lead, and between two looks
LEADER_LOOK = 0.05  # s between two looks whether it leads still
RECENT_TERMS = 64  # leaders by term that are remembered for the status


class Unknown(RuntimeError):
    """No outcome in time: it may have been applied, or may yet be; sent again under its number it is applied once."""


class Unavailable(RuntimeError):
    """It was surely not applied: no leader was reached, or this member is out of order."""


class Pending:
    """What a caller waits for."""

    __slots__ = ("done", "outcome", "term")

    def __init__(self) -> None:
        self.done = threading.Event()
        self.outcome: Any = None
        self.term = 0

    def set(self, outcome: Any) -> None:
        """It has come."""
        self.outcome = outcome
        self.done.set()


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A follower asks the leader: to propose this command, or, without one, at which index a read sees all."""

    number: int
    command: bytes
    members: list[str] | None = None


class Told(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer: how it went, and a result or an index."""

    number: int
    word: str  # ok, not-leader, busy, lost, refused
    result: bytes
    index: int


_encode = msgspec.msgpack.Encoder().encode
_forwarded: msgspec.msgpack.Decoder[Ask | Told] = msgspec.msgpack.Decoder(Ask | Told)

Applied = Callable[[int, Command | None, Result | None], None]
Led = Callable[[bool], None]


class Replica:
    """One member: the core, its disk and its state."""

    def __init__(self, plan: Plan, link: Link, clock: Clock, disk: Disk | None = None) -> None:
        """Read the disk. storage.StorageError where it can't be trusted."""
        self.plan, self._link, self.clock = plan, link, clock
        self.disk = disk or Disk()
        self.storage = Storage(Path(plan.folder), self.disk)
        self.back = Return(time.monotonic())
        self.state = State()  # the thread's own; others read under the lock
        self.lock = threading.Lock()  # round the state, and what status reads
        found = self.storage.open()
        self.found = found
        if found.snapshot.index:
            self.state.load(found.snapshot.index, self.storage.body(found.snapshot))
        names = tuple(sorted(name for name, _ in link.plan.members))
        self.start_number = random.SystemRandom().randrange(1, 2**53)
        self.core = Raft(
            link.plan.name,
            () if plan.join else names,
            clock.now(),
            seed=self.start_number,
            start=self.start_number,
            options=Options(beat=plan.beat, election=plan.election, stale=plan.stale),
            term=found.term,
            vote=found.vote,
            snapshot=found.snapshot,
            log=found.log,
            incoming=found.incoming,
            commit=found.commit,
        )
        for entry in self.core.ready().committed:  # what was known to be committed is the state, whoever is there
            if entry.kind is Kind.DATA:
                self.state.apply(entry.index, entry.data)
            self.state.applied = entry.index
        self.beliefs = beliefs(self.state, self.core.last_index, int(time.time() * 1e3))
        self.back.disk_read(time.monotonic())
        self._queue: SimpleQueue[tuple[Any, ...]] = SimpleQueue()
        self._proposed: dict[int, Pending] = {}  # by index
        self._reads: dict[int, Pending] = {}
        self._at_index: list[tuple[int, Pending]] = []  # reads that wait for the state to be there
        self._asked: dict[int, Pending] = {}  # by number: what we asked the leader
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._writing = self._wanted = False  # a snapshot, on a thread of its own; asked for
        self._watchers: list[Applied] = []
        self._led: list[Led] = []
        self._ticked: list[Callable[[float], None]] = []
        self._installed: list[Callable[[], None]] = []
        self._leading = False
        self.broken = ""
        self.terms: dict[int, str] = {}  # leader by term, as far as seen here
        self.snapshots = 0
        self._committed_at = 0.0  # monotonic, when the disk last heard how far all is committed
        self.slowest_save = 0.0  # s that the disk took for one write and its sync, at most
        self._due = plan_due(plan)  # entries after which the next snapshot is written
        self._bytes = sum(len(entry.data) for entry in found.log)  # of entries since the last snapshot
        link.on(messages.CHANNEL, self._hear)
        link.on(FORWARD, self._hear_forwarded)

    # Start and end

    def start(self) -> None:
        """Take part from now on."""
        threads.start(self._run, "replica")
        found = self.found
        log.event(
            "replica_started", term=found.term, snapshot=found.snapshot.index, last=self.core.last_index,
            cut_bytes=found.cut, fresh=found.fresh, members=list(self.core.members), unsure=self.core.unsure,
        )  # fmt: skip
        for belief in self.beliefs:
            log.event(
                "recovery_belief", what=belief.what, key=belief.key, trust=belief.trust.value, why=belief.why,
                until_ms=belief.until_ms,
            )  # fmt: skip

    def stop(self) -> None:
        """Take part no more; what waits for an outcome has none. A leader hands over first, as far as that is quick."""
        if self.core.role is Role.LEADER and not self.broken:
            self._queue.put(("leave",))
            end = time.monotonic() + HAND_OVER
            while self.core.role is Role.LEADER and not self.broken and time.monotonic() < end:
                time.sleep(HAND_OVER_LOOK)
        self._stopped.set()
        self._queue.put(("wake",))

    def watch(self, watch: Applied) -> None:
        """Be told of every entry once it is applied, on our thread; before the start."""
        self._watchers.append(watch)

    def on_led(self, led: Led) -> None:
        """Be told when this member begins and ceases to lead, on our thread; before the start."""
        self._led.append(led)

    def on_tick(self, ticked: Callable[[float], None]) -> None:
        """Be told of the time while this member leads, on our thread; before the start."""
        self._ticked.append(ticked)

    def on_installed(self, installed: Callable[[], None]) -> None:
        """Be told that another's snapshot took the place of the state, on our thread; before the start."""
        self._installed.append(installed)

    def propose_here(self, data: bytes) -> None:
        """Propose a command if this member leads; nobody hears what comes of it."""
        self._queue.put(("ask", Ask(0, data), lambda told: None))

    # For other threads

    def write(self, command: Command, wait: float) -> Result:
        """Have a command applied, wherever the leader is. Unknown or Unavailable where that is not seen in time.

        One with a sequence is tried again until the time is over: the state applies it once.
        """
        data = commands.encode(command)
        return commands.decode_result(self._at_leader(Ask(0, data), wait, again=bool(command.sequence)).result)

    def change_members(self, names: list[str], wait: float) -> int:
        """Other members; the index of the entry that says so."""
        return self._at_leader(Ask(0, b"", names), wait, again=False).index

    def read_index(self, wait: float) -> int:
        """Wait until the state here has all that was committed when this was called. Unavailable where it can't."""
        end = time.monotonic() + wait
        try:
            index = self._at_leader(Ask(0, b""), wait, again=True).index
        except Unknown as error:  # a read changes nothing
            raise Unavailable(str(error)) from None
        pending = Pending()
        self._queue.put(("at", index, pending))
        if not pending.done.wait(max(0.0, end - time.monotonic())):
            raise Unavailable(f"the state is not at {index} in time")
        return index

    def _at_leader(self, ask: Ask, wait: float, again: bool) -> Told:
        """What the leader says to it. Tried again where that does no harm, with growing, jittered waits."""
        end = time.monotonic() + wait
        pause, sent = ASK_AGAIN[0], False
        why = "no leader is known"
        while not self._stopped.is_set():
            left = end - time.monotonic()
            if left <= 0:
                break
            if self.broken:
                raise Unavailable(f"this member is out of order: {self.broken}")
            leader = self.core.leader
            if leader:
                told = self._try(leader, ask, min(left, LEADER_WAIT) if again else left, again)
                if told is None:
                    why, sent = f"no answer of {leader} in time", True
                elif told.word == "ok":
                    return told
                elif told.word == "lost":
                    why, sent = "the leader changed meanwhile", True
                elif told.word == "refused":
                    raise Unavailable(told.result.decode("utf-8", "replace"))
                else:
                    why = f"{leader} says: {told.word}"
                if sent and not again:
                    break
            self._stopped.wait(min(pause * random.uniform(0.5, 1.0), max(0.0, end - time.monotonic())))
            pause = min(ASK_AGAIN[1], 2 * pause)
        if sent:
            raise Unknown(why)
        raise Unavailable(why)

    def _await(self, pending: Pending, leader: str, wait: float, again: bool) -> None:
        """Wait for the outcome; where it may be asked again, no longer than that one leads."""
        end = time.monotonic() + wait
        while (left := end - time.monotonic()) > 0:
            if pending.done.wait(min(left, LEADER_LOOK) if again else left):
                return
            if again and self.core.leader != leader:
                return

    def _try(self, leader: str, ask: Ask, wait: float, again: bool) -> Told | None:
        number, pending = next(self._numbers), Pending()
        ask = Ask(number, ask.command, ask.members)
        if leader == self.core.me:
            self._queue.put(("ask", ask, pending.set))
            self._await(pending, leader, wait, again)
            found: Told | None = pending.outcome
            return found
        with self.lock:
            if len(self._asked) >= MOST_PENDING:
                raise Unavailable(f"{MOST_PENDING} calls wait already")
            self._asked[number] = pending
        try:
            self._link.send(leader, FORWARD, _encode(ask))
            self._await(pending, leader, wait, again)
        finally:
            with self.lock:
                del self._asked[number]
        answer: Told | None = pending.outcome
        return answer

    def status(self) -> dict[str, Any]:
        """What operators ask for."""
        core = self.core
        with self.lock:
            counts, digest_at = self.state.counts(), self.state.applied
        return {
            "role": core.role.value, "term": core.term, "leader": core.leader, "members": list(core.members),
            "commit": core.commit, "applied": digest_at, "last": core.last_index, "stable": core.stable,
            "snapshot": core.snapshot.index, "unsure": core.unsure, "broken": self.broken, "held": counts,
            "snapshots": self.snapshots, "kept": self.storage.commit, "save_ms_max": round(self.slowest_save * 1e3, 1),
            "refused_stale": self.state.refused_stale, "phase": self.back.phase.value,
            "leaders": {str(term): name for term, name in list(self.terms.items())},
        }  # fmt: skip

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
        if self.broken or self._stopped.is_set():  # nobody takes from the queue any more
            return
        self._queue.put(("message", name, messages.decode(body)))

    def _hear_forwarded(self, name: str, body: bytes) -> None:
        try:
            word = _forwarded.decode(body)
        except msgspec.DecodeError as error:
            raise ValueError(str(error)) from None
        if isinstance(word, Told):
            with self.lock:
                pending = self._asked.get(word.number)
            if pending is not None:
                pending.set(word)
            return
        if self.broken or self._stopped.is_set():
            return
        self._queue.put(("ask", word, lambda told: self._link.send(name, FORWARD, _encode(told))))

    # Our thread

    def _run(self) -> None:
        try:
            while not self._stopped.is_set() and not self.broken:
                self._turn()
        except commands.NewerEntry as error:
            self.broken = str(error)
        except Exception:
            self.broken = f"a fault of ours: {traceback.format_exc(limit=-3)}"
            log.must_hold(False, f"the replica goes on: {self.broken}")
        finally:
            self._fail_all()
            if self._leading:
                self._lead(False)
            self.storage.close()
            if self.broken:
                log.event("replica_broken", why=self.broken)

    def _turn(self) -> None:
        wait = min(LONGEST_TICK, max(0.0, self.core.next_deadline() - self.clock.now()))
        try:
            item = self._queue.get(timeout=self.clock.real(wait)) if wait > 0 else self._queue.get_nowait()
            for _ in range(MOST_AT_ONCE):
                self._take(item)
                item = self._queue.get_nowait()
        except Empty:
            pass
        self.core.tick(self.clock.now())
        while self.core.has_ready() and not self.broken:
            self._do(self.core.ready())
        leads = self.core.role is Role.LEADER and self.core.commit >= self.core.settled
        if leads != self._leading:
            self._lead(leads)
        if leads:
            for ticked in self._ticked:
                ticked(self.clock.now())
        self._look()
        if self.core.leader and self.terms.get(self.core.term) != self.core.leader:
            log.must_hold(self.core.term not in self.terms, "one leader in a term")
            self.terms[self.core.term] = self.core.leader
            if len(self.terms) > RECENT_TERMS:
                del self.terms[min(self.terms)]
            log.event("replica_led", term=self.core.term, leader=self.core.leader)
        self._maybe_snapshot()
        if self.storage.commit < min(self.core.commit, self.core.stable) and not self.broken:
            self._keep_commit()

    def _keep_commit(self) -> None:
        """Tell the disk how far the log is committed, now and then: a start then knows its state without a leader."""
        now = time.monotonic()
        if now - self._committed_at < COMMIT_EVERY:
            return
        self._committed_at = now
        try:
            self.storage.save(None, (), min(self.core.commit, self.core.stable))
        except OSError as error:
            self.broken = str(error)

    def seen(self) -> Seen:
        """What this member sees of the fleet, for the order of return."""
        core = self.core
        heard = 1 + sum(1 for name in self._link.live() if name in core.members)
        leader = "" if self.broken else core.leader
        return Seen(leader, core.term, core.unsure, core.commit, self.state.applied, heard, len(core.members))

    def _look(self) -> None:
        before = self.back.phase
        seen = self.seen()
        if self.back.look(time.monotonic(), seen) is not before:
            log.event("recovery", phase=self.back.phase.value, why=self.back.reason(seen))

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
                self._at_index.append((item[1], item[2]))
                self._answer_at_index()
            case "leave":
                log.event("replica_handed_over", to=self.core.hand_over(now) or None, term=self.core.term)
            case "written":
                self._snapshot_written(item[1])

    def _asked_here(self, now: float, ask: Ask, answer: Callable[[Told], None]) -> None:
        """Somebody wants something of the leader."""
        pending = _Answering(ask.number, answer)
        if len(self._proposed) + len(self._reads) >= MOST_PENDING:
            answer(Told(ask.number, "busy", b"", 0))
            return
        try:
            if ask.members is not None:
                index, term = self.core.change_members(now, tuple(sorted(ask.members)))
            elif ask.command:
                index, term = self.core.propose(now, ask.command)
            else:
                number = next(self._numbers)
                self._reads[number] = pending
                try:
                    self.core.read(now, number)
                except NotLeader:
                    del self._reads[number]
                    raise
                return
        except NotLeader:
            answer(Told(ask.number, "not-leader", b"", 0))
        except Busy:
            answer(Told(ask.number, "busy", b"", 0))
        except ValueError as error:
            answer(Told(ask.number, "refused", str(error).encode(), 0))
        else:
            pending.term = term
            if (older := self._proposed.pop(index, None)) is not None:
                older.set(None)
            self._proposed[index] = pending

    def _do(self, ready: Ready) -> None:
        """What the core wants, in its order: the disk, then words that rest on it, then the state."""
        begun = time.monotonic()
        try:
            commit = min(self.core.commit, self.core.stable)
            due = ready.hard is not None or ready.entries or begun - self._committed_at >= COMMIT_EVERY
            if due:
                self.storage.save(ready.hard, ready.entries, commit)
                self._committed_at = begun
            if ready.chunk is not None and not self._take_chunk(ready.chunk):
                ready.messages = [m for m in ready.messages if not isinstance(m[1], SnapReply)]
        except OSError as error:
            self.broken = str(error)
            return
        took = time.monotonic() - begun
        self.slowest_save = max(self.slowest_save, took)
        if took >= self.plan.election / 2:  # while it lasts we answer nobody: a leader may be missed for it
            log.event("replica_disk_slow", took=round(took, 3), entries=len(ready.entries))
        if ready.entries:
            self.core.saved(self.clock.now(), ready.entries[-1].index, ready.entries[-1].term)
        for name, message in ready.messages:
            self._send(name, message)
        for entry in ready.committed:
            self._apply(entry)
        if ready.committed:
            self._answer_at_index()
        for number in ready.failed_reads:
            self._reads.pop(number).set(None)
        for number, index in ready.reads:
            self._reads.pop(number).set((Result(True, index), index))

    def _send(self, name: str, message: Message) -> None:
        if isinstance(message, Snap):  # the core says which piece; its bytes are the disk's
            data = self.storage.read_chunk(Meta(message.index, message.index_term), message.offset)
            if data is None:
                return  # it is no more: the newer one goes out with the next beat
            message = msgspec.structs.replace(message, data=data)
        self._link.send(name, messages.CHANNEL, messages.encode(message))

    def _apply(self, entry: messages.Entry) -> None:
        command = result = None
        self._bytes += len(entry.data)
        with self.lock:
            if entry.kind is Kind.DATA:
                result = self.state.apply(entry.index, entry.data)
            else:
                self.state.applied = entry.index
        if self._watchers and entry.kind is Kind.DATA:
            try:
                command = commands.decode(entry.data)
            except ValueError:
                command = None
        for watch in self._watchers:
            watch(entry.index, command, result)
        pending = self._proposed.pop(entry.index, None)
        if pending is not None:
            # another's entry at the index of ours: ours is lost, or was cut and may be proposed again
            pending.set((result or Result(True, entry.index), entry.index) if pending.term == entry.term else None)

    def _answer_at_index(self) -> None:
        waiting, self._at_index = self._at_index, []
        for index, pending in waiting:
            if self.state.applied >= index:
                pending.set(index)
            else:
                self._at_index.append((index, pending))

    def _fail_all(self) -> None:
        for pending in [*self._proposed.values(), *self._reads.values()]:
            pending.set(None)
        self._proposed.clear()
        self._reads.clear()

    # Snapshots

    def _take_chunk(self, chunk: Snap) -> bool:
        """A piece of another's snapshot; with the last one it becomes ours. False where it was no good."""
        self.storage.write_chunk(chunk.index, chunk.index_term, chunk.offset, chunk.data)
        if chunk.offset + len(chunk.data) < chunk.total:
            return True
        meta = self.storage.install(chunk.index, chunk.index_term)
        if meta is None:
            self.core.not_installed()
            log.event("replica_snapshot_refused", index=chunk.index)
            return False
        fresh = State()
        fresh.load(meta.index, self.storage.body(meta))
        with self.lock:
            fresh.refused_stale = self.state.refused_stale
            self.state = fresh
        self.core.installed(meta)
        log.event("replica_snapshot_installed", index=meta.index, size=meta.size)
        for told in self._installed:
            told()
        self._answer_at_index()
        return True

    def snapshot(self) -> None:
        """Write a snapshot soon, whatever has come since the last."""
        self._wanted = True
        self._queue.put(("wake",))

    def _maybe_snapshot(self) -> None:
        due = self.state.applied - self.core.snapshot.index >= self._due or self._bytes >= LOG_BYTES
        if self._writing or self.broken or not (due or self._wanted):
            return
        self._wanted = False
        index = self.state.applied
        term = self.core.term_at(index)
        if index <= self.core.snapshot.index or term is None:
            return
        twin, members = self.state.copy(), self._members_at(index)
        self._writing, self._bytes, self._due = True, 0, plan_due(self.plan)

        def write() -> None:
            try:
                meta: Meta | None = self.storage.write_snapshot(index, term, members, twin.dump())
            except OSError as error:
                log.event("replica_snapshot_not_written", index=index, error=str(error))
                meta = None
            self._queue.put(("written", meta))

        try:
            threads.start(write, "replica-snapshot")
        except threads.NoThread:
            self._writing = False

    def _members_at(self, index: int) -> tuple[str, ...]:
        """Who the members are as of an index that is applied."""
        for entry in reversed(self.core.entries(self.core.base[0] + 1, index)):
            if entry.kind is Kind.MEMBERS:
                return messages.members_of(entry)
        return self.core.snapshot.members or self.core.first_members

    def _snapshot_written(self, meta: Meta | None) -> None:
        self._writing = False
        if meta is None or meta.index <= self.core.snapshot.index:
            return
        self.storage.adopt(meta)
        trail = size = 0
        for entry in reversed(self.core.entries(meta.index - TRAIL + 1, meta.index)):
            size += len(entry.data)
            if size > TRAIL_BYTES:
                break
            trail += 1
        self.core.compacted(meta, trail)
        self.snapshots += 1
        log.event("replica_snapshot", index=meta.index, size=meta.size)


def plan_due(plan: Plan) -> float:
    """Entries after which the next snapshot is due."""
    return plan.snapshot_entries * random.uniform(*SPREAD)


class _Answering(Pending):
    """A pending outcome whose caller hears it through a function."""

    __slots__ = ("answer", "number")

    def __init__(self, number: int, answer: Callable[[Told], None]) -> None:
        super().__init__()
        self.number, self.answer = number, answer

    def set(self, outcome: tuple[Result, int] | None) -> None:
        """It has come; None: its place in the log is another's."""
        if outcome is None:
            self.answer(Told(self.number, "lost", b"", 0))
        else:
            self.answer(Told(self.number, "ok", commands.encode_result(outcome[0]), outcome[1]))
