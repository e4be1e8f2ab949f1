"""States of a rollout that are too many steps from the initial state, where explorations start instead."""

from __future__ import annotations

from tealwing.lab.models.rollout import Rollout
from tealwing.lab.models.rollout_parts import LOG, PERMIT, World
from tealwing.rules import records as r


def nearly_closed(model: Rollout, world: World) -> World:
    """Start where all members but the first have closed and the first has not applied the Close."""
    world = model.apply(world, LOG, r.Close(1))
    for name in list(world.nodes)[1:]:
        world = model.catch_up(world, name, LOG, len(world.logs[LOG].states) - 1)
    for log, body in sorted(world.requests, key=repr):
        if isinstance(body, r.Closed):
            world = model.apply(world, log, body)
    return world


def lapsed(model: Rollout, world: World) -> World:
    """Start from `nearly_closed`, where the first member's permit was expired and all others have applied that."""
    world = model.apply(nearly_closed(model, world), LOG, r.ExpirePermit(next(iter(world.nodes)), 1))
    for name in list(world.nodes)[1:]:
        world = model.catch_up(world, name, LOG, len(world.logs[LOG].states) - 1)
    return world


def lapsed_for_good(model: Rollout, world: World) -> World:
    """Start from `lapsed`: two others have waited for the expiry and confirmed it; one of them has a new permit."""
    world = model.advance_time(model.advance_time(lapsed(model, world)))
    name, *others = world.nodes
    lapse = len(world.logs[LOG].states) - 1
    for other in others:
        world = model.apply(world, LOG, r.ConfirmExpiry(name, lapse, other))
    return model.read(world, others[0], LOG)


def begun_twice(model: Rollout, world: World) -> World:
    """Start where the first member restarted, then restarted empty with its old start number, and the others closed.

    The first member decides requests.
    """
    name = next(iter(world.nodes))
    last = world.nodes[name].at
    world = model.crash(world, name, last)
    world = model.crash(world, name, dict.fromkeys(last, 0), empty=1)
    world = model.read(model.catch_up(world, name, LOG, last[LOG]), name, LOG)
    return nearly_closed(model, world)


def once_held(model: Rollout, world: World) -> World:
    """Start where the first member went from serve to hold, its permit expired and a version came into force since."""
    name, *others = world.nodes
    world = model.crash(world, name, world.nodes[name].at, flips=1)
    world = model.apply(world, LOG, r.Begin(name, 2, "hold", 1, round(PERMIT * 1e3), 1))
    for other in others:
        world = model.apply(world, LOG, r.Verdict(1, other, 1, True))
    world = model.apply(world, LOG, r.Verdict(1, name, 2, True))
    world = model.apply(nearly_closed(model, world), LOG, r.ExpirePermit(name, 2))
    lapse = len(world.logs[LOG].states) - 1
    for other in others:
        world = model.apply(world, LOG, r.ConfirmExpiry(name, lapse, other))
    return model.apply(world, LOG, r.Activate(1))


def made(model: Rollout, world: World) -> World:
    """Start where a version came into force and the second member has applied that."""
    world = model.apply_until_stable(model.apply(world, LOG, r.Close(1)), lambda body: isinstance(body, r.Closed))
    second = list(world.nodes)[1]
    return model.catch_up(model.apply(world, LOG, r.Activate(1)), second, LOG, len(world.logs[LOG].states))
