"""Counts the rows of docs/terms-audit.md by result and updates the line of counts at the head of the page.

python -m benchmarks.terms_audit
"""

from __future__ import annotations

import re
from collections import Counter
from pathlib import Path

PAGE = Path(__file__).parent.parent / "docs" / "terms-audit.md"
RESULTS = ("holds", "fixed", "open", "not reached")
COLUMNS = 7  # number, page and section, clause, hardest reading, paths, how it was played, result
HEAD = re.compile(r"^Rows: .*$", re.MULTILINE)


def rows(text: str) -> list[list[str]]:
    """The cells of each row of all tables; raises ValueError for a row with other columns or an unknown result."""
    found = []
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split(" | ")]
        if not line.startswith("| ") or not cells[0].isdigit():
            continue
        if len(cells) != COLUMNS or cells[-1] not in RESULTS:
            raise ValueError(
                f"row {cells[0]}: {len(cells)} columns, result {cells[-1]!r}; expected {COLUMNS} and one of {RESULTS}"
            )
        found.append(cells)
    return found


def head(text: str) -> str:
    """The line of counts for a page's text."""
    counts = Counter(cells[-1] for cells in rows(text))
    return f"Rows: {sum(counts.values())}. " + ", ".join(f"{result} {counts[result]}" for result in RESULTS) + "."


def main() -> None:
    """Update the line of counts and print it."""
    text = PAGE.read_text()
    PAGE.write_text(HEAD.sub(head(text), text, count=1))
    print(head(text))


if __name__ == "__main__":
    main()
