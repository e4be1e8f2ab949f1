"""The rules' figures in a soak, and the settings that its gateway is told."""

from __future__ import annotations

from typing import Any

from tests.peers import SETTINGS

ATTEMPTS = 3
CROSSING = 0.05  # s in which a request may cross the close of a resting connection (the protocol's)
LATE = 0.5  # s past its time after which a request counts as lost (the standing test's)
GONE = 0.1  # s after which no attempt of a client that has left may begin (the operators' newest terms)
TOLD = 0.15  # s by which an engine may be told more than the client has left (the same)
SOCKET = 0.05  # s by which every limit is longer on sockets (the protocol's)
DRAIN = 0.25  # s after which nothing is sent to an engine that drains
TOLD_BY = 7.0  # s after which news counts as told, whether it arrived or not (the protocol's)
WINDOW = 1.5  # s for repeats of the keyed class
SLACK = 0.05  # s of this harness: two processes' threads on a busy machine
PAUSE = 0.15  # s for which the processor is elsewhere at most, on a crowded core
KILL = 0.7  # s that the platform adds to the longest deadline
CLASSES = {"lookup": "repeatable", "load": "by_key", "note": "once"}
WORK = 0.02  # s on one core, of each request
CORES = 8
COLD, COLD_SHARE = 4.0, 0.1  # s of a slow start, and the share of its capacity with which an engine starts
FALL, FALL_MULTIPLE = 1.0, 2.0  # s of a window of the slow start, and of the capacity in it
NS = 1_000_000_000


def settings(deadline: float, change: int) -> dict[str, Any]:
    """The settings with a longest deadline in s; another change makes other settings of the same rules."""
    grade = {"Credit": 1, "DeadlineNs": int(deadline * NS) + change, "TargetNs": NS // 10}
    grades = [grade | {"Name": name, "Effect": effect} for name, effect in CLASSES.items()]
    grades[1] |= {"Group": "all", "WindowNs": int(WINDOW * NS)}
    family = SETTINGS["FamilyInfo"] | {"WidthByClass": [1, 1, 1], "CoresByKind": [CORES]}
    allowed = {"Cancelling": True, "MaxAttempts": ATTEMPTS, "ConnectTimeoutNs": NS // 4, "RetryAfter": True}
    contract = {"DrainGraceNs": int(DRAIN * NS), "ColdNs": int(COLD * NS), "ColdShare": COLD_SHARE}
    contract |= {"TipAfterNs": int(FALL * NS), "FallMultiple": FALL_MULTIPLE}
    return SETTINGS | {
        "Grades": grades,
        "FamilyInfo": family,
        "Accounts": [],
        "Allowed": SETTINGS["Allowed"] | allowed,
        "Contract": SETTINGS["Contract"] | contract,
    }
