"""For other threads: have the leader, wherever it is, propose something or say at which index a read sees all."""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from tealwing.replica.outcomes import MOST_PENDING, Ask, Pending, Told, Unavailable, Unknown, encode

ASK_AGAIN = (0.03, 0.3)  # s between two tries to reach a leader, least and most, jittered
LEADER_WAIT = 1.0  # s that one try at the leader may take before another is made
LEADER_LOOK = 0.05  # s between two looks whether it leads still


class Asking:
    """One member's questions to its leader. Any thread."""

    def __init__(
        self, me: str, queue: SimpleQueue[tuple[Any, ...]], send: Callable[[str, bytes], object],
        leader: Callable[[], str], broken: Callable[[], str],
    ) -> None:  # fmt: skip
        """send takes a member's name and what is forwarded to it; leader says who leads as seen here, if anybody."""
        self._me, self._queue, self._send = me, queue, send
        self._leader, self._broken = leader, broken
        self._lock = threading.Lock()
        self._asked: dict[int, Pending] = {}  # by number: what we asked the leader
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()

    def stop(self) -> None:
        """Try no more."""
        self._stopped.set()

    def hear(self, told: Told) -> None:
        """The leader's answer; on the link's reader thread."""
        with self._lock:
            pending = self._asked.get(told.number)
        if pending is not None:
            pending.set(told)

    def read_index(self, wait: float) -> int:
        """Wait until the state here has all that was committed when this was called. Unavailable where it can't."""
        end = time.monotonic() + wait
        try:
            index = self.at_leader(Ask(0, b""), wait, again=True).index
        except Unknown as error:  # a read changes nothing
            raise Unavailable(str(error)) from None
        pending = Pending()
        self._queue.put(("at", index, pending))
        if not pending.done.wait(max(0.0, end - time.monotonic())):
            raise Unavailable(f"the state is not at {index} in time")
        return index

    def pass_on(self, command: bytes) -> None:
        """Have whoever leads propose a command, if anybody does; nobody hears what comes of it."""
        leader = self._leader()
        if leader == self._me:
            self._queue.put(("ask", Ask(0, command), lambda told: None))
        elif leader:
            self._send(leader, encode(Ask(0, command)))

    def at_leader(self, ask: Ask, wait: float, again: bool) -> Told:
        """What the leader says to it. Tried again where that does no harm, with growing, jittered waits."""
        end = time.monotonic() + wait
        pause, sent = ASK_AGAIN[0], False
        why = "no leader is known"
        while not self._stopped.is_set():
            left = end - time.monotonic()
            if left <= 0:
                break
            if broken := self._broken():
                raise Unavailable(f"this member is out of order: {broken}")
            leader = self._leader()
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
            if again and self._leader() != leader:
                return

    def _try(self, leader: str, ask: Ask, wait: float, again: bool) -> Told | None:
        number, pending = next(self._numbers), Pending()
        ask = Ask(number, ask.command, ask.members, ask.learners)
        if leader == self._me:
            self._queue.put(("ask", ask, pending.set))
            self._await(pending, leader, wait, again)
            found: Told | None = pending.outcome
            return found
        with self._lock:
            if len(self._asked) >= MOST_PENDING:
                raise Unavailable(f"{MOST_PENDING} calls wait already")
            self._asked[number] = pending
        try:
            self._send(leader, encode(ask))
            self._await(pending, leader, wait, again)
        finally:
            with self._lock:
                del self._asked[number]
        answer: Told | None = pending.outcome
        return answer
