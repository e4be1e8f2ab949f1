"""The frames of the peer link and of the control address: a version, a length, a checksum, a payload; pure.

    magic (3 bytes) | version (1) | length of the payload (4) | xxh3_64 of the payload (8) | payload

All numbers are big-endian. A frame that can't be read ends its connection: after it no byte has a known meaning.
"""

from __future__ import annotations

import struct

import xxhash

from tealwing.peers.errors import PeersError

MAGIC, VERSION = b"TWP", 1
HEADER = struct.Struct(">3sBIQ")
MAX_PAYLOAD = 1 << 20  # bytes of a payload: a snapshot goes in chunks well below


class FrameError(PeersError, ValueError):
    """Bytes that are not a valid frame; the message says why."""


def encode(payload: bytes) -> bytes:
    """Return a payload as a frame; FrameError if it is too large."""
    if len(payload) > MAX_PAYLOAD:
        raise FrameError(f"a payload of {len(payload)} bytes, and {MAX_PAYLOAD} is the most")
    return HEADER.pack(MAGIC, VERSION, len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


class Parser:
    """Splits a stream into payloads. Its buffer is bounded by one frame and one read."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether a part of a frame is buffered."""
        return bool(self._data)

    def feed(self, data: bytes | memoryview) -> list[bytes]:
        """Buffer received bytes; return the payloads of the frames that are complete now. FrameError for others."""
        self._data += data
        payloads, at = [], 0
        while len(self._data) - at >= HEADER.size:
            magic, version, length, digest = HEADER.unpack_from(self._data, at)
            if magic != MAGIC:
                raise FrameError(f"{bytes(magic)!r} where a frame was due")
            if version != VERSION:
                raise FrameError(f"version {version}, and this is version {VERSION}")
            if length > MAX_PAYLOAD:  # known before its bytes are buffered
                raise FrameError(f"a frame of {length} bytes, and {MAX_PAYLOAD} is the most")
            end = at + HEADER.size + length
            if len(self._data) < end:
                break
            payload = bytes(self._data[at + HEADER.size : end])
            if xxhash.xxh3_64_intdigest(payload) != digest:
                raise FrameError("a frame whose checksum does not match")
            payloads.append(payload)
            at = end
        del self._data[:at]
        return payloads
