"""What the shell asks of the core about voters and learners, in one place."""

from __future__ import annotations

from typing import Any

from tealwing.replica.messages import Kind, members_of
from tealwing.replica.raft import Raft, Role


def learners(core: Raft) -> tuple[str, ...]:
    """Who follows without a vote."""
    return tuple(getattr(core, "learners", ()))


def members_at(core: Raft, index: int) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Voters and learners as of an index that is applied."""
    known: Any = getattr(core, "members_at", None)
    if known is not None:
        voters, learning = known(index)
        return voters, learning
    for entry in reversed(core.entries(core.base[0] + 1, index)):
        if entry.kind is Kind.MEMBERS:
            return members_of(entry), ()
    return core.snapshot.members or core.first_members, ()


def change(core: Raft, now: float, voters: list[str], learners: list[str] | None) -> tuple[int, int]:
    """Have the core propose other members; learners None: as they are. NotLeader, Busy, or ValueError."""
    ask: Any = core.change_members
    names = tuple(sorted(voters))
    found: tuple[int, int] = ask(now, names) if learners is None else ask(now, names, tuple(sorted(learners)))
    return found


def hurry(core: Raft, now: float) -> None:
    """Have a leader say at once how far all is committed, not with its next beat."""
    if core.role is Role.LEADER:
        getattr(core, "hurry", core._begin_round)(now)


def ready(core: Raft, now: float) -> list[str]:
    """The learners that could vote now, as their leader knows."""
    waits: Any = getattr(core, "promotion_waits", None)
    return [name for name in learners(core) if waits is not None and not waits(now, name)]
