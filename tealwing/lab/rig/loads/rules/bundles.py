"""The bundles that a trial's operators propose; pure.

The groups of tables below MOVED go to the version's site. Those of the next range have the same site in all versions,
and the rest none: no change touches them.
"""

from __future__ import annotations

import tomllib
from typing import Any

MOVED = 24  # groups that every version sends to its site
FIXED = 32  # from MOVED to here: groups that all versions send to the first site
GROUPS = 40  # all that are asked for
REPORT_AIMS = (3000, 4000, 5000)  # ms: now and then a class changes too
TOO_MANY = 3  # attempts, of a bundle that the process with the tightest limits must turn down


def bundle(mark: str, site: str, home: str, turn: int = 0, bad: bool = False) -> bytes:
    """A bundle's text. The mark makes it like no other; turn gives a class's figures; bad: one process says no."""
    lines = [f"# {mark}"]
    if bad:
        lines += ["[attempts]", f"most = {TOO_MANY}"]
    lines += ["[classes.report]", f"aim-ms = {REPORT_AIMS[turn % len(REPORT_AIMS)]}"]
    for first, last, to in ((0, MOVED - 1, site), (MOVED, FIXED - 1, home)):
        lines += ["[[routes]]", f"first = {first}", f"last = {last}", f'sites = ["{to}"]']
    return ("\n".join(lines) + "\n").encode()


def read(text: str) -> tuple[str, str]:
    """The mark and the site of a bundle that `bundle` made; empty where it is none."""
    try:
        data: dict[str, Any] = tomllib.loads(text)
        return text.partition("\n")[0].removeprefix("# "), str(data["routes"][0]["sites"][0])
    except (tomllib.TOMLDecodeError, KeyError, IndexError):
        return "", ""
