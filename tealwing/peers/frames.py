"""The frames of the peer link and of the control address: version, length, checksum and payload; pure.

    magic (3 bytes) | version (1) | length of the payload (4) | xxh3_64 of the payload (8) | payload

All numbers are big-endian. An invalid frame ends its connection, as the start of the next frame is not known.
"""

from __future__ import annotations

import struct

import xxhash

from tealwing.peers.errors import PeersError

MAGIC, VERSION = b"TWP", 1
HEADER = struct.Struct(">3sBIQ")
MAX_PAYLOAD = 1 << 20  # bytes of a payload; a snapshot is sent in chunks well below this


class FrameError(PeersError, ValueError):
    """The bytes are not a valid frame or message; the text states the reason."""


def encode(payload: bytes) -> bytes:
    """Return a payload as a frame; FrameError if it is too large."""
    if len(payload) > MAX_PAYLOAD:
        raise FrameError(f"a payload of {len(payload)} bytes; allowed: at most {MAX_PAYLOAD}")
    return HEADER.pack(MAGIC, VERSION, len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


class Parser:
    """Splits a stream of bytes into payloads. Its buffer holds at most one frame and one read."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether an incomplete frame is buffered."""
        return bool(self._data)

    def feed(self, data: bytes | memoryview) -> list[bytes]:
        """Buffer received bytes; return the payloads of the frames that are complete. FrameError if one is invalid."""
        self._data += data
        payloads, at = [], 0
        while len(self._data) - at >= HEADER.size:
            magic, version, length, digest = HEADER.unpack_from(self._data, at)
            if magic != MAGIC:
                raise FrameError(f"a frame that begins with {bytes(magic)!r}; allowed: {MAGIC!r}")
            if version != VERSION:
                raise FrameError(f"a frame of version {version}; allowed: {VERSION}")
            if length > MAX_PAYLOAD:  # rejected before its bytes are buffered
                raise FrameError(f"a frame with a payload of {length} bytes; allowed: at most {MAX_PAYLOAD}")
            end = at + HEADER.size + length
            if len(self._data) < end:
                break
            payload = bytes(self._data[at + HEADER.size : end])
            if xxhash.xxh3_64_intdigest(payload) != digest:
                raise FrameError(f"a frame of {length} bytes whose checksum {digest:016x} is not that of its payload")
            payloads.append(payload)
            at = end
        del self._data[:at]
        return payloads
