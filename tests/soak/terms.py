"""Limits that a soak run checks, and the settings of its gateway."""

from __future__ import annotations

from typing import Any

from tests.peers import SETTINGS

MAX_ATTEMPTS = 3
IDLE_CLOSE_RACE = 0.05  # s; from the protocol: a request may cross the close of an idle connection
LATE_LIMIT = 0.5  # s past its time to live after which a request counts as lost, as in the standing test
DEPARTURE_GRACE = 0.1  # s after a client has left in which attempts may begin, from the operators' latest rules
TTL_TOLERANCE = 0.15  # s by which an attempt's ttl may exceed the time that the request has left, from the same rules
SOCKET_ALLOWANCE = 0.05  # s; from the protocol: every limit is longer on sockets
DRAIN_GRACE = 0.25  # s after the announcement of a drain in which attempts may be sent
PROPAGATION_LIMIT = 7.0  # s; from the protocol: a change counts as known after this, received or not
KEYED_WINDOW = 1.5  # s within which the keyed class may be repeated
ARRIVAL_RESOLUTION = 0.01  # s by which an arrival may be dated early: TCP_INFO counts in kernel ticks, 100 a s or more
TIMING_TOLERANCE = 0.05  # s of scheduling delay in this harness: threads of two processes on a busy machine
MAX_PAUSE = 0.15  # s; the longest time without a processor on a crowded core
KILL_GRACE = 0.7  # s that the platform waits after the longest deadline before it sends SIGKILL
CLASSES = {"lookup": "repeatable", "load": "by_key", "note": "once"}
WORK_PER_REQUEST = 0.02  # s of one core that each request takes
CORES = 8
SLOW_START = 4.0  # s
SLOW_START_SHARE = 0.1  # share of its capacity that an engine has at its start
OVERLOAD_WINDOW = 1.0  # s; length of the windows in which the load of a slow start is checked
OVERLOAD_MULTIPLE = 2.0  # the capacity of a window times this is the limit of its load
NS_PER_S = 1_000_000_000


def settings(deadline: float, change: int) -> dict[str, Any]:
    """Settings with the given longest deadline in s; change varies them without a change of the rules."""
    grade = {"Credit": 1, "DeadlineNs": int(deadline * NS_PER_S) + change, "TargetNs": NS_PER_S // 10}
    grades = [grade | {"Name": name, "Effect": effect} for name, effect in CLASSES.items()]
    grades[1] |= {"Group": "all", "WindowNs": int(KEYED_WINDOW * NS_PER_S)}
    family = SETTINGS["FamilyInfo"] | {"WidthByClass": [1, 1, 1], "CoresByKind": [CORES]}
    allowed = {"Cancelling": True, "MaxAttempts": MAX_ATTEMPTS, "ConnectTimeoutNs": NS_PER_S // 4, "RetryAfter": True}
    contract = {"ColdNs": int(SLOW_START * NS_PER_S), "ColdShare": SLOW_START_SHARE}
    contract |= {"DrainGraceNs": int(DRAIN_GRACE * NS_PER_S)}
    contract |= {"TipAfterNs": int(OVERLOAD_WINDOW * NS_PER_S), "FallMultiple": OVERLOAD_MULTIPLE}
    return SETTINGS | {
        "Grades": grades,
        "FamilyInfo": family,
        "Accounts": [],
        "Allowed": SETTINGS["Allowed"] | allowed,
        "Contract": SETTINGS["Contract"] | contract,
    }
