"""What peers say on the link itself; the packages above it send bytes of their own in `Data`; pure.

A connection carries one direction only: who has connected speaks, and the other listens. So a cut of one direction
shows at one end, as it does on a network.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from tealwing.gossip.messages import Name
from tealwing.peers.frames import MAX_PAYLOAD, FrameError

MAX_BODY = MAX_PAYLOAD - 1024  # bytes of a body: the rest is for what goes round it
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Channel = Annotated[int, msgspec.Meta(ge=1, le=15)]


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base of all that is sent."""


class Hello(Record, tag=1, frozen=True):
    """The first frame of a connection: who speaks to whom, of which fleet, since which start."""

    fleet: Annotated[str, msgspec.Meta(max_length=64)]
    name: Name
    to: Name
    incarnation: Count  # ms of the Unix clock at the sender's start: with another one its numbers begin anew


class Heartbeat(Record, tag=2, frozen=True):
    """The sender lives; sent where nothing else was for a while."""

    sequence: Count


class Data(Record, tag=3, frozen=True):
    """A message of a package above the link."""

    channel: Channel
    sequence: Count  # of the sender's start and this direction: a second copy is dropped
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_BODY)]


Message = Hello | Heartbeat | Data

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """A message as a payload."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """The message of a payload; FrameError for anything else."""
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(f"a payload that is no message: {error}") from None
