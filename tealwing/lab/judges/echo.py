"""Check the answers to pings: the right peer sends the right text, and no answer crosses a cut link; pure."""

from __future__ import annotations

from collections.abc import Sequence

from tealwing.lab.judges.reach import Reachability
from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event, operations

IN_FLIGHT_TIME = 0.1  # s after a cut in which bytes written before it may still be read


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """Return the violations: `echo-by`, `echo-text` and `cut`."""
    found = []
    reach = Reachability(events, end)
    for ping in operations(events, "ping"):
        if ping.outcome != "ok":
            continue
        source, target = ping.process, ping.fields["to"]
        if ping.result["by"] != target:
            found.append(Violation("echo-by", ping.end, f"{source} pinged {target}, and {ping.result['by']} answered"))
        if ping.result["text"] != ping.fields["text"]:
            found.append(
                Violation(
                    "echo-text",
                    ping.end,
                    f"{target} answered {ping.result['text']!r}, expected {ping.fields['text']!r}",
                )
            )
        begin = ping.begin - IN_FLIGHT_TIME
        for a, b in ((source, target), (target, source)):
            if begin > 0 and reach.is_cut(a, b, begin, ping.end):
                found.append(
                    Violation(
                        "cut", ping.end, f"{source} got an answer from {target} while the link {a} to {b} was cut"
                    )
                )
    return found
