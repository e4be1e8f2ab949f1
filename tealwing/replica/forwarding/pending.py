"""What waits at a member: proposals for their entry, and calls for an index. Its thread's own."""

from __future__ import annotations

from tealwing.replica.commands import CommandResult
from tealwing.replica.forwarding.protocol import Pending
from tealwing.replica.messages import Entry


class PendingProposals:
    """The pending outcomes of one member."""

    def __init__(self) -> None:
        self._proposed: dict[int, Pending] = {}  # by index
        self._at_index: list[tuple[int, Pending]] = []  # reads that wait for the state to be there

    def __len__(self) -> int:
        return len(self._proposed)

    def add(self, index: int, term: int, pending: Pending) -> None:
        """It waits for the entry at an index, and only if that is of this term."""
        pending.term = term
        if (older := self._proposed.pop(index, None)) is not None:
            older.set(None)
        self._proposed[index] = pending

    def entry_applied(self, entry: Entry, result: CommandResult | None) -> None:
        """An entry is applied."""
        pending = self._proposed.pop(entry.index, None)
        if pending is not None:
            # another's entry at the index of ours: ours is lost, or was cut and may be proposed again
            pending.set(
                (result or CommandResult(True, entry.index), entry.index) if pending.term == entry.term else None
            )

    def wait_for_index(self, index: int, pending: Pending) -> None:
        """It waits for the state to be at an index."""
        self._at_index.append((index, pending))

    def index_reached(self, applied: int) -> None:
        """The state is at an index."""
        waiting, self._at_index = self._at_index, []
        for index, pending in waiting:
            if applied >= index:
                pending.set(index)
            else:
                self._at_index.append((index, pending))

    def fail_all(self) -> None:
        """We take part no more."""
        for pending in self._proposed.values():
            pending.set(None)
        self._proposed.clear()
