"""Check each process's view of its peers against the reachability of the links; pure."""

from __future__ import annotations

from collections.abc import Sequence

from tealwing.lab.judges.reach import Reachability
from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event
from tealwing.peers.plan import LinkTimes

DETECTION_TIME = 1.5  # s by which a busy machine may delay the check for silence
# s in which a reachable peer must count as alive again: twice the sum of the longest wait between dials, a dial and a
# hello, doubled for a busy machine (2.6 s occurred with seven trials started at once on 8 cores)
RECOVERY_TIME = 10.0


def check(events: Sequence[Event], end: float, times: LinkTimes = LinkTimes()) -> list[Violation]:  # noqa: B008 - frozen
    """Return a violation for each peer seen as alive but unreachable for long, or as dead but reachable for long."""
    found = []
    reach = Reachability(events, end)
    for sample in events:
        if sample["kind"] != "sample":
            continue
        observer, at = sample["process"], sample["asked"]
        for peer, state in sample["peers"].items():
            silent = reach.silence(peer, observer, at)
            if state == "alive" and silent > times.dead_after + DETECTION_TIME:
                found.append(Violation("views", at, f"{observer} sees {peer} as alive after {silent:.1f} s of silence"))
            if state == "dead" and at > RECOVERY_TIME and reach.is_healthy(peer, observer, at - RECOVERY_TIME, at):
                found.append(Violation("views", at, f"{observer} sees {peer} as dead although it is reachable"))
    return found
