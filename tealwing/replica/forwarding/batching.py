"""Members' words on a version of the rules that come to the leader together are written as one entry; pure.

Each gateway of a large fleet says the same two things of every change: as entries of their own they would cost every
member its time, and the leader a message to everyone, for each of them.
"""

from __future__ import annotations

from tealwing.replica import commands as c
from tealwing.rules.records import Closed, Reports, Verdict

MAX_BATCH_REPORTS = 256  # words in one entry
MAX_BATCH_BYTES = 48 * 1024  # of commands in one entry: several fit into one message


def batched(commands: list[bytes]) -> list[bytes]:
    """The same in as few entries as may be, for commands of which nobody waits for what comes of them.

    A word may go before a command that came before it, as on the network: nothing rests on their order.
    """
    found: list[bytes] = []
    reports: list[Verdict | Closed] = []
    size = 0
    for data in commands:
        report = _report_of(data) if len(commands) > 1 else None
        if report is None:
            found.append(data)
            continue
        if len(reports) >= MAX_BATCH_REPORTS or size + len(data) > MAX_BATCH_BYTES:
            found.append(_encoded_batch(reports))
            reports, size = [], 0
        if report not in reports[-8:]:
            reports.append(report)
            size += len(data)
    return [*found, _encoded_batch(reports)] if reports else found


def _report_of(data: bytes) -> Verdict | Closed | None:
    """The word that a command is; None: it is another, or says more than that."""
    try:
        command = c.decode(data)
    except ValueError:
        return None
    plain = not command.client and not command.sequence and command.fence is None
    return command.body if plain and isinstance(command.body, Verdict | Closed) else None


def _encoded_batch(reports: list[Verdict | Closed]) -> bytes:
    return c.encode(c.Command("", 0, Reports(tuple(reports)) if len(reports) > 1 else reports[0]))
