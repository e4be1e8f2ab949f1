"""Wraps the decision module: derives signals from events and actions, and notifies the module of its service level.

The governor has the same `handle` method as the decision module, so that the gateway, the simulator's adapter and
tealwing.lab can use either. It changes no event and no action; only the module admits and rejects.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealwing import interface as api
from tealwing.levels import admission, controller
from tealwing.levels.plan import FULL_SERVICE, Plan, snapshots
from tealwing.levels.signals import Signals
from tealwing.policy import Gateway

MAX_RECENT_CHANGES = 99  # changes kept in addition to the newest one
TIMER_TOKEN = 2  # of the governor's timer; the decision module's own tokens are 0 or odd

LogEvent = Callable[[str, dict[str, Any]], None]  # an event's name and fields, for the log


class Governor:
    """A gateway's decision module under a plan of levels."""

    def __init__(self, settings: api.Settings, gateway: Gateway, plan: Plan, log_event: LogEvent | None = None) -> None:
        self.settings = settings
        self.gateway = gateway
        self.plan = plan
        self._log_event = log_event
        self.signals = Signals(settings, plan.window, plan.interval)
        self.state = controller.initial_state(plan.timings)
        self._limits_by_level = plan.admission_limits(settings)
        self._full_service = admission.full_service_limits(len(settings.classes), len(settings.tenants) or 1)
        self._shares = self._full_service.floor
        self._is_started = False
        self._evaluated_at = 0.0
        self._is_reduced = False
        self.changes: list[controller.Change] = []  # the most recent ones, for the admin interface
        self.latest_signals: dict[str, float] = {}  # signals of the last evaluation

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Return the module's actions on one event; the first call adds the governor's timer."""
        match event:
            case api.TimerFired(token=token) if token == TIMER_TOKEN:
                return self._evaluate(now)
            case api.HostLoad():
                self.signals.on_host_load(event)
                return []
            case api.Request():
                self.signals.on_request(now, event, self.gateway.class_traffic[event.cls].latency_objective())
            case api.AttemptOutcome():
                self.signals.on_outcome(now, event)
            case api.ClientGone():
                self.signals.on_failure(now, event.id)
        actions = self.gateway.handle(now, event)
        for action in actions:
            if isinstance(action, api.Reject):
                self.signals.on_rejection(now, action.id, action.is_load_shedding)
            elif isinstance(action, api.Fail):
                self.signals.on_failure(now, action.id)
        if not self._is_started:
            self._is_started, self._evaluated_at = True, now
            actions.append(api.SetTimer(self.plan.interval, TIMER_TOKEN))
        return actions

    def end(self, now: float) -> Gateway:
        """Restore full service and return the decision module, for use after the operators switch the levels off."""
        _, change = controller.adopt(self.plan.timings, self.state, ())
        if change is not None:
            self._log_change(change, {"from": self.name, "to": FULL_SERVICE, "why": change.cause})
        if self._is_reduced:
            admitted = tuple((share,) for share in self._full_service.floor)
            self.gateway.handle(
                now, api.ServiceLevel(0, FULL_SERVICE, admitted, self._full_service.max_attempts, (0.0, 0.0))
            )
        return self.gateway

    def adopt(self, plan: Plan, now: float) -> None:
        """Adopt a new plan. If it lacks the level in force, the next lower level replaces that one.

        Raise PlanError, and keep the old plan, if the new one does not fit the settings.
        """
        new_limits = plan.admission_limits(self.settings)
        self.state, change = controller.adopt(self.plan.timings, self.state, plan.timings)
        old_plan, self.plan, self._limits_by_level = self.plan, plan, new_limits
        if (old_plan.window, old_plan.interval) != (plan.window, plan.interval):
            self.signals.resize(plan.window, plan.interval)
        if change is not None:
            names = old_plan.names
            self._log_change(change, {"from": names[change.from_level], "to": self.name, "why": change.cause})
        self._notify_gateway(now)

    def _evaluate(self, now: float) -> list[api.Action]:
        """Sample the signals, step the controller, adjust the admitted shares, and notify the module."""
        seconds, self._evaluated_at = max(now - self._evaluated_at, 0.0), now
        self.latest_signals = signals = self.signals.sample(now, self.gateway)
        matches = self.plan.matches(signals)
        self.state, change = controller.step(self.plan.timings, self.state, now, snapshots(matches))
        if change is not None:
            self._log_change(change, self.plan.log_fields(change, matches, signals))
        limits, overloaded = self._current_limits(), False
        if self.state.level:
            enter, strong, _ = matches[self.state.level - 1]
            overloaded = enter is not None or strong is not None
        if change is not None and change.to_level > change.from_level:
            self._shares = admission.shares_on_entry(self._shares, limits)
        else:
            warming_up_share = signals.get("fleet.cold", 0.0)
            self._shares = admission.adjust_shares(
                self._shares, limits, self.plan.ramp, seconds, overloaded, warming_up_share
            )
        self._notify_gateway(now)
        return [api.SetTimer(self.plan.interval, TIMER_TOKEN)]

    def _current_limits(self) -> admission.AdmissionLimits:
        return self._limits_by_level[self.state.level - 1] if self.state.level else self._full_service

    def _notify_gateway(self, now: float) -> None:
        """Notify the module while a level is in force or shares are still rising, and once more when all are 1."""
        is_reduced = self.state.level > 0 or admission.is_recovering(self._shares)
        if is_reduced or self._is_reduced:
            beyond_quota = self.signals.shares_beyond_quota()  # empty without tenant quotas
            event = admission.service_level_event(
                self.state.level,
                self.name,
                self._shares,
                self._current_limits(),
                self.signals.arrivals(),
                [beyond_quota.get(name, 0.0) for name in self.settings.tenants] or [0.0],
            )
            self.gateway.handle(now, event)
        self._is_reduced = is_reduced

    @property
    def name(self) -> str:
        """The name of the level in force."""
        return self.plan.levels[self.state.level - 1].timings.name if self.state.level else FULL_SERVICE

    @property
    def shares(self) -> dict[str, float]:
        """The admitted share of each class."""
        return {cls.name: share for cls, share in zip(self.settings.classes, self._shares, strict=True)}

    def _log_change(self, change: controller.Change, fields: dict[str, Any]) -> None:
        self.changes = [*self.changes[-MAX_RECENT_CHANGES:], change]
        if self._log_event is not None:
            self._log_event("service_level", fields)
