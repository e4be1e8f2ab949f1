"""Stand-in of the package xxhash, for a machine without a package registry: the same calls with another 64-bit hash.

The gateways use it for checksums of what they write and send, and all gateways of a case use the same one.
"""

from __future__ import annotations

import hashlib


class xxh3_64:  # noqa: N801 - the package's name
    """A hash of bytes that are added one after another."""

    def __init__(self, data: bytes = b"") -> None:
        self._hash = hashlib.blake2b(data, digest_size=8)

    def update(self, data: bytes) -> None:
        """Add bytes."""
        self._hash.update(data)

    def intdigest(self) -> int:
        """Return the hash as a number."""
        return int.from_bytes(self._hash.digest(), "big")

    def hexdigest(self) -> str:
        """Return the hash in hexadecimal digits."""
        return self._hash.hexdigest()


def xxh3_64_intdigest(data: bytes) -> int:
    """Return the hash of bytes as a number."""
    return xxh3_64(data).intdigest()


def xxh3_64_hexdigest(data: bytes) -> str:
    """Return the hash of bytes in hexadecimal digits."""
    return xxh3_64(data).hexdigest()


def xxh3_128_hexdigest(data: bytes) -> str:
    """Return a hash of twice the length in hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()
