"""What the shell asks of the core about voters and learners."""

from __future__ import annotations

from tealwing.replica.raft import Raft


def change(core: Raft, now: float, voters: list[str], learners: list[str] | None) -> tuple[int, int]:
    """Have the core propose other members; learners None: as they are. NotLeader, Busy, or ValueError."""
    return core.change_members(now, tuple(sorted(voters)), None if learners is None else tuple(sorted(learners)))


def ready(core: Raft, now: float) -> list[str]:
    """The learners that could vote now, as their leader knows."""
    return [name for name in core.learners if not core.promotion_blocked_by(now, name)]
