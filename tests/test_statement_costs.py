"""What the parse of a statement costs: no client's text may take much memory or hold up the other clients."""

from __future__ import annotations

import time
import tracemalloc

import pytest

from tealwing.mysql import overdue, statements
from tests.build import make_settings

SIZE = 120_000  # bytes; a command may have 128 KiB
COPIES = 4  # of the statement that its parse may make
SOON = 0.5  # s; a parse holds the interpreter, so that other clients wait for it


@pytest.mark.parametrize(
    "text",
    [
        b"select '" + b"x" * SIZE + b"' from a_1.t",
        b'select "' + b"\\x" * (SIZE // 2) + b'" from a_1.t',
        b"select '" + b"x''" * (SIZE // 3) + b"' from a_1.t",
        b"select '" + b"x" * SIZE,
        b"select `" + b"x" * SIZE + b"` from a_1.t",
        b"/* " + b"x" * SIZE + b" */ select a from a_1.t",
    ],
    ids=["string", "escapes", "doubled quotes", "no end", "name", "comment"],
)
def test_memory_of_finding_the_table_group_is_a_few_copies_of_the_statement(text: bytes) -> None:
    tracemalloc.start()
    try:
        statements.table_group(text)
        assert tracemalloc.get_traced_memory()[1] <= COPIES * SIZE
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    "text",
    [
        b"KILL 1" + b" " * SIZE + b"x",
        b"KILL QUERY 1" + b" " * SIZE + b";" + b" " * SIZE + b"x",
        b"KILL" + b" " * SIZE + b"x",
        b" " * SIZE + b"KILL",
    ],
    ids=["after the number", "round a semicolon", "before the number", "ahead"],
)
def test_time_to_recognize_a_kill_does_not_hold_up_other_clients(text: bytes) -> None:
    begun = time.monotonic()
    assert statements.parse_kill(text) is None
    assert time.monotonic() - begun < SOON


@pytest.mark.parametrize(
    "text",
    [
        b"/* ttl=1" + b" " * SIZE,
        b"/*" + b" ttl=1" * (SIZE // 6),
        b"/* ttl=1" * (SIZE // 8),
        b"/*" + b"ttl=" * (SIZE // 4),
    ],
)
def test_time_to_find_the_time_to_live_does_not_hold_up_other_clients(text: bytes) -> None:
    begun = time.monotonic()
    assert overdue.time_to_live(text) is None
    assert time.monotonic() - begun < SOON


@pytest.mark.parametrize(
    "text",
    [
        b"from a" + b" " * SIZE,
        b"from " + b"a" * SIZE,
        b"from a " * (SIZE // 7),
        b"from `" * (SIZE // 6),
        b"from a_1" * (SIZE // 8),
        b"''," * (SIZE // 3),
        b"/*" * (SIZE // 2),
    ],
)
def test_time_to_find_the_table_group_does_not_hold_up_other_clients(text: bytes) -> None:
    begun = time.monotonic()
    assert statements.table_group(text) == 0
    assert time.monotonic() - begun < SOON


@pytest.mark.parametrize("fields", [b"a=1," * (SIZE // 4), b"," * SIZE, b"op=" + b"x" * SIZE])
def test_head_of_many_or_long_fields_is_rejected_without_a_list_of_them(fields: bytes) -> None:
    text = b"/* " + fields + b" */ SELECT a"
    tracemalloc.start()
    try:
        with pytest.raises(statements.FieldError, match="more than 4096"):
            statements.parse_query(text, make_settings())
        assert tracemalloc.get_traced_memory()[1] <= COPIES * SIZE
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("ttl", ["0" * 11 + "1" + "9" * 5000, "0" * 12 + "9", "1" * 13])
def test_time_to_live_with_too_many_digits_is_rejected(ttl: str) -> None:
    with pytest.raises(statements.FieldError, match=r"ttl is missing or out of range|more than 4096"):
        statements.parse_query(f"/* op=look,call={1:016x},ttl={ttl} */ SELECT a".encode(), make_settings())
