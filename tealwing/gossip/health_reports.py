"""Health reports: publishes this instance's report on engines, and applies those of other members; pure."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf, log2
from typing import NamedTuple

from tealwing.gossip import messages
from tealwing.gossip.context import NodeContext
from tealwing.gossip.health_estimator import EngineHealth, HealthEstimator
from tealwing.gossip.members import State
from tealwing.gossip.messages import EngineObservation, HealthReport
from tealwing.gossip.verification import RumourVerifier

REPUBLISH_INTERVAL = 1.0  # s until a report with the same health summaries as the last is published again
MAX_REPORT_AGE = 10.0  # s after which a report is not passed on: it no longer counts in an estimate
MAX_ENGINES = 16  # of one report; the format allows no more


class HealthSummary(NamedTuple):
    """The part of an engine's health whose change makes a report worth publishing at once."""

    engine: tuple[int, int]
    reportable: bool
    cost_magnitude: int  # binary log of the cost, rounded


class HealthReports:
    """Owns the latest report of each member, and the estimator that combines them."""

    def __init__(self, context: NodeContext, verifier: RumourVerifier) -> None:
        self._context, self._verifier = context, verifier
        self.estimator = HealthEstimator()
        self._latest: dict[str, HealthReport] = {}
        self._own: HealthReport | None = None
        self._published_at, self._published = -inf, set[HealthSummary]()

    def publish(self, engines: Sequence[EngineHealth]) -> None:
        """Publish this instance's report, which replaces its last one; the engines of the highest cost go first."""
        identity, clock = self._context.identity, self._context.clock
        if identity.silent:
            return
        summaries = {
            HealthSummary(engine.key, engine.is_reportable, round(log2(max(engine.cost, 0.1)))) for engine in engines
        }
        if clock.now < self._published_at + (REPUBLISH_INTERVAL if summaries == self._published else 0.0):
            return
        self._published_at, self._published = clock.now, summaries
        by_cost = sorted(engines, key=lambda engine: (-engine.cost, engine.key))[:MAX_ENGINES]
        observations = [
            EngineObservation(e.engine, e.started_ms, e.slowness, e.failure_ratio, e.samples) for e in by_cost
        ]
        version = clock.unix_ms
        if self._own is not None and self._own.boot == identity.boot and version <= self._own.version:
            version = self._own.version + 1
        report = HealthReport(
            identity.name, identity.boot, version, observations, messages.NO_KEY_ID, messages.NO_SIGNATURE
        )  # fmt: skip
        self._own = messages.sign_rumour(report, identity.signer)
        self._context.outgoing.publish(self._own)

    def apply(self, report: HealthReport) -> None:
        """Apply and pass on a member's report if it is newer than the last one, recent and authentic."""
        context, known = self._context, self._latest.get(report.name)
        if known is not None and (report.boot, report.version) <= (known.boot, known.version):
            return
        member = context.members.get(report.name)
        if member is None or member.state >= State.DEAD or report.boot != member.alive.boot:
            return
        age, max_skew = context.clock.unix_time - report.version / 1e3, context.timing.max_clock_skew
        if age < -max_skew or age > MAX_REPORT_AGE + max_skew:
            return
        if not self._verifier.is_authentic(report):
            return
        self._latest[report.name] = report
        engines = [
            EngineHealth(o.engine, o.started_ms, o.slowness, o.failure_ratio, o.samples) for o in report.observations
        ]
        self.estimator.add_report(report.name, context.clock.now, engines)
        context.outgoing.publish(report)

    def forget_report(self, name: str) -> None:
        """Drop the report of a member that was declared dead."""
        self._latest.pop(name, None)

    def forget(self, name: str) -> None:
        """Drop the report of a member that has been removed, and the trust in it."""
        self.forget_report(name)
        self.estimator.forget(name)
