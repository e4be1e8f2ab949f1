"""The replicated state machine: deterministic, so that members that applied the same entries have equal states; pure.

It reads no clock: times in commands come from the proposer, and the expiry of a lease is an entry of its own.
Values are immutable, so that a shallow copy of the tables is a consistent state from which a snapshot is written.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Annotated, Any

import msgspec
import xxhash

from tealwing.replica import commands as c
from tealwing.replica.messages import Record
from tealwing.rules import records, registry

MAX_SESSIONS = 1024  # client sessions kept; the session whose last command is oldest in the log is evicted
RETAINED_SETTINGS = 16  # newest versions of the settings kept; the last good one is kept in addition
DUMP_PIECE_BYTES = 64 * 1024  # bytes at which `dump` yields a piece

Count = Annotated[int, msgspec.Meta(ge=0)]


class Value(Record, frozen=True):
    """A value and its version, which is the index of the entry that put it."""

    value: bytes
    version: int


class Session(Record, frozen=True):
    """The last command of a client and its result."""

    sequence: int
    result: c.CommandResult


class Lease(Record, frozen=True):
    """The newest grant of a lease: holder, duration, fencing token and last renewal."""

    holder: str
    ttl: int  # ms
    token: int
    renewed: int  # index of the entry that granted or last renewed it
    held: bool = True  # False once it was released or has expired


class SettingsVersion(Record, frozen=True):
    """One version of the operators' settings, and the index of its entry."""

    text: bytes
    valid: bool
    index: int


TABLES: dict[str, type] = {
    "values": Value,
    "settings": SettingsVersion,
    "drains": c.Drain,
    "notes": c.Note,
    "levels": c.Level,
    "leases": Lease,
    "fences": int,
    "sessions": Session,
    "rules": records.Version,  # the rules* tables: see tealwing.rules.registry
    "rule_members": records.Member,
    "rule_facts": records.Facts,
}

_encode = msgspec.msgpack.Encoder().encode
_decoders: dict[str, Any] = {name: msgspec.msgpack.Decoder(kind) for name, kind in TABLES.items()}


class Item(msgspec.Struct, array_like=True, frozen=True):
    """An item of a snapshot: table, key, and the encoded value."""

    table: str
    key: str
    value: bytes


_items = msgspec.msgpack.Decoder(Item)


