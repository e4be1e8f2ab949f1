"""Client for other threads: sends proposals and read index requests to the leader, whichever member that is."""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from tealwing.replica.forwarding.protocol import (
    MAX_PENDING,
    ForwardReply,
    ForwardRequest,
    OutcomeUnknownError,
    Pending,
    UnavailableError,
    encode,
)

RETRY_BACKOFF = (0.03, 0.3)  # s between two attempts, minimum and maximum, jittered
ATTEMPT_TIMEOUT = 1.0  # s, limit of one attempt at an idempotent request
LEADER_CHECK_INTERVAL = 0.05  # s between two checks that the leader is unchanged


class LeaderClient:
    """Sender of one member's requests to the leader; thread-safe."""

    def __init__(
        self, local_id: str, queue: SimpleQueue[tuple[Any, ...]], send: Callable[[str, bytes], object],
        leader: Callable[[], str], broken: Callable[[], str],
    ) -> None:  # fmt: skip
        """Set up the client.

        send takes a member's name and an encoded request. leader returns the known leader or an empty string. broken
        returns the fault that takes this member out of service, or an empty string.
        """
        self._local_id, self._queue, self._send = local_id, queue, send
        self._leader, self._broken = leader, broken
        self._lock = threading.Lock()
        self._in_flight: dict[int, Pending] = {}  # requests at the leader, by number
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()

    def stop(self) -> None:
        """Stop retrying."""
        self._stopped.set()

    def handle_reply(self, reply: ForwardReply) -> None:
        """Complete a request with the leader's reply; called on the link's reader thread."""
        with self._lock:
            pending = self._in_flight.get(reply.number)
        if pending is not None:
            pending.set(reply)

    def read_index(self, timeout: float) -> int:
        """Return the read index, once the local state has applied it (Raft thesis, section 6.4).

        Raises UnavailableError if that fails or takes more than timeout seconds.
        """
        end = time.monotonic() + timeout
        try:
            index = self.call_leader(ForwardRequest(0, b""), timeout, idempotent=True).index
        except OutcomeUnknownError as error:  # a read has no effect, so its outcome is never in doubt
            raise UnavailableError(str(error)) from None
        pending = Pending()
        self._queue.put(("at", index, pending))
        if not pending.done.wait(max(0.0, end - time.monotonic())):
            raise UnavailableError(f"the state is not at {index} in time")
        return index

    def forward(self, command: bytes) -> None:
        """Forward a command to the leader, if one is known; the outcome is discarded."""
        leader = self._leader()
        if leader == self._local_id:
            self._queue.put(("ask", ForwardRequest(0, command), lambda told: None))
        elif leader:
            self._send(leader, encode(ForwardRequest(0, command)))

    def call_leader(  # noqa: C901 - the outcomes of an attempt, side by side
        self, request: ForwardRequest, timeout: float, idempotent: bool
    ) -> ForwardReply:
        """Return the leader's reply to a request, within timeout seconds.

        Retries with jittered exponential backoff; once the request may have taken effect, only if it is idempotent.
        Raises OutcomeUnknownError if the request may have taken effect, UnavailableError if it did not.
        """
        end = time.monotonic() + timeout
        pause, sent = RETRY_BACKOFF[0], False
        why = "no leader is known"
        while not self._stopped.is_set():
            left = end - time.monotonic()
            if left <= 0:
                break
            if broken := self._broken():
                raise UnavailableError(f"this member is out of order: {broken}")
            leader = self._leader()
            if leader:
                reply = self._attempt(leader, request, min(left, ATTEMPT_TIMEOUT) if idempotent else left, idempotent)
                if reply is None:
                    why, sent = f"no answer of {leader} in time", True
                elif reply.status == "ok":
                    return reply
                elif reply.status == "lost":
                    why, sent = "the leader changed meanwhile", True
                elif reply.status == "refused":
                    raise UnavailableError(reply.result.decode("utf-8", "replace"))
                else:
                    why = f"{leader} says: {reply.status}"
                if sent and not idempotent:
                    break
            self._stopped.wait(min(pause * random.uniform(0.5, 1.0), max(0.0, end - time.monotonic())))
            pause = min(RETRY_BACKOFF[1], 2 * pause)
        if sent:
            raise OutcomeUnknownError(why)
        raise UnavailableError(why)

    def _await(self, pending: Pending, leader: str, timeout: float, idempotent: bool) -> None:
        """Wait for the outcome for timeout seconds; an idempotent request is abandoned when the leader changes."""
        end = time.monotonic() + timeout
        while (left := end - time.monotonic()) > 0:
            if pending.done.wait(min(left, LEADER_CHECK_INTERVAL) if idempotent else left):
                return
            if idempotent and self._leader() != leader:
                return

    def _attempt(self, leader: str, request: ForwardRequest, timeout: float, idempotent: bool) -> ForwardReply | None:
        number, pending = next(self._numbers), Pending()
        request = ForwardRequest(number, request.command, request.voters, request.learners)
        if leader == self._local_id:
            self._queue.put(("ask", request, pending.set))
            self._await(pending, leader, timeout, idempotent)
            found: ForwardReply | None = pending.outcome
            return found
        with self._lock:
            if len(self._in_flight) >= MAX_PENDING:
                raise UnavailableError(f"{MAX_PENDING} calls wait already")
            self._in_flight[number] = pending
        try:
            self._send(leader, encode(request))
            self._await(pending, leader, timeout, idempotent)
        finally:
            with self._lock:
                del self._in_flight[number]
        answer: ForwardReply | None = pending.outcome
        return answer
