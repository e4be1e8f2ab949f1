"""The datagrams: a versioned binary codec, signed and bounded; pure. Bad input is a Rejected with its cause.

    magic (3 bytes) | version (1) | key id (8) | signature (64) | payload

The payload is a msgpack array of msgspec's typed records. What an instance says of itself (that it lives, that it
leaves, what it saw of engines) carries a signature of its own and is passed on unchanged, so nobody can speak for
another; what it says of others counts as its own word.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Annotated, Protocol

import msgspec

MAGIC, VERSION = b"TWG", 1
LARGEST = 1400  # bytes of a datagram: within one Ethernet frame whatever tunnels there are (the figure)
OVERHEAD = 28  # bytes of IPv4 and UDP headers, which count against the ceiling too
KEY_ID, SIGNATURE = 8, 64
HEAD = len(MAGIC) + 1 + KEY_ID + SIGNATURE
MOST = 2**32 - 1  # of an incarnation: an instance that reaches it begins anew with a later boot
MOST_SEQUENCE = 2**48  # of a boot; at a thousand datagrams a second that is 8,000 years

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=32, pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$")]
Host = Annotated[str, msgspec.Meta(min_length=2, max_length=45)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
Big = Annotated[int, msgspec.Meta(ge=0, le=MOST_SEQUENCE)]  # sequences, and milliseconds of the Unix clock
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Slowness = Annotated[float, msgspec.Meta(ge=0.0, le=1000.0)]
Samples = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
Signed = Annotated[bytes, msgspec.Meta(min_length=SIGNATURE, max_length=SIGNATURE)]
Key = Annotated[bytes, msgspec.Meta(min_length=KEY_ID, max_length=KEY_ID)]


class Cause(StrEnum):
    """Why a datagram or a rumour was dropped."""

    SIZE = "size"
    FORMAT = "format"
    VERSION = "version"
    KEY = "unknown key"
    SIGNATURE = "signature"
    TIME = "time"
    REPEATED = "repeated"
    STALE = "stale boot"
    FLOOD = "flood"
    NAME = "name"


class Rejected(ValueError):
    """A datagram that is dropped."""

    def __init__(self, cause: Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base of all that is sent."""


class Alive(Record, tag=1, frozen=True):
    """An instance's word that it lives: its address, and the incarnation that refutes doubts of lower ones."""

    name: Name
    host: Host
    port: Port
    boot: Big  # ms of the Unix clock at its start: a later start under the name goes before an earlier one
    incarnation: Count
    key: Key
    signature: Signed


class Left(Record, tag=2, frozen=True):
    """An instance's word that it ends."""

    name: Name
    boot: Big
    incarnation: Count
    key: Key
    signature: Signed


class Suspect(Record, tag=3, frozen=True):
    """The sender suspects a member of being dead, as of an incarnation."""

    name: Name
    boot: Big
    incarnation: Count


class Dead(Record, tag=4, frozen=True):
    """The sender holds a member for dead, as of an incarnation."""

    name: Name
    boot: Big
    incarnation: Count


class Seen(Record, frozen=True):
    """What an instance saw of one start of one engine."""

    engine: Count
    started: Big  # ms; 0: long ago
    slow: Slowness  # latency over the class's best, over the same of the whole fleet
    failed: Share
    samples: Samples  # answers that this rests on


class Claims(Record, tag=5, frozen=True):
    """What an instance saw of engines, the latest word of it; version is ms of its Unix clock."""

    name: Name
    boot: Big
    version: Big
    seen: Annotated[list[Seen], msgspec.Meta(max_length=16)]
    key: Key
    signature: Signed


Rumour = Alive | Left | Suspect | Dead | Claims


class Ping(Record, tag=11, frozen=True):
    """Are you there? `to` must be the receiver's name, or empty where it is not known yet."""

    number: Count
    to: Annotated[str, msgspec.Meta(max_length=32)]


