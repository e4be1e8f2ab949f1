"""The model of a federation: sites of one gateway each, every site with its own log, and the federation's log.

Every gateway leads its site's log and so is also the site's delegate. A command that it proposes may be applied late,
twice or never, in either log. A gateway applies its site's log without delay, as no other member applies that log. The
rest is as in the model of one site; the safety properties cover the gates of all gateways of all sites.
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
    """The model of a federation: gateway `a` is the delegate of site `A`, and so on."""

    top = TOP

    def logs_of(self, name: str) -> dict[str, str]:
        """Return the logs that a gateway applies and its name in each: in the federation's log, its site's."""
        return {name.upper(): name, TOP: name.upper()}

    def _logs(self) -> dict[str, Log]:
        logs = [name.upper() for name in self._names]
        return {log: Log((empty(),), (None,)) for log in (*logs, TOP)}

    def _set_up(self, world: World) -> World:
        world = self.apply_until_stable(world, lambda body: isinstance(body, r.Begin))
        for name in self._names:
            for log in self.logs_of(name):
                world = self.read(world, name, log)
        world = self.apply(world, TOP, propose(0))
        return self.apply_until_stable(world, lambda body: isinstance(body, r.Propose | r.Verdict))

    def apply(self, world: World, log: str, body: r.Body) -> World:
        """Apply an entry to a log; an entry of a site's log is also applied by the site's gateway at once."""
        after = super().apply(world, log, body)
        if after is world or log == TOP:
            return after
        return self.catch_up(after, log.lower(), log, len(after.logs[log].states) - 1)

    def _site_commands(self, world: World, name: str) -> frozenset[tuple[str, r.Body]]:
        node, site = world.nodes[name], name.upper()
        site_state, federation_state = world.logs[site].states[node.at[site]], world.logs[TOP].states[node.at[TOP]]
        site_bodies, federation_bodies = required_proposals(site, site_state, federation_state, node.at[TOP])
        return frozenset([*((site, body) for body in site_bodies), *((TOP, body) for body in federation_bodies)])


def closing(*sites: str, lapse: str = "") -> Callable[[Rollout, World], World]:
    """Start where the federation is closing for a version and `sites` have reported that they closed.

    Gateways of other sites have applied nothing of the closing. If `lapse` names a site, its permit has expired.
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
    """Return the mutated model in which a gateway switches once its own site has agreed, before other sites closed."""
    return Federation("sss", replace(Budget(), times=0, crashes=0, lapses=0, reads=0), "site-early")
