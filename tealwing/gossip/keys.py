"""Ed25519 keys: the local key from a file, and the keyring of allowed keys, each valid until a time."""

from __future__ import annotations

import base64
import binascii
import os
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from pathlib import Path

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from tealwing.gossip.errors import InvalidKeyError
from tealwing.gossip.messages import KEY_ID_BYTES

PUBLIC_KEY_BYTES = 32  # RFC 8032
MAX_KEYS_PER_NAME = 4  # old and new key during a rotation, and two to spare


def key_id(public: bytes) -> bytes:
    """Return the first bytes of a public key: they select an allowed key, and prove nothing."""
    return public[:KEY_ID_BYTES]


def read_public(text: str) -> bytes:
    """Return a public key from base64.

    Raises:
        InvalidKeyError: the text is not a public key in base64.
    """
    try:
        raw = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        raw = b""
    if len(raw) != PUBLIC_KEY_BYTES:
        raise InvalidKeyError(f"{text[:60]!r} is not a public key of {PUBLIC_KEY_BYTES} bytes in base64")
    return raw


def write_public(raw: bytes) -> str:
    """Return a public key in base64."""
    return base64.b64encode(raw).decode()


class LocalKey:
    """The private key with which this instance signs."""

    def __init__(self, private: Ed25519PrivateKey) -> None:
        self.private = private
        self.public = private.public_key().public_bytes_raw()
        self.key_id = key_id(self.public)

    def sign(self, data: bytes) -> bytes:
        """Return the signature of the data."""
        return self.private.sign(data)


def generate() -> Ed25519PrivateKey:
    """Return a new random private key."""
    return Ed25519PrivateKey.generate()


def from_seed(seed: bytes) -> LocalKey:
    """Return the key of a 32-byte seed; for tests and trials only."""
    return LocalKey(Ed25519PrivateKey.from_private_bytes(seed))


def write_private(path: Path, private: Ed25519PrivateKey) -> None:
    """Write a private key to a new file that only its owner can read.

    Raises:
        FileExistsError: the file exists; it is not changed.
    """
    pem = private.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as file:
        file.write(pem)


def read_private(path: Path) -> LocalKey:
    """Return the private key in a file.

    Raises:
        InvalidKeyError: the file can't be read, other users may read it, or it holds no Ed25519 key.
    """
    try:
        mode = path.stat().st_mode & 0o077
        data = path.read_bytes()
    except OSError as error:
        raise InvalidKeyError(f"{path}: {error.strerror}") from None
    if mode:
        raise InvalidKeyError(f"{path}: other users may read it; allowed: mode 0600")
    try:
        private = serialization.load_pem_private_key(data, None)
    except (ValueError, TypeError):
        raise InvalidKeyError(f"{path}: not a private key; allowed: Ed25519 in PEM without a password") from None
    if not isinstance(private, Ed25519PrivateKey):
        raise InvalidKeyError(f"{path}: a key of another kind; allowed: Ed25519 in PEM without a password")
    return LocalKey(private)


@dataclass(frozen=True, slots=True)
class AllowedKey:
    """A public key that one name may sign with, until a Unix time in s."""

    name: str
    public: bytes
    valid_until: float = inf


class Keyring:
    """The allowed keys by name. Its owner keeps `unix_time`, s of the Unix clock, up to date."""

    def __init__(self, allowed: Iterable[AllowedKey]) -> None:
        self.unix_time = 0.0
        self._keys: dict[tuple[str, bytes], tuple[Ed25519PublicKey, float]] = {}
        self.replace(allowed)

    def replace(self, allowed: Iterable[AllowedKey]) -> None:
        """Replace all allowed keys: one that is not in the new list is revoked."""
        self._keys = {
            (entry.name, key_id(entry.public)): (Ed25519PublicKey.from_public_bytes(entry.public), entry.valid_until)
            for entry in allowed
        }

    def verify(self, name: str, key: bytes, data: bytes, signature: bytes) -> bool:
        """Return whether the signature of the data is by a key that the name may use now."""
        found = self._keys.get((name, key))
        if found is None or self.unix_time >= found[1]:
            return False
        try:
            found[0].verify(signature, data)
        except InvalidSignature:
            return False
        return True
