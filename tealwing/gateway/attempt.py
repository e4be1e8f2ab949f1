"""One attempt of a request at one engine, and the pages of its result."""

from __future__ import annotations

import time

from tealwing.resp import messages
from tealwing.resp.connection import Stream

MAX_RESULT_BYTES = 64 * 1024  # bytes; the results of all clients at once must fit in memory
COLUMNS = 3
MAX_PAGES = MAX_RESULT_BYTES // COLUMNS  # a page has at least one row, and a row at least one byte per column
PAGES_PER_FETCH = 64  # requested in one write; an engine's connection accepts that many without blocking
PAGES_TIMEOUT = 0.5  # s for the pages of one write; engines have them ready, so a page that is later counts as lost


class Attempt:
    """One send to an engine, and the pages of its result so far."""

    def __init__(self, number: int, engine: int, timeout: float) -> None:
        self.number, self.engine = number, engine
        self.sent_at = time.monotonic()
        self.deadline = self.sent_at + timeout
        self.wait_until = self.deadline  # latest time of the next answer or page
        self.stream: Stream | None = None
        self.pages: list[bytes | None] = []  # None: not received; empty before page 0
        self.requested_pages = self.received_pages = 0  # page 0 included
        self.received_bytes = 0
        self.report: tuple[float, ...] = ()

    def store_page(self, number: int, page: bytes) -> None:
        """Store a page that was missing. Raises RespError if the result gets too large."""
        self.pages[number] = page
        self.received_pages, self.received_bytes = self.received_pages + 1, self.received_bytes + len(page)
        if self.received_bytes > MAX_RESULT_BYTES:
            raise messages.RespError(f"the result is larger than {MAX_RESULT_BYTES} bytes")

    @property
    def is_complete(self) -> bool:
        """Whether all pages have been received."""
        return self.received_pages == len(self.pages)

    def fetch_pages(self, stream: Stream) -> None:
        """Request the next pages if all requested ones have been received and more exist."""
        if self.received_pages < self.requested_pages or self.requested_pages == len(self.pages):
            return
        begin, self.requested_pages = self.requested_pages, min(self.requested_pages + PAGES_PER_FETCH, len(self.pages))
        stream.fetch_pages(range(begin, self.requested_pages))
        self.wait_until = min(self.deadline, time.monotonic() + PAGES_TIMEOUT)

    def cancel(self) -> None:
        """Cancel the attempt at its engine, or close its result there."""
        if self.stream is None:
            return
        if self.pages:
            self.stream.close_result()
        else:
            self.stream.cancel()


def checked_page(body: bytes) -> bytes:
    """Return the page if all its rows are complete. Raises RespError otherwise: clients can't be sent a part."""
    rows = body.split(b"\n")
    if rows[-1] or any(row.count(b"\t") != COLUMNS - 1 for row in rows[:-1]):
        raise messages.RespError(f"a page has an incomplete row; each row needs {COLUMNS} columns and a line end")
    return body
