"""Quorums: more than half, and as many more as may have forgotten."""

from __future__ import annotations

from collections.abc import Iterable

from tealwing.replica.raft.log import Log
from tealwing.replica.raft.records import Progress, Role


class Quorums(Log):
    """Who counts: voters only. A learner is in no quorum, whatever it has or says."""

    def _voting(self) -> list[tuple[str, Progress]]:
        """The followers that vote, as their leader knows them."""
        return [(name, self.progress[name]) for name in self.members if name in self.progress]

    def enough(self, names: Iterable[str]) -> bool:
        """Whether these are a quorum: more than half, and as many more as may have forgotten (see the module)."""
        there = {name for name in names if name in self.members}
        spare = min(self.options.stale, (len(self.members) - 1) // 2)
        doubtful = sum(1 for name in there if self._is_unsure(name))
        return len(there) >= len(self.members) // 2 + 1 + min(spare, doubtful)

    def _is_unsure(self, name: str) -> bool:
        if name == self.me:
            return self.unsure
        if self.role is Role.LEADER:
            known = self.progress.get(name)
            return known is not None and known.unsure
        return name in self.votes and self.votes[name][2]
