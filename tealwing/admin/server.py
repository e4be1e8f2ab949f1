"""The server of the admin address: a fixed number of threads, one call per connection."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from tealwing import log
from tealwing.admin import http
from tealwing.descriptors import ADMIN_THREADS
from tealwing.sockets import Address, set_limit

THREADS = ADMIN_THREADS  # concurrent callers; a few silent callers must not block the others
READ_LIMIT = 0.5  # s to receive a complete request head, so that a silent caller frees its thread
WRITE_LIMIT = 1.0  # s without progress in sending the response to a caller
BACKLOG = 64


class AdminServer:
    """Serves GET /ops/readiness and GET /ops/stats, apart from the request path."""

    def __init__(
        self, address: Address, ready: Callable[[], bool], stats: Callable[[], bytes],
        reason: Callable[[], str] = str,
    ) -> None:  # fmt: skip
        """Listen on the address; `reason` returns a text that is added to the readiness response, or ""."""
        self._ready, self._stats, self._reason = ready, stats, reason
        self._listener = socket.create_server(address, backlog=BACKLOG)
        self._stopping = threading.Event()
        self._bad_requests = 0  # logged at powers of two, so that a flood of bad requests writes few lines

    @property
    def address(self) -> Address:
        """The address that the server listens on."""
        host, port = self._listener.getsockname()
        return host, port

    def start(self) -> None:
        """Start the threads that serve callers."""
        for _ in range(THREADS):
            threading.Thread(target=self._work, name="admin", daemon=True).start()

    def stop(self) -> None:
        """Stop accepting callers; the threads end."""
        self._stopping.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RD)

    def answer(self, head: bytes) -> bytes:
        """Return the response to a complete request head."""
        try:
            call = http.parse_request(head)
        except http.BadRequestError as error:
            self._log_unusable(str(error))
            return http.response(400, f"{error}\n".encode())
        if call.path == "/ops/readiness":
            ready, reason = self._ready(), self._reason()
            text = ("ready" if ready else "not ready") + (f": {reason}" if reason else "") + "\n"
            body, status = text.encode(), 200 if ready else 503
        elif call.path == "/ops/stats":
            body, status = self._stats(), 200
        else:
            return http.response(404, b"no such call\n")
        if call.method not in ("GET", "HEAD"):
            return http.response(405, b"only GET\n", allow="GET, HEAD")
        return http.response(status, b"" if call.method == "HEAD" else body)

    def _work(self) -> None:
        buffer = bytearray()
        while not self._stopping.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if not self._stopping.wait(0.05):  # no descriptor is free: retry soon
                    continue
                return
            with sock:
                buffer.clear()
                try:
                    sock.sendall(self._serve(sock, buffer))
                    sock.shutdown(socket.SHUT_WR)
                except OSError:  # the caller disconnected or was too slow
                    pass

    def _serve(self, sock: socket.socket, buffer: bytearray) -> bytes:
        until = time.monotonic() + READ_LIMIT
        set_limit(sock, socket.SO_SNDTIMEO, WRITE_LIMIT)
        try:
            while not (end := http.end_of_head(buffer)):
                left = until - time.monotonic()
                if left <= 0:
                    return http.response(400, b"the request did not come whole in time\n")
                set_limit(sock, socket.SO_RCVTIMEO, left)
                data = sock.recv(4096)
                if not data:
                    raise OSError("the caller disconnected")
                buffer += data
        except BlockingIOError:
            return http.response(400, b"the request did not come whole in time\n")
        except http.BadRequestError as error:
            self._log_unusable(str(error))
            return http.response(400, f"{error}\n".encode())
        return self.answer(bytes(buffer[:end]))

    def _log_unusable(self, why: str) -> None:
        self._bad_requests += 1
        if self._bad_requests & (self._bad_requests - 1) == 0:
            log.event("admin_request_unusable", why=why, so_far=self._bad_requests)
