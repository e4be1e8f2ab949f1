"""The life of one request, from its arrival to its one final answer."""

from __future__ import annotations

import time
from enum import Enum
from functools import partial
from math import ceil, inf
from queue import Empty, SimpleQueue

from tealwing import interface as api
from tealwing import log
from tealwing.admin import figures as counted
from tealwing.exchange import Cancelled, Failed, Query, Rejected, Reply, Served
from tealwing.gateway.decisions import GRAIN, Decisions, Mailbox
from tealwing.gateway.vitals import Vitals
from tealwing.resp import messages
from tealwing.resp.engine import Answer, Broken, ConnectFailed, Lost, Stream, Withdrawn
from tealwing.resp.engines import Engines

WAKE = 0.01  # s from a timer's firing to the answer's bytes
TIME_KEPT = GRAIN + WAKE  # s of a ttl: what is decided when it is over is still heard in time
GIVE_UP_GAP = 0.005  # s from giving an attempt up to the next: of two connections the later may be faster
OVERDUE = 0.1  # s past the deadline at which the module's answer is missed
USUAL_PRIORITY = 1
MOST_RESULT = 64 * 1024  # bytes: all clients at once must fit the memory
COLUMNS = 3
MOST_PAGES = MOST_RESULT // COLUMNS  # a page has a row or more, and a row as many bytes as columns or more
PAGES_AT_ONCE = 64  # asked for in one write: what an engine's connection takes without a wait
PAGES_LIMIT = 0.5  # s for the pages asked for at once: an engine has them ready, so what is later is lost
NOTES = {"frac": api.ProgressKind.PROGRESS, "missing": api.ProgressKind.SPILLING, "parked": api.ProgressKind.WAITING}


class Signal(Enum):
    """What others put into a request's mailbox, beside actions and answers."""

    ABANDONED = "the client gave the request up"
    SHUTDOWN = "the gateway ends"


class Attempt:
    """One send to an engine, and the pages of its result so far."""

    def __init__(self, number: int, engine: int, timeout: float) -> None:
        self.number, self.engine = number, engine
        self.sent = time.monotonic()
        self.due = self.end = self.sent + timeout  # of what is waited for next; of the attempt
        self.stream: Stream | None = None
        self.pages: list[bytes | None] = []  # None: not come; empty before page 0
        self.asked = self.came = self.size = 0  # pages asked for and come, with page 0; bytes of those that came
        self.report: tuple[float, ...] = ()

    def add(self, number: int, page: bytes) -> None:
        """Take in a page that had not come; RespError where the result is too large."""
        self.pages[number] = page
        self.came, self.size = self.came + 1, self.size + len(page)
        if self.size > MOST_RESULT:
            raise messages.RespError(f"a result of more than {MOST_RESULT} bytes")

    @property
    def is_whole(self) -> bool:
        """Whether all pages have come."""
        return self.came == len(self.pages)

    def ask(self, stream: Stream) -> None:
        """Ask for the next pages, if all that were asked for have come and more are wanted."""
        if self.came < self.asked or self.asked == len(self.pages):
            return
        begin, self.asked = self.asked, min(self.asked + PAGES_AT_ONCE, len(self.pages))
        stream.turn(range(begin, self.asked))
        self.due = min(self.end, time.monotonic() + PAGES_LIMIT)

    def give_up(self) -> None:
        """Tell the engine that nothing more is wanted."""
        if self.stream is None:
            return
        if self.pages:
            self.stream.shut()
        else:
            self.stream.never_mind()


