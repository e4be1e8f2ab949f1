"""Where explorations of a change of rules start that would else be too far away."""

from __future__ import annotations

from tealwing.lab.models.rollout import Rollout
from tealwing.lab.models.rollout_parts import LOG, PERMIT, World
from tealwing.rules import records as r


def nearly_closed(model: Rollout, world: World) -> World:
    """All but the first have closed, and the first has not applied that it should."""
    world = model.apply(world, LOG, r.Close(1))
    for name in list(world.nodes)[1:]:
        world = model.catch_up(world, name, LOG, len(world.logs[LOG].states) - 1)
    for log, body in sorted(world.requests, key=repr):
        if isinstance(body, r.Closed):
            world = model.apply(world, log, body)
    return world


def lapsed(model: Rollout, world: World) -> World:
    """And the first has lapsed, as all others know."""
    world = model.apply(nearly_closed(model, world), LOG, r.ExpirePermit(next(iter(world.nodes)), 1))
    for name in list(world.nodes)[1:]:
        world = model.catch_up(world, name, LOG, len(world.logs[LOG].states) - 1)
    return world


def lapsed_for_good(model: Rollout, world: World) -> World:
    """And that lapse is over, as two others have waited for and say; one of them has a new permit."""
    world = model.passed(model.passed(lapsed(model, world)))
    name, *others = world.nodes
    lapse = len(world.logs[LOG].states) - 1
    for other in others:
        world = model.apply(world, LOG, r.ConfirmExpiry(name, lapse, other))
    return model.read(world, others[0], LOG)


def begun_twice(model: Rollout, world: World) -> World:
    """The first came back, and came back empty under its old start number; it decides, and all others have closed."""
    name = next(iter(world.nodes))
    last = world.nodes[name].at
    world = model.crash(world, name, last)
    world = model.crash(world, name, dict.fromkeys(last, 0), empty=1)
    world = model.read(model.catch_up(world, name, LOG, last[LOG]), name, LOG)
    return nearly_closed(model, world)


def once_held(model: Rollout, world: World) -> World:
    """The first served, holds now, lapsed, and the change was made without it."""
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
    """A change was made, and the second has applied it."""
    world = model.flow(model.apply(world, LOG, r.Close(1)), lambda body: isinstance(body, r.Closed))
    second = list(world.nodes)[1]
    return model.catch_up(model.apply(world, LOG, r.Activate(1)), second, LOG, len(world.logs[LOG].states))
