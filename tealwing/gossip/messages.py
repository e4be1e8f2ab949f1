"""The datagrams' versioned binary format, signed and bounded in size; pure. Bad input raises MessageRejectedError.

    magic (3 bytes) | version (1) | key id (8) | signature (64) | payload

The payload is a msgpack array of msgspec's typed records, distinguished by their tags. The order of the fields and the
tags are the format; the names are not. A statement of an instance about itself (that it is alive, that it leaves, its
health report) carries its own signature and is passed on unchanged, so no instance can forge one of another; a rumour
about another member is attributed to the datagram's sender.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Protocol, TypeVar

import msgspec

from tealwing.gossip.errors import MessageRejectedError, RejectionCause

MAGIC, VERSION = b"TWG", 1
MAX_DATAGRAM_BYTES = 1400  # fits one Ethernet frame together with the headers of tunnels
HEADERS_BYTES = 28  # of IPv4 and UDP, which count against the byte limit too
KEY_ID_BYTES, SIGNATURE_BYTES = 8, 64
FRAME_BYTES = len(MAGIC) + 1 + KEY_ID_BYTES + SIGNATURE_BYTES
NO_KEY_ID, NO_SIGNATURE = bytes(KEY_ID_BYTES), bytes(SIGNATURE_BYTES)  # placeholders in a rumour that is not signed yet
MAX_INCARNATION = 2**32 - 1  # an instance that exceeds it begins a later boot
MAX_SEQUENCE = 2**48  # datagrams of one boot: 8,000 years at 1,000 datagrams a second

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
    """The base of all records of a datagram."""


class Alive(Record, tag=1, frozen=True):
    """An instance's statement that it is alive: its address, and the incarnation that refutes suspicions."""

    name: Name
    host: Host
    port: Port
    boot: Uint48  # ms of the Unix clock at its start; of two instances under one name the later keeps it
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
    """An instance's evidence on one start of one engine."""

    engine: Count
    started_ms: Uint48  # 0 if it started long ago
    slowness: Slowness  # latency relative to the class's best, divided by the same of the whole fleet
    failure_ratio: Fraction
    samples: Samples  # answers that the evidence rests on


class HealthReport(Record, tag=5, frozen=True):
    """An instance's evidence on engines; of two reports the one with the higher version counts."""

    name: Name
    boot: Uint48
    version: Uint48  # ms of the instance's Unix clock
    observations: Annotated[list[EngineObservation], msgspec.Meta(max_length=16)]
    key: KeyId
    signature: Signature


SignedRumour = Alive | Left | HealthReport
S = TypeVar("S", bound=SignedRumour)
Rumour = Alive | Left | Suspect | Dead | HealthReport


class Ping(Record, tag=11, frozen=True):
    """A probe; `to` is the receiver's name, or empty if the sender doesn't know it."""

    number: Count
    to: Annotated[str, msgspec.Meta(max_length=32)]


class Ack(Record, tag=12, frozen=True):
    """The answer to a ping, or to a ping request after the probed member has answered."""

    number: Count


class Nack(Record, tag=13, frozen=True):
    """The answer to a ping request while the probed member has not answered."""

    number: Count


class PingRequest(Record, tag=14, frozen=True):
    """Requests a ping of a member by the receiver (SWIM's ping-req)."""

    number: Count
    name: Name


class Gossip(Record, tag=15, frozen=True):
    """The empty body of a datagram that only carries rumours."""


class Digest(Record, tag=16, frozen=True):
    """Hashes of the sender's member list, by bucket; `request_reply` requests the receiver's."""

    buckets: Annotated[list[Uint48], msgspec.Meta(max_length=64)]
    request_reply: bool


class Fetch(Record, tag=17, frozen=True):
    """Requests the rumours about the members of these buckets."""

    buckets: Annotated[list[Annotated[int, msgspec.Meta(ge=0, le=63)]], msgspec.Meta(max_length=64)]


Body = Ping | Ack | Nack | PingRequest | Gossip | Digest | Fetch


class Payload(Record, frozen=True):
    """The signed content of a datagram: sender, boot, sequence number, send time, body and rumours."""

    name: Name
    boot: Uint48
    sequence: Uint48
    sent_at_ms: Uint48  # of the sender's Unix clock
    body: Body
    rumours: Annotated[list[Rumour], msgspec.Meta(max_length=64)]


class Signer(Protocol):
    """Signs with the key of one instance."""

    key_id: bytes

    def sign(self, data: bytes) -> bytes:
        """Return the signature of the data."""


Verify = Callable[[str, bytes, bytes, bytes], bool]  # name, key id, data, signature

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Payload)


def encode(payload: Payload, signer: Signer) -> bytes:
    """Return the signed datagram of a payload."""
    data = _encoder.encode(payload)
    head = MAGIC + bytes([VERSION]) + signer.key_id
    return head + signer.sign(head + data) + data


def rumour_size(rumour: Rumour) -> int:
    """Return the size in bytes of a rumour in a datagram."""
    return len(_encoder.encode(rumour))


def datagram_size(payload: Payload) -> int:
    """Return the size in bytes of a datagram with this payload."""
    return FRAME_BYTES + len(_encoder.encode(payload))


def split_frame(data: bytes) -> tuple[bytes, bytes, bytes, bytes]:
    """Return a datagram's key id, signature, the bytes that the signature covers, and the payload's bytes.

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
    """Return the payload of a datagram whose signature is valid.

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


# The bytes that a rumour's signature covers begin with one of these names: they are part of the wire format and never
# change, even if a class is renamed.
SIGNED_NAMES: dict[type[SignedRumour], bytes] = {Alive: b"Alive", Left: b"Left", HealthReport: b"Claims"}


def signed_bytes(rumour: SignedRumour) -> bytes:
    """Return the bytes of a rumour that its signature covers: all fields but the signature."""
    fields = [getattr(rumour, name) for name in rumour.__struct_fields__ if name != "signature"]
    return SIGNED_NAMES[type(rumour)] + _encoder.encode(fields)


def sign_rumour(rumour: S, signer: Signer) -> S:
    """Return the rumour with its signature."""
    with_key = msgspec.structs.replace(rumour, key=signer.key_id)
    return msgspec.structs.replace(with_key, signature=signer.sign(signed_bytes(with_key)))
