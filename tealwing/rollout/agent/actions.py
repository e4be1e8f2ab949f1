"""Actions that a member's state machine requests of the runtime; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from tealwing.rules.records import Body

Mode = Literal["open", "closed", "shut"]
# the mark of `hold`: no version's outcome is known, so that nothing of this disk is served from
HOLD_MARKER = 2**63 - 1
FOREVER = float("inf")


@dataclass(frozen=True, slots=True)
class PersistMarker:
    """Write this number to disk with fsync, then call Machine.marker_written."""

    number: int


@dataclass(frozen=True, slots=True)
class SubmitCommand:
    """Propose a command in the site's log."""

    body: Body


@dataclass(frozen=True, slots=True)
class CheckBundle:
    """Check a version's bundle against this gateway, then call Machine.checked."""

    number: int


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Request a read index of the site's or the federation's log; call Machine.read_sent as it is sent."""

    federation: bool = False


@dataclass(frozen=True, slots=True)
class Restart:
    """The machine has taken this new start number."""

    start: int


Action = PersistMarker | SubmitCommand | CheckBundle | ReadIndex | Restart


@dataclass(frozen=True, slots=True)
class ReadToken:
    """A read that was sent: when by the local clock, in which start, of which log."""

    serial: int
    sent_at: float
    start: int
    federation: bool = False


@dataclass(frozen=True, slots=True)
class GateState:
    """Which requests may be decided here now."""

    mode: Mode  # closed: none that the change to `closing` affects; shut: none
    number: int  # the version under which requests are decided
    closing: int = 0  # 0: none
    reason: str = ""  # for readiness; empty when open
    until: float = FOREVER  # by the local clock: invalid from then on
