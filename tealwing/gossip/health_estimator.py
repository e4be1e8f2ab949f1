"""Estimates the health of engines from the members' reports; pure.

Each report has a bounded weight. The reports of distinct members on one start of one engine are combined in a trimmed
mean, which leaves out about a third of the weight at either end and needs a quorum of weight: a minority can't move it
far, whatever it reports. The weight of a report grows with the answers that it rests on, up to a few, and with the
trust in its member. An estimate only raises the latency expected of the engine, by a factor up to MAX_LATENCY_FACTOR
and for a bounded share of the fleet. Fresh evidence of this instance takes precedence. No engine is excluded.

A member loses trust quickly, down to a floor, when this instance's own answers contradict its reports; it regains
trust slowly.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import ceil

MAX_SLOWNESS = 10.0  # cap on a report's slowness: beyond it all engines are equally bad
MAX_LATENCY_FACTOR = 2.0  # most by which an estimate multiplies the engine's expected latency
SLOW_RATIO = 1.8  # slowness from which an engine is unhealthy: below that it is noise
FAILING_RATIO = 0.3  # share of failures from which an engine is unhealthy
HEALTHY_SLOWNESS, HEALTHY_FAILURES = 1.3, 0.1  # up to which an engine is healthy; above, it may be neither
MIN_SAMPLES = 0.5  # answers that a report must rest on: each member may see few, all together see enough
FULL_WEIGHT_SAMPLES = 1.5  # answers from which a report has its full weight, so that claiming more gains nothing
TRUST_CHECK_SAMPLES = 2.0  # own answers, decayed, from which others' reports are checked against them
TRIMMED_SHARE = 0.35  # of the weight that is left out at either end: that much may be false
SUSPECTED_COST = 1.4  # mean cost from which an engine is suspected: many reports are less noisy than one
MAX_REPORTERS = 24  # approximate number of members that report on one engine: more reports would only add cost
# From these a member reports an engine; the slowness is below SLOW_RATIO, so that it reports earlier than it would act
# on its own evidence.
REPORTABLE_SLOWNESS, REPORTABLE_SAMPLES = 1.6, 1.0
OWN_EVIDENCE_SAMPLES = 4.0  # own answers, decayed, from which reports are not needed
CONFIRM_TIME = 0.2  # s for which an engine must be suspected before the estimate counts
REPORT_LIFETIME = 6.0  # s after which a report no longer counts; slow engines stay slow for 10 s or more
MIN_QUORUM = 2.0  # weight of reports that every estimate needs
QUORUM_PER_MEMBER = 0.5  # weight that it needs per member that may report: false reporters alone don't reach it
MAX_FLEET_SHARE = 0.25  # of the engines that may be suspected at a time: beyond it the whole fleet is at fault
MIN_TRUST, FULL_TRUST = 0.1, 1.0  # a false reporter keeps a tenth of its weight, so that it can recover
TRUST_LOSS_FACTOR, TRUST_GAIN_STEP = 0.5, 0.02  # factor at a contradicted report; step at a confirmed one

EngineKey = tuple[int, int]  # engine, and ms of its start


@dataclass(frozen=True, slots=True)
class EngineHealth:
    """One instance's evidence on one start of one engine."""

    engine: int
    started_ms: int
    slowness: float  # latency divided by the fleet's
    failure_ratio: float
    samples: float  # answers that the evidence rests on

    @property
    def key(self) -> EngineKey:
        """The engine and its start."""
        return self.engine, self.started_ms

    @property
    def is_unhealthy(self) -> bool:
        """Whether the evidence is of an unhealthy engine; both this and is_healthy may be false."""
        return self.slowness >= SLOW_RATIO or self.failure_ratio >= FAILING_RATIO

    @property
    def is_healthy(self) -> bool:
        """Whether the evidence is of a healthy engine."""
        return self.slowness <= HEALTHY_SLOWNESS and self.failure_ratio <= HEALTHY_FAILURES

    @property
    def is_reportable(self) -> bool:
        """Whether the evidence is worth a report though no other member reports the engine."""
        is_notable = self.slowness >= REPORTABLE_SLOWNESS or self.failure_ratio >= FAILING_RATIO
        return self.samples >= REPORTABLE_SAMPLES and is_notable

    @property
    def weight(self) -> float:
        """The weight of the evidence before trust is applied, up to 1."""
        return min(self.samples / FULL_WEIGHT_SAMPLES, 1.0)

    @property
    def cost(self) -> float:
        """The time until a query is served by the engine, retries included, divided by the fleet's."""
        return min(self.slowness, MAX_SLOWNESS) / max(1 - self.failure_ratio, 1 / MAX_SLOWNESS)


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """The latest report of one member."""

    received_at: float  # s, monotonic
    engines: tuple[EngineHealth, ...]

    def is_current(self, now: float) -> bool:
        """Return whether the report still counts."""
        return now - self.received_at <= REPORT_LIFETIME