class State:
    """State of one member: the tables and the applied index."""

    def __init__(self) -> None:
        self.applied = 0
        self.tables: dict[str, dict[str, Any]] = {name: {} for name in TABLES}
        self.rejected_stale = 0  # fenced commands rejected for their token: a metric, not replicated

    # Commands

    def apply(self, index: int, data: bytes) -> c.CommandResult:
        """Apply the entry at an index and return the result; each entry is applied once, in order.

        Raises c.NewerEntryError, with the state unchanged, if a newer build wrote the entry.
        """
        try:
            command = c.decode(data)
        except c.NewerEntryError:
            raise
        except ValueError as error:  # deterministic: every member rejects it
            self.applied = index
            return c.CommandResult(False, index, reason=str(error))
        self.applied = index
        sessions = self.tables["sessions"]
        if command.sequence:
            known: Session | None = sessions.get(command.client)
            if known is not None and command.sequence <= known.sequence:
                if command.sequence == known.sequence:
                    return known.result
                return c.CommandResult(False, index, reason=f"sequence {command.sequence} came after {known.sequence}")
        result = self._apply_fenced(index, command)
        if command.sequence:
            sessions.pop(command.client, None)  # reinserted at the end: least recently used first
            sessions[command.client] = Session(command.sequence, result)
            if len(sessions) > MAX_SESSIONS:
                del sessions[next(iter(sessions))]
        return result

    def _apply_fenced(self, index: int, command: c.Command) -> c.CommandResult:
        fence = command.fence
        if fence is not None:
            newest = self.tables["fences"].get(fence.name, 0)
            if fence.token != newest or not newest:  # a stale token, or one that was never granted
                self.rejected_stale += 1
                why = f"stale token {fence.token} of {fence.name}: {newest} is the newest"
                return c.CommandResult(False, index, newest, why)
        return self._apply(index, command.body)

    def _apply(self, index: int, body: c.Body) -> c.CommandResult:  # noqa: C901 - one case for each command
        match body:
            case c.Put(key, value, expect):
                return self._put(index, key, value, expect)
            case c.Delete(key):
                deleted = self.tables["values"].pop(key, None)
                return c.CommandResult(deleted is not None, index, reason="" if deleted else f"no value under {key}")
            case c.Settings(version, text, valid):
                return self._settings(index, version, text, valid)
            case c.Drain(engine, started):
                return self._put_or_remove(index, "drains", f"{engine}/{started}", body, body.removed, keep_first=True)
            case c.Note(engine, started, kind):
                return self._put_or_remove(
                    index, "notes", f"{engine}/{started}/{kind}", body, body.removed, keep_first=True
                )
            case c.Level(name):
                return self._put_or_remove(index, "levels", name, body, body.removed)
            case c.Acquire(name, holder, ttl):
                return self._acquire(index, name, holder, ttl)
            case c.Renew(name, token):
                return self._renew(index, name, token)
            case c.Release(name, token):
                return self._end_lease(index, name, token)
            case c.Expire(name, token, renewed):
                lease: Lease | None = self.tables["leases"].get(name)
                if lease is None or lease.renewed != renewed:  # renewed in the meantime
                    return c.CommandResult(False, index, reason=f"{name} is renewed or another's")
                return self._end_lease(index, name, token)
            case _:
                return registry.apply(self.tables, index, body)

    def _put(self, index: int, key: str, value: bytes, expect: int | None) -> c.CommandResult:
        before: Value | None = self.tables["values"].get(key)
        version = before.version if before else 0
        if expect is not None and expect != version:
            return c.CommandResult(False, index, version, f"version {version} and not {expect} is under {key}")
        self.tables["values"][key] = Value(value, index)
        return c.CommandResult(True, index, index)

    def _settings(self, index: int, version: int, text: bytes, valid: bool) -> c.CommandResult:
        table = self.tables["settings"]
        last = max(map(int, table), default=0)
        if version != last + 1:
            return c.CommandResult(False, index, last, f"version {version} after {last}")
        table[str(version)] = SettingsVersion(text, valid, index)
        last_good = self.last_good()
        for number in sorted(map(int, table))[:-RETAINED_SETTINGS]:
            if number != last_good:
                del table[str(number)]
        return c.CommandResult(True, index, version)

    def last_good(self) -> int:
        """Return the number of the newest valid version of the settings, 0 if there is none."""
        return max((int(key) for key, version in self.tables["settings"].items() if version.valid), default=0)

    def _put_or_remove(
        self, index: int, table: str, key: str, value: Any, removed: bool, keep_first: bool = False
    ) -> c.CommandResult:
        """Put or remove a record.

        With `keep_first` an existing record stays: a drain's cut-off counts from its first announcement.
        """
        if removed:
            deleted = self.tables[table].pop(key, None)
            return c.CommandResult(deleted is not None, index, reason="" if deleted else f"no {key} in {table}")
        if keep_first and key in self.tables[table]:
            return c.CommandResult(True, index, reason="known already")
        self.tables[table][key] = value
        return c.CommandResult(True, index, index)

    # Leases: see tealwing.leases

    def _acquire(self, index: int, name: str, holder: str, ttl: int) -> c.CommandResult:
        lease: Lease | None = self.tables["leases"].get(name)
        # this client holds it already, such as after a lost reply: renew the grant
        if lease is not None and lease.held and lease.holder == holder:
            self.tables["leases"][name] = msgspec.structs.replace(lease, ttl=ttl, renewed=index)
            return c.CommandResult(True, index, lease.token)
        if lease is not None and lease.held:
            return c.CommandResult(False, index, lease.token, f"{lease.holder} holds {name}")
        self.tables["leases"][name] = Lease(holder, ttl, index, index)
        self.tables["fences"][name] = index
        return c.CommandResult(True, index, index)

    def _renew(self, index: int, name: str, token: int) -> c.CommandResult:
        lease: Lease | None = self.tables["leases"].get(name)
        if lease is None or lease.token != token or not lease.held:
            return c.CommandResult(False, index, lease.token if lease else 0, f"the grant {token} of {name} is over")
        self.tables["leases"][name] = msgspec.structs.replace(lease, renewed=index)
        return c.CommandResult(True, index, token)

    def _end_lease(self, index: int, name: str, token: int) -> c.CommandResult:
        lease: Lease | None = self.tables["leases"].get(name)
        if lease is None or lease.token != token or not lease.held:
            return c.CommandResult(False, index, lease.token if lease else 0, f"the grant {token} of {name} is over")
        self.tables["leases"][name] = msgspec.structs.replace(lease, held=False)
        return c.CommandResult(True, index, token)

    # Snapshots and digest

    def copy(self) -> State:
        """Return a copy of the state that later commands do not change."""
        duplicate = State()
        duplicate.applied = self.applied
        duplicate.tables = {name: dict(table) for name, table in self.tables.items()}
        return duplicate

    def dump(self) -> Iterator[bytes]:
        """Yield the body of a snapshot in pieces: length-prefixed items, in the order of the tables."""
        piece = bytearray()
        for name, table in self.tables.items():
            for key, value in table.items():
                item = _encode(Item(name, key, _encode(value)))
                piece += len(item).to_bytes(4, "big") + item
                if len(piece) >= DUMP_PIECE_BYTES:
                    yield bytes(piece)
                    piece.clear()
        if piece:
            yield bytes(piece)

    def load(self, applied: int, pieces: Iterable[bytes]) -> None:
        """Replace the state by the body of a snapshot.

        Raises ValueError if the body is invalid, c.NewerEntryError if it has a table that this build does not know.
        """
        fresh: dict[str, dict[str, Any]] = {name: {} for name in TABLES}
        data = bytearray()
        for piece in pieces:
            data += piece
            at = 0
            while len(data) - at >= 4:
                end = at + 4 + int.from_bytes(data[at : at + 4], "big")
                if len(data) < end:
                    break
                try:
                    item = _items.decode(bytes(data[at + 4 : end]))
                    if item.table not in fresh:
                        raise c.NewerEntryError(f"a snapshot with a table {item.table[:40]}")
                    fresh[item.table][item.key] = _decoders[item.table].decode(item.value)
                except msgspec.DecodeError as error:
                    raise ValueError(f"the snapshot has an item that can't be decoded: {error}") from None
                at = end
            del data[:at]
        if data:
            raise ValueError(f"the snapshot ends within an item: {len(data)} bytes are left over")
        self.tables, self.applied = fresh, applied

    def digest(self) -> str:
        """Return a hash of all tables, independent of key order; equal at members that applied the same entries."""
        hasher = xxhash.xxh3_64()
        for name, table in self.tables.items():
            for key in sorted(table):
                hasher.update(_encode((name, key)))
                hasher.update(_encode(table[key]))
        return hasher.hexdigest()

    def counts(self) -> dict[str, int]:
        """Return the number of records in each table."""
        return {name: len(table) for name, table in self.tables.items()}
