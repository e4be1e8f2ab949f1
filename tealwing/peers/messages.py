"""The messages of the peer link; the packages above it send bytes of their own in `Data`; pure.

A connection carries one direction only, from the side that connected. So a partition of one direction shows at one
end, as it does on a network. Order, tags and bounds of the fields are the wire format.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from tealwing.gossip.messages import Name
from tealwing.peers.frames import MAX_PAYLOAD, FrameError

MAX_BODY = MAX_PAYLOAD - 1024  # bytes: the rest of a payload is for the fields of `Data`
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Channel = Annotated[int, msgspec.Meta(ge=1, le=15)]


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base of all messages."""


class Hello(Record, tag=1, frozen=True):
    """The first message of a connection: sender, receiver, their fleet, and the sender's incarnation."""

    fleet: Annotated[str, msgspec.Meta(max_length=64)]
    name: Name
    to: Name
    incarnation: Count  # ms of the Unix clock at the sender's start; its sequences begin anew with each


class Heartbeat(Record, tag=2, frozen=True):
    """Sent where nothing else was for the heartbeat interval."""

    sequence: Count


class Data(Record, tag=3, frozen=True):
    """A message of a package above the link."""

    channel: Channel
    sequence: Count  # of the sender's incarnation and this direction: copies are dropped
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_BODY)]


Message = Hello | Heartbeat | Data

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return a message as a payload."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """Return the message of a payload; FrameError for anything else."""
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(f"a payload that is no message: {error}") from None
