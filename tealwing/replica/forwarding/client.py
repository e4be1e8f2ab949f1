"""Client of the leader for other threads: sends proposals and read index requests to the current leader."""

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

RETRY_BACKOFF = (0.03, 0.3)  # minimum and maximum s between two attempts, jittered
ATTEMPT_TIMEOUT = 1.0  # s for one attempt of an idempotent request
LEADER_CHECK_INTERVAL = 0.05  # s between two checks whether the leader has changed


class LeaderClient:
    """Sends the requests of one member to the leader and waits for the replies; thread-safe."""

    def __init__(
        self, local_id: str, queue: SimpleQueue[tuple[Any, ...]], send: Callable[[str, bytes], object],
        leader: Callable[[], str], broken: Callable[[], str],
    ) -> None:  # fmt: skip
        """Set up the client.

        `queue` is the queue of the local member's thread. `send` takes a member's name and an encoded request. `leader`
        returns the known leader or an empty string. `broken` returns the fault that takes this member out of service,
        or an empty string.
        """
        self._local_id, self._queue, self._send = local_id, queue, send
        self._leader, self._broken = leader, broken
        self._lock = threading.Lock()
        self._in_flight: dict[int, Pending] = {}  # requests at the leader, by number
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()

    def stop(self) -> None:
        """Stop the retries of all pending requests."""
        self._stopped.set()

    def handle_reply(self, reply: ForwardReply) -> None:
        """Complete the request that a reply of the leader answers; called on the link's reader thread."""
        with self._lock:
            pending = self._in_flight.get(reply.number)
        if pending is not None:
            pending.set(reply)

    def read_index(self, timeout: float) -> int:
        """Return the read index, once the local state has applied it (Raft thesis, section 6.4).

        Raises UnavailableError if that fails or takes more than `timeout` seconds.
        """
        end = time.monotonic() + timeout
        try:
            index = self.call_leader(ForwardRequest(0, b""), timeout, idempotent=True).index
        except OutcomeUnknownError as error:  # a read changes nothing, so its outcome is never unknown
            raise UnavailableError(str(error)) from None
        pending = Pending()
        self._queue.put(("wait_for_index", index, pending))
        if not pending.done.wait(max(0.0, end - time.monotonic())):
            raise UnavailableError(f"the local state did not reach index {index} within {timeout:g} s; retry later")
        return index

    def forward(self, command: bytes) -> None:
        """Forward a command to the leader, if one is known; the outcome is discarded."""
        leader = self._leader()
        if leader == self._local_id:
            self._queue.put(("request", ForwardRequest(0, command), lambda reply: None))
        elif leader:
            self._send(leader, encode(ForwardRequest(0, command)))

    def call_leader(  # noqa: C901 - one branch for each outcome of an attempt
        self, request: ForwardRequest, timeout: float, idempotent: bool
    ) -> ForwardReply:
        """Return the leader's reply to a request, within `timeout` seconds.

        A failed attempt is retried with jittered exponential backoff. A request that may have taken effect is retried
        only if it is idempotent.

        Raises OutcomeUnknownError if the request may have taken effect, UnavailableError if it did not.
        """
        end = time.monotonic() + timeout
        pause, may_have_effect = RETRY_BACKOFF[0], False
        why = "no leader is known"
        while not self._stopped.is_set():
            left = end - time.monotonic()
            if left <= 0:
                break
            if broken := self._broken():
                raise UnavailableError(f"this member is out of service: {broken}")
            leader = self._leader()
            if leader:
                reply = self._attempt(leader, request, min(left, ATTEMPT_TIMEOUT) if idempotent else left, idempotent)
                if reply is None:
                    why, may_have_effect = f"no reply from {leader} in time", True
                elif reply.status == "ok":
                    return reply
                elif reply.status == "lost":
                    why, may_have_effect = "the leader changed during the request", True
                elif reply.status == "refused":
                    raise UnavailableError(reply.result.decode("utf-8", "replace"))
                else:
                    why = f"{leader} replied with status {reply.status}"
                if may_have_effect and not idempotent:
                    break
            self._stopped.wait(min(pause * random.uniform(0.5, 1.0), max(0.0, end - time.monotonic())))
            pause = min(RETRY_BACKOFF[1], 2 * pause)
        if may_have_effect:
            raise OutcomeUnknownError(why)
        raise UnavailableError(why)

    def _await(self, pending: Pending, leader: str, timeout: float, idempotent: bool) -> None:
        """Wait up to `timeout` seconds for the outcome; give an idempotent request up when the leader changes."""
        end = time.monotonic() + timeout
        while (left := end - time.monotonic()) > 0:
            if pending.done.wait(min(left, LEADER_CHECK_INTERVAL) if idempotent else left):
                return
            if idempotent and self._leader() != leader:
                return

    def _attempt(self, leader: str, request: ForwardRequest, timeout: float, idempotent: bool) -> ForwardReply | None:
        """Send a request to the leader once; return the reply, or None if none arrived in time."""
        number, pending = next(self._numbers), Pending()
        request = ForwardRequest(number, request.command, request.voters, request.learners)
        if leader == self._local_id:
            self._queue.put(("request", request, pending.set))
            self._await(pending, leader, timeout, idempotent)
            local_reply: ForwardReply | None = pending.outcome
            return local_reply
        with self._lock:
            if len(self._in_flight) >= MAX_PENDING:
                raise UnavailableError(f"{MAX_PENDING} requests are pending, which is the maximum; retry later")
            self._in_flight[number] = pending
        try:
            self._send(leader, encode(request))
            self._await(pending, leader, timeout, idempotent)
        finally:
            with self._lock:
                del self._in_flight[number]
        reply: ForwardReply | None = pending.outcome
        return reply
