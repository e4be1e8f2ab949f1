"""Calls of the event loop to the Raft core for membership changes."""

from __future__ import annotations

from tealwing.replica.raft import Raft


def change(core: Raft, now: float, voters: list[str], learners: list[str] | None) -> tuple[int, int]:
    """Propose a membership change and return index and term of its entry; `learners` None leaves them unchanged.

    Raises raft.NotLeaderError, raft.BusyError, or ValueError if the change is not allowed.
    """
    return core.change_members(now, tuple(sorted(voters)), None if learners is None else tuple(sorted(learners)))


def promotable_learners(core: Raft, now: float) -> list[str]:
    """Return the learners that may be promoted now; empty on a member that does not lead."""
    return [name for name in core.learners if not core.promotion_blocked_by(now, name)]
