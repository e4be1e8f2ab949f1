"""The response packets of a session: replies to requests, and the answers to other commands."""

from __future__ import annotations

from tealwing.exchange import Cancelled, Failed, Rejected, Reply, Served
from tealwing.mysql import packets
from tealwing.mysql.kills import KillOutcome

COLUMNS = (b"column_1", b"column_2", b"column_3")  # engines send no column names
UNKNOWN_COMMAND = packets.error(1047, "08S01", "Unknown command")
INTERRUPTED = packets.error(1317, "70100", "Query execution was interrupted")
FAILED = packets.error(1105, "HY000", "The query failed; it may have run")
KILL_ANSWERS = {
    KillOutcome.APPLIED: packets.ok(),
    KillOutcome.UNKNOWN_CONNECTION: packets.error(1094, "HY000", "Unknown thread id"),
    KillOutcome.UNCONFIRMED: packets.error(1105, "HY000", "The KILL is not confirmed; close its connection instead"),
}


def encode(reply: Reply) -> bytes:
    """Encode a reply as response packets."""
    match reply:
        case Served(pages):
            rows = (line.split(b"\t") for page in pages for line in page.split(b"\n")[:-1])
            return packets.result_set(COLUMNS, rows, 1)
        case Rejected(retry_after):
            text = f"The query was refused, pushback={round(retry_after * 1e3)}"
            return packets.packet(1, packets.error(1226, "42000", text))
        case Failed():
            return packets.packet(1, FAILED)
        case Cancelled():
            return packets.packet(1, INTERRUPTED)
