"""Client of the replicated logs: submits commands and reads indexes for the state machine, on threads of its own.

Delivery is best effort: the machine requests a command again until the state shows its effect, and the registry
tolerates duplicates.
"""

from __future__ import annotations

import threading
import traceback
from collections.abc import Callable
from queue import SimpleQueue
from typing import Protocol

from tealwing import log, threads
from tealwing.peers.clock import Clock
from tealwing.replica import commands as c
from tealwing.replica.forwarding.protocol import OutcomeUnknownError, UnavailableError
from tealwing.rollout.agent.actions import ReadIndex, ReadToken, SubmitCommand
from tealwing.rollout.agent.machine import Machine
from tealwing.rules import records

MAX_QUEUED = 16  # tasks of a worker; more are rejected, and the machine requests them again
SUBMIT_TIMEOUT = 1.0  # s
FORWARDED = (records.Verdict, records.Closed, records.ConfirmExpiry)  # submitted without waiting for an answer
READ_TIMEOUT, READ_TIMEOUT_SHARE = 1.0, 0.25  # s, and share of a permit, so that one lost frame doesn't end the permit


class Log(Protocol):
    """The replicated log as the client uses it."""

    def write(self, command: c.Command, wait: float) -> c.CommandResult:
        """Propose a command and wait until it is applied."""

    def forward(self, data: bytes) -> None:
        """Forward a command to the leader, if there is one, without an answer."""

    def read_index(self, wait: float) -> int:
        """Wait until the local state has all that was committed at the call; return the index."""


class BackgroundWorker:
    """One thread with a bounded queue of tasks."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._queue: SimpleQueue[Callable[[], None] | None] = SimpleQueue()

    def start(self) -> None:
        """Start the thread. Raises threads.ThreadUnavailableError if the system has none."""
        threads.start(self._run, self._name)

    def stop(self) -> None:
        """Stop after the current task."""
        self._queue.put(None)

    def submit(self, task: Callable[[], None]) -> bool:
        """Queue a task; return False if the queue is full."""
        if self._queue.qsize() >= MAX_QUEUED:
            return False
        self._queue.put(task)
        return True

    def _run(self) -> None:
        while (task := self._queue.get()) is not None:
            try:
                task()
            except Exception:  # the machine requests the action again
                log.event("rules_task_failed", thread=self._name, trace=traceback.format_exc(limit=-3))


class LogClient:
    """Client with one thread for commands and one for reads of each log, as a read must not wait for a command."""

    def __init__(
        self, machine: Machine, clock: Clock, site: Log, lock: threading.Lock, changed: Callable[[], None],
        federation: Log | None = None, permit: float = READ_TIMEOUT / READ_TIMEOUT_SHARE,
    ) -> None:  # fmt: skip
        """Set up the threads; permit is the duration of a permit in s, and lock guards the machine.

        changed is called, without the lock, after each answer of a log.
        """
        self._machine, self._clock, self._site, self._lock, self._changed = machine, clock, site, lock, changed
        self._federation, self._read_timeout = federation, min(READ_TIMEOUT, READ_TIMEOUT_SHARE * permit)
        self._submissions, self._reads = BackgroundWorker("rules-words"), BackgroundWorker("rules-reads")
        self._federation_reads = BackgroundWorker("rules-reads-federation") if federation is not None else None
        self._queued: set[records.Body] = set()
        self.last_rejection = ""  # reason of the site's log for its last rejection; empty after a success

    def start(self) -> None:
        """Start the threads. Raises threads.ThreadUnavailableError if the system has none."""
        for worker in (self._submissions, self._reads, self._federation_reads):
            if worker is not None:
                worker.start()

    def stop(self) -> None:
        """Stop after the current tasks."""
        for worker in (self._submissions, self._reads, self._federation_reads):
            if worker is not None:
                worker.stop()

    def submit(self, action: SubmitCommand) -> None:
        """Submit a command unless it is queued already.

        Reports that all members send for every change are forwarded without an answer: this spares the leader, and a
        retry need not wait for a lost answer.
        """
        if isinstance(action.body, FORWARDED):
            self._site.forward(c.encode(c.Command("", 0, action.body)))
            return
        if action.body not in self._queued and self._submissions.submit(lambda: self._send(action)):
            self._queued.add(action.body)

    def read(self, action: ReadIndex) -> None:
        """Queue a read of a log's index; the machine requests one at a time."""
        log_, worker = (self._federation, self._federation_reads) if action.federation else (self._site, self._reads)
        if log_ is None or worker is None or not worker.submit(lambda: self._read(log_, action)):
            with self._lock:
                now = self._clock.now()
                self._machine.read_failed(now, self._machine.read_sent(now, action.federation))

    def _send(self, action: SubmitCommand) -> None:
        ok = False
        self._queued.discard(action.body)  # if the machine requests it during the call, it is queued again
        try:
            result = self._site.write(c.Command("", 0, action.body), SUBMIT_TIMEOUT)
        except (OutcomeUnknownError, UnavailableError):
            pass
        else:
            ok = result.ok
            if not ok and result.reason != self.last_rejection:
                log.event("rules_command_rejected", command=records.COMMAND_NAMES[type(action.body)], why=result.reason)
            self.last_rejection = "" if ok else result.reason
        with self._lock:
            self._machine.submitted(self._clock.now(), action, ok)
        self._changed()

    def _read(self, log_: Log, action: ReadIndex) -> None:
        with self._lock:
            token: ReadToken = self._machine.read_sent(self._clock.now(), action.federation)
        try:
            index = log_.read_index(self._read_timeout)
        except UnavailableError:
            with self._lock:
                self._machine.read_failed(self._clock.now(), token)
            return
        with self._lock:
            self._machine.read_completed(self._clock.now(), token, index)
        self._changed()
