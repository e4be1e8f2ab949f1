"""What is said and kept of versions of the rules in the replicated log; pure.

A version is one immutable bundle under a number. Commands change its phase; the registry applies them.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

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
    """A new version with that parent; number 0 takes the next one, else the federation's."""

    parent: UnsignedInt63
    digest: Name  # of the text: bundle.digest
    text: Bundled
    author: Name
    created_ms: UnsignedInt63  # ms of the Unix clock at the proposer; nothing is decided by it
    reason: Text = ""
    number: UnsignedInt63 = 0
    federated: bool = False  # decided in the federation's log, not here
    min_build: UnsignedInt63 = 1  # the least build that can put it in force


class Verdict(Record, tag="rules.verdict", frozen=True):
    """A member's word on a proposed version, as checked in that start of it."""

    number: UnsignedInt63
    member: Name
    start: UnsignedInt63
    accepted: bool
    reason: Text = ""


class Close(Record, tag="rules.close", frozen=True):
    """Every member stops deciding what the change touches as it applies this."""

    number: UnsignedInt63


class Closed(Record, tag="rules.closed", frozen=True):
    """A member has closed in that start of it, and its disk says so."""

    number: UnsignedInt63
    member: Name
    start: UnsignedInt63


class Reports(Record, tag="rules.words", frozen=True):
    """What several members say, written as one entry by the leader that heard them; applied one after the other."""

    reports: Annotated[tuple[Verdict | Closed, ...], msgspec.Meta(max_length=256)]


class Activate(Record, tag="rules.activate", frozen=True):
    """The version is in force; refused where it is not covered."""

    number: UnsignedInt63
    federation_index: UnsignedInt63 = 0  # of a federated version: the index in the federation's log


class Abort(Record, tag="rules.abort", frozen=True):
    """The version will never be in force."""

    number: UnsignedInt63
    reason: Text = ""
    federation_index: UnsignedInt63 = 0


class Withdraw(Record, tag="rules.withdraw", frozen=True):
    """Its proposer, or another operator, takes it back before anyone closes for it."""

    number: UnsignedInt63
    author: Name
    reason: Text = ""


class Begin(Record, tag="rules.begin", frozen=True):
    """A member's present start; the member is in the table from here on.

    One that comes late, sent by a process that is no more, must not take the place of the start that decides now: it
    names the one that it replaces.
    """

    member: Name
    start: UnsignedInt63
    partition_mode: PartitionMode
    build: UnsignedInt63 = 1
    permit: UnsignedInt63 = 0  # ms that a permit of it lasts (hold)
    replaces: UnsignedInt63 = 0  # the start that the table has; 0: the member is not in it


class ExpirePermit(Record, tag="rules.lapse", frozen=True):
    """No permit of that start is given any more (hold only)."""

    member: Name
    start: UnsignedInt63


class ConfirmExpiry(Record, tag="rules.witness", frozen=True):
    """By its own clock, a member has waited until a permit given before that lapse must be over."""

    member: Name
    expiry_index: UnsignedInt63  # index of the lapse
    confirmed_by: Name


class Forget(Record, tag="rules.forget", frozen=True):
    """An operator takes a member out; off: they vouch that it is switched off for good."""

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
}  # as log events name a command


# What is kept


class RecordedVerdict(Record, frozen=True):
    """A member's verdict."""

    start: UnsignedInt63
    accepted: bool
    reason: Text = ""


class Version(Record, frozen=True):
    """One version, and all that was said of it."""

    number: UnsignedInt63
    parent: UnsignedInt63
    digest: Name
    text: Bundled
    author: Name
    created_ms: UnsignedInt63
    reason: Text
    phase: Phase
    index: UnsignedInt63  # of its proposal
    phase_index: UnsignedInt63  # index of the entry that gave it its phase
    federated: bool = False
    min_build: UnsignedInt63 = 1
    verdicts: dict[str, RecordedVerdict] = {}  # by member
    outcome: Text = ""  # why it was rejected, aborted or withdrawn, and by whom
    federation_index: UnsignedInt63 = 0


class Member(Record, frozen=True):
    """One member in its present start."""

    start: UnsignedInt63
    partition_mode: PartitionMode
    build: UnsignedInt63 = 1
    permit: UnsignedInt63 = 0  # ms
    begin_index: UnsignedInt63 = 0  # index of its Begin
    closed_for: UnsignedInt63 = 0  # number of the version that it has closed for, in this start
    expiry_index: UnsignedInt63 = 0  # index of its Lapse; 0: none
    confirmed_by: tuple[str, ...] = ()
    expiry_confirmed: bool = False  # every permit given before the lapse is over
    leaving: bool = False  # it is forgotten once that is so


class Facts(Record, frozen=True):
    """What holds of all versions."""

    last_number: UnsignedInt63 = 0  # number given last
    active_number: UnsignedInt63 = 0  # number of the version in force; 0: none yet


FACTS_KEY = "now"  # the one key of the table of facts
