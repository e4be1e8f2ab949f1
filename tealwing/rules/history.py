"""Which versions are kept; pure."""

from __future__ import annotations

from tealwing.rules.records import IN_FLIGHT, Version
from tealwing.rules.registry_state import Tables, active

MAX_VERSIONS = 32  # versions


def trim(tables: Tables) -> None:
    """Let the oldest go; never the one in force, its parent (the way back), nor one in flight."""
    table: dict[str, Version] = tables["rules"]
    now = active(tables)
    protected = {now.number, now.parent} if now is not None else set()
    for number in sorted(map(int, table)):
        if len(table) <= MAX_VERSIONS:
            return
        if number not in protected and table[str(number)].phase not in IN_FLIGHT:
            del table[str(number)]
