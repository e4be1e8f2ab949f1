"""The subset of HTTP/1.1 that the admin address speaks: one request head and one response, without I/O."""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEAD_BYTES = 8 * 1024  # bytes of the request line and headers
METHODS = frozenset({b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"PATCH", b"OPTIONS", b"TRACE", b"CONNECT"})
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable"}


class BadRequestError(ValueError):
    """An invalid request head; the message, sent to the client, states the reason."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """The method of a request, and its path without the query."""

    method: str
    path: str


def end_of_head(data: bytes | bytearray) -> int:
    """Return the length of the request head at the start of data, 0 while it is incomplete.

    Raises BadRequestError if more than MAX_HEAD_BYTES have been received without its end.
    """
    end = data.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES + 4)
    if end >= 0:
        return end + 4
    if len(data) > MAX_HEAD_BYTES:
        raise BadRequestError(f"a request head of more than {MAX_HEAD_BYTES} bytes")
    return 0


def parse_request(head: bytes) -> HttpRequest:
    """Parse a complete request head, as delimited by `end_of_head`. Raises BadRequestError."""
    line, _, headers = head.partition(b"\r\n")
    parts = line.split(b" ")
    if len(parts) != 3 or parts[0] not in METHODS or parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise BadRequestError("the request line is not METHOD PATH HTTP/1.1")
    if not parts[1].startswith(b"/") or any(byte < 0x21 or byte > 0x7E for byte in parts[1]):
        raise BadRequestError("the path is not an absolute path of printable characters")
    for field in headers.split(b"\r\n"):
        if field and (b":" not in field or field[:1] in (b" ", b"\t")):
            raise BadRequestError("a header line without a name and a colon")
    path = parts[1].split(b"?", 1)[0].decode("ascii")
    return HttpRequest(parts[0].decode("ascii"), path)


def response(status: int, body: bytes, allow: str = "") -> bytes:
    """Return a complete response, with a header that announces the end of the connection."""
    extra = f"Allow: {allow}\r\n" if allow else ""
    head = (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\n{extra}Connection: close\r\n\r\n"
    )
    return head.encode("ascii") + body
