"""Where explorations of the replicated log start that would else be too far away, and what walks at random do."""

from __future__ import annotations

from dataclasses import replace

from tealwing.lab.models.consensus import Consensus, World
from tealwing.replica.messages import (
    AppendEntries,
    AppendEntriesReply,
    ConfirmIncarnation,
    ConfirmVote,
    Message,
    RequestVote,
    RequestVoteReply,
    VoteConfirmation,
)
from tealwing.replica.raft import Role

LIKELY = (
    ("crashes", 0.15), ("stands", 0.1), ("will again", 0.1), ("begins a round", 0.3), ("takes a command", 0.4),
    ("motes", 0.3),
)  # fmt: skip


def likely(message: str) -> float:
    """For walks at random: messages come through more often than anything breaks."""
    return next((weight for part, weight in LIKELY if part in message), 1.0)


def message_between(world: World, source: str, target: str, kind: type) -> Message:
    """The newest message of a kind under way between two."""
    found = [m for s, t, m in world.network if (s, t) == (source, target) and isinstance(m, kind)]
    return max(found, key=lambda m: (m.term, repr(m)))


def elect(model: Consensus, world: World, name: str, voter: str) -> World:
    """A member comes back from a crash, stands until its term is new, and gets the vote of another."""
    world = model.crash(world, name, -1)
    while world.members[name].term <= world.members[voter].term or world.members[name].role is Role.FOLLOWER:
        world = model.timeout(world, name)
    world = model.deliver(world, name, voter, message_between(world, name, voter, RequestVote), False)
    return model.deliver(world, voter, name, message_between(world, voter, name, RequestVoteReply), False)


def figure_eight(model: Consensus, world: World) -> World:
    """Raft's figure 8 (a) and (b) with three members, as a leads again.

    a led term 1 and then c a later one, and each has an entry of its own that no other has; a is elected anew by b.
    """
    budget = world.budget
    world.budget = replace(budget, timeouts=20, crashes=20)
    for name in "aca":
        world = elect(model, world, name, "b")
        under_way = world.network if world.members["a"].term > 2 else frozenset()
        world.network = frozenset(m for m in under_way if m[:2] == ("a", "b") and isinstance(m[2], AppendEntries))
    world.budget = budget
    return world


def led(model: Consensus, world: World) -> World:
    """Begin where a leads term 1 by the vote of b, and its first entry is committed and known to learners."""
    a, voters = "a", [name for name in world.members if name in world.members["a"].members]
    budget = world.budget
    world.budget = replace(budget, timeouts=1)
    world = model.timeout(world, a)
    world = model.deliver(world, a, "b", message_between(world, a, "b", RequestVote), False)
    world = model.deliver(world, "b", a, message_between(world, "b", a, RequestVoteReply), False)
    for name in [name for name in world.members if name == "b" or name not in voters]:
        world = model.deliver(world, a, name, message_between(world, a, name, AppendEntries), False)
        world = model.deliver(world, name, a, message_between(world, name, a, AppendEntriesReply), False)
    world.budget, world.network = budget, frozenset()
    return world


def forgotten(model: Consensus, world: World) -> World:
    """Begin where a leads term 1 of five, e stands for term 2 and has the vote of b, and b comes back without it.

    Only what e asks of the others is under way, as long as e has not heard of b's new start.
    """
    budget = world.budget
    world.budget = replace(budget, timeouts=9, beats=9, old=9)

    def passed(after: World, source: str, target: str, kind: type) -> World:
        return model.deliver(after, source, target, message_between(after, source, target, kind), False)

    world = model.timeout(world, "a")
    for name in "bc":
        world = passed(passed(world, "a", name, RequestVote), name, "a", RequestVoteReply)
    if world.members["a"].role is not Role.LEADER:
        for name in "bc":
            world = passed(passed(world, "a", name, ConfirmVote), name, "a", VoteConfirmation)
    for name in "bcde":
        world = passed(passed(world, "a", name, AppendEntries), name, "a", AppendEntriesReply)
    world.network = frozenset()
    world = model.timeout(world, "e")
    world = passed(passed(world, "e", "b", RequestVote), "b", "e", RequestVoteReply)
    asked = frozenset(m for m in world.network if m[0] == "e")
    world = model.crash(world, "b", -2)
    world.budget, world.network = budget, asked | world.network
    return world


def sure(model: Consensus, world: World) -> World:
    """From there: a has heard of b's new start, c and d have answered a round since, and b knows that it is sure."""
    world = forgotten(model, world)
    budget = world.budget
    world.budget = replace(budget, beats=9)
    for names in ("b", "cdb"):
        world = model.beat(world, "a")
        for name in names:
            for source, target, kind in (("a", name, AppendEntries), (name, "a", AppendEntriesReply)):
                world = model.deliver(world, source, target, message_between(world, source, target, kind), False)
    world = model.deliver(world, "a", "b", message_between(world, "a", "b", ConfirmIncarnation), False)
    world.budget, world.network = budget, frozenset(m for m in world.network if m[0] == "e")
    return world
