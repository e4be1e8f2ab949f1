"""Asks a peer to say a text back: whether two gateways reach each other both ways, and in what time.

The smallest thing that crosses two processes, and so the laboratory's first operation: the answer must be of the peer
that was asked, must be the text that was asked, and can't come while the two are cut off from each other.
"""

from __future__ import annotations

import itertools
import threading
import time
from typing import Annotated

import msgspec

from tealwing.peers.control import Control, Denied, Fields, field, wait_of
from tealwing.peers.link import Link

CHANNEL = 1
MOST_WAITING = 256  # asks of ours that wait for their answer
LONGEST = 4096  # bytes of a text


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Say this back."""

    number: int
    text: Annotated[str, msgspec.Meta(max_length=LONGEST)]


class Answer(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The text of an ask, and who says it."""

    number: int
    by: str
    text: Annotated[str, msgspec.Meta(max_length=LONGEST)]


_encode = msgspec.msgpack.encode
_decoder: msgspec.msgpack.Decoder[Ask | Answer] = msgspec.msgpack.Decoder(Ask | Answer)


class Echo:
    """Asks, and answers others' asks."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._waiting: dict[int, tuple[str, threading.Event, list[Answer]]] = {}
        self.lies = False  # on purpose, to see a checker find it
        link.on(CHANNEL, self._hear)

    def ask(self, to: str, text: str, wait: float) -> Answer | None:
        """What the peer says; None where nothing came in time."""
        number, done, found = next(self._numbers), threading.Event(), list[Answer]()
        with self._lock:
            if len(self._waiting) >= MOST_WAITING:
                raise Denied(f"{MOST_WAITING} asks wait already")
            self._waiting[number] = to, done, found
        try:
            if not self._link.send(to, CHANNEL, _encode(Ask(number, text))):
                raise Denied(f"to: {to!r} is no peer of {self._link.plan.name}")
            done.wait(wait)
        finally:
            with self._lock:
                del self._waiting[number]
        return found[0] if found else None

    def serve(self, control: Control) -> None:
        """Answer the call `ping`."""
        control.serve("ping", self._ping)

    def _ping(self, fields: Fields) -> Fields:
        to, text = field(fields, "to", str), field(fields, "text", str, "hello")
        if len(text) > LONGEST:
            raise Denied(f"text: {len(text)} characters; allowed: {LONGEST}")
        begun = time.monotonic()
        answer = self.ask(to, text, wait_of(fields, 2.0))
        if answer is None:
            raise Denied(f"no answer of {to} in time")
        return {"by": answer.by, "text": answer.text, "took_ms": round((time.monotonic() - begun) * 1e3, 3)}

    def _hear(self, name: str, body: bytes) -> None:
        try:
            word = _decoder.decode(body)
        except msgspec.DecodeError as error:
            raise ValueError(str(error)) from None
        if isinstance(word, Ask):
            text = word.text[::-1] if self.lies else word.text
            self._link.send(name, CHANNEL, _encode(Answer(word.number, self._link.plan.name, text)))
            return
        with self._lock:
            waiting = self._waiting.get(word.number)
            if waiting is not None and waiting[0] == name and not waiting[2]:
                waiting[2].append(word)
                waiting[1].set()
