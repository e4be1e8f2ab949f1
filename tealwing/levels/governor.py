"""Stands before the decision module: reads signals off what passes, and tells the module of its service level.

It has the module's own `handle`, so that the gateway on sockets, the simulator's adapter and the laboratory use it
alike. It changes no event and no action; the module alone admits and refuses.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealwing import interface as api
from tealwing.levels import controller, measures
from tealwing.levels.plan import FULL, Plan, seen
from tealwing.levels.signals import Signals
from tealwing.policy import Gateway

MOST_CHANGES = 99  # of the past that are kept beside the last
TOKEN = 2  # of the governor's timer: the module's own are 0 or odd

Told = Callable[[str, dict[str, Any]], None]  # an event's name and fields, for the log


class Governor:
    """One gateway's decisions under a plan of levels."""

    def __init__(self, settings: api.Settings, gateway: Gateway, plan: Plan, told: Told | None = None) -> None:
        self.settings, self.gateway, self.plan = settings, gateway, plan
        self._told = told
        self.signals = Signals(settings, plan.window, plan.every)
        self.state = controller.begin(plan.terms)
        self._measures = plan.measures(settings)
        self._full = measures.full(len(settings.classes), len(settings.tenants) or 1)
        self._shares = self._full.floor
        self._begun, self._at, self._in_force = False, 0.0, False
        self.changes: list[controller.Change] = []  # the last few, for whoever asks
        self.read: dict[str, float] = {}  # the signals of the last look

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """The module's actions on one event, and the governor's timer."""
        match event:
            case api.TimerFired(token=token) if token == TOKEN:
                return self._look(now)
            case api.HostLoad():
                self.signals.host(event)
                return []
            case api.Request():
                self.signals.came(now, event, self.gateway.flows[event.cls].goal())
            case api.AttemptOutcome():
                self.signals.outcome(now, event)
            case api.ClientGone():
                self.signals.gave_up(now, event.id)
        actions = self.gateway.handle(now, event)
        for action in actions:
            if isinstance(action, api.Reject):
                self.signals.refused(now, action.id, action.is_load_shedding)
            elif isinstance(action, api.Fail):
                self.signals.gave_up(now, action.id)
        if not self._begun:
            self._begun, self._at = True, now
            actions.append(api.SetTimer(self.plan.every, TOKEN))
        return actions

    def end(self, now: float) -> Gateway:
        """The module alone, at full service at once: the operators have switched the levels off."""
        if self._in_force:
            whole = tuple((chance,) for chance in self._full.floor)
            self.gateway.handle(now, api.ServiceLevel(0, FULL, whole, self._full.attempts, (0.0, 0.0)))
        return self.gateway

    def adopt(self, plan: Plan, now: float) -> None:
        """Take a new plan in whole; a level in force that it lacks gives way. PlanError leaves the old one."""
        new = plan.measures(self.settings)
        self.state, change = controller.adopt(self.plan.terms, self.state, plan.terms)
        before, self.plan, self._measures = self.plan, plan, new
        if (before.window, before.every) != (plan.window, plan.every):
            self.signals.resize(plan.window, plan.every)
        if change is not None:
            names = before.names
            self._say(change, {"from": names[change.from_level], "to": self.name, "why": change.why})
        self._tell(now)

    def _look(self, now: float) -> list[api.Action]:
        """Read the signals, step the controller, move the shares, and tell the module where something holds."""
        seconds, self._at = max(now - self._at, 0.0), now
        self.read = signals = self.signals.read(now, self.gateway)
        fired = self.plan.fired(signals)
        self.state, change = controller.step(self.plan.terms, self.state, now, seen(fired))
        if change is not None:
            self._say(change, self.plan.told(change, fired, signals))
        measure, pressed = self._measure(), False
        if self.state.level:
            enter, strong, _ = fired[self.state.level - 1]
            pressed = enter is not None or strong is not None
        if change is not None and change.to_level > change.from_level:
            self._shares = measures.entered(self._shares, measure)
        else:
            cold = signals.get("fleet.cold", 0.0)
            self._shares = measures.moved(self._shares, measure, self.plan.pace, seconds, pressed, cold)
        self._tell(now)
        return [api.SetTimer(self.plan.every, TOKEN)]

    def _measure(self) -> measures.Measure:
        return self._measures[self.state.level - 1] if self.state.level else self._full

    def _tell(self, now: float) -> None:
        """The module hears of a level while one holds or is eased, and once more at its end."""
        holds = self.state.level > 0 or measures.easing(self._shares)
        if holds or self._in_force:
            beyond = self.signals.beyond()  # of no account where the platform tells no shares
            event = measures.event(
                self.state.level,
                self.name,
                self._shares,
                self._measure(),
                self.signals.arrivals(),
                [beyond.get(name, 0.0) for name in self.settings.tenants] or [0.0],
            )
            self.gateway.handle(now, event)
        self._in_force = holds

    @property
    def name(self) -> str:
        """The name of the level in force."""
        return self.plan.levels[self.state.level - 1].terms.name if self.state.level else FULL

    @property
    def shares(self) -> dict[str, float]:
        """The share of each class that is admitted now."""
        return {cls.name: share for cls, share in zip(self.settings.classes, self._shares, strict=True)}

    def _say(self, change: controller.Change, fields: dict[str, Any]) -> None:
        self.changes = [*self.changes[-MOST_CHANGES:], change]
        if self._told is not None:
            self._told("service_level", fields)
