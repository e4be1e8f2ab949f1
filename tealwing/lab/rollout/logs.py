"""One member of a replicated log in virtual time: the work of the node's, member's and forwarding client's threads."""

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
    """Return the number of commands in an entry: a Reports command holds several."""
    if entry.kind is not Kind.DATA:
        return 0
    body = c.decode(entry.data).body
    return len(body.reports) if isinstance(body, Reports) else 1


class _Reached(Pending):
    """Sets a signal when the state reaches the index that a read waits for."""

    def __init__(self, signal: Signal) -> None:
        super().__init__()
        self._signal = signal

    def set(self, outcome: Any) -> None:
        """Set the signal."""
        self._signal.set()


class Log:
    """One member of a log: its Raft core and the state that it has applied."""

    def __init__(
        self, host: Host, name: str, voters: tuple[str, ...], learners: tuple[str, ...], copies: StateHistory,
        options: Options, seed: int,
    ) -> None:  # fmt: skip
        """Join the log of that name; voters and learners are names of hosts, `seed` is the simulation's."""
        self.host, self.name, self._clock = host, name, host.network.clock
        number = Random(f"{seed}/{name}/{host.name}").randrange(1, 2**53)
        self.core = Raft(host.name, voters, self._clock.now, number, number, options, learners=learners)
        self.snapshot, self._copies = copies.first, copies
        self.applied: list[Callable[[StateSnapshot], None]] = []  # called with the state after each applied entry
        self.led: list[Callable[[bool], None]] = []  # called when the member starts or stops leading
        self.leads = self._proposed = False
        self._forwarded: list[bytes] = []
        self._random = Random(f"{seed}/{name}/{host.name}/asking")
        self._inbox: deque[tuple[Any, ...]] = deque()
        self._scheduled, self._timer = False, float("inf")
        self._waiting, self._reading = PendingProposals(), ReadBatcher(self.core)
        self._requests: dict[int, tuple[Signal, list[ForwardReply]]] = {}
        self._numbers = itertools.count(1)
        host.handlers[name, "log"] = lambda source, message: self.put("message", source, message)
        host.handlers[name, "forward"] = self._on_forward_message
        self._schedule_tick()

    # Calls by other parts and by tasks

    def put(self, *item: Any) -> None:
        """Queue an item for the member's thread."""
        self._inbox.append(item)
        if not self._scheduled:
            self._scheduled = True
            self._clock.at(self.host.free, self._run_batch)

    def propose_if_leader(self, body: Any) -> None:
        """Propose a command if this member leads."""
        self.put("request", ForwardRequest(0, c.encode(c.Command("", 0, body))), lambda reply: None)

    def forward(self, body: Any) -> None:
        """Have the leader propose a command: this member or another."""
        if self.core.leader == self.host.name:
            self.propose_if_leader(body)
        elif self.core.leader:
            self.host.send(self.core.leader, self.name, "forward", ForwardRequest(0, c.encode(c.Command("", 0, body))))

    def flush_commit(self) -> None:
        """If this member leads, send its commit index to all members at once."""
        self.put("flush-commit")

    def write(self, command: c.Command, wait: float) -> Step:
        """Submit a command; return its result, or None if that does not arrive in time."""
        reply = yield from self._call_leader(ForwardRequest(0, c.encode(command)), wait, bool(command.sequence))
        return c.decode_result(reply.result) if reply is not None else None

    def read_index(self, wait: float) -> Step:
        """Wait until all that is committed now is applied here; return the index, or None on a timeout."""
        end = self._clock.now + wait
        reply = yield from self._call_leader(ForwardRequest(0, b""), wait, True)
        if reply is None:
            return None
        reached = Signal(self._clock)
        self.put("wait-for-index", reply.index, _Reached(reached))
        found = yield reached, max(0.0, end - self._clock.now)
        return reply.index if found else None

    def _call_leader(self, request: ForwardRequest, wait: float, retry: bool) -> Step:
        end, pause = self._clock.now + wait, RETRY_BACKOFF[0]
        while (left := end - self._clock.now) > 1e-9:
            leader, sent = self.core.leader, False
            if leader:
                reply = yield from self._attempt(leader, request, min(left, ATTEMPT_TIMEOUT) if retry else left, retry)
                if reply is not None and reply.status == "ok":
                    return reply
                sent = reply is None or reply.status == "lost"
            if sent and not retry:
                return None
            yield min(pause * self._random.uniform(0.5, 1.0), max(0.0, end - self._clock.now))
            pause = min(RETRY_BACKOFF[1], 2 * pause)
        return None

    def _attempt(self, leader: str, request: ForwardRequest, wait: float, retry: bool) -> Step:
        number, signal = next(self._numbers), Signal(self._clock)
        found: list[ForwardReply] = []
        request = ForwardRequest(number, request.command)
        self._requests[number] = signal, found
        if leader == self.host.name:
            self.put("request", request, self._on_reply)
        else:
            self.host.send(leader, self.name, "forward", request)
        end = self._clock.now + wait
        while not found and (left := end - self._clock.now) > 1e-9:
            yield signal, min(left, LEADER_CHECK_INTERVAL) if retry else left
            if retry and not found and self.core.leader != leader:
                break
        del self._requests[number]
        return found[0] if found else None

    def _on_reply(self, reply: ForwardReply) -> None:
        if reply.number in self._requests:
            signal, found = self._requests[reply.number]
            found.append(reply)
            signal.set()

    def _on_forward_message(self, source: str, message: ForwardRequest | ForwardReply) -> None:
        self.host.spend(self.host.network.costs.message)
        if isinstance(message, ForwardReply):
            self._on_reply(message)
        else:
            self.put("request", message, lambda reply: self.host.send(source, self.name, "forward", reply))

    # The member's thread

    def _schedule_tick(self) -> None:
        due = min(self.core.next_deadline(), self._reading.next_round_at())
        if due < self._timer - 1e-9:
            self._timer = due
            self._clock.at(due, self._tick, due)

    def _tick(self, due: float) -> None:
        if self._timer == due:
            self._timer = float("inf")
            self.put("tick")

    def _run_batch(self) -> None:
        if self.host.free > self._clock.now:  # another thread of the process is running
            self._clock.at(self.host.free, self._run_batch)
            return
        now = self._clock.now
        for _ in range(min(len(self._inbox), MAX_QUEUE_BATCH)):
            self._process_item(now, self._inbox.popleft())
        self._propose_forwarded(now)
        self.core.tick(now)
        self._reading.begin(now)
        self._process_ready()

    def _propose_forwarded(self, now: float) -> None:
        forwarded, self._forwarded = self._forwarded, []
        try:
            for data in batched(forwarded):
                self.core.propose(now, data, defer_send=True)
                self._proposed = True
        except (NotLeaderError, BusyError):
            pass
        if self._proposed:
            self._proposed = False
            self.core.send_deferred(now)

    def _process_item(self, now: float, item: tuple[Any, ...]) -> None:
        match item[0]:
            case "message":
                self.host.spend(self.host.network.costs.message)
                self.core.step(now, item[1], item[2])
            case "request":
                self._request(now, item[1], item[2])
            case "wait-for-index":
                self._waiting.wait_for_index(item[1], item[2])
                self._waiting.index_reached(self.snapshot.index)
            case "flush-commit":
                self.core.broadcast_commit(now)

    def _request(self, now: float, request: ForwardRequest, answer: Callable[[ForwardReply], None]) -> None:
        if request.command and not request.number:
            self._forwarded.append(request.command)
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

    def _process_ready(self) -> None:
        """Process what the core has ready, batch by batch: sync the disk before sending and applying."""
        if not self.core.has_ready():
            self._finish_batch()
            return
        ready = self.core.ready()
        network = self.host.network
        sync = network.costs.disk(network.random) if ready.hard_state or ready.entries else 0.0
        self._clock.at(max(self.host.free, self._clock.now) + sync, self._on_synced, ready)

    def _on_synced(self, ready: Ready) -> None:
        now = self._clock.now
        if ready.entries:
            self.core.entries_saved(now, ready.entries[-1].index, ready.entries[-1].term)
        for name, message in ready.messages:
            self.host.send(name, self.name, "log", message)
        costs, members = self.host.network.costs, len(self.snapshot.tables["rule_members"])
        took = sum(costs.applying(members, message_count(entry)) for entry in ready.committed)
        self._clock.at(self.host.spend(took), self._apply, ready)

    def _apply(self, ready: Ready) -> None:
        for entry in ready.committed:
            self.snapshot = self._copies.apply(entry)
            self._waiting.entry_applied(entry, self.snapshot.result)
            for listener in self.applied:
                listener(self.snapshot)
        if ready.committed:
            self._waiting.index_reached(self.snapshot.index)
        for number in ready.failed_reads:
            self._reading.failed(number)
        for number, index in ready.reads:
            self._reading.confirmed(number, index)
        self._process_ready()

    def _finish_batch(self) -> None:
        leads = self.core.role is Role.LEADER and self.core.commit >= self.core.term_start_index
        if leads != self.leads:
            self.leads = leads
            for listener in self.led:
                listener(leads)
        self._scheduled = False
        if self._inbox:
            self._scheduled = True
            self._clock.at(self.host.free, self._run_batch)
        else:
            self._schedule_tick()
