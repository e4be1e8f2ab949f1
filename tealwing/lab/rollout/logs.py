"""One member of a replicated log in virtual time: what the node, the member and the leader's client do on threads."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from tealwing.lab.rollout.copies import StateHistory, StateSnapshot
from tealwing.lab.rollout.host import Host
from tealwing.lab.rollout.tasks import Signal, Step
from tealwing.replica import commands as c
from tealwing.replica.forwarding.batching import batched
from tealwing.replica.forwarding.client import ATTEMPT_TIMEOUT, LEADER_CHECK_INTERVAL, RETRY_BACKOFF
from tealwing.replica.forwarding.pending import PendingProposals
from tealwing.replica.forwarding.protocol import CallbackPending, ForwardReply, ForwardRequest, Pending
from tealwing.replica.forwarding.reads import ReadBatcher
from tealwing.replica.messages import Entry, Kind
from tealwing.replica.raft import BusyError, NotLeaderError, Options, Raft, Ready, Role
from tealwing.replica.service.node import MAX_QUEUE_BATCH
from tealwing.rules.records import Reports


def message_count(entry: Entry) -> int:
    """How many words are in one entry."""
    if entry.kind is not Kind.DATA:
        return 0
    body = c.decode(entry.data).body
    return len(body.reports) if isinstance(body, Reports) else 1


class _Reached(Pending):
    """The state is at the index that a read waits for."""

    def __init__(self, signal: Signal) -> None:
        super().__init__()
        self._signal = signal

    def set(self, outcome: Any) -> None:
        """It is."""
        self._signal.set()


class Log:
    """A core, and the state that it has applied."""

    def __init__(
        self, host: Host, name: str, voters: tuple[str, ...], learners: tuple[str, ...], copies: StateHistory,
        options: Options, seed: int,
    ) -> None:  # fmt: skip
        """Join the log of that name; voters and learners are hosts' names, `seed` is that of the simulation."""
        self.host, self.name, self._clock = host, name, host.wires.clock
        number = Random(f"{seed}/{name}/{host.name}").randrange(1, 2**53)
        self.core = Raft(host.name, voters, self._clock.now, number, number, options, learners=learners)
        self.snapshot, self._copies = copies.first, copies
        self.applied: list[Callable[[StateSnapshot], None]] = []  # told of each entry, as it is applied
        self.led: list[Callable[[bool], None]] = []
        self.leads = self._proposed = False
        self._passed: list[bytes] = []
        self._random = Random(f"{seed}/{name}/{host.name}/asking")
        self._inbox: deque[tuple[Any, ...]] = deque()
        self._turning, self._timer = False, float("inf")
        self._waiting, self._reading = PendingProposals(), ReadBatcher(self.core)
        self._requests: dict[int, tuple[Signal, list[ForwardReply]]] = {}
        self._numbers = itertools.count(1)
        host.handlers[name, "log"] = lambda source, message: self.put("message", source, message)
        host.handlers[name, "forward"] = self._on_forwarded
        self._due()

    # What others ask for; tasks

    def put(self, *item: Any) -> None:
        """Have the member's thread do something."""
        self._inbox.append(item)
        if not self._turning:
            self._turning = True
            self._clock.at(self.host.free, self._turn)

    def propose_if_leader(self, body: Any) -> None:
        """Propose if this member leads."""
        self.put("ask", ForwardRequest(0, c.encode(c.Command("", 0, body))), lambda told: None)

    def pass_on(self, body: Any) -> None:
        """Have whoever leads propose it."""
        if self.core.leader == self.host.name:
            self.propose_if_leader(body)
        elif self.core.leader:
            self.host.send(self.core.leader, self.name, "forward", ForwardRequest(0, c.encode(c.Command("", 0, body))))

    def flush_commit(self) -> None:
        """If this member leads: say at once how far all is committed."""
        self.put("hurry")

    def write(self, command: c.Command, wait: float) -> Step:
        """Have a command applied: its result, or None where that is not seen in time."""
        told = yield from self._at_leader(ForwardRequest(0, c.encode(command)), wait, bool(command.sequence))
        return c.decode_result(told.result) if told is not None else None

    def read_index(self, wait: float) -> Step:
        """Wait until the state here has all that was committed: the index, or None."""
        end = self._clock.now + wait
        told = yield from self._at_leader(ForwardRequest(0, b""), wait, True)
        if told is None:
            return None
        reached = Signal(self._clock)
        self.put("at", told.index, _Reached(reached))
        found = yield reached, max(0.0, end - self._clock.now)
        return told.index if found else None

    def _at_leader(self, request: ForwardRequest, wait: float, again: bool) -> Step:
        end, pause = self._clock.now + wait, RETRY_BACKOFF[0]
        while (left := end - self._clock.now) > 1e-9:
            leader, sent = self.core.leader, False
            if leader:
                told = yield from self._try(leader, request, min(left, ATTEMPT_TIMEOUT) if again else left, again)
                if told is not None and told.status == "ok":
                    return told
                sent = told is None or told.status == "lost"
            if sent and not again:
                return None
            yield min(pause * self._random.uniform(0.5, 1.0), max(0.0, end - self._clock.now))
            pause = min(RETRY_BACKOFF[1], 2 * pause)
        return None

    def _try(self, leader: str, request: ForwardRequest, wait: float, again: bool) -> Step:
        number, signal = next(self._numbers), Signal(self._clock)
        found: list[ForwardReply] = []
        request = ForwardRequest(number, request.command)
        self._requests[number] = signal, found
        if leader == self.host.name:
            self.put("ask", request, self._on_reply)
        else:
            self.host.send(leader, self.name, "forward", request)
        end = self._clock.now + wait
        while not found and (left := end - self._clock.now) > 1e-9:
            yield signal, min(left, LEADER_CHECK_INTERVAL) if again else left
            if again and not found and self.core.leader != leader:
                break
        del self._requests[number]
        return found[0] if found else None

    def _on_reply(self, told: ForwardReply) -> None:
        if told.number in self._requests:
            signal, found = self._requests[told.number]
            found.append(told)
            signal.set()

    def _on_forwarded(self, source: str, message: ForwardRequest | ForwardReply) -> None:
        self.host.spend(self.host.wires.costs.message)
        if isinstance(message, ForwardReply):
            self._on_reply(message)
        else:
            self.put("ask", message, lambda told: self.host.send(source, self.name, "forward", told))

    # The member's thread

    def _due(self) -> None:
        due = min(self.core.next_deadline(), self._reading.next_round_at())
        if due < self._timer - 1e-9:
            self._timer = due
            self._clock.at(due, self._tick, due)

    def _tick(self, due: float) -> None:
        if self._timer == due:
            self._timer = float("inf")
            self.put("tick")

    def _turn(self) -> None:
        if self.host.free > self._clock.now:  # another thread of the process was first
            self._clock.at(self.host.free, self._turn)
            return
        now = self._clock.now
        for _ in range(min(len(self._inbox), MAX_QUEUE_BATCH)):
            self._take(now, self._inbox.popleft())
        self._propose_passed(now)
        self.core.tick(now)
        self._reading.begin(now)
        self._work()

    def _propose_passed(self, now: float) -> None:
        passed, self._passed = self._passed, []
        try:
            for data in batched(passed):
                self.core.propose(now, data, defer_send=True)
                self._proposed = True
        except (NotLeaderError, BusyError):
            pass
        if self._proposed:
            self._proposed = False
            self.core.send_deferred(now)

    def _take(self, now: float, item: tuple[Any, ...]) -> None:
        match item[0]:
            case "message":
                self.host.spend(self.host.wires.costs.message)
                self.core.step(now, item[1], item[2])
            case "ask":
                self._request(now, item[1], item[2])
            case "at":
                self._waiting.wait_for_index(item[1], item[2])
                self._waiting.index_reached(self.snapshot.index)
            case "hurry":
                self.core.broadcast_commit(now)

    def _request(self, now: float, request: ForwardRequest, answer: Callable[[ForwardReply], None]) -> None:
        if request.command and not request.number:
            self._passed.append(request.command)
            return
        try:
            if request.command:
                index, term = self.core.propose(now, request.command, defer_send=True)
                self._proposed = True
                self._waiting.add(index, term, CallbackPending(request.number, answer))
            else:
                self._reading.add(CallbackPending(request.number, answer))
        except NotLeaderError:
            answer(ForwardReply(request.number, "not-leader", b"", 0))
        except BusyError:
            answer(ForwardReply(request.number, "busy", b"", 0))

    def _work(self) -> None:
        """What the core wants, piece by piece; the disk before what rests on it."""
        if not self.core.has_ready():
            self._end()
            return
        ready = self.core.ready()
        wires = self.host.wires
        sync = wires.costs.disk(wires.random) if ready.hard_state or ready.entries else 0.0
        self._clock.at(max(self.host.free, self._clock.now) + sync, self._done, ready)

    def _done(self, ready: Ready) -> None:
        now = self._clock.now
        if ready.entries:
            self.core.entries_saved(now, ready.entries[-1].index, ready.entries[-1].term)
        for name, message in ready.messages:
            self.host.send(name, self.name, "log", message)
        costs, members = self.host.wires.costs, len(self.snapshot.tables["rule_members"])
        took = sum(costs.applying(members, message_count(entry)) for entry in ready.committed)
        self._clock.at(self.host.spend(took), self._apply, ready)

    def _apply(self, ready: Ready) -> None:
        for entry in ready.committed:
            self.snapshot = self._copies.apply(entry)
            self._waiting.entry_applied(entry, self.snapshot.result)
            for told in self.applied:
                told(self.snapshot)
        if ready.committed:
            self._waiting.index_reached(self.snapshot.index)
        for number in ready.failed_reads:
            self._reading.failed(number)
        for number, index in ready.reads:
            self._reading.confirmed(number, index)
        self._work()

    def _end(self) -> None:
        leads = self.core.role is Role.LEADER and self.core.commit >= self.core.term_start_index
        if leads != self.leads:
            self.leads = leads
            for told in self.led:
                told(leads)
        self._turning = False
        if self._inbox:
            self._turning = True
            self._clock.at(self.host.free, self._turn)
        else:
            self._due()
