"""The rules bundles that a trial's operators propose; pure.

Each version routes the groups of tables below MOVED to a site of its own. All versions route the groups from MOVED to
FIXED to the same site, and have no route for the rest: no change affects these.
"""

from __future__ import annotations

import tomllib
from typing import Any

MOVED = 24  # end of the groups that each version routes to its own site
FIXED = 32  # end of the groups that all versions route to the first site
GROUPS = 40  # number of groups that clients query
REPORT_AIMS = (3000, 4000, 5000)  # ms: targets of the class `report`, so that settings of a class change as well
TOO_MANY = 3  # attempts in a bad bundle: the process with the tightest limits (MIN_ATTEMPTS) must reject it


def bundle(mark: str, site: str, home: str, turn: int = 0, bad: bool = False) -> bytes:
    """Return a bundle's text: the mark makes it unique, turn selects the report aim, bad has one process reject it."""
    lines = [f"# {mark}"]
    if bad:
        lines += ["[attempts]", f"most = {TOO_MANY}"]
    lines += ["[classes.report]", f"aim-ms = {REPORT_AIMS[turn % len(REPORT_AIMS)]}"]
    for first, last, to in ((0, MOVED - 1, site), (MOVED, FIXED - 1, home)):
        lines += ["[[routes]]", f"first = {first}", f"last = {last}", f'sites = ["{to}"]']
    return ("\n".join(lines) + "\n").encode()


def read(text: str) -> tuple[str, str]:
    """Return the mark and the site of a text made by `bundle`; both are empty for any other text."""
    try:
        data: dict[str, Any] = tomllib.loads(text)
        return text.partition("\n")[0].removeprefix("# "), str(data["routes"][0]["sites"][0])
    except (tomllib.TOMLDecodeError, KeyError, IndexError):
        return "", ""
