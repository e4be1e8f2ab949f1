"""Quorums: more than half, and as many more as may have forgotten."""

from __future__ import annotations

from collections.abc import Iterable

from tealwing.replica.raft.records import Progress, Role
from tealwing.replica.raft.state import RaftState


class QuorumRules(RaftState):
    """Who counts: voters only. A learner is in no quorum, whatever it has or says."""

    def _voting(self) -> list[tuple[str, Progress]]:
        """The followers that vote, as their leader knows them."""
        return [(name, self.progress[name]) for name in self.members if name in self.progress]

    def is_quorum(self, names: Iterable[str]) -> bool:
        """Whether these are a quorum: more than half, and as many more as may have forgotten (see the module)."""
        there = {name for name in names if name in self.members}
        spare = min(self.options.max_stale_disks, (len(self.members) - 1) // 2)
        unconfirmed = sum(1 for name in there if self._is_unconfirmed(name))
        return len(there) >= len(self.members) // 2 + 1 + min(spare, unconfirmed)

    def _is_unconfirmed(self, name: str) -> bool:
        if name == self.local_id:
            return self.unconfirmed
        if self.role is Role.LEADER:
            known = self.progress.get(name)
            return known is not None and known.unconfirmed
        return name in self.votes and self.votes[name][2]
