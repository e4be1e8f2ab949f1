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
from tealwing.replica.forwarding.protocol import OutcomeUnknownError, UnavailableError
from tealwing.rollout.actions import Read, Say, Token
from tealwing.rollout.errands import Errands
from tealwing.rollout.member import Machine
from tealwing.rules import records

SAY_WAIT = 1.0  # s that one word to the log may take before it is said again
PASSED = (records.Verdict, records.Closed, records.Witness)
READ_WAIT, READ_SHARE = 1.0, 0.25  # s that a read may take, and share of a permit: one lost frame must not cost it


class Log(Protocol):
    """The replicated log, as far as it is needed here."""

    def write(self, command: c.Command, wait: float) -> c.CommandResult:
        """Have a command applied."""

    def forward(self, data: bytes) -> None:
        """Have whoever leads propose a command, if anybody does; nobody hears what comes of it."""

    def read_index(self, wait: float) -> int:
        """Wait until the state here has all that was committed when this was called."""


class Talk:
    """One thread for words, one for reads of each log: a read must not wait for a word."""

    def __init__(
        self, machine: Machine, clock: Clock, site: Log, lock: threading.Lock, changed: Callable[[], None],
        federation: Log | None = None, permit: float = READ_WAIT / READ_SHARE,
    ) -> None:  # fmt: skip
        """permit is s that one lasts. lock is round the machine.

        changed is told, without the lock, whenever the machine has heard something.
        """
        self._machine, self._clock, self._site, self._lock, self._changed = machine, clock, site, lock, changed
        self._federation, self._read_wait = federation, min(READ_WAIT, READ_SHARE * permit)
        self._words, self._reads = Errands("rules-words"), Errands("rules-reads")
        self._outside = Errands("rules-reads-federation") if federation is not None else None
        self._saying: set[records.Body] = set()
        self.refusal = ""  # the last word with which the log turned ours down

    def start(self) -> None:
        """Begin; threads.NoThread where the system has none."""
        for errands in (self._words, self._reads, self._outside):
            if errands is not None:
                errands.start()

    def stop(self) -> None:
        """End after what is being said."""
        for errands in (self._words, self._reads, self._outside):
            if errands is not None:
                errands.stop()

    def say(self, action: Say) -> None:
        """Have a word said, where it is not about to be already.

        What all members say of every change is passed on, and nobody waits for an answer: a lost one would be waited
        for while the word could be said again, and the leader has more to do than to answer each.
        """
        if isinstance(action.body, PASSED):
            self._site.forward(c.encode(c.Command("", 0, action.body)))
            return
        if action.body not in self._saying and self._words.do(lambda: self._send(action)):
            self._saying.add(action.body)

    def read(self, action: Read) -> None:
        """Ask the log up to where it is committed; the machine wants one at a time."""
        log_, errands = (self._federation, self._outside) if action.federation else (self._site, self._reads)
        if log_ is None or errands is None or not errands.do(lambda: self._ask(log_, action)):
            with self._lock:
                now = self._clock.now()
                self._machine.read_failed(now, self._machine.read_sent(now, action.federation))

    def _send(self, action: Say) -> None:
        ok = False
        self._saying.discard(action.body)  # if it is wanted again while it is said, it is said again
        try:
            result = self._site.write(c.Command("", 0, action.body), SAY_WAIT)
        except (OutcomeUnknownError, UnavailableError):
            pass
        else:
            ok = result.ok
            if not ok and result.reason != self.refusal:
                log.event("rules_word_refused", word=type(action.body).__name__.lower(), why=result.reason)
            self.refusal = "" if ok else result.reason
        with self._lock:
            self._machine.said(self._clock.now(), action, ok)
        self._changed()

    def _ask(self, log_: Log, action: Read) -> None:
        with self._lock:
            token: Token = self._machine.read_sent(self._clock.now(), action.federation)
        try:
            index = log_.read_index(self._read_wait)
        except UnavailableError:
            with self._lock:
                self._machine.read_failed(self._clock.now(), token)
            return
        with self._lock:
            self._machine.read_done(self._clock.now(), token, index)
        self._changed()
