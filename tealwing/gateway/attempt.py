"""One attempt of a request at one engine, and the pages of its result."""

from __future__ import annotations

import time

from tealwing.resp import messages
from tealwing.resp.connection import Stream

MAX_RESULT_BYTES = 64 * 1024  # bytes: all clients at once must fit the memory
COLUMNS = 3
MAX_PAGES = MAX_RESULT_BYTES // COLUMNS  # a page has a row or more, and a row as many bytes as columns or more
PAGES_PER_FETCH = 64  # asked for in one write: what an engine's connection takes without a wait
PAGES_TIMEOUT = 0.5  # s for the pages asked for at once: an engine has them ready, so what is later is lost


class Attempt:
    """One send to an engine, and the pages of its result so far."""

    def __init__(self, number: int, engine: int, timeout: float) -> None:
        self.number, self.engine = number, engine
        self.sent_at = time.monotonic()
        self.deadline = self.sent_at + timeout
        self.wait_until = self.deadline  # of the next answer or page
        self.stream: Stream | None = None
        self.pages: list[bytes | None] = []  # None: not come; empty before page 0
        self.requested_pages = self.received_pages = 0  # page 0 included
        self.received_bytes = 0
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


def checked_page(body: bytes) -> bytes:
    """Return a page of complete rows. Raises RespError for anything else, which can't be passed on."""
    rows = body.split(b"\n")
    if rows[-1] or any(row.count(b"\t") != COLUMNS - 1 for row in rows[:-1]):
        raise messages.RespError("a page without whole rows")
    return body
