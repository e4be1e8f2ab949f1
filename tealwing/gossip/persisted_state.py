"""Saves the member list and the trust in members to a file, replaced atomically, and loads them."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import xxhash

from tealwing.gossip.errors import CorruptStateError
from tealwing.gossip.messages import Alive

FORMAT_VERSION = 1
MAX_FILE_BYTES = 1 << 20  # read at most: enough for several thousand members
MAX_MEMBERS = 2000  # members saved at most


class PersistedState(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the file as JSON; the field names are the format."""

    form: int  # FORMAT_VERSION
    name: str
    boot: int
    members: list[Alive]
    trust: dict[str, float]


def save(path: Path, name: str, boot: int, members: list[Alive], trust: dict[str, float]) -> None:
    """Write a new file, sync it and rename it, so that a reader sees the old file or the new one."""
    body = msgspec.json.encode(PersistedState(FORMAT_VERSION, name, boot, members[:MAX_MEMBERS], trust))
    text = xxhash.xxh3_64_hexdigest(body).encode() + b"\n" + body + b"\n"
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    directory = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def load(path: Path, name: str) -> PersistedState | None:
    """Return the state that an earlier start saved; None if there is no file.

    Raises:
        CorruptStateError: the file is corrupt or of another instance; it has been renamed.
        OSError: the file can't be read.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    checksum, _, body = data.partition(b"\n")
    body = body.rstrip(b"\n")
    try:
        if len(data) > MAX_FILE_BYTES or checksum != xxhash.xxh3_64_hexdigest(body).encode():
            raise CorruptStateError(f"it is damaged or larger than {MAX_FILE_BYTES} bytes")
        state = msgspec.json.decode(body, type=PersistedState)
        if state.form != FORMAT_VERSION or state.name != name:
            raise CorruptStateError(f"it is of {state.name}, form {state.form}; allowed: {name}, form {FORMAT_VERSION}")
    except (CorruptStateError, msgspec.DecodeError, UnicodeDecodeError) as error:
        quarantined = path.with_name(path.name + ".bad")
        path.replace(quarantined)
        raise CorruptStateError(f"{path}: {error}; set aside as {quarantined.name}") from None
    state.trust = {member: min(max(value, 0.0), 1.0) for member, value in state.trust.items()}
    return state
