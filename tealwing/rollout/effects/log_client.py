"""What a gateway says to the log and asks of it for its machine: calls that may wait, on threads of their own.

Nothing here is sure to be heard: whoever wants a word said asks for it again until the state shows it, and the registry
takes the second copy of a word for what it is.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from tealwing import log
from tealwing.peers.clock import Clock
from tealwing.replica import commands as c
from tealwing.replica.outcomes import Unavailable, Unknown
from tealwing.rollout.agent.actions import ReadIndex, ReadToken, SubmitCommand
from tealwing.rollout.agent.machine import Machine
from tealwing.rollout.effects.background_worker import BackgroundWorker
from tealwing.rules import records

SUBMIT_TIMEOUT = 1.0  # s that one word to the log may take before it is said again
FORWARDED = (records.Verdict, records.Closed, records.ConfirmExpiry)
READ_TIMEOUT, READ_TIMEOUT_SHARE = (
    1.0,
    0.25,
)  # s that a read may take, and share of a permit: one lost frame must not cost it


class Log(Protocol):
    """The replicated log, as far as it is needed here."""

    def write(self, command: c.Command, wait: float) -> c.CommandResult:
        """Have a command applied."""

    def pass_on(self, data: bytes) -> None:
        """Have whoever leads propose a command, if anybody does; nobody hears what comes of it."""

    def read_index(self, wait: float) -> int:
        """Wait until the state here has all that was committed when this was called."""


class LogClient:
    """One thread for words, one for reads of each log: a read must not wait for a word."""

    def __init__(
        self, machine: Machine, clock: Clock, site: Log, lock: threading.Lock, changed: Callable[[], None],
        federation: Log | None = None, permit: float = READ_TIMEOUT / READ_TIMEOUT_SHARE,
    ) -> None:  # fmt: skip
        """permit is s that one lasts. lock is round the machine.

        changed is told, without the lock, whenever the machine has heard something.
        """
        self._machine, self._clock, self._site, self._lock, self._changed = machine, clock, site, lock, changed
        self._federation, self._read_timeout = federation, min(READ_TIMEOUT, READ_TIMEOUT_SHARE * permit)
        self._submissions, self._reads = BackgroundWorker("rules-words"), BackgroundWorker("rules-reads")
        self._federation_reads = BackgroundWorker("rules-reads-federation") if federation is not None else None
        self._queued: set[records.Body] = set()
        self.last_rejection = ""  # the last word with which the log turned ours down

    def start(self) -> None:
        """Begin; threads.NoThread where the system has none."""
        for worker in (self._submissions, self._reads, self._federation_reads):
            if worker is not None:
                worker.start()

    def stop(self) -> None:
        """End after what is being said."""
        for worker in (self._submissions, self._reads, self._federation_reads):
            if worker is not None:
                worker.stop()

    def submit(self, action: SubmitCommand) -> None:
        """Have a word said, where it is not about to be already.

        What all members say of every change is passed on, and nobody waits for an answer: a lost one would be waited
        for while the word could be said again, and the leader has more to do than to answer each.
        """
        if isinstance(action.body, FORWARDED):
            self._site.pass_on(c.encode(c.Command("", 0, action.body)))
            return
        if action.body not in self._queued and self._submissions.submit(lambda: self._send(action)):
            self._queued.add(action.body)

    def read(self, action: ReadIndex) -> None:
        """Ask the log up to where it is committed; the machine wants one at a time."""
        log_, worker = (self._federation, self._federation_reads) if action.federation else (self._site, self._reads)
        if log_ is None or worker is None or not worker.submit(lambda: self._read(log_, action)):
            with self._lock:
                now = self._clock.now()
                self._machine.read_failed(now, self._machine.read_sent(now, action.federation))

    def _send(self, action: SubmitCommand) -> None:
        ok = False
        self._queued.discard(action.body)  # if it is wanted again while it is said, it is said again
        try:
            result = self._site.write(c.Command("", 0, action.body), SUBMIT_TIMEOUT)
        except (Unknown, Unavailable):
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
        except Unavailable:
            with self._lock:
                self._machine.read_failed(self._clock.now(), token)
            return
        with self._lock:
            self._machine.read_completed(self._clock.now(), token, index)
        self._changed()
