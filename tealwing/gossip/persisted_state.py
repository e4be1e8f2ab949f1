"""The member list and the trust of peers in a small file, written whole or not at all."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import xxhash

from tealwing.gossip.errors import CorruptStateError
from tealwing.gossip.messages import Alive

FORMAT_VERSION = 1  # of the file
MAX_FILE_BYTES = 1 << 20  # bytes read at most: some thousand members
MAX_MEMBERS = 2000  # members written


class PersistedState(msgspec.Struct, forbid_unknown_fields=True):
    """What the file holds."""

    form: int
    name: str
    boot: int
    members: list[Alive]
    trust: dict[str, float]


def save(path: Path, name: str, boot: int, members: list[Alive], trust: dict[str, float]) -> None:
    """Write aside, force to the disk, then put in place: a reader sees the old file or the new one."""
    body = msgspec.json.encode(PersistedState(FORMAT_VERSION, name, boot, members[:MAX_MEMBERS], trust))
    text = xxhash.xxh3_64_hexdigest(body).encode() + b"\n" + body + b"\n"
    aside = path.with_name(path.name + ".new")
    with open(aside, "wb") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    os.replace(aside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def load(path: Path, name: str) -> PersistedState | None:
    """What an earlier life wrote; None without a file. Torn where it can't be used: it is set aside first."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    sum_, _, body = data.partition(b"\n")
    body = body.rstrip(b"\n")
    try:
        if len(data) > MAX_FILE_BYTES or sum_ != xxhash.xxh3_64_hexdigest(body).encode():
            raise CorruptStateError("it is not whole")
        found = msgspec.json.decode(body, type=PersistedState)
        if found.form != FORMAT_VERSION or found.name != name:
            raise CorruptStateError(f"it is of {found.name}, form {found.form}")
    except (CorruptStateError, msgspec.DecodeError, UnicodeDecodeError) as error:
        aside = path.with_name(path.name + ".bad")
        os.replace(path, aside)
        raise CorruptStateError(f"{path}: {error}; set aside as {aside.name}") from None
    found.trust = {peer: min(max(value, 0.0), 1.0) for peer, value in found.trust.items()}
    return found
