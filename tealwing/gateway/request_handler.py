"""The handler of one request, from its arrival to its final answer; it carries out the decision module's actions."""

from __future__ import annotations

import time
from enum import Enum
from functools import partial
from math import ceil, inf
from queue import Empty, SimpleQueue

from tealwing import interface as api
from tealwing import log
from tealwing.admin import metrics as counters
from tealwing.exchange import Cancelled, Failed, Query, Rejected, Reply, Served
from tealwing.gateway.attempt import MAX_PAGES, PAGES_PER_FETCH, Attempt, checked_page
from tealwing.gateway.decisions import TIMER_GRANULARITY, Decisions, Mailbox
from tealwing.gateway.host_load import HostLoadMonitor
from tealwing.gateway.sent_ids import TableUnavailableError
from tealwing.resp import messages
from tealwing.resp.connection import Answer, StreamLost
from tealwing.resp.engine_pool import EnginePool
from tealwing.resp.errors import AttemptWithdrawnError, ConnectError, ConnectionBrokenError

WAKE_UP_TIME = 0.01  # s from a timer's firing until the answer is sent, at most
RESERVED_TIME = TIMER_GRANULARITY + WAKE_UP_TIME  # s of a request's ttl that are reserved for the final answer
CANCEL_GAP = 0.005  # s from a cancel to the next send: on another connection the send could overtake the cancel
DECISION_OVERDUE = 0.1  # s past a request's deadline after which a missing decision is an error
DEFAULT_PRIORITY = 1
RESULT_COPIES = 2  # of a result that exist at once: its pages, and the packets made of them
MAX_WAITING_ITEMS = 2 * PAGES_PER_FETCH  # of a mailbox: the pages of one write, and what else an engine may send
NO_RETRY_AFTER = 0.0  # s of a Retry-After: the client may retry at once
PROGRESS_KINDS = {
    "frac": api.ProgressKind.PROGRESS,
    "missing": api.ProgressKind.SPILLING,
    "parked": api.ProgressKind.WAITING,
}


class Signal(Enum):
    """Items of a request's mailbox that are neither actions nor answers."""

    CLIENT_CANCELLED = "the client cancelled the request"
    SHUTDOWN = "the gateway shuts down"
    MEMORY_SHORT = "no memory is left for the result"
    REPEATED_ID = "a request with this id was sent before, or may have been"


