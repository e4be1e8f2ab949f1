"""What the parse of a statement costs: no client's text may take much memory or hold up the other clients."""

from __future__ import annotations

import time
import tracemalloc

import pytest

from tealwing.mysql import statements

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
