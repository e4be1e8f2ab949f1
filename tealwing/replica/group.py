"""Raft groups: one process may be a member of two groups over the same peer link, each with its own channels."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.peers.plan import Plan as PeersPlan
from tealwing.replica import messages


@dataclass(frozen=True, slots=True)
class Group:
    """A Raft group: its name, its channels on the peer link, and its initial members."""

    name: str
    channel: int  # for Raft messages
    forward_channel: int  # for requests to the leader and its replies
    members: tuple[str, ...] | None = None  # initial voters; None: all members of the link's plan except its learners
    learners: tuple[str, ...] = ()  # initial learners; if empty and members is None, those of the link's plan

    def initial_members(self, peers: PeersPlan) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the sorted voters and learners that apply while the log has no configuration entry."""
        learners = set(self.learners) or (set(peers.learners) if self.members is None else set())
        names = {name for name, _ in peers.members} if self.members is None else set(self.members)
        return tuple(sorted(names - learners)), tuple(sorted(learners))

    @property
    def log_fields(self) -> dict[str, str]:
        """Additional fields of log events: the group's name; empty for the site group."""
        return {} if self.name == SITE.name else {"group": self.name}

    def thread_name(self, name: str) -> str:
        """Return the name for a thread of this group: with the group's name as a suffix, except in the site group."""
        return name if self.name == SITE.name else f"{name}-{self.name}"


SITE = Group("site", messages.CHANNEL, 3)
FEDERATION = Group("federation", 4, 5)
