"""Parse a session's statements: a request with the fields in its leading comment, or KILL; no I/O."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from tealwing import interface
from tealwing.exchange import InvalidRequestError, Query

MAX_TTL_MS = 24 * 3600 * 1000
MAX_TTL_DIGITS = 12
MAX_HEAD_BYTES = 4 * 1024  # of the comment with the fields
MAX_WORK_MS = 1e9
MAX_MEMORY_MB = 1e9
FIELDS = {"op", "call", "ttl", "org", "dedupe", "work", "heap_mb"}

_HEAD = re.compile(rb"\s*/\*(.*?)\*/\s*", re.DOTALL)
_KILL = re.compile(rb"\s*+KILL\s++(?:(QUERY|CONNECTION)\s++)?(\d{1,10}+)\s*+;?\s*+\Z", re.IGNORECASE)
_REQUEST_ID = re.compile(r"[0-9a-f]{16}\Z")
_IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z_.:-]{1,128}\Z")
_NUMBER = re.compile(r"\d{1,12}(?:\.\d{1,9})?\Z", re.ASCII)
# strings, comments and quoted names; an unterminated one extends to the end. Possessive repeats keep no state for each
# character, so that the memory of a match does not depend on the statement.
_QUOTED = re.compile(
    rb"""'(?:[^'\\]++|\\.|'')*+(?:'|\\?\Z)|"(?:[^"\\]++|\\.|"")*+(?:"|\\?\Z)|`[^`]*+`
    |/\*.*?(?:\*/|\Z)|--(?=\s|\Z)[^\n]*+|\#[^\n]*+""",
    re.DOTALL | re.VERBOSE,
)
_SCHEMA = re.compile(
    rb"(?<![\w.$])(?:from|join|into|update|table)\s+(?:`([^`]+)`|([\w$\x80-\xff]+))\s*\.", re.IGNORECASE
)
_GROUP = re.compile(rb".*_(\d{1,7})\Z", re.DOTALL)


class FieldError(InvalidRequestError):
    """A request has an invalid field; the text names it."""


@dataclass(frozen=True, slots=True)
class Kill:
    """KILL of a query, or of a whole connection."""

    connection: int
    query_only: bool


def parse_kill(text: bytes | memoryview) -> Kill | None:
    """Parse a KILL statement; return None for any other statement."""
    found = _KILL.match(text)
    return Kill(int(found[2]), (found[1] or b"").upper() == b"QUERY") if found else None


def parse_query(text: bytes | memoryview, settings: interface.Settings, received_at: float = 0.0) -> Query:
    """Parse a statement and its leading comment, received at that monotonic time. Raises FieldError."""
    head = _HEAD.match(text)
    if head is None:
        raise FieldError("no comment with the fields stands ahead of the statement")
    if head.end(1) - head.start(1) > MAX_HEAD_BYTES:
        size = head.end(1) - head.start(1)
        raise FieldError(f"the comment with the fields has {size} bytes, more than {MAX_HEAD_BYTES}")
    fields = _fields(head[1])
    names = [cls.name for cls in settings.classes]
    if fields.get("op") not in names:
        raise FieldError(f"op is missing or unknown: {fields.get('op')!r}")
    cls = names.index(fields["op"])
    call, dedupe = fields.get("call", ""), fields.get("dedupe", "")
    if not _REQUEST_ID.match(call):
        raise FieldError(f"call is not 16 hexadecimal digits: {call!r}")
    if settings.tenants and fields.get("org") not in settings.tenants:
        raise FieldError(f"org is missing or unknown: {fields.get('org')!r}")
    keyed = settings.classes[cls].idempotency is interface.Idempotency.KEYED
    if (keyed or "dedupe" in fields) and not _IDEMPOTENCY_KEY.match(dedupe):
        raise FieldError(f"dedupe is missing or out of range: {dedupe!r}")
    ttl = fields.get("ttl", "")
    is_number = ttl.isascii() and ttl.isdigit() and len(ttl) <= MAX_TTL_DIGITS
    if not is_number or not 0 < int(ttl) <= MAX_TTL_MS:
        raise FieldError(f"ttl is missing or out of range: {ttl!r}")
    statement = bytes(text[head.end() :])  # white space ahead of it belongs to the head
    if not statement:
        raise FieldError("there is no statement")
    return Query(
        request_id=call.encode(),
        cls=cls,
        tenant=settings.tenants.index(fields["org"]) if settings.tenants else 0,
        ttl=int(ttl) / 1e3,
        statement=statement,
        idempotency_key=dedupe.encode(),
        cost=_number(fields, "work", MAX_WORK_MS) / 1e3 if "work" in fields else None,
        memory_estimate=_number(fields, "heap_mb", MAX_MEMORY_MB) if "heap_mb" in fields else 0.0,
        tables=table_group(statement),
        received_at=received_at,
    )


def _fields(comment: bytes) -> dict[str, str]:
    fields: dict[str, str] = {}
    for part in comment.decode("utf-8", "replace").split(","):
        name, equals, value = part.strip().partition("=")
        if not equals or name not in FIELDS or name in fields:
            raise FieldError(f"a field is unknown, given twice or without a value: {part.strip()[:40]!r}")
        fields[name] = value
    return fields


def _number(fields: dict[str, str], name: str, max_value: float) -> float:
    value = float(fields[name]) if _NUMBER.match(fields[name]) else math.inf
    if value > max_value:
        raise FieldError(f"{name} is out of range: {fields[name]!r}")
    return value


def table_group(statement: bytes) -> int:
    """Return the table group: the number that ends the first numbered schema read or written; 0 if there is none."""
    bare = _QUOTED.sub(lambda found: found[0] if found[0][:1] == b"`" else b" ", statement)
    for found in _SCHEMA.finditer(bare):
        schema = found[1] or found[2]
        group = _GROUP.match(schema)
        if group and not schema.lower().startswith(b"staging_"):
            return int(group[1])
    return 0
