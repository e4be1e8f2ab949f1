"""The datagrams: a versioned binary codec, signed and bounded; pure. Bad input raises MessageRejectedError.

    magic (3 bytes) | version (1) | key id (8) | signature (64) | payload

The payload is a msgpack array of msgspec's typed records, told apart by their tags; order and tags are the format, the
names are not. A statement of an instance about itself (that it is alive, that it leaves, its health report) carries a
signature of its own and is passed on unchanged, so nobody can make one for another; a rumour about others counts as
its sender's.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Protocol, TypeVar

import msgspec

from tealwing.gossip.errors import MessageRejectedError, RejectionCause

MAGIC, VERSION = b"TWG", 1
MAX_DATAGRAM_BYTES = 1400  # within one Ethernet frame whatever tunnels there are
HEADERS_BYTES = 28  # of IPv4 and UDP, which count against the limit too
KEY_ID_BYTES, SIGNATURE_BYTES = 8, 64
FRAME_BYTES = len(MAGIC) + 1 + KEY_ID_BYTES + SIGNATURE_BYTES
NO_KEY_ID, NO_SIGNATURE = bytes(KEY_ID_BYTES), bytes(SIGNATURE_BYTES)  # of a rumour that is not signed yet
MAX_INCARNATION = 2**32 - 1  # an instance that reaches it begins anew with a later boot
MAX_SEQUENCE = 2**48  # of a boot; at a thousand datagrams a second that is 8,000 years

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=32, pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$")]
Host = Annotated[str, msgspec.Meta(min_length=2, max_length=45)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
Uint48 = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]  # sequences, and milliseconds of the Unix clock
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Slowness = Annotated[float, msgspec.Meta(ge=0.0, le=1000.0)]
Samples = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
Signature = Annotated[bytes, msgspec.Meta(min_length=SIGNATURE_BYTES, max_length=SIGNATURE_BYTES)]
KeyId = Annotated[bytes, msgspec.Meta(min_length=KEY_ID_BYTES, max_length=KEY_ID_BYTES)]

Address = tuple[str, int]  # host and port


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base of all records on the wire."""


class Alive(Record, tag=1, frozen=True):
    """An instance's statement that it is alive: its address, and the incarnation that refutes suspicions."""

    name: Name
    host: Host
    port: Port
    boot: Uint48  # ms of the Unix clock at its start: of two under one name the later keeps it
    incarnation: Count
    key: KeyId
    signature: Signature


class Left(Record, tag=2, frozen=True):
    """An instance's statement that it leaves."""

    name: Name
    boot: Uint48
    incarnation: Count
    key: KeyId
    signature: Signature


class Suspect(Record, tag=3, frozen=True):
    """The sender suspects a member of being dead, as of an incarnation."""

    name: Name
    boot: Uint48
    incarnation: Count


class Dead(Record, tag=4, frozen=True):
    """The sender holds a member dead, as of an incarnation."""

    name: Name
    boot: Uint48
    incarnation: Count


class EngineObservation(Record, frozen=True):
    """What an instance saw of one start of one engine."""

    engine: Count
    started_ms: Uint48  # 0: long ago
    slowness: Slowness  # latency over the class's best, over the same of the whole fleet
    failure_ratio: Fraction
    samples: Samples  # answers that this rests on


class HealthReport(Record, tag=5, frozen=True):
    """What an instance saw of engines; of two reports that with the higher version counts."""

    name: Name
    boot: Uint48
    version: Uint48  # ms of its Unix clock
    observations: Annotated[list[EngineObservation], msgspec.Meta(max_length=16)]
    key: KeyId
    signature: Signature


SignedRumour = Alive | Left | HealthReport
S = TypeVar("S", bound=SignedRumour)
Rumour = Alive | Left | Suspect | Dead | HealthReport


class Ping(Record, tag=11, frozen=True):
    """A probe; `to` must be the receiver's name, or empty where it is not known yet."""

    number: Count
    to: Annotated[str, msgspec.Meta(max_length=32)]


class Ack(Record, tag=12, frozen=True):
    """The answer to a ping, or to a ping request whose member answered."""

    number: Count


class Nack(Record, tag=13, frozen=True):
    """The answer to a ping request whose member has not answered yet."""

    number: Count


