"""What a member's machine asks of its shell; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from tealwing.rules.records import Body

Mode = Literal["open", "closed", "shut"]
HOLD_MARKER = (
    2**63 - 1
)  # the mark of `hold`: no version's outcome is known, so that nothing of this disk is served from
FOREVER = float("inf")


@dataclass(frozen=True, slots=True)
class PersistMarker:
    """Have this number on disk in place of what is there, fsynced, then say so: Machine.marked."""

    number: int


@dataclass(frozen=True, slots=True)
class SubmitCommand:
    """Propose this in the site's log."""

    body: Body


@dataclass(frozen=True, slots=True)
class CheckBundle:
    """Check that version's bundle against what runs here, then say so: Machine.checked."""

    number: int


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Ask for a read-index, of the federation's log where that says so; Machine.read_sent as it is sent."""

    federation: bool = False


@dataclass(frozen=True, slots=True)
class Restart:
    """The machine goes on under this start number."""

    start: int


Action = PersistMarker | SubmitCommand | CheckBundle | ReadIndex | Restart


@dataclass(frozen=True, slots=True)
class ReadToken:
    """A read that was sent: when by our clock, in which start, of which log."""

    serial: int
    sent_at: float
    start: int
    federation: bool = False


@dataclass(frozen=True, slots=True)
class GateState:
    """What may be decided here now."""

    mode: Mode  # open; closed: not what the change to `closing` touches; shut: nothing
    number: int  # the version under which requests are decided
    closing: int = 0  # 0: none
    reason: str = ""  # for readiness; empty when open
    until: float = FOREVER  # by our clock: not valid from then
