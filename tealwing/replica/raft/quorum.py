"""Quorums: a majority, plus a margin for members whose disks may be stale."""

from __future__ import annotations

from collections.abc import Iterable

from tealwing.replica.raft.records import Progress, Role
from tealwing.replica.raft.state import RaftState


class QuorumRules(RaftState):
    """Quorum rules; only voters count, never learners."""

    def _voter_progress(self) -> list[tuple[str, Progress]]:
        """Return name and progress of the followers that are voters."""
        return [(name, self.progress[name]) for name in self.members if name in self.progress]

    def is_quorum(self, names: Iterable[str]) -> bool:
        """Return whether the given members are a quorum.

        A quorum is a majority, plus one member for each unconfirmed member among those given, up to `max_stale_disks`,
        but never more than all members (see the docstring of the package).
        """
        present = {name for name in names if name in self.members}
        max_margin = min(self.options.max_stale_disks, (len(self.members) - 1) // 2)
        unconfirmed = sum(1 for name in present if self._is_unconfirmed(name))
        return len(present) >= len(self.members) // 2 + 1 + min(max_margin, unconfirmed)

    def _is_unconfirmed(self, name: str) -> bool:
        if name == self.local_id:
            return self.unconfirmed
        if self.role is Role.LEADER:
            progress = self.progress.get(name)
            return progress is not None and progress.unconfirmed
        return name in self.votes and self.votes[name][2]