class Ack(Record, tag=12, frozen=True):
    """I am here, or the member that you asked me to ping is."""

    number: Count


class Nack(Record, tag=13, frozen=True):
    """The member that you asked me to ping has not answered me."""

    number: Count


class PingFor(Record, tag=14, frozen=True):
    """Ping a member for me."""

    number: Count
    name: Name


class Gossip(Record, tag=15, frozen=True):
    """Rumours alone."""


class Digest(Record, tag=16, frozen=True):
    """Hashes of all that the sender knows of members, by bucket; `answer` asks for the receiver's too."""

    buckets: Annotated[list[Big], msgspec.Meta(max_length=64)]
    answer: bool


class Fetch(Record, tag=17, frozen=True):
    """Send me what you know of the members of these buckets."""

    buckets: Annotated[list[Annotated[int, msgspec.Meta(ge=0, le=63)]], msgspec.Meta(max_length=64)]


Body = Ping | Ack | Nack | PingFor | Gossip | Digest | Fetch


class Payload(Record, frozen=True):
    """What is signed: who sends, in which life, which message of it, when, and what."""

    name: Name
    boot: Big
    sequence: Big
    at: Big  # ms of the sender's Unix clock
    body: Body
    rumours: Annotated[list[Rumour], msgspec.Meta(max_length=64)]


class Signer(Protocol):
    """Signs as one instance."""

    key: bytes

    def sign(self, data: bytes) -> bytes:
        """A signature."""


Verify = Callable[[str, bytes, bytes, bytes], bool]  # name, key id, data, signature

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Payload)


def encode(payload: Payload, signer: Signer) -> bytes:
    """A datagram."""
    data = _encoder.encode(payload)
    head = MAGIC + bytes([VERSION]) + signer.key
    return head + signer.sign(head + data) + data


def size(rumour: Rumour) -> int:
    """Bytes that a rumour takes in a datagram."""
    return len(_encoder.encode(rumour))


def bare(payload: Payload) -> int:
    """Bytes of a datagram with this payload."""
    return HEAD + len(_encoder.encode(payload))


def claimed(data: bytes) -> tuple[bytes, bytes, bytes, bytes]:
    """Key id, signature, what was signed, and the payload's bytes; cheap checks only."""
    if not HEAD < len(data) <= LARGEST:
        raise Rejected(Cause.SIZE)
    if data[: len(MAGIC)] != MAGIC:
        raise Rejected(Cause.FORMAT)
    if data[len(MAGIC)] != VERSION:
        raise Rejected(Cause.VERSION)
    at = len(MAGIC) + 1
    key, signature, body = data[at : at + KEY_ID], data[at + KEY_ID : HEAD], data[HEAD:]
    return key, signature, data[: at + KEY_ID] + body, body


def decode(data: bytes, verify: Verify) -> Payload:
    """The payload of a datagram whose sender's signature holds."""
    key, signature, signed, body = claimed(data)
    try:
        payload = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise Rejected(Cause.FORMAT) from None
    if not verify(payload.name, key, signed, signature):
        raise Rejected(Cause.SIGNATURE)
    return payload


# What a rumour's signature covers begins with one of these names: they are part of the wire and never change, even
# where a class gets another name.
SIGNED_NAMES: dict[type[Alive | Left | Claims], bytes] = {Alive: b"Alive", Left: b"Left", Claims: b"Claims"}


def own_word(rumour: Alive | Left | Claims) -> bytes:
    """What an instance signs of a rumour about itself: the whole of it but the signature."""
    fields = [getattr(rumour, name) for name in rumour.__struct_fields__ if name != "signature"]
    return SIGNED_NAMES[type(rumour)] + _encoder.encode(fields)


def signed(rumour: Alive | Left | Claims, signer: Signer) -> Alive | Left | Claims:
    """The rumour with its signature."""
    whole = msgspec.structs.replace(rumour, key=signer.key)
    return msgspec.structs.replace(whole, signature=signer.sign(own_word(whole)))
