"""The typed events that a node reports to its owner; each has its own log event name and fields."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from tealwing.gossip.members import Member
from tealwing.gossip.messages import Address


class MemberChange(StrEnum):
    """How a member's state changed at this instance; the value is the log event's name."""

    JOINED = "gossip_joined"
    SUSPECTED = "gossip_suspected"
    REFUTED = "gossip_refuted"
    DEAD = "gossip_dead"
    LEFT = "gossip_left"


@dataclass(frozen=True, slots=True)
class MemberEvent:
    """A change of one member's state."""

    change: MemberChange
    name: str
    address: Address
    boot: int
    incarnation: int

    @classmethod
    def of(cls, change: MemberChange, member: Member) -> MemberEvent:
        """Return the event of a member's change."""
        boot, incarnation = member.version
        return cls(change, member.alive.name, member.address, boot, incarnation)

    @property
    def log_name(self) -> str:
        """The event's name in the log."""
        return self.change.value

    @property
    def log_fields(self) -> dict[str, Any]:
        """The event's fields in the log."""
        return {
            "member": self.name, "address": self.address, "boot": self.boot, "incarnation": self.incarnation,
        }  # fmt: skip


@dataclass(frozen=True, slots=True)
class NameConflict:
    """Another instance of the same name started later; this one sends nothing more."""

    name: str
    boot: int
    later: int  # boot of the other instance

    @property
    def log_name(self) -> str:
        """The event's name in the log."""
        return "gossip_name_conflict"

    @property
    def log_fields(self) -> dict[str, Any]:
        """The event's fields in the log."""
        return {"name": self.name, "boot": self.boot, "later": self.later}


GossipEvent = MemberEvent | NameConflict
