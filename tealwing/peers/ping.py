"""Ping of a peer with a text that it echoes: shows whether two gateways reach each other both ways, and how fast.

The test cluster uses it as its simplest operation: the reply must come from the pinged peer, must have the same text,
and can't come during a partition of the two.
"""

from __future__ import annotations

import itertools
import threading
import time
from typing import Annotated

import msgspec

from tealwing.peers.control import CallRejectedError, ControlServer, Fields, field, wait_seconds
from tealwing.peers.link import Link

CHANNEL = 1
MAX_PENDING = 256  # pings of this gateway that wait for a reply
MAX_TEXT = 4096  # characters


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A request to echo a text."""

    request_id: int
    text: Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]


class PingReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The echoed text of a request, and the name of the peer that echoes it."""

    request_id: int
    responder: str
    text: Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]


_encode = msgspec.msgpack.encode
_decoder: msgspec.msgpack.Decoder[PingRequest | PingReply] = msgspec.msgpack.Decoder(PingRequest | PingReply)


class PingService:
    """Pings peers, and replies to their pings."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._request_ids = itertools.count(1)
        self._lock = threading.Lock()
        self._pending: dict[int, tuple[str, threading.Event, list[PingReply]]] = {}
        self.corrupts_replies = False  # an injected fault, which a trial's judge must detect
        link.on(CHANNEL, self._handle_message)

    def ping(self, to: str, text: str, wait: float) -> PingReply | None:
        """Return the peer's reply; None after `wait` s without it. CallRejectedError if the ping can't be sent."""
        request_id, done, replies = next(self._request_ids), threading.Event(), list[PingReply]()
        with self._lock:
            if len(self._pending) >= MAX_PENDING:
                raise CallRejectedError(f"{MAX_PENDING} pings wait for a reply already; try again later")
            self._pending[request_id] = to, done, replies
        try:
            if not self._link.send(to, CHANNEL, _encode(PingRequest(request_id, text))):
                raise CallRejectedError(
                    f"to: {to!r} is not linked to {self._link.plan.name}; allowed: the name of a linked peer"
                )
            done.wait(wait)
        finally:
            with self._lock:
                del self._pending[request_id]
        return replies[0] if replies else None

    def serve(self, control: ControlServer) -> None:
        """Register the control call `ping`."""
        control.serve("ping", self._ping)

    def _ping(self, fields: Fields) -> Fields:
        to, text = field(fields, "to", str), field(fields, "text", str, "hello")
        if len(text) > MAX_TEXT:
            raise CallRejectedError(f"text: {len(text)} characters; allowed: at most {MAX_TEXT}")
        begun, wait = time.monotonic(), wait_seconds(fields, 2.0)
        answer = self.ping(to, text, wait)
        if answer is None:
            raise CallRejectedError(
                f"no reply from {to} in {wait:g} s; check that the two gateways can connect to each other"
            )
        return {"by": answer.responder, "text": answer.text, "took_ms": round((time.monotonic() - begun) * 1e3, 3)}

    def _handle_message(self, name: str, body: bytes) -> None:
        try:
            message = _decoder.decode(body)
        except msgspec.DecodeError as error:
            raise ValueError(str(error)) from None
        if isinstance(message, PingRequest):
            text = message.text[::-1] if self.corrupts_replies else message.text
            self._link.send(name, CHANNEL, _encode(PingReply(message.request_id, self._link.plan.name, text)))
            return
        with self._lock:
            pending = self._pending.get(message.request_id)
            if pending is not None and pending[0] == name and not pending[2]:
                pending[2].append(message)
                pending[1].set()
