"""Commands and stored records of versions of the rules in the replicated log; pure.

A version is one immutable bundle under a number. Commands change its phase; the registry applies them. Tags, the order
of fields and their bounds are the stored format: they must not change.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
import xxhash

from tealwing.record import Record, UnsignedInt63

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Text = Annotated[str, msgspec.Meta(max_length=2000)]
MAX_BUNDLE_BYTES = 256 * 1024  # bytes of a bundle's text
Bundled = Annotated[bytes, msgspec.Meta(max_length=MAX_BUNDLE_BYTES)]
PartitionMode = Literal["serve", "hold"]
Phase = Literal[
    "proposed", "checked", "preparing", "agreed", "active", "superseded", "rejected", "aborted", "withdrawn"
]
IN_FLIGHT: tuple[Phase, ...] = ("proposed", "checked", "preparing", "agreed")


# Commands


class Propose(Record, tag="rules.propose", frozen=True):
    """Propose a version made from `parent`; number: as the federation assigned it, 0: the registry assigns the next."""

    parent: UnsignedInt63
    digest: Name  # digest() of the text
    text: Bundled
    author: Name
    created_ms: UnsignedInt63  # ms of the Unix clock at the proposer; informational
    reason: Text = ""
    number: UnsignedInt63 = 0
    federated: bool = False  # its outcome is decided in the federation's log
    min_build: UnsignedInt63 = 1  # lowest build that can activate it


class Verdict(Record, tag="rules.verdict", frozen=True):
    """A member's verdict on a proposed version, given in one start of the member."""

    number: UnsignedInt63
    member: Name
    start: UnsignedInt63
    accepted: bool
    reason: Text = ""


class Close(Record, tag="rules.close", frozen=True):
    """Start the close phase: each member stops deciding affected requests as it applies this command."""

    number: UnsignedInt63


class Closed(Record, tag="rules.closed", frozen=True):
    """Report that a member has closed in its present start, and has persisted its marker."""

    number: UnsignedInt63
    member: Name
    start: UnsignedInt63


class Reports(Record, tag="rules.words", frozen=True):
    """Reports of several members that the leader batched into one entry; applied in order."""

    reports: Annotated[tuple[Verdict | Closed, ...], msgspec.Meta(max_length=256)]


class Activate(Record, tag="rules.activate", frozen=True):
    """Put a version in force; rejected unless every member is covered."""

    number: UnsignedInt63
    federation_index: UnsignedInt63 = 0  # of a federated version: index of the deciding entry in the federation's log


class Abort(Record, tag="rules.abort", frozen=True):
    """End a version without activation."""

    number: UnsignedInt63
    reason: Text = ""
    federation_index: UnsignedInt63 = 0


class Withdraw(Record, tag="rules.withdraw", frozen=True):
    """End a version on an operator's request, before any member closes for it."""

    number: UnsignedInt63
    author: Name
    reason: Text = ""


class Begin(Record, tag="rules.begin", frozen=True):
    """Register a member's present start, and the member if it is new.

    The command names the start that it replaces, so that a delayed one of an ended process can't replace the start of
    its successor.
    """

    member: Name
    start: UnsignedInt63
    partition_mode: PartitionMode
    build: UnsignedInt63 = 1
    permit: UnsignedInt63 = 0  # ms that its permits last (hold)
    replaces: UnsignedInt63 = 0  # the member's start in the table; 0: none


class ExpirePermit(Record, tag="rules.lapse", frozen=True):
    """Expire a member's permits: give no more for that start (`hold` only)."""

    member: Name
    start: UnsignedInt63


class ConfirmExpiry(Record, tag="rules.witness", frozen=True):
    """Confirm an expiry: by another member's clock, all permits given before an ExpirePermit have expired."""

    member: Name
    expiry_index: UnsignedInt63  # index of the ExpirePermit
    confirmed_by: Name


class Forget(Record, tag="rules.forget", frozen=True):
    """Remove a member; switched_off: the operator confirms that it is permanently off."""

    member: Name
    switched_off: bool = False


Body = (
    Propose
    | Verdict
    | Close
    | Closed
    | Reports
    | Activate
    | Abort
    | Withdraw
    | Begin
    | ExpirePermit
    | ConfirmExpiry
    | Forget
)


# names of the commands in log events
COMMAND_NAMES: dict[type[Body], str] = {
    Propose: "propose",
    Verdict: "verdict",
    Close: "close",
    Closed: "closed",
    Reports: "words",
    Activate: "activate",
    Abort: "abort",
    Withdraw: "withdraw",
    Begin: "begin",
    ExpirePermit: "lapse",
    ConfirmExpiry: "witness",
    Forget: "forget",
}


# Stored records


class RecordedVerdict(Record, frozen=True):
    """A member's verdict as stored with the version."""

    start: UnsignedInt63
    accepted: bool
    reason: Text = ""


class Version(Record, frozen=True):
    """A version with its verdicts and outcome."""

    number: UnsignedInt63
    parent: UnsignedInt63
    digest: Name
    text: Bundled
    author: Name
    created_ms: UnsignedInt63
    reason: Text
    phase: Phase
    index: UnsignedInt63  # of its proposal
    phase_index: UnsignedInt63  # index of the entry that set its phase
    federated: bool = False
    min_build: UnsignedInt63 = 1
    verdicts: dict[str, RecordedVerdict] = {}  # noqa: RUF012 -- msgspec copies it; by member
    outcome: Text = ""  # why it was rejected, aborted or withdrawn, and by whom
    federation_index: UnsignedInt63 = 0


class Member(Record, frozen=True):
    """A member in its present start."""

    start: UnsignedInt63
    partition_mode: PartitionMode
    build: UnsignedInt63 = 1
    permit: UnsignedInt63 = 0  # ms
    begin_index: UnsignedInt63 = 0  # index of its Begin
    closed_for: UnsignedInt63 = 0  # number of the version that it has closed for in this start; 0: none
    expiry_index: UnsignedInt63 = 0  # index of its ExpirePermit; 0: none
    confirmed_by: tuple[str, ...] = ()
    expiry_confirmed: bool = False  # all permits given before that entry have expired
    leaving: bool = False  # removed once its expiry is confirmed


class Facts(Record, frozen=True):
    """Facts that concern all versions."""

    last_number: UnsignedInt63 = 0  # highest number assigned so far
    active_number: UnsignedInt63 = 0  # number of the version in force; 0: none yet


FACTS_KEY = "now"  # the only key of the table of facts


def digest(text: bytes) -> str:
    """Return the digest of a bundle's text as proposed, byte for byte: 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(text)
