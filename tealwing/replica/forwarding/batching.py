"""Batching of reports on a version of the rules that reach the leader together into one log entry; pure.

Each gateway of a large fleet sends the same two reports on every change. One entry per report would cost each member
an apply, and the leader a message to every follower.
"""

from __future__ import annotations

from tealwing.replica import commands as c
from tealwing.rules.records import Closed, Reports, Verdict

MAX_BATCH_REPORTS = 256  # maximum reports in one entry
MAX_BATCH_BYTES = 48 * 1024  # maximum bytes of commands in one entry: several entries fit into one message


def batched(commands: list[bytes]) -> list[bytes]:
    """Return the commands with their reports merged into as few entries as possible.

    No caller may be waiting for any of these commands. A report may move to another place among them, as it may on the
    network; the resulting state does not depend on the order.
    """
    merged: list[bytes] = []
    reports: list[Verdict | Closed] = []
    size = 0
    for data in commands:
        report = _report_of(data) if len(commands) > 1 else None
        if report is None:
            merged.append(data)
            continue
        if len(reports) >= MAX_BATCH_REPORTS or size + len(data) > MAX_BATCH_BYTES:
            merged.append(_encoded_batch(reports))
            reports, size = [], 0
        if report not in reports[-8:]:  # drops a report that repeats one of the last 8
            reports.append(report)
            size += len(data)
    return [*merged, _encoded_batch(reports)] if reports else merged


def _report_of(data: bytes) -> Verdict | Closed | None:
    """Return the report in a command; None if it holds no report, or has a client, sequence or fence."""
    try:
        command = c.decode(data)
    except ValueError:
        return None
    plain = not command.client and not command.sequence and command.fence is None
    return command.body if plain and isinstance(command.body, Verdict | Closed) else None


def _encoded_batch(reports: list[Verdict | Closed]) -> bytes:
    return c.encode(c.Command("", 0, Reports(tuple(reports)) if len(reports) > 1 else reports[0]))
