"""State shared by the parts of a node: identity, clock, members, outgoing messages, counters and events."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from tealwing.gossip.config import Timing
from tealwing.gossip.dissemination import Disseminator
from tealwing.gossip.events import GossipEvent, MemberChange, MemberEvent
from tealwing.gossip.identity import Clock, LocalIdentity
from tealwing.gossip.members import Member, Members

MAX_HEALTH_SCORE = 8  # points (Lifeguard's S)


@dataclass(slots=True)
class Counters:
    """Totals since the node's start."""

    rejected: Counter[str] = field(default_factory=Counter)  # datagrams and rumours by cause
    received: int = 0  # datagrams
    probes: int = 0
    missed: int = 0  # probes without an answer
    refuted: int = 0  # new incarnations published by this instance


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health score: 0 is healthy, and each point lengthens this instance's own timeouts."""

    score: int = 0

    def degrade(self, points: int) -> None:
        """Raise the score after a sign that this instance itself is slow."""
        self.score = min(MAX_HEALTH_SCORE, self.score + points)

    def improve(self) -> None:
        """Lower the score by one."""
        self.score = max(0, self.score - 1)


@dataclass(slots=True)
class NodeContext:
    """The state that the parts of one node share; each part owns its other state."""

    identity: LocalIdentity
    clock: Clock
    timing: Timing
    random: random.Random
    members: Members
    outgoing: Disseminator
    local_health: LocalHealth = field(default_factory=LocalHealth)
    counters: Counters = field(default_factory=Counters)
    events: list[GossipEvent] = field(default_factory=list)

    def report(self, change: MemberChange, member: Member) -> None:
        """Add the event of a member's change to the list that the node's owner reads."""
        self.events.append(MemberEvent.of(change, member))
