"""Pending calls at a member: proposals until their entries are applied, and reads until an index is applied.

Not thread-safe.
"""

from __future__ import annotations

from tealwing.replica.commands import CommandResult
from tealwing.replica.forwarding.protocol import Pending
from tealwing.replica.messages import Entry


class PendingProposals:
    """Pending proposals and reads of one member; confined to its thread."""

    def __init__(self) -> None:
        self._proposed: dict[int, Pending] = {}  # by index of the entry
        self._at_index: list[tuple[int, Pending]] = []  # reads that wait for an applied index

    def __len__(self) -> int:
        return len(self._proposed)

    def add(self, index: int, term: int, pending: Pending) -> None:
        """Register a proposal by the index and term of its entry."""
        pending.term = term
        if (older := self._proposed.pop(index, None)) is not None:
            older.set(None)
        self._proposed[index] = pending

    def entry_applied(self, entry: Entry, result: CommandResult | None) -> None:
        """Complete the proposal of an applied entry."""
        pending = self._proposed.pop(entry.index, None)
        if pending is not None:
            # another term: the proposed entry was overwritten, so its outcome is unknown at this member
            pending.set(
                (result or CommandResult(True, entry.index), entry.index) if pending.term == entry.term else None
            )

    def wait_for_index(self, index: int, pending: Pending) -> None:
        """Register a read that waits until an index is applied."""
        self._at_index.append((index, pending))

    def index_reached(self, applied: int) -> None:
        """Complete the reads that wait for an index up to the applied index."""
        waiting, self._at_index = self._at_index, []
        for index, pending in waiting:
            if applied >= index:
                pending.set(index)
            else:
                self._at_index.append((index, pending))

    def fail_all(self) -> None:
        """Fail all pending proposals, because the member stops or goes out of service."""
        for pending in self._proposed.values():
            pending.set(None)
        self._proposed.clear()
