"""Which replicated log a member takes part in: a process may take part in two over one link, each by its channels."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.peers.plan import Plan as PeersPlan
from tealwing.replica import messages


@dataclass(frozen=True, slots=True)
class Group:
    """A log by its name, the channels of the link that are its own, and who takes part at first."""

    name: str
    channel: int  # of what members say to one another
    forward_channel: int  # of what followers pass on to the leader
    members: tuple[str, ...] | None = None  # who votes at first; None: all of the link's plan but its learners
    learners: tuple[str, ...] = ()  # who only follows at first; with members None: the link's plan says it

    def initial_members(self, peers: PeersPlan) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Voters and learners of a log that has no word of its own on it yet, each in order."""
        learners = set(self.learners) or (set(peers.learners) if self.members is None else set())
        names = {name for name, _ in peers.members} if self.members is None else set(self.members)
        return tuple(sorted(names - learners)), tuple(sorted(learners))

    @property
    def log_fields(self) -> dict[str, str]:
        """What its log events carry besides: its name, but for the site's, which were there first."""
        return {} if self.name == SITE.name else {"group": self.name}

    def thread_name(self, name: str) -> str:
        """The name of a thread of it."""
        return name if self.name == SITE.name else f"{name}-{self.name}"


SITE = Group("site", messages.CHANNEL, 3)
FEDERATION = Group("federation", 4, 5)
