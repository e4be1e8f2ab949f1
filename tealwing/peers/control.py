"""The control address: a server of calls about a gateway's peers and replicated state, and its client.

It uses the frames of the peer link. A call is a msgpack map with `call`, its name, and its own fields. The answer is a
map too, with `error` if the call was rejected. The transport is TCP, as Unix sockets don't exist on every platform; the
address should be loopback or on an operators' network. Calls may wait, so each connection has a thread, up to a fixed
number.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import traceback
from collections.abc import Callable
from typing import Any

import msgspec

from tealwing import log, threads
from tealwing.peers import frames
from tealwing.peers.errors import PeersError
from tealwing.peers.plan import Address
from tealwing.sockets import set_limit

MAX_CONNECTIONS = 32  # connections open at once; each has a thread
IDLE_TIMEOUT = 30.0  # s without a call after which a connection is closed
FRAME_TIMEOUT = 2.0  # s within which a frame must be complete after its first bytes
WRITE_TIMEOUT = 2.0  # s without progress of an answer after which a connection is closed
MAX_WAIT = 60.0  # s that a call may request to wait at most
BACKLOG = 64  # connections that wait to be accepted
ACCEPT_PAUSE = 0.05  # s before a failed accept is tried again

Fields = dict[str, Any]
Handler = Callable[[Fields], Fields]

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(dict[str, Any]).decode


class CallRejectedError(PeersError, ValueError):
    """Raised by a handler to reject a call; the message is sent to the client."""


def field(fields: Fields, name: str, kind: Any, default: Any = None) -> Any:
    """Return a field of a call as type `kind`.

    CallRejectedError if it has another type, or is missing and has no default.
    """
    if name not in fields:
        if default is not None:
            return default
        raise CallRejectedError(f"{name}: missing")
    try:
        return msgspec.convert(fields[name], kind)
    except msgspec.ValidationError as error:
        raise CallRejectedError(f"{name}: {error}") from None


def wait_seconds(fields: Fields, default: float) -> float:
    """Return the seconds that a call may wait, from its field `wait_s`; CallRejectedError if out of range."""
    wait = float(field(fields, "wait_s", float, default))
    if not 0 <= wait <= MAX_WAIT:
        raise CallRejectedError(f"wait_s: {wait:g}; allowed: 0 to {MAX_WAIT:g}")
    return wait


class ControlServer:
    """Answers calls with registered handlers."""

    def __init__(self, address: Address) -> None:
        """Listen at the address; OSError if it is not available."""
        self._listener = socket.create_server(address, backlog=BACKLOG)
        self._handlers: dict[str, Handler] = {}
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._stopped = threading.Event()

    @property
    def address(self) -> Address:
        """The address at which the server listens."""
        host, port = self._listener.getsockname()
        return host, port

    def serve(self, name: str, handler: Handler) -> None:
        """Register the handler of the calls of a name."""
        self._handlers[name] = handler

    def start(self) -> None:
        """Start the thread that accepts connections."""
        threads.start(self._accept, "control-accept")

    def stop(self) -> None:
        """Accept no more connections, and close the open ones."""
        self._stopped.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RD)
        self._listener.close()
        with self._lock:
            for sock in self._connections:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RD)

    def answer(self, payload: bytes) -> Fields:
        """Return the answer to one call."""
        try:
            fields = _decode(payload)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            return {"error": "the call can't be decoded; allowed: a msgpack map"}
        handler = self._handlers.get(str(fields.get("call")))
        if handler is None:
            return {"error": f"call: {fields.get('call')!r}; allowed: {', '.join(sorted(self._handlers))}"}
        try:
            return handler(fields)
        except CallRejectedError as error:
            return {"error": str(error)}
        except Exception:  # a defect in a handler fails one call only
            log.event("control_call_failed", call=fields.get("call"), trace=traceback.format_exc(limit=-3))
            return {"error": "the call failed with an internal error; see control_call_failed in the gateway's log"}

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._stopped.wait(ACCEPT_PAUSE):
                    return
                continue
            set_limit(sock, socket.SO_SNDTIMEO, WRITE_TIMEOUT)
            with self._lock:
                full = len(self._connections) >= MAX_CONNECTIONS
                if not full:
                    self._connections.add(sock)
            if not full:
                try:
                    threads.start(lambda sock=sock: self._serve_connection(sock), "control")  # type: ignore[misc]
                    continue
                except threads.ThreadUnavailableError:
                    pass
            self._reject(sock)

    def _reject(self, sock: socket.socket) -> None:
        with self._lock:
            self._connections.discard(sock)
        with contextlib.suppress(OSError):
            sock.sendall(
                frames.encode(_encode({"error": f"{MAX_CONNECTIONS} connections are open already; try again later"}))
            )
        sock.close()

    def _serve_connection(self, sock: socket.socket) -> None:
        parser, buffer = frames.Parser(), memoryview(bytearray(4096))
        limit = time.monotonic() + IDLE_TIMEOUT
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while (left := limit - time.monotonic()) > 0:
                set_limit(sock, socket.SO_RCVTIMEO, left)
                size = sock.recv_into(buffer)
                if not size:
                    return
                begun = parser.has_partial_frame
                for payload in parser.feed(buffer[:size]):
                    sock.sendall(frames.encode(_encode(self.answer(payload))))
                    begun = False
                if not parser.has_partial_frame:
                    limit = time.monotonic() + IDLE_TIMEOUT
                elif not begun:
                    limit = time.monotonic() + FRAME_TIMEOUT
        except (OSError, frames.FrameError):  # the client has disconnected, is too slow, or sent an invalid frame
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()


class RemoteCallError(PeersError, RuntimeError):
    """The gateway rejected the call; the message is the gateway's error."""


class ControlClient:
    """One connection to a control address; for use by one thread."""

    def __init__(self, address: Address, connect_limit: float = 1.0) -> None:
        self._sock = socket.create_connection(address, connect_limit)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._parser = frames.Parser()

    def call(self, call: str, limit: float = 5.0, **fields: Any) -> Fields:
        """Make one call, and return its answer.

        RemoteCallError if it was rejected, OSError if no answer came within `limit` seconds.
        """
        self._sock.settimeout(limit)
        self._sock.sendall(frames.encode(_encode({"call": call, **fields})))
        while True:
            data = self._sock.recv(64 * 1024)
            if not data:
                raise ConnectionError("the gateway closed the connection")
            try:
                found = self._parser.feed(data)
            except frames.FrameError as error:
                raise ConnectionError(f"the gateway's answer is not a valid frame: {error}") from None
            if found:
                answer = _decode(found[0])
                if "error" in answer:
                    raise RemoteCallError(str(answer["error"]))
                return answer

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def call_control(address: Address, call: str, limit: float = 5.0, **fields: Any) -> Fields:
    """Make one call on a connection of its own; it raises the errors of `ControlClient.call`."""
    caller = ControlClient(address)
    try:
        return caller.call(call, limit, **fields)
    finally:
        caller.close()
