"""The messages of the peer link; the packages above it send their own bytes in `Data`; pure.

A connection carries messages in one direction only, from the side that connected, so a partition of one direction shows
at one end only, as on a network. The order, tags and bounds of the fields are the wire format.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from tealwing.gossip.messages import Name
from tealwing.peers.frames import MAX_PAYLOAD, FrameError

MAX_BODY = MAX_PAYLOAD - 1024  # bytes; the rest of a payload is for the other fields of `Data`
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Channel = Annotated[int, msgspec.Meta(ge=1, le=15)]


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base of all messages of the peer link."""


class Hello(Record, tag=1, frozen=True):
    """The first message of a connection: sender, receiver, their fleet, and the sender's incarnation."""

    fleet: Annotated[str, msgspec.Meta(max_length=64)]
    name: Name
    to: Name
    incarnation: Count  # ms of the Unix clock at the sender's start; sequence numbers restart with each


class Heartbeat(Record, tag=2, frozen=True):
    """Sent if nothing else was sent for a heartbeat interval."""

    sequence: Count


class Data(Record, tag=3, frozen=True):
    """A message of a package above the link."""

    channel: Channel
    sequence: Count  # of the sender's incarnation and this direction; repeated ones are dropped
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_BODY)]


Message = Hello | Heartbeat | Data

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return a message as the payload of a frame."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """Return the message of a frame's payload; FrameError if it is not a valid message."""
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(f"a payload that is not a valid message: {error}") from None
