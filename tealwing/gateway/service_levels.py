"""Wraps the decision module in the service-level governor, and collects the module's evidence for gossip.

The packages of service levels and gossip are imported only if they are on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tealwing import interface as api
from tealwing.gateway.module_versions import Module, WrapModule
from tealwing.gateway.module_versions import innermost_module as innermost_module
from tealwing.policy import Gateway

if TYPE_CHECKING:  # at run time, imported only if the operators' file enables it
    from tealwing.gossip.local_evidence import Evidence
    from tealwing.levels.plan import Plan

ChangeModule = Callable[[Module, float], Module]
LogLevelChange = Callable[[str, dict[str, Any]], None]


def fleet_evidence(change: Callable[[ChangeModule], None]) -> Evidence:
    """Return the decision module's observations of its engines, and the number of ready engines.

    `change` is `Decisions.change_module`.
    """
    from tealwing.gossip import local_evidence

    found: list[Evidence] = []

    def observe(module: Module, _: float) -> Module:
        gateway = innermost_module(module)
        assert gateway is not None
        found.append((local_evidence.observe_engines(gateway), len(gateway.ready)))
        return module

    change(observe)
    return found[0]


def level_wrapper(settings: api.Settings, plan: Plan, log_change: LogLevelChange) -> WrapModule:
    """Return a function that wraps a new module of the settings in a governor with the plan's levels."""
    from tealwing.levels.governor import Governor

    return lambda gateway: Governor(settings, gateway, plan, log_change)


def level_changer(settings: api.Settings, plan: Plan | None, log_change: LogLevelChange) -> ChangeModule:
    """Return a function that starts, changes or ends levels on a running module; the same plan changes nothing."""
    from tealwing.levels.governor import Governor

    def change(module: Module, now: float) -> Module:
        if plan is None:
            return module.end(now) if isinstance(module, Governor) else module
        if isinstance(module, Governor):
            if module.plan is not plan:
                module.adopt(plan, now)
            return module
        assert isinstance(module, Gateway)
        return Governor(settings, module, plan, log_change)

    return change
