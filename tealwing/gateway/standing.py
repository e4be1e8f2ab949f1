"""What stands before the module of decisions, and what is seen of the module behind; imports only what is on."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tealwing import interface as api
from tealwing.gateway.versions import Module, Wrap
from tealwing.gateway.versions import behind as behind
from tealwing.policy import Gateway

if TYPE_CHECKING:  # what the operators' file does not switch on is not imported
    from tealwing.gossip.observe import Evidence
    from tealwing.levels.plan import Plan

Change = Callable[[Module, float], Module]
Say = Callable[[str, dict[str, Any]], None]


def evidence(change: Callable[[Change], None]) -> Evidence:
    """What the module shows of its engines, and how many are ready; change is that of the decisions."""
    from tealwing.gossip import observe

    found: list[Evidence] = []

    def look(module: Module, _: float) -> Module:
        gateway = behind(module)
        assert gateway is not None
        found.append((observe.words(gateway), len(gateway.ready)))
        return module

    change(look)
    return found[0]


def wrapper(settings: api.Settings, plan: Plan, say: Say) -> Wrap:
    """What puts the levels of the plan before a new module of the settings."""
    from tealwing.levels.governor import Governor

    return lambda gateway: Governor(settings, gateway, plan, say)


def changer(settings: api.Settings, plan: Plan | None, say: Say) -> Change:
    """What begins, changes or ends levels on a module that runs; the same plan again changes nothing."""
    from tealwing.levels.governor import Governor

    def change(module: Module, now: float) -> Module:
        if plan is None:
            return module.end(now) if isinstance(module, Governor) else module
        if isinstance(module, Governor):
            if module.plan is not plan:
                module.adopt(plan, now)
            return module
        assert isinstance(module, Gateway)
        return Governor(settings, module, plan, say)

    return change
