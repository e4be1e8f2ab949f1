"""The life of one request, from its arrival to its one final answer."""

from __future__ import annotations

import time
from enum import Enum
from functools import partial
from math import ceil, inf
from queue import Empty, SimpleQueue

from tealwing import interface as api
from tealwing import log
from tealwing.admin import metrics as counted
from tealwing.exchange import Cancelled, Failed, Query, Rejected, Reply, Served
from tealwing.gateway.decisions import TIMER_GRANULARITY, Decisions, Mailbox
from tealwing.gateway.host_load import HostLoadMonitor
from tealwing.resp import messages
from tealwing.resp.engine import Answer, AttemptWithdrawnError, ConnectError, ConnectionBrokenError, Stream, StreamLost
from tealwing.resp.engine_pool import EnginePool

WAKE_UP_TIME = 0.01  # s from a timer's firing to the answer's bytes
RESERVED_TIME = TIMER_GRANULARITY + WAKE_UP_TIME  # s of a ttl: what is decided when it is over is still heard in time
CANCEL_GAP = 0.005  # s from giving an attempt up to the next: of two connections the later may be faster
DECISION_OVERDUE = 0.1  # s past the deadline at which the module's answer is missed
DEFAULT_PRIORITY = 1
MAX_RESULT_BYTES = 64 * 1024  # bytes: all clients at once must fit the memory
COLUMNS = 3
MAX_PAGES = MAX_RESULT_BYTES // COLUMNS  # a page has a row or more, and a row as many bytes as columns or more
PAGES_PER_FETCH = 64  # asked for in one write: what an engine's connection takes without a wait
PAGES_TIMEOUT = 0.5  # s for the pages asked for at once: an engine has them ready, so what is later is lost
PROGRESS_KINDS = {
    "frac": api.ProgressKind.PROGRESS,
    "missing": api.ProgressKind.SPILLING,
    "parked": api.ProgressKind.WAITING,
}


class Signal(Enum):
    """What others put into a request's mailbox, beside actions and answers."""

    CLIENT_CANCELLED = "the client gave the request up"
    SHUTDOWN = "the gateway ends"


class Attempt:
    """One send to an engine, and the pages of its result so far."""

    def __init__(self, number: int, engine: int, timeout: float) -> None:
        self.number, self.engine = number, engine
        self.sent_at = time.monotonic()
        self.wait_until = self.deadline = self.sent_at + timeout  # of what is waited for next; of the attempt
        self.stream: Stream | None = None
        self.pages: list[bytes | None] = []  # None: not come; empty before page 0
        self.requested_pages = self.received_pages = self.received_bytes = (
            0  # pages asked for and come, with page 0; bytes of those that came
        )
        self.report: tuple[float, ...] = ()

    def store_page(self, number: int, page: bytes) -> None:
        """Take in a page that had not come; RespError where the result is too large."""
        self.pages[number] = page
        self.received_pages, self.received_bytes = self.received_pages + 1, self.received_bytes + len(page)
        if self.received_bytes > MAX_RESULT_BYTES:
            raise messages.RespError(f"a result of more than {MAX_RESULT_BYTES} bytes")

    @property
    def is_complete(self) -> bool:
        """Whether all pages have come."""
        return self.received_pages == len(self.pages)

    def fetch_pages(self, stream: Stream) -> None:
        """Ask for the next pages, if all that were asked for have come and more are wanted."""
        if self.received_pages < self.requested_pages or self.requested_pages == len(self.pages):
            return
        begin, self.requested_pages = self.requested_pages, min(self.requested_pages + PAGES_PER_FETCH, len(self.pages))
        stream.fetch_pages(range(begin, self.requested_pages))
        self.wait_until = min(self.deadline, time.monotonic() + PAGES_TIMEOUT)

    def cancel(self) -> None:
        """Tell the engine that nothing more is wanted."""
        if self.stream is None:
            return
        if self.pages:
            self.stream.close_result()
        else:
            self.stream.cancel()


