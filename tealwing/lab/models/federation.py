"""The model of a federation: three sites of one gateway, each with a log of its own, and the federation's log.

Every gateway leads its site's log, so that it is the site's delegate too; what it proposes may be applied late, again
or never, in either log. A site's log and its gateway go together, as nobody else applies it. The rest is as in the
model of one site: what must hold is asked of the gates of all gateways of all sites.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from tealwing.federation.site_delegate import required_proposals
from tealwing.lab.models.rollout import Rollout
from tealwing.lab.models.rollout_parts import Budget, Log, World, empty, propose
from tealwing.rules import records as r

TOP = "federation"


class Federation(Rollout):
    """The model: a gateway a speaks for site A, and so on."""

    top = TOP

    def logs_of(self, name: str) -> dict[str, str]:
        """Its site's log, and the federation's, where it speaks as its site."""
        return {name.upper(): name, TOP: name.upper()}

    def _logs(self) -> dict[str, Log]:
        logs = [name.upper() for name in self._names]
        return {log: Log((empty(),), (None,)) for log in (*logs, TOP)}

    def _set_up(self, world: World) -> World:
        world = self.flow(world, lambda body: isinstance(body, r.Begin))
        for name in self._names:
            for log in self.logs_of(name):
                world = self.read(world, name, log)
        world = self.apply(world, TOP, propose(0))
        return self.flow(world, lambda body: isinstance(body, r.Propose | r.Verdict))

    def apply(self, world: World, log: str, body: r.Body) -> World:
        """An entry is applied to a state; the gateway of a site's log comes to it at once."""
        after = super().apply(world, log, body)
        if after is world or log == TOP:
            return after
        return self.catch_up(after, log.lower(), log, len(after.logs[log].states) - 1)

    def _told(self, world: World, name: str) -> frozenset[tuple[str, r.Body]]:
        node, site = world.nodes[name], name.upper()
        here, there = world.logs[site].states[node.at[site]], world.logs[TOP].states[node.at[TOP]]
        ours, theirs = required_proposals(site, here, there, node.at[TOP])
        return frozenset([*((site, body) for body in ours), *((TOP, body) for body in theirs)])


def closing(*sites: str, lapse: str = "") -> Callable[[Rollout, World], World]:
    """Where the federation closes, those sites have said that they have, and one has lapsed unless it is empty.

    Gateways of sites that are not named have applied nothing of it.
    """

    def begin(model: Rollout, world: World) -> World:
        world = model.apply(world, TOP, r.Close(1))
        for name in sites:
            world = model.catch_up(world, name, TOP, len(world.logs[TOP].states) - 1)
        for kinds in (r.Close, r.Closed):
            for log, body in sorted(world.requests, key=repr):
                if isinstance(body, kinds) and log.lower() in sites:
                    world = model.apply(world, log, body)
        for log, body in sorted(world.requests, key=repr):
            if isinstance(body, r.Closed) and log == TOP:
                world = model.apply(world, log, body)
        if lapse:
            world = model.apply(world, TOP, r.ExpirePermit(lapse, 1))
        return world

    return begin


def site_early() -> Federation:
    """A site's gateway that switches when its site is agreed: where one is, and the others have not closed."""
    return Federation("sss", replace(Budget(), times=0, crashes=0, lapses=0, reads=0), "site-early")