class HealthEstimator:
    """Owns the latest report of each member, and the trust in it."""

    def __init__(self) -> None:
        self._reports: dict[str, ReceivedReport] = {}
        self.trust: dict[str, float] = {}
        self._suspected_since: dict[EngineKey, float] = {}
        self._checked: dict[tuple[str, EngineKey], float] = {}  # when the checked report had been received

    def add_report(self, member: str, now: float, engines: Iterable[EngineHealth]) -> None:
        """Replace a member's report. An engine start that is reported twice counts once."""
        by_key = {engine.key: engine for engine in engines if engine.samples >= MIN_SAMPLES}
        self._reports[member] = ReceivedReport(now, tuple(by_key.values()))

    def reported_unhealthy(self, now: float) -> set[EngineKey]:
        """Return the engine starts that any current report calls unhealthy: other members should report on them too."""
        current = [report for report in self._reports.values() if report.is_current(now)]
        return {engine.key for report in current for engine in report.engines if engine.is_unhealthy}

    def estimate(
        self, now: float, own: Mapping[EngineKey, EngineHealth], members: int, engines: int
    ) -> dict[EngineKey, float]:
        """Return the latency factors above 1, by engine start.

        Args:
            now: Monotonic time in s.
            own: This instance's own evidence.
            members: Number of live members.
            engines: Number of ready engines.
        """
        self._update_trust(now, own)
        quorum = max(MIN_QUORUM, QUORUM_PER_MEMBER * min(members, MAX_REPORTERS))
        factors = {}
        for key, weighted in self._weighted_costs(now).items():
            ours = own.get(key)
            if ours is not None:
                if ours.samples >= OWN_EVIDENCE_SAMPLES and (ours.is_unhealthy or ours.cost < SUSPECTED_COST):
                    continue  # own evidence decides, unless it is between SUSPECTED_COST and unhealthy
                weighted.append((ours.cost, ours.weight))
            if sum(weight for _, weight in weighted) >= quorum and (mean := trimmed_mean(weighted)) >= SUSPECTED_COST:
                factors[key] = min(mean, MAX_LATENCY_FACTOR)
        # a quorum may be chance, so a later estimate must find it too
        self._suspected_since = {key: self._suspected_since.get(key, now) for key in factors}
        factors = {key: factor for key, factor in factors.items() if now - self._suspected_since[key] >= CONFIRM_TIME}
        limit = ceil(MAX_FLEET_SHARE * engines) if engines else 0
        slowest = sorted(factors, key=lambda key: (-factors[key], key))[:limit]
        return {key: factors[key] for key in slowest}

    def forget(self, member: str) -> None:
        """Drop the report of a member that has been removed, and the trust in it."""
        self._reports.pop(member, None)
        self.trust.pop(member, None)

    def _weighted_costs(self, now: float) -> dict[EngineKey, list[tuple[float, float]]]:
        """Return cost and weight of each current report, by engine start."""
        costs: dict[EngineKey, list[tuple[float, float]]] = {}
        for member, report in self._reports.items():
            if not report.is_current(now):
                continue
            for engine in report.engines:
                weight = self.trust.get(member, FULL_TRUST) * engine.weight
                costs.setdefault(engine.key, []).append((engine.cost, weight))
        return costs

    def _update_trust(self, now: float, own: Mapping[EngineKey, EngineHealth]) -> None:
        """Check each current report once against this instance's own evidence."""
        for member, report in self._reports.items():
            if not report.is_current(now):
                continue
            for engine in report.engines:
                ours, check = own.get(engine.key), (member, engine.key)
                if ours is None or ours.samples < TRUST_CHECK_SAMPLES:
                    continue
                if self._checked.get(check, -REPORT_LIFETIME) >= report.received_at:
                    continue
                if self._check(member, engine, ours):
                    self._checked[check] = report.received_at
        self._checked = {check: at for check, at in self._checked.items() if now - at <= REPORT_LIFETIME}

    def _check(self, member: str, reported: EngineHealth, ours: EngineHealth) -> bool:
        """Lower or raise the trust in a member; return whether the local evidence was clear enough for either."""
        trust = self.trust.get(member, FULL_TRUST)
        if (reported.is_unhealthy and ours.is_healthy) or (reported.is_healthy and ours.is_unhealthy):
            self.trust[member] = max(MIN_TRUST, trust * TRUST_LOSS_FACTOR)
            return True
        if (reported.is_unhealthy and ours.is_unhealthy) or (reported.is_healthy and ours.is_healthy):
            self.trust[member] = min(FULL_TRUST, trust + TRUST_GAIN_STEP)
            return True
        return False


def trimmed_mean(weighted: Sequence[tuple[float, float]]) -> float:
    """Return the weighted mean of (value, weight) pairs without TRIMMED_SHARE of the weight at either end."""
    total = sum(weight for _, weight in weighted)
    low, high = TRIMMED_SHARE * total, (1 - TRIMMED_SHARE) * total
    mean = at = 0.0
    for value, weight in sorted(weighted):
        mean += value * max(0.0, min(at + weight, high) - max(at, low))
        at += weight
    return mean / (high - low) if high > low else 1.0