class RequestHandler:
    """Runs one request: registers it, sends its attempts and returns its reply."""

    def __init__(
        self,
        query: Query,
        settings: api.Settings,
        decisions: Decisions,
        engines: EnginePool,
        host_load: HostLoadMonitor | None = None,
        metrics: counters.Metrics | None = None,
        zones: frozenset[int] | None = None,
    ) -> None:
        """Register the request; only engines of `zones` may serve it, None allows all."""
        self._query, self._settings, self._decisions, self._engines = query, settings, decisions, engines
        self._host_load, self._metrics, self._zones = host_load, metrics, zones
        self._class = settings.classes[query.cls].name
        self._mailbox: Mailbox = SimpleQueue()
        # a client's retry may have less than the reserved time left: the module then sees none remaining
        self._deadline = (query.received_at or time.monotonic()) + query.ttl - RESERVED_TIME
        self._id = decisions.register(query.request_id, self._mailbox, settings)
        self._retry_until = inf  # monotonic; end of the idempotency window, after which nothing is sent
        self._next_send_at = 0.0  # monotonic; when the cancel of the last attempt has reached its engine
        self._is_claimed = False  # its id is recorded as sent
        self._read_ahead: list[object] = []  # items taken from the mailbox early, to see whether the request has ended

    def cancel(self) -> None:
        """Cancel the request for its client, from any thread."""
        self._mailbox.put(Signal.CLIENT_CANCELLED)

    def run(self) -> Reply:
        """Run the request to its reply, and count its result in the metrics."""
        reply = self._handle()
        if self._metrics is not None:
            counter = counters.OK if isinstance(reply, Served) else counters.SHED
            if isinstance(reply, (Failed, Cancelled)):
                counter = counters.ERRORS
            self._metrics.count(counter, self._class)
        return reply

    def _handle(self) -> Reply:
        """Submit the request, then execute the module's actions until the final answer."""
        attempt: Attempt | None = None  # in flight
        attempt_count, priority = 0, DEFAULT_PRIORITY
        self._decisions.submit(self._to_request())
        try:
            while True:
                match self._next_item(attempt):
                    case api.SetResources(_, priority, _):
                        if attempt is not None and attempt.stream is not None:
                            attempt.stream.reprioritize(priority)

                    case api.Send(_, engine, timeout):
                        log.check_invariant(attempt is None, "a request has one attempt in flight at most")
                        attempt = Attempt(attempt_count, engine, timeout)
                        attempt_count += 1
                        failure = self._send(attempt, priority)
                        if self._host_load is not None and not attempt.number:
                            self._host_load.record_dispatch_delay(time.monotonic() - self._query.received_at)
                        if failure is not None:
                            # a request that was cancelled meanwhile must not get another attempt
                            request_ended = any(isinstance(item, Signal) for item in self._read_ahead)
                            self._report_outcome(attempt, failure, request_ended=request_ended)
                            attempt = None

                    case Answer() as answer:
                        if attempt is None or answer.stream is not attempt.stream:
                            continue  # a late answer: the outcome of its attempt is reported already
                        result = self._on_answer(attempt, answer)
                        if result is None:
                            continue  # more answers are expected
                        served = result is api.AttemptResult.OK
                        self._report_outcome(attempt, result, request_ended=served)
                        pages, attempt = attempt.pages, None
                        if served:
                            return Served(tuple(page for page in pages if page is not None))

                    case StreamLost(stream):
                        if attempt is not None and stream is attempt.stream:
                            self._report_outcome(attempt, api.AttemptResult.RESET)
                            attempt = None

                    case api.CancelAttempt(_, number):
                        if attempt is not None and attempt.number == number:
                            self._cancel_attempt(attempt)
                            self._report_outcome(attempt, api.AttemptResult.CANCELLED)
                            attempt = None

                    case None:  # the attempt timed out
                        if attempt is None:
                            log.check_invariant(False, "the module answers by the deadline")
                            self._decisions.submit(api.ClientGone(self._id))
                            return Failed()
                        self._cancel_attempt(attempt)
                        lost = attempt.pages  # the engine answered in time, but further pages were lost
                        self._report_outcome(attempt, api.AttemptResult.ERROR if lost else api.AttemptResult.TIMEOUT)
                        attempt = None

                    case api.Reject(_, retry_after, _):
                        return Rejected(retry_after)

                    case api.Fail():
                        return Failed()

                    case Signal() as signal:
                        self._decisions.submit(api.ClientGone(self._id))  # an attempt in flight is cancelled below
                        if signal is Signal.CLIENT_CANCELLED:
                            return Cancelled()
                        return Failed() if attempt_count else Rejected(NO_RETRY_AFTER)
        finally:
            if attempt is not None:
                self._cancel_attempt(attempt)
                self._report_outcome(attempt, api.AttemptResult.CANCELLED, request_ended=True)
            self._close(attempt_count)

    def _close(self, sends: int) -> None:
        """Unregister the request, and report a `Send` that is still in the mailbox as not sent."""
        for left in self._read_ahead + self._decisions.unregister(self._id, self._query.request_id):
            if isinstance(left, api.Send):
                self._report_outcome(
                    Attempt(sends, left.engine, left.timeout), api.AttemptResult.NOT_SENT, request_ended=True
                )
        self._decisions.forget(self._id)

    def _to_request(self) -> api.Request:
        query = self._query
        return api.Request(
            id=self._id,
            cls=query.cls,
            time_remaining=self._deadline - time.monotonic(),
            dataset=float(query.tables),
            cost=query.cost,
            tenant=query.tenant,
            memory_estimate=query.memory_estimate,
            zones=self._zones,
        )

    def _next_item(self, attempt: Attempt | None) -> object:
        """Return the next item of the mailbox; None when the attempt or the request has timed out."""
        if self._read_ahead:
            return self._read_ahead.pop(0)
        due = attempt.wait_until if attempt is not None else self._deadline + DECISION_OVERDUE
        try:
            return self._mailbox.get(timeout=max(0.0, due - time.monotonic()))
        except Empty:
            return None

    def _cancel_attempt(self, attempt: Attempt) -> None:
        attempt.cancel()
        self._next_send_at = time.monotonic() + CANCEL_GAP

    def _is_withdrawn(self, attempt: Attempt) -> bool:
        """Return whether an item of the mailbox ends the request or cancels this attempt."""
        while not self._mailbox.empty():  # only this thread takes from it
            self._read_ahead.append(self._mailbox.get())
        return bool(self._read_ahead) and any(
            isinstance(item, Signal | api.Reject | api.Fail)
            or (isinstance(item, api.CancelAttempt) and item.attempt == attempt.number)
            for item in self._read_ahead
        )

    def _send(self, attempt: Attempt, priority: int) -> api.AttemptResult | None:
        """Send the attempt to its engine; return how that failed, or None."""
        # checked first, because a connect may take long
        if (self._read_ahead or not self._mailbox.empty()) and self._is_withdrawn(attempt):
            return api.AttemptResult.NOT_SENT
        if (gap := self._next_send_at - time.monotonic()) > 0:  # sleep(0) would yield the interpreter
            time.sleep(gap)
        left = min(attempt.wait_until, self._deadline) - time.monotonic()
        if left <= 0:
            return api.AttemptResult.NOT_SENT  # its time ran out before the send
        try:
            attempt.stream = self._engines.send(
                attempt.engine,
                self._query.request_id,
                partial(self._send_fields, attempt, priority),
                self._query.statement,
                partial(self._on_stream_item, attempt),
                left,
            )
        except AttemptWithdrawnError:
            return api.AttemptResult.NOT_SENT
        except ConnectError:
            return api.AttemptResult.CONNECT_FAILED
        except ConnectionBrokenError:
            return api.AttemptResult.RESET
        if self._metrics is not None:
            self._metrics.count(counters.TRIES, self._class)
        return None

    def _send_fields(self, attempt: Attempt, priority: int) -> bytes:
        """Return the fields of a send that is about to be written. Raises AttemptWithdrawnError if it must not be.

        The wait for a connect or for other requests' bytes may have been long, so this is the last check.
        """
        left = min(attempt.wait_until, self._deadline) - time.monotonic()
        if left <= 0:
            raise AttemptWithdrawnError("the attempt's time ran out before it was sent")
        if time.monotonic() >= self._retry_until:
            raise AttemptWithdrawnError("the request's idempotency window ended before the attempt was sent")
        if (self._read_ahead or not self._mailbox.empty()) and self._is_withdrawn(attempt):
            raise AttemptWithdrawnError("the attempt was cancelled before it was sent")
        query = self._query
        if query.has_left():  # its disconnect may not have been handled yet
            self._read_ahead.insert(0, Signal.CLIENT_CANCELLED)
            raise AttemptWithdrawnError("the client disconnected before the attempt was sent")
        if not self._is_claimed:
            self._claim_id()
        fields = b"lane=%b,ttl=%d" % (self._settings.classes[query.cls].name.encode(), ceil(left * 1e3))
        if query.idempotency_key:
            fields += b",dedupe=" + query.idempotency_key
        if priority != DEFAULT_PRIORITY:
            fields += b",urgency=%d" % priority
        return fields

    def _claim_id(self) -> None:
        """Record the request as sent, right before its first attempt is. Raises AttemptWithdrawnError for a repeat."""
        call, problem = self._query.request_id, "a request with the same id was sent before"
        try:
            self._is_claimed = self._decisions.sent_ids.claim(call)
        except TableUnavailableError as error:
            problem = str(error)
        if not self._is_claimed:
            log.client_event("request_repeated", call=call.decode(), error=problem)
            self._read_ahead.insert(0, Signal.REPEATED_ID)
            raise AttemptWithdrawnError(problem)

    def _on_answer(self, attempt: Attempt, answer: Answer) -> api.AttemptResult | None:
        """Apply an engine's answer to the attempt; return the attempt's result, or None while it continues."""
        try:
            attempt.report = messages.report(answer.fields, self._settings.report_fields) or attempt.report
            if answer.status == b"503" and not attempt.pages:
                return self._finish_stream(attempt, api.AttemptResult.FULL)
            if answer.status == b"504" and not attempt.pages:
                return self._finish_stream(attempt, api.AttemptResult.NOT_SENT)
            if answer.status == b"500":
                if attempt.pages:
                    self._cancel_attempt(attempt)  # further pages must not reach a later attempt
                return self._finish_stream(attempt, api.AttemptResult.ERROR)
            if answer.status == b"200" and attempt.pages:
                return None  # a duplicate of the first page
            if answer.status == b"200":
                sheets = messages.count(answer.fields.get("sheets", "1"), MAX_PAGES)
                attempt.pages, attempt.requested_pages = [None] * max(sheets, 1), 1
                self._store_page(attempt, 0, answer)
            elif answer.status == b"chunk" and attempt.pages:
                sheet = messages.count(answer.fields.get("sheet"), len(attempt.pages) - 1)
                if attempt.pages[sheet] is None:  # otherwise a duplicate
                    self._store_page(attempt, sheet, answer)
            else:
                raise messages.RespError(f"unexpected answer from an engine: status {answer.status[:20]!r}")
        except messages.RespError as error:
            log.event("engine_answer_unusable", error=str(error))
            answer.stream.fail_connection()
            return api.AttemptResult.ERROR
        if not attempt.is_complete:
            return None
        if len(attempt.pages) > 1:
            answer.stream.close_result()
        return self._finish_stream(attempt, api.AttemptResult.OK)

    def _store_page(self, attempt: Attempt, number: int, answer: Answer) -> None:
        """Store a page and request the next ones; without memory for it, the request is failed by the next item."""
        page = checked_page(answer.body)
        if self._query.reserve(RESULT_COPIES * len(page)):
            attempt.store_page(number, page)
            attempt.fetch_pages(answer.stream)
        else:
            self._read_ahead.insert(0, Signal.MEMORY_SHORT)

    def _finish_stream(self, attempt: Attempt, result: api.AttemptResult) -> api.AttemptResult:
        if attempt.stream is not None:
            attempt.stream.finish()
        return result

    def _on_stream_item(self, attempt: Attempt, item: Answer | StreamLost) -> None:
        """Handle a stream's item on the reader thread; progress, which is frequent, goes to the module directly.

        Raises RespError, which ends the connection, if the engine sends answers faster than the request takes them.
        """
        if isinstance(item, Answer) and self._mailbox.qsize() >= MAX_WAITING_ITEMS:
            raise messages.RespError(f"the engine sent over {MAX_WAITING_ITEMS} answers that were not asked for")
        if isinstance(item, StreamLost) or item.status != b"status":
            self._mailbox.put(item)
        elif (kind := PROGRESS_KINDS.get(item.fields.get("why", ""))) is not None:
            value = messages.number(item.fields.get("val", ""), 0.0)
            self._decisions.submit(api.AttemptProgress(self._id, attempt.number, attempt.engine, kind, value))

    def _report_outcome(self, attempt: Attempt, result: api.AttemptResult, request_ended: bool = False) -> None:
        cls = self._settings.classes[self._query.cls]
        if cls.idempotency is api.Idempotency.KEYED and result not in api.NEVER_RAN:
            self._retry_until = min(self._retry_until, attempt.sent_at + cls.idempotency_window)
        attempt.stream = None  # breaks a reference cycle, which would keep the pages until a garbage collection
        elapsed = time.monotonic() - attempt.sent_at
        self._decisions.submit(
            api.AttemptOutcome(
                self._id, attempt.number, attempt.engine, result, elapsed, request_ended, report=attempt.report
            )
        )
