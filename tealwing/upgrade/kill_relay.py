"""Passes KILLs between the processes of one gateway, each to the process that owns the connection.

A KILL is confirmed only once it has been applied, so that it cannot cancel a later request of the same connection. The
sender waits for the confirmation for REPLY_LIMIT; a process that has let that pass is not waited for again until it
replies, so that a stopped process delays only the KILLs in progress.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import threading
import time
import traceback
from collections.abc import Callable

from tealwing import log, threads
from tealwing.mysql.connection_ids import process_of
from tealwing.mysql.kills import KillOutcome
from tealwing.mysql.statements import Kill
from tealwing.upgrade import messages
from tealwing.upgrade.process_directory import Inbox, ProcessDirectory, ProcessGoneError

REPLY_LIMIT = 0.25  # s that a KILL waits for its confirmation
EXPIRY = 1.0  # s after which a KILL that was not read is not applied
MESSAGES_AT_ONCE = 64  # that one read of the inbox takes
MAX_TOKEN = 0xFFFFFFFF


class PendingKill:
    """A KILL that waits for its confirmation."""

    def __init__(self) -> None:
        self.confirmed = threading.Event()
        self.found = False  # whether the connection existed; valid once confirmed


class KillRelay:
    """Forwards KILLs to the other processes, and applies those that they forward."""

    def __init__(
        self,
        directory: ProcessDirectory,
        inbox: Inbox,
        apply: Callable[[Kill], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Receive KILLs in the inbox once started; `apply` returns whether the connection exists, and never blocks."""
        self.process = inbox.process
        self._directory, self._inbox, self._apply, self._clock = directory, inbox, apply, clock
        self._lock = threading.Lock()  # guards the two tables; never held across a call to the system
        self._tokens = itertools.count(1)
        self._pending: dict[int, PendingKill] = {}  # by token; at most one for each thread of a session
        self._unresponsive: set[int] = set()  # processes that have let REPLY_LIMIT pass
        self._write_lock = threading.Lock()  # one inbox is open for writing at a time; writing never blocks
        self._closed = threading.Event()

    def start(self) -> None:
        """Start receiving. Raises threads.ThreadUnavailableError, and leaves the directory then."""
        try:
            threads.start(self._receive, "kill-relay")
        except threads.ThreadUnavailableError:
            self._inbox.remove()
            self._inbox.close()
            raise

    def close(self) -> None:
        """Leave the directory and stop receiving."""
        self._inbox.remove()
        self._closed.set()
        self._inbox.wake(messages.encode(messages.KillReply(self.process, 0, False)))

    def forward(self, kill: Kill) -> KillOutcome:
        """Have the process that owns the connection apply the KILL; waits for at most REPLY_LIMIT."""
        process = process_of(kill.connection)
        if process == self.process:
            return KillOutcome.UNKNOWN_CONNECTION
        pending, token = PendingKill(), next(self._tokens) & MAX_TOKEN
        expires_at = self._clock() + EXPIRY
        request = messages.KillRequest(self.process, token, kill.connection, kill.query_only, expires_at)
        with self._lock:
            self._pending[token] = pending
            limit = 0.0 if process in self._unresponsive else REPLY_LIMIT
        try:
            self._write(process, request)
            if pending.confirmed.wait(limit):
                return KillOutcome.APPLIED if pending.found else KillOutcome.UNKNOWN_CONNECTION
        except ProcessGoneError:
            with self._lock:
                self._unresponsive.discard(process)
            return KillOutcome.UNKNOWN_CONNECTION
        except OSError as error:  # its inbox is full, or descriptors ran out
            log.event("kill_not_forwarded", process=process, error=str(error))
            return KillOutcome.UNCONFIRMED
        finally:
            with self._lock:
                del self._pending[token]
        self._mark_unresponsive(process)
        return KillOutcome.UNCONFIRMED

    def _mark_unresponsive(self, process: int) -> None:
        with self._lock:
            is_new = process not in self._unresponsive
            self._unresponsive.add(process)
        if is_new:
            log.event("kill_unconfirmed", process=process, waited=REPLY_LIMIT)

    def _write(self, process: int, message: messages.KillRequest | messages.KillReply) -> None:
        """Write a message to the inbox of a process; never blocks. Raises ProcessGoneError, OSError."""
        with self._write_lock:
            descriptor = self._directory.open_inbox(process)
            try:
                os.write(descriptor, messages.encode(message))
            except BrokenPipeError:
                raise ProcessGoneError(f"process {process} has ended") from None
            finally:
                os.close(descriptor)

    def _receive(self) -> None:
        """Handle the messages of the inbox until the relay is closed."""
        while not self._closed.is_set():
            try:
                for message in messages.decode(self._inbox.read(messages.SIZE * MESSAGES_AT_ONCE)):
                    self._handle(message)
            except messages.MalformedMessageError as error:
                log.event("kill_message_malformed", error=str(error))
            except Exception:  # an internal error must not end the thread
                log.check_invariant(False, f"a message is handled: {traceback.format_exc(limit=-3)}")
        self._inbox.close()

    def _handle(self, message: messages.KillRequest | messages.KillReply) -> None:
        match message:
            case messages.KillRequest():
                self._handle_request(message)
            case messages.KillReply(sender, token, found):
                with self._lock:
                    self._unresponsive.discard(sender)
                    pending = self._pending.get(token)
                if pending is not None:
                    pending.found = found
                    pending.confirmed.set()

    def _handle_request(self, request: messages.KillRequest) -> None:
        if self._clock() > request.expires_at:
            return
        found = self._apply(Kill(request.connection, request.query_only))
        with contextlib.suppress(ProcessGoneError, OSError):  # the sender has exited, or reports it as unconfirmed
            self._write(request.sender, messages.KillReply(self.process, request.token, found))