class Life:
    """One request under way."""

    def __init__(
        self,
        query: Query,
        settings: api.Settings,
        decisions: Decisions,
        engines: Engines,
        vitals: Vitals | None = None,
        figures: counted.Figures | None = None,
        zones: frozenset[int] | None = None,
    ) -> None:
        """zones has those that may serve it, as long as it lives; None is all."""
        self._query, self._settings, self._decisions, self._engines = query, settings, decisions, engines
        self._vitals, self._figures, self._zones = vitals, figures, zones
        self._class = settings.classes[query.cls].name
        self._mailbox: Mailbox = SimpleQueue()
        # A late try of a client may have less than we need ourselves: the module hears that no time is left
        self._deadline = (query.received_at or time.monotonic()) + query.ttl - TIME_KEPT
        self._id = decisions.enter(query.request_id, self._mailbox, settings)
        self._repeat_until = inf  # monotonic: a keyed request is not sent again after it, whatever a send waits for
        self._clear = 0.0  # when the engine of an attempt given up knows of it
        self._ahead: list[object] = []  # taken out of the mailbox before their turn, to see whether an end is there

    def cancel(self) -> None:
        """The client has given the request up."""
        self._mailbox.put(Signal.ABANDONED)

    def run(self) -> Reply:
        """See the request through, and count how it ended."""
        reply = self._run()
        if self._figures is not None:
            figure = counted.OK if isinstance(reply, Served) else counted.SHED
            if isinstance(reply, (Failed, Cancelled)):
                figure = counted.ERRORS
            self._figures.count(figure, self._class)
        return reply

    def _run(self) -> Reply:
        """Submit the request, then do what the module says until its final answer."""
        attempt: Attempt | None = None  # the one that is out
        sends, priority = 0, USUAL_PRIORITY
        self._decisions.submit(self._request())
        try:
            while True:
                match self._next(attempt):
                    case api.SetResources(_, priority, _):
                        if attempt is not None and attempt.stream is not None:
                            attempt.stream.hurry(priority)

                    case api.Send(_, engine, timeout):
                        log.check_invariant(attempt is None, "one attempt out at a time")
                        attempt = Attempt(sends, engine, timeout)
                        sends += 1
                        failure = self._send(attempt, priority)
                        if self._vitals is not None and not attempt.number:
                            self._vitals.lagged(time.monotonic() - self._query.received_at)
                        if failure is not None:
                            # of a request given up meanwhile no other attempt may be chosen, and count as sent
                            over = any(isinstance(item, Signal) for item in self._ahead)
                            self._outcome(attempt, failure, over=over)
                            attempt = None

                    case Answer() as answer:
                        if attempt is None or answer.stream is not attempt.stream:
                            continue  # late: that attempt has its outcome
                        result = self._take(attempt, answer)
                        if result is None:
                            continue  # not over yet
                        served = result is api.AttemptResult.OK
                        self._outcome(attempt, result, over=served)
                        pages, attempt = attempt.pages, None
                        if served:
                            return Served(tuple(page for page in pages if page is not None))

                    case Lost(stream):
                        if attempt is not None and stream is attempt.stream:
                            self._outcome(attempt, api.AttemptResult.RESET)
                            attempt = None

                    case api.CancelAttempt(_, number):
                        if attempt is not None and attempt.number == number:
                            self._give_up(attempt)
                            self._outcome(attempt, api.AttemptResult.CANCELLED)
                            attempt = None

                    case None:  # the attempt's time is over
                        if attempt is None:
                            log.check_invariant(False, "the module answers by the deadline")
                            self._decisions.submit(api.ClientGone(self._id))
                            return Failed()
                        self._give_up(attempt)
                        lost = attempt.pages  # it was done in time, and its pages are lost
                        self._outcome(attempt, api.AttemptResult.ERROR if lost else api.AttemptResult.TIMEOUT)
                        attempt = None

                    case api.Reject(_, retry_after, _):
                        return Rejected(retry_after)

                    case api.Fail():
                        return Failed()

                    case Signal() as signal:
                        self._decisions.submit(api.ClientGone(self._id))  # what is out ends below
                        return Cancelled() if signal is Signal.ABANDONED else Failed()
        finally:
            if attempt is not None:
                self._give_up(attempt)
                self._outcome(attempt, api.AttemptResult.CANCELLED, over=True)
            self._leave(sends)

    def _leave(self, sends: int) -> None:
        """Forget the request. A send still in the mailbox, which the end overtook, was never sent."""
        for left in self._ahead + self._decisions.leave(self._id, self._query.request_id):
            if isinstance(left, api.Send):
                self._outcome(Attempt(sends, left.engine, left.timeout), api.AttemptResult.NOT_SENT, over=True)
        self._decisions.forget(self._id)

    def _request(self) -> api.Request:
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

    def _next(self, attempt: Attempt | None) -> object:
        """The next thing in the mailbox; None when the attempt's time, or the request's, has passed."""
        if self._ahead:
            return self._ahead.pop(0)
        due = attempt.due if attempt is not None else self._deadline + OVERDUE
        try:
            return self._mailbox.get(timeout=max(0.0, due - time.monotonic()))
        except Empty:
            return None

    def _give_up(self, attempt: Attempt) -> None:
        attempt.give_up()
        self._clear = time.monotonic() + GIVE_UP_GAP

    def _withdrawn(self, attempt: Attempt) -> bool:
        """Whether the request, or this attempt of it, has been given up by what is in the mailbox."""
        while not self._mailbox.empty():  # only this thread takes from it
            self._ahead.append(self._mailbox.get())
        return bool(self._ahead) and any(
            isinstance(item, Signal | api.Reject | api.Fail)
            or (isinstance(item, api.CancelAttempt) and item.attempt == attempt.number)
            for item in self._ahead
        )

    def _send(self, attempt: Attempt, priority: int) -> api.AttemptResult | None:
        """Hand the request to the engine; how that failed, or None."""
        if (self._ahead or not self._mailbox.empty()) and self._withdrawn(attempt):  # no connect for it, which may last
            return api.AttemptResult.NOT_SENT
        if (gap := self._clear - time.monotonic()) > 0:  # a sleep of 0 gives the interpreter away
            time.sleep(gap)
        left = min(attempt.due, self._deadline) - time.monotonic()
        if left <= 0:
            return api.AttemptResult.NOT_SENT  # never sent: its time had run out
        try:
            attempt.stream = self._engines.send(
                attempt.engine,
                self._query.request_id,
                partial(self._head, attempt, priority),
                self._query.statement,
                partial(self._hear, attempt),
                left,
            )
        except Withdrawn:
            return api.AttemptResult.NOT_SENT
        except ConnectFailed:
            return api.AttemptResult.CONNECT_FAILED
        except Broken:
            return api.AttemptResult.RESET
        if self._figures is not None:
            self._figures.count(counted.TRIES, self._class)
        return None

    def _head(self, attempt: Attempt, priority: int) -> bytes:
        """The fields of a send whose bytes go out next; Withdrawn where they must not.

        The wait before it, for a connect or for the bytes of others, may have been long: the last check is here.
        """
        left = min(attempt.due, self._deadline) - time.monotonic()
        if left <= 0:
            raise Withdrawn("its time ran out before it was sent")
        if time.monotonic() >= self._repeat_until:
            raise Withdrawn("its window for repeats was over before it was sent")
        if (self._ahead or not self._mailbox.empty()) and self._withdrawn(attempt):
            raise Withdrawn("it was given up before it was sent")
        query = self._query
        if query.has_left():  # its event may not have been taken yet
            self._ahead.insert(0, Signal.ABANDONED)
            raise Withdrawn("its client left before it was sent")
        fields = b"lane=%b,ttl=%d" % (self._settings.classes[query.cls].name.encode(), ceil(left * 1e3))
        if query.idempotency_key:
            fields += b",dedupe=" + query.idempotency_key
        if priority != USUAL_PRIORITY:
            fields += b",urgency=%d" % priority
        return fields

    def _take(self, attempt: Attempt, answer: Answer) -> api.AttemptResult | None:
        """What an answer of the engine makes of the attempt; None while it goes on."""
        try:
            attempt.report = messages.report(answer.fields, self._settings.report_fields) or attempt.report
            if answer.word == b"503" and not attempt.pages:
                return self._ended(attempt, api.AttemptResult.FULL)
            if answer.word == b"504" and not attempt.pages:
                return self._ended(attempt, api.AttemptResult.NOT_SENT)
            if answer.word == b"500":
                if attempt.pages:
                    self._give_up(attempt)  # its other pages must not reach a later attempt
                return self._ended(attempt, api.AttemptResult.ERROR)
            if answer.word == b"200" and attempt.pages:
                return None  # a second copy
            if answer.word == b"200":
                sheets = messages.count(answer.fields.get("sheets", "1"), MOST_PAGES)
                attempt.pages, attempt.asked = [None] * max(sheets, 1), 1
                attempt.add(0, _page(answer.body))
                attempt.ask(answer.stream)
            elif answer.word == b"chunk" and attempt.pages:
                sheet = messages.count(answer.fields.get("sheet"), len(attempt.pages) - 1)
                if attempt.pages[sheet] is None:  # else a second copy
                    attempt.add(sheet, _page(answer.body))
                    attempt.ask(answer.stream)
            else:
                raise messages.RespError(f"an answer out of place: {answer.word[:20]!r}")
        except messages.RespError as error:
            log.event("engine_answer_unusable", error=str(error))
            answer.stream.spoilt()
            return api.AttemptResult.ERROR
        if not attempt.is_whole:
            return None
        if len(attempt.pages) > 1:
            answer.stream.shut()
        return self._ended(attempt, api.AttemptResult.OK)

    def _ended(self, attempt: Attempt, result: api.AttemptResult) -> api.AttemptResult:
        if attempt.stream is not None:
            attempt.stream.ended()
        return result

    def _hear(self, attempt: Attempt, item: Answer | Lost) -> None:
        """On the connection's reader thread. Notes go straight on: they are many, and wake nobody else."""
        if isinstance(item, Lost) or item.word != b"status":
            self._mailbox.put(item)
        elif (kind := NOTES.get(item.fields.get("why", ""))) is not None:
            value = messages.number(item.fields.get("val", ""), 0.0)
            self._decisions.submit(api.AttemptProgress(self._id, attempt.number, attempt.engine, kind, value))

    def _outcome(self, attempt: Attempt, result: api.AttemptResult, over: bool = False) -> None:
        cls = self._settings.classes[self._query.cls]
        if cls.idempotency is api.Idempotency.KEYED and result not in api.NEVER_RAN:
            self._repeat_until = min(self._repeat_until, attempt.sent + cls.idempotency_window)
        attempt.stream = None  # it leads back here: a circle would keep the pages until a collection
        elapsed = time.monotonic() - attempt.sent
        self._decisions.submit(
            api.AttemptOutcome(self._id, attempt.number, attempt.engine, result, elapsed, over, report=attempt.report)
        )


def _page(body: bytes) -> bytes:
    """A page that holds whole rows; anything else can't be passed on."""
    rows = body.split(b"\n")
    if rows[-1] or any(row.count(b"\t") != COLUMNS - 1 for row in rows[:-1]):
        raise messages.RespError("a page without whole rows")
    return body
