"""States of the replicated log too many steps from the initial one, where explorations start, and step weights."""

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


def likely(step: str) -> float:
    """Weigh a step of a random walk, so that messages are delivered more often than faults occur."""
    return next((weight for part, weight in LIKELY if part in step), 1.0)


def message_between(world: World, source: str, target: str, kind: type) -> Message:
    """Return the newest message of a type in flight from one member to another."""
    found = [m for s, t, m in world.network if (s, t) == (source, target) and isinstance(m, kind)]
    return max(found, key=lambda m: (m.term, repr(m)))


def elect(model: Consensus, world: World, name: str, voter: str) -> World:
    """Restart a member, have it start elections until its term is the newest, and give it the vote of `voter`."""
    world = model.crash(world, name, -1)
    while world.members[name].term <= world.members[voter].term or world.members[name].role is Role.FOLLOWER:
        world = model.stand_for_election(world, name)
    world = model.deliver(world, name, voter, message_between(world, name, voter, RequestVote), False)
    return model.deliver(world, voter, name, message_between(world, voter, name, RequestVoteReply), False)


def figure_eight(model: Consensus, world: World) -> World:
    """Start from figure 8 (a) and (b) of the Raft paper with three members, where a leads again.

    a led term 1 and then c led a later term; each has an entry that no other member has. b has elected a again.
    """
    budget = world.budget
    world.budget = replace(budget, timeouts=20, crashes=20)
    for name in "aca":
        world = elect(model, world, name, "b")
        in_flight = world.network if world.members["a"].term > 2 else frozenset()
        world.network = frozenset(m for m in in_flight if m[:2] == ("a", "b") and isinstance(m[2], AppendEntries))
    world.budget = budget
    return world


def led(model: Consensus, world: World) -> World:
    """Start where a leads term 1 by the vote of b, and the learners have its first entry, which is committed."""
    a, voters = "a", [name for name in world.members if name in world.members["a"].members]
    budget = world.budget
    world.budget = replace(budget, timeouts=1)
    world = model.stand_for_election(world, a)
    world = model.deliver(world, a, "b", message_between(world, a, "b", RequestVote), False)
    world = model.deliver(world, "b", a, message_between(world, "b", a, RequestVoteReply), False)
    for name in [name for name in world.members if name == "b" or name not in voters]:
        world = model.deliver(world, a, name, message_between(world, a, name, AppendEntries), False)
        world = model.deliver(world, name, a, message_between(world, name, a, AppendEntriesReply), False)
    world.budget, world.network = budget, frozenset()
    return world


def forgotten(model: Consensus, world: World) -> World:
    """Start where a leads term 1 of five members, e has b's vote in term 2, and b restarted and forgot that vote.

    Only e's requests to the others are in flight; e does not know that b restarted.
    """
    budget = world.budget
    world.budget = replace(budget, timeouts=9, beats=9, old=9)

    def deliver_newest(after: World, source: str, target: str, kind: type) -> World:
        return model.deliver(after, source, target, message_between(after, source, target, kind), False)

    world = model.stand_for_election(world, "a")
    for name in "bc":
        world = deliver_newest(deliver_newest(world, "a", name, RequestVote), name, "a", RequestVoteReply)
    if world.members["a"].role is not Role.LEADER:
        for name in "bc":
            world = deliver_newest(deliver_newest(world, "a", name, ConfirmVote), name, "a", VoteConfirmation)
    for name in "bcde":
        world = deliver_newest(deliver_newest(world, "a", name, AppendEntries), name, "a", AppendEntriesReply)
    world.network = frozenset()
    world = model.stand_for_election(world, "e")
    world = deliver_newest(deliver_newest(world, "e", "b", RequestVote), "b", "e", RequestVoteReply)
    requests = frozenset(m for m in world.network if m[0] == "e")
    world = model.crash(world, "b", -2)
    world.budget, world.network = budget, requests | world.network
    return world


def confirmed(model: Consensus, world: World) -> World:
    """Start from `forgotten`: a knows b's new incarnation, c and d have answered a round since, and b is confirmed."""
    world = forgotten(model, world)
    budget = world.budget
    world.budget = replace(budget, beats=9)
    for names in ("b", "cdb"):
        world = model.start_round(world, "a")
        for name in names:
            for source, target, kind in (("a", name, AppendEntries), (name, "a", AppendEntriesReply)):
                world = model.deliver(world, source, target, message_between(world, source, target, kind), False)
    world = model.deliver(world, "a", "b", message_between(world, "a", "b", ConfirmIncarnation), False)
    world.budget, world.network = budget, frozenset(m for m in world.network if m[0] == "e")
    return world