class PingRequest(Record, tag=14, frozen=True):
    """Asks the receiver to ping a member (SWIM's ping-req)."""

    number: Count
    name: Name


class Gossip(Record, tag=15, frozen=True):
    """A datagram for its rumours alone."""


class Digest(Record, tag=16, frozen=True):
    """Hashes of the sender's member list, by bucket; `request_reply` asks for the receiver's too."""

    buckets: Annotated[list[Uint48], msgspec.Meta(max_length=64)]
    request_reply: bool


class Fetch(Record, tag=17, frozen=True):
    """Asks for the rumours about the members of these buckets."""

    buckets: Annotated[list[Annotated[int, msgspec.Meta(ge=0, le=63)]], msgspec.Meta(max_length=64)]


Body = Ping | Ack | Nack | PingRequest | Gossip | Digest | Fetch


class Payload(Record, frozen=True):
    """What a datagram's signature covers: the sender, its start, the message's number and time, and its content."""

    name: Name
    boot: Uint48
    sequence: Uint48
    sent_at_ms: Uint48  # of the sender's Unix clock
    body: Body
    rumours: Annotated[list[Rumour], msgspec.Meta(max_length=64)]


class Signer(Protocol):
    """Signs as one instance."""

    key_id: bytes

    def sign(self, data: bytes) -> bytes:
        """Return a signature."""


Verify = Callable[[str, bytes, bytes, bytes], bool]  # name, key id, data, signature

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Payload)


def encode(payload: Payload, signer: Signer) -> bytes:
    """Return the datagram of a payload."""
    data = _encoder.encode(payload)
    head = MAGIC + bytes([VERSION]) + signer.key_id
    return head + signer.sign(head + data) + data


def rumour_size(rumour: Rumour) -> int:
    """Return the bytes that a rumour takes in a datagram."""
    return len(_encoder.encode(rumour))


def datagram_size(payload: Payload) -> int:
    """Return the bytes of a datagram with this payload."""
    return FRAME_BYTES + len(_encoder.encode(payload))


def split_frame(data: bytes) -> tuple[bytes, bytes, bytes, bytes]:
    """Return key id, signature, the bytes that it covers, and the payload's bytes.

    Raises:
        MessageRejectedError: the size, the magic or the version is wrong; nothing else is checked.
    """
    if not FRAME_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageRejectedError(RejectionCause.SIZE)
    if data[: len(MAGIC)] != MAGIC:
        raise MessageRejectedError(RejectionCause.FORMAT)
    if data[len(MAGIC)] != VERSION:
        raise MessageRejectedError(RejectionCause.VERSION)
    at = len(MAGIC) + 1
    key, signature, body = data[at : at + KEY_ID_BYTES], data[at + KEY_ID_BYTES : FRAME_BYTES], data[FRAME_BYTES:]
    return key, signature, data[: at + KEY_ID_BYTES] + body, body


def decode(data: bytes, verify: Verify) -> Payload:
    """Return the payload of a datagram.

    Raises:
        MessageRejectedError: the datagram is malformed, or its signature is not valid.
    """
    key, signature, signed, body = split_frame(data)
    try:
        payload = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise MessageRejectedError(RejectionCause.FORMAT) from None
    if not verify(payload.name, key, signed, signature):
        raise MessageRejectedError(RejectionCause.SIGNATURE)
    return payload


# What a rumour's signature covers begins with one of these names: they are part of the wire and never change, even
# where a class gets another name.
SIGNED_NAMES: dict[type[SignedRumour], bytes] = {Alive: b"Alive", Left: b"Left", HealthReport: b"Claims"}


def signed_bytes(rumour: SignedRumour) -> bytes:
    """Return what an instance signs of a rumour about itself: all of it but the signature."""
    fields = [getattr(rumour, name) for name in rumour.__struct_fields__ if name != "signature"]
    return SIGNED_NAMES[type(rumour)] + _encoder.encode(fields)


def sign_rumour(rumour: S, signer: Signer) -> S:
    """Return the rumour with its signature."""
    with_key = msgspec.structs.replace(rumour, key=signer.key_id)
    return msgspec.structs.replace(with_key, signature=signer.sign(signed_bytes(with_key)))
