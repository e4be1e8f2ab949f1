"""Moves the state of the engines to the module of new settings, and shows it to the modules of earlier ones.

A module whose settings were replaced decides its open requests until their end, by its own classes. It holds no
engines any more: for each decision it makes views of those that the module in force holds, which are dropped after it.
So there is one state of the engines, however many settings have open requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from tealwing import interface as api
from tealwing.policy.engines import ClassEstimate, Engine, SlowStartSends, allows_place
from tealwing.policy.fleet import Fleet
from tealwing.policy.requests import RequestState

MAX_VIEWS = 200  # engines compared for a request of replaced settings; a view costs a multiple of a look at an engine


class EngineSource(Protocol):
    """The engines, as a module whose settings were replaced reaches them."""

    @property
    def holder(self) -> Fleet:
        """The module that holds the state of the engines."""

    def entries(self) -> Iterable[api.EngineListEntry]:
        """Return the engine list, numbered by the settings that were replaced."""

    def slow_start_sends(self, entry: api.EngineListEntry) -> SlowStartSends:
        """Return the record of what was sent to an engine that the holder does not have, since its start."""


class SettingsChange(Fleet):
    """The engines as one module hands them to the next, and as the earlier one sees them from then on."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.source: EngineSource | None = None  # once the settings were replaced

    def take_engines(self, earlier: Fleet, entries: Iterable[api.EngineListEntry]) -> None:
        """Take the engines of the module in force so far; the entries are numbered by this module's settings."""
        listed = {entry.engine: entry for entry in entries}
        has_same_reports = self.settings.report_fields == earlier.settings.report_fields
        self.engines, earlier.engines = earlier.engines, {}
        for engine in self.engines.values():
            if (entry := listed.get(engine.id)) is not None and entry.started <= engine.started:
                engine.apply_entry(entry, self.settings)
            engine.change_settings(self.settings, earlier.now)
            if not has_same_reports:
                engine.forget_reports()
        if has_same_reports:
            self.mean_report, self.reported_at = earlier.mean_report, earlier.reported_at
            self.report_count = self.reports_at_rebuild = earlier.report_count

    def retire(self, source: EngineSource) -> None:
        """Take no more requests but those read under these settings, and see the engines through the source."""
        self.source = source
        self.engines, self.ready = {}, []
        self.eligible_engines = []
        for traffic in self.class_traffic:
            traffic.index_tables = {}

    def _follow_holder(self) -> None:
        """Take the estimates that hold for all engines from the module that holds them."""
        if self.source is None:
            return
        holder = self.source.holder
        self.cores, self.ready_count, self.planned_cores = holder.cores, holder.ready_count, holder.planned_cores
        self.is_overloaded, self.slowdown = holder.is_overloaded, holder.slowdown
        self.mean_report, self.best_success = holder.mean_report, holder.best_success
        self.unreported_weight, self.usual_rate = holder.unreported_weight, holder.usual_rate
        self.threads_per_core = holder.threads_per_core

    def _eligible(self, state: RequestState, failed: Engine | None) -> list[Engine]:
        """Return the ready engines that a request's class and zones allow, but the failed one."""
        if self.source is not None:
            return self._views(self.source, state, failed)
        engines, zones = self.eligible_engines[state.request.cls], state.request.zones
        if zones is None and failed is None:
            return engines
        return [engine for engine in engines if engine is not failed and (zones is None or engine.zone in zones)]

    def _views(self, source: EngineSource, state: RequestState, failed: Engine | None) -> list[Engine]:
        """Return views of eligible engines, numbered by these settings, with an estimate of the request's class."""
        held = source.holder.engines
        # engines that the holder's settings do not name, with attempts of this module in flight
        self.engines = {number: engine for number, engine in self.engines.items() if engine.queries}
        for traffic in self.class_traffic:
            traffic.index_tables = {}
        views, estimates = [], [ClassEstimate(self.now)] * len(self.class_traffic)
        for entry in self._eligible_entries(source, state):
            engine = self._known(held, entry)
            if engine is None:
                engine = Engine(entry, self.settings, self.now)
                engine.slow_start_sends = source.slow_start_sends(entry)
            if engine is failed:
                continue
            if engine.earlier_estimate is None:
                engine.earlier_estimate = ClassEstimate(self.now)
            estimates[state.request.cls] = engine.earlier_estimate
            views.append(engine.view(entry, self.settings, estimates))
        return views

    def _eligible_entries(self, source: EngineSource, state: RequestState) -> list[api.EngineListEntry]:
        """Return the entries of ready engines that the request's class and zones allow, a sample of MAX_VIEWS."""
        entries = [
            entry
            for entry in source.entries()
            if entry.health is api.Health.READY and allows_place(state.cls, entry.zone, entry.kind, state.request.zones)
        ]
        return entries if len(entries) <= MAX_VIEWS else self.random.sample(entries, MAX_VIEWS)

    def _known(self, held: dict[int, Engine], entry: api.EngineListEntry) -> Engine | None:
        """Return the engine of an entry, if its state since its last start is known."""
        for engines in (held, self.engines):
            engine = engines.get(entry.engine)
            if engine is not None and engine.started >= entry.started:
                return engine
        return None

    def _attempted(self, chosen: Engine) -> Engine:
        """Return the engine that counts an attempt which is sent to the chosen engine or view."""
        if chosen.origin is None or self.source is None:
            return chosen
        if self.source.holder.engines.get(chosen.id) is not chosen.origin:
            self.engines[chosen.id] = chosen.origin
        return chosen.origin

    def _estimate(self, state: RequestState, engine: Engine) -> ClassEstimate:
        """Return the engine's estimate of the request's class; one without effect if the settings were replaced."""
        return engine.estimates[state.request.cls] if self.source is None else ClassEstimate(self.now)

    def _count_attempt(self, state: RequestState, engine: Engine, change: int) -> None:
        if self.source is None:
            super()._count_attempt(state, engine, change)
            return
        state.traffic.in_flight += change
        engine.earlier_threads += change * state.cls.threads
        engine.count_attempt(state.request, state.cls, change)

    def _record_completion(self, engine: Engine) -> None:
        if self.source is None:  # otherwise the engine's slowdown counts other classes
            super()._record_completion(engine)

    def apply_report(self, engine: Engine, values: tuple[float, ...]) -> None:
        """Store a load report; one of replaced settings goes to the module that holds the engine, if it reads it."""
        if self.source is None:
            super().apply_report(engine, values)
            return
        holder = self.source.holder
        if holder.settings.report_fields == self.settings.report_fields and holder.engines.get(engine.id) is engine:
            holder.now = self.now
            holder.apply_report(engine, values)

    def _rebuild(self) -> None:
        if self.source is None:  # otherwise the module that holds the engines rebuilds
            super()._rebuild()