class RequestHandler:
    """One request under way."""

    def __init__(
        self,
        query: Query,
        settings: api.Settings,
        decisions: Decisions,
        engines: EnginePool,
        host_load: HostLoadMonitor | None = None,
        metrics: counted.Metrics | None = None,
        zones: frozenset[int] | None = None,
    ) -> None:
        """Register the request; only engines of `zones` may serve it, None allows all."""
        self._query, self._settings, self._decisions, self._engines = query, settings, decisions, engines
        self._host_load, self._metrics, self._zones = host_load, metrics, zones
        self._class = settings.classes[query.cls].name
        self._mailbox: Mailbox = SimpleQueue()
        # A late try of a client may have less than we need ourselves: the module hears that no time is left
        self._deadline = (query.received_at or time.monotonic()) + query.ttl - RESERVED_TIME
        self._id = decisions.register(query.request_id, self._mailbox, settings)
        self._retry_until = inf  # monotonic: a keyed request is not sent again after it, whatever a send waits for
        self._next_send_at = 0.0  # when the engine of an attempt given up knows of it
        self._read_ahead: list[
            object
        ] = []  # taken out of the mailbox before their turn, to see whether an end is there

    def cancel(self) -> None:
        """The client has given the request up."""
        self._mailbox.put(Signal.CLIENT_CANCELLED)

    def run(self) -> Reply:
        """See the request through, and count how it ended."""
        reply = self._handle()
        if self._metrics is not None:
            figure = counted.OK if isinstance(reply, Served) else counted.SHED
            if isinstance(reply, (Failed, Cancelled)):
                figure = counted.ERRORS
            self._metrics.count(figure, self._class)
        return reply

    def _handle(self) -> Reply:
        """Submit the request, then do what the module says until its final answer."""
        attempt: Attempt | None = None  # the one that is out
        attempt_count, priority = 0, DEFAULT_PRIORITY
        self._decisions.submit(self._to_request())
        try:
            while True:
                match self._next_item(attempt):
                    case api.SetResources(_, priority, _):
                        if attempt is not None and attempt.stream is not None:
                            attempt.stream.reprioritize(priority)

                    case api.Send(_, engine, timeout):
                        log.check_invariant(attempt is None, "one attempt out at a time")
                        attempt = Attempt(attempt_count, engine, timeout)
                        attempt_count += 1
                        failure = self._send(attempt, priority)
                        if self._host_load is not None and not attempt.number:
                            self._host_load.record_dispatch_delay(time.monotonic() - self._query.received_at)
                        if failure is not None:
                            # of a request given up meanwhile no other attempt may be chosen, and count as sent
                            request_ended = any(isinstance(item, Signal) for item in self._read_ahead)
                            self._report_outcome(attempt, failure, request_ended=request_ended)
                            attempt = None

                    case Answer() as answer:
                        if attempt is None or answer.stream is not attempt.stream:
                            continue  # late: that attempt has its outcome
                        result = self._on_answer(attempt, answer)
                        if result is None:
                            continue  # not over yet
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

                    case None:  # the attempt's time is over
                        if attempt is None:
                            log.check_invariant(False, "the module answers by the deadline")
                            self._decisions.submit(api.ClientGone(self._id))
                            return Failed()
                        self._cancel_attempt(attempt)
                        lost = attempt.pages  # it was done in time, and its pages are lost
                        self._report_outcome(attempt, api.AttemptResult.ERROR if lost else api.AttemptResult.TIMEOUT)
                        attempt = None

                    case api.Reject(_, retry_after, _):
                        return Rejected(retry_after)

                    case api.Fail():
                        return Failed()

                    case Signal() as signal:
                        self._decisions.submit(api.ClientGone(self._id))  # what is out ends below
                        return Cancelled() if signal is Signal.CLIENT_CANCELLED else Failed()
        finally:
            if attempt is not None:
                self._cancel_attempt(attempt)
                self._report_outcome(attempt, api.AttemptResult.CANCELLED, request_ended=True)
            self._close(attempt_count)

    def _close(self, sends: int) -> None:
        """Forget the request. A send still in the mailbox, which the end overtook, was never sent."""
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
        """The next thing in the mailbox; None when the attempt's time, or the request's, has passed."""
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
        """Whether the request, or this attempt of it, has been given up by what is in the mailbox."""
        while not self._mailbox.empty():  # only this thread takes from it
            self._read_ahead.append(self._mailbox.get())
        return bool(self._read_ahead) and any(
            isinstance(item, Signal | api.Reject | api.Fail)
            or (isinstance(item, api.CancelAttempt) and item.attempt == attempt.number)
            for item in self._read_ahead
        )

    def _send(self, attempt: Attempt, priority: int) -> api.AttemptResult | None:
        """Hand the request to the engine; how that failed, or None."""
        if (self._read_ahead or not self._mailbox.empty()) and self._is_withdrawn(
            attempt
        ):  # no connect for it, which may last
            return api.AttemptResult.NOT_SENT
        if (gap := self._next_send_at - time.monotonic()) > 0:  # a sleep of 0 gives the interpreter away
            time.sleep(gap)
        left = min(attempt.wait_until, self._deadline) - time.monotonic()
        if left <= 0:
            return api.AttemptResult.NOT_SENT  # never sent: its time had run out
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
            self._metrics.count(counted.TRIES, self._class)
        return None

    def _send_fields(self, attempt: Attempt, priority: int) -> bytes:
        """The fields of a send whose bytes go out next; Withdrawn where they must not.

        The wait before it, for a connect or for the bytes of others, may have been long: the last check is here.
        """
        left = min(attempt.wait_until, self._deadline) - time.monotonic()
        if left <= 0:
            raise AttemptWithdrawnError("its time ran out before it was sent")
        if time.monotonic() >= self._retry_until:
            raise AttemptWithdrawnError("its window for repeats was over before it was sent")
        if (self._read_ahead or not self._mailbox.empty()) and self._is_withdrawn(attempt):
            raise AttemptWithdrawnError("it was given up before it was sent")
        query = self._query
        if query.has_left():  # its event may not have been taken yet
            self._read_ahead.insert(0, Signal.CLIENT_CANCELLED)
            raise AttemptWithdrawnError("its client left before it was sent")
        fields = b"lane=%b,ttl=%d" % (self._settings.classes[query.cls].name.encode(), ceil(left * 1e3))
        if query.idempotency_key:
            fields += b",dedupe=" + query.idempotency_key
        if priority != DEFAULT_PRIORITY:
            fields += b",urgency=%d" % priority
        return fields

    def _on_answer(self, attempt: Attempt, answer: Answer) -> api.AttemptResult | None:
        """What an answer of the engine makes of the attempt; None while it goes on."""
        try:
            attempt.report = messages.report(answer.fields, self._settings.report_fields) or attempt.report
            if answer.status == b"503" and not attempt.pages:
                return self._finish_stream(attempt, api.AttemptResult.FULL)
            if answer.status == b"504" and not attempt.pages:
                return self._finish_stream(attempt, api.AttemptResult.NOT_SENT)
            if answer.status == b"500":
                if attempt.pages:
                    self._cancel_attempt(attempt)  # its other pages must not reach a later attempt
                return self._finish_stream(attempt, api.AttemptResult.ERROR)
            if answer.status == b"200" and attempt.pages:
                return None  # a second copy
            if answer.status == b"200":
                sheets = messages.count(answer.fields.get("sheets", "1"), MAX_PAGES)
                attempt.pages, attempt.requested_pages = [None] * max(sheets, 1), 1
                attempt.store_page(0, _checked_page(answer.body))
                attempt.fetch_pages(answer.stream)
            elif answer.status == b"chunk" and attempt.pages:
                sheet = messages.count(answer.fields.get("sheet"), len(attempt.pages) - 1)
                if attempt.pages[sheet] is None:  # else a second copy
                    attempt.store_page(sheet, _checked_page(answer.body))
                    attempt.fetch_pages(answer.stream)
            else:
                raise messages.RespError(f"an answer out of place: {answer.status[:20]!r}")
        except messages.RespError as error:
            log.event("engine_answer_unusable", error=str(error))
            answer.stream.fail_connection()
            return api.AttemptResult.ERROR
        if not attempt.is_complete:
            return None
        if len(attempt.pages) > 1:
            answer.stream.close_result()
        return self._finish_stream(attempt, api.AttemptResult.OK)

    def _finish_stream(self, attempt: Attempt, result: api.AttemptResult) -> api.AttemptResult:
        if attempt.stream is not None:
            attempt.stream.finish()
        return result

    def _on_stream_item(self, attempt: Attempt, item: Answer | StreamLost) -> None:
        """On the connection's reader thread. Notes go straight on: they are many, and wake nobody else."""
        if isinstance(item, StreamLost) or item.status != b"status":
            self._mailbox.put(item)
        elif (kind := PROGRESS_KINDS.get(item.fields.get("why", ""))) is not None:
            value = messages.number(item.fields.get("val", ""), 0.0)
            self._decisions.submit(api.AttemptProgress(self._id, attempt.number, attempt.engine, kind, value))

    def _report_outcome(self, attempt: Attempt, result: api.AttemptResult, request_ended: bool = False) -> None:
        cls = self._settings.classes[self._query.cls]
        if cls.idempotency is api.Idempotency.KEYED and result not in api.NEVER_RAN:
            self._retry_until = min(self._retry_until, attempt.sent_at + cls.idempotency_window)
        attempt.stream = None  # it leads back here: a circle would keep the pages until a collection
        elapsed = time.monotonic() - attempt.sent_at
        self._decisions.submit(
            api.AttemptOutcome(
                self._id, attempt.number, attempt.engine, result, elapsed, request_ended, report=attempt.report
            )
        )


def _checked_page(body: bytes) -> bytes:
    """A page that holds whole rows; anything else can't be passed on."""
    rows = body.split(b"\n")
    if rows[-1] or any(row.count(b"\t") != COLUMNS - 1 for row in rows[:-1]):
        raise messages.RespError("a page without whole rows")
    return body
