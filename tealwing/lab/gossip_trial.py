"""Trials of gossip in virtual time: convergence, bandwidth, detection of slow engines, lying instances, and scores.

Liars sign with valid keys, as a compromised instance would: they report healthy engines as slow and the slow one as
healthy, and declare live members dead.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

import numpy as np

from tealwing import interface as api
from tealwing.gossip import local_evidence
from tealwing.gossip.config import Timing
from tealwing.gossip.health_estimator import OWN_EVIDENCE_SAMPLES, SLOW_RATIO, EngineHealth
from tealwing.gossip.messages import Address, Dead, Gossip, Rumour
from tealwing.gossip.node import Node
from tealwing.gossip.send_queue import Priority
from tealwing.gossip.service import strip_relayed_rumours
from tealwing.lab import arrivals, score, site
from tealwing.lab.harness import Deployment
from tealwing.lab.network import Instance, Network, cluster
from tealwing.policy import Gateway

ENGINES = 8
ANSWERS = 2.0  # a second, from one engine to one instance: 20 instances with 16 queries a second each
LATENCY = 0.2  # s of a lookup at a healthy engine
RETENTION = 0.6  # decay factor of the counts per second: `policy.engines.SLOWDOWN_RETENTION`, one rebuild a second
PRIOR_ANSWERS = 3.0  # weight of the prior, in answers, as `policy.engines.SLOWDOWN_PRIOR_ANSWERS`
TIMES_SLOWER = 5.0  # slowdown factor of the slow engine
OBSERVE_INTERVAL = 0.25  # s between two observations, as `gossip.service.HEALTH_INTERVAL`


class SimulatedObserver:
    """One instance's observations of modelled engines, counted as `policy.engines.SlowdownEstimate` counts them.

    Lookups are sent at random times and take lognormal times. Attempts in flight count too, so that a slow engine is
    noticed before it answers.
    """

    def __init__(self, seed: tuple[int, int]) -> None:
        self._rng = np.random.default_rng(seed)
        self._in_flight: list[list[tuple[float, float]]] = [[] for _ in range(ENGINES)]  # times sent and due
        self._normalized_time, self._completed, self._now = [0.0] * ENGINES, [0.0] * ENGINES, 0.0

    def advance(self, truth: Sequence[float], seconds: float) -> None:
        """Simulate some seconds; attempts in flight keep the slowness with which they were sent."""
        begin, end = self._now, self._now + seconds
        for engine, times in enumerate(truth):
            for _ in range(int(self._rng.poisson(ANSWERS * seconds))):
                sent = begin + float(self._rng.random()) * seconds
                took = LATENCY * times * float(self._rng.lognormal(-0.08, 0.4))
                self._in_flight[engine].append((sent, sent + took))
            for sent, due in self._in_flight[engine]:
                self._normalized_time[engine] += max(0.0, min(due, end) - max(sent, begin)) / LATENCY
                self._completed[engine] += due <= end
            self._in_flight[engine] = [(sent, due) for sent, due in self._in_flight[engine] if due > end]
            self._normalized_time[engine] *= RETENTION**seconds
            self._completed[engine] *= RETENTION**seconds
        self._now = end

    def evidence(self) -> dict[tuple[int, int], EngineHealth]:
        """The observations, in the form that `local_evidence.observe_engines` returns."""
        found = {}
        for engine in range(ENGINES):
            normalized_time, completed = self._normalized_time[engine], self._completed[engine]
            slow = max((normalized_time + PRIOR_ANSWERS) / (completed + PRIOR_ANSWERS), 0.0)
            found[engine, 0] = EngineHealth(engine, 0, slow, 0.0, max(completed, normalized_time))
        return found


class Trial:
    """A cluster whose instances observe engines; liars report false states, silent instances relay no rumours."""

    def __init__(self, instances: int, liars: int, silent: int, seed: int, times: Timing | None = None) -> None:
        self.network = Network(seed, times)
        self.all = cluster(self.network, instances)
        names = [instance.node.name for instance in self.all]
        faulty = random.Random(seed).sample(names[3:] or names, min(liars + silent, max(len(names) - 3, 0)))
        self.liars, self.silent = set(faulty[:liars]), set(faulty[liars:])
        self.truth = [1.0] * ENGINES
        self.observers = {name: SimulatedObserver((seed, i)) for i, name in enumerate(names)}
        self.latency_factors: dict[str, dict[tuple[int, int], float]] = {name: {} for name in names}
        self.alone: dict[str, float] = {}  # when an instance's own evidence first showed the slow engine
        self.known: dict[str, float] = {}  # when it knew of the slow engine, by its own or by its peers' evidence
        self.shunned = 0  # observations in which an honest instance considered a healthy engine slow
        for name in self.silent:
            self.network.tamper[name] = _drop_forwarded
        self.network.clock.at(OBSERVE_INTERVAL, self._observe)

    def honest(self) -> list[Instance]:
        """Live instances that neither lie nor withhold rumours."""
        return [i for i in self.network.live() if i.node.name not in self.liars | self.silent]

    def _observe(self) -> None:
        self.network.clock.after(OBSERVE_INTERVAL, self._observe)
        now = self.network.clock.now
        for instance in self.network.live():
            node, observer = instance.node, self.observers[instance.node.name]
            observer.advance(self.truth, OBSERVE_INTERVAL)
            own = observer.evidence()
            if node.name in self.liars:
                self._lie(instance)
                continue
            published = _reports_to_publish(node, own, now)
            if published:
                node.publish_health(published)
            latency_factors = self.latency_factors[node.name] = node.health_estimator.estimate(
                now, own, node.members.live, ENGINES
            )
            for engine, times in enumerate(self.truth):
                report = own[engine, 0]
                sees = report.samples >= OWN_EVIDENCE_SAMPLES and report.slowness >= SLOW_RATIO
                if times > 1:
                    if sees:
                        self.alone.setdefault(node.name, now)
                    if sees or (engine, 0) in latency_factors:
                        self.known.setdefault(node.name, now)
                elif (engine, 0) in latency_factors and node.name not in self.silent:
                    self.shunned += 1

    def _lie(self, instance: Instance) -> None:
        """Report healthy engines as slow, slow ones as healthy, and members as dead; all liars report the same."""
        node = instance.node
        reports = [
            EngineHealth(engine, 0, 1.0 if times > 1 else 9.0, 0.0, 1e5) for engine, times in enumerate(self.truth)
        ]
        node.publish_health(reports)
        false_rumours: list[Rumour] = [
            Dead(m.alive.name, m.alive.boot, m.alive.incarnation) for m in list(node.members)[:8]
        ]
        for member in node.members.sample(3):
            node.send(Priority.RUMOUR, member.address, Gossip(), false_rumours)


def _reports_to_publish(node: Node, own: dict[tuple[int, int], EngineHealth], now: float) -> list[EngineHealth]:
    return local_evidence.select_reportable(
        own.values(), node.health_estimator.reported_unhealthy(now), node.sampling_key, node.members.live
    )


def _drop_forwarded(instance: Instance, to: Address, data: bytes) -> list[tuple[Address, bytes]]:
    """Tamper function of a silent instance: it probes, answers and sends its own state, but relays no rumours."""
    return [(to, strip_relayed_rumours(data, instance.node))]


def run_trial(
    instances: int, liars: int, silent: int, seconds: float, seed: int, times: Timing | None = None
) -> dict[str, Any]:
    """Run a trial: all instances join, and after a third of the time one engine becomes slow; returns the figures."""
    trial = Trial(instances, liars, silent, seed, times)
    network = trial.network
    converged = network.until(network.agreed, seconds / 3)
    network.clock.run(seconds / 3)
    trial.truth[2], begun = TIMES_SLOWER, network.clock.now
    network.clock.run(seconds)
    honest = {instance.node.name for instance in trial.honest()}
    known = [trial.known[name] - begun if name in trial.known else None for name in sorted(honest)]
    alone = [trial.alone[name] - begun if name in trial.alone else None for name in sorted(honest)]
    lost: Counter[str] = Counter()
    for instance in network.live():
        lost += instance.node.counters.rejected
    deaths = sum(name == "gossip_dead" for _, whose, name, _ in network.events if whose in honest)
    return {"summary": True, "instances": instances, "liars": liars, "silent": silent, "seed": seed} | summary(
        [converged], network.max_bytes_per_second(), network.times, trial.shunned, known, alone, deaths, lost
    )


DetectionTimes = Sequence[float | None]  # s until detection; None if there was none


def summary(
    converged: DetectionTimes,
    max_bytes_per_second: int,
    times: Timing,
    shunned: int,
    known: DetectionTimes,
    alone: DetectionTimes,
    deaths: int,
    rejected: Counter[str],
) -> dict[str, Any]:
    """The figures of a trial, in the same form for virtual time and for processes."""
    return {
        "members_converged_s": _latest(converged),
        "bytes_per_s_max": max_bytes_per_second,
        "ceiling_bytes_per_s": int(times.max_bytes_per_s),
        "healthy_shunned": shunned,
        "slow_engine_known_s": _latest(known),
        "slow_engine_known_alone_s": _latest(alone),
        "slow_engine_known_mean_s": _mean(known),
        "slow_engine_known_alone_mean_s": _mean(alone),
        "false_deaths": deaths,
        "rejected": dict(rejected),
    }


def _latest(times: DetectionTimes) -> float | None:
    """The time of the last detection; None if any instance never detected."""
    known = [time for time in times if time is not None]
    return round(max(known), 3) if len(known) == len(times) and known else None


def _mean(times: DetectionTimes) -> float | None:
    known = [time for time in times if time is not None]
    return round(sum(known) / len(known), 3) if known else None


class GossipingDeployment:
    """A deployment of modelled engines whose gateways may gossip."""

    def __init__(self, seed: int, gateways: int, seconds: float, load: float, liars: int, gossips: bool) -> None:
        settings = replace(site.settings(gateways), gateway_count=gateways)
        draws = site.draws(np.random.default_rng((seed, 30)), ENGINES)
        mean = sum(mix.share * mix.work for mix in arrivals.BRIEF)
        requests = arrivals.draw(np.random.default_rng((seed, 31)), site.rate(draws, mean, load), seconds, gateways)
        self.seconds, self._gossips = seconds, gossips
        self.deployment = Deployment(settings, draws, requests, Gateway, seed)
        self.network = Network(seed)
        self.network.clock = self.deployment.clock
        self._believed: list[dict[tuple[int, int], float]] = [{} for _ in range(gateways)]
        if gossips:
            self._nodes = cluster(self.network, gateways)
            self._liars = set(random.Random(seed).sample(range(3, gateways), liars))
            self.deployment.clock.at(OBSERVE_INTERVAL, self._exchange)

    def _exchange(self) -> None:
        clock = self.deployment.clock
        clock.after(OBSERVE_INTERVAL, self._exchange)
        for number, instance in enumerate(self._nodes):
            node, module = instance.node, self.deployment.modules[number]
            assert isinstance(module, Gateway)
            own = local_evidence.observe_engines(module)
            if number in self._liars:
                node.publish_health(
                    [
                        replace(w, slowness=1.0 if w.is_unhealthy else 9.0, failure_ratio=0.0, samples=1e5)
                        for w in own.values()
                    ]
                )
                continue
            published = _reports_to_publish(node, own, clock.now)
            if published:
                node.publish_health(published)
            latency_factors = node.health_estimator.estimate(clock.now, own, node.members.live, len(module.ready))
            if latency_factors != self._believed[number]:
                self._believed[number] = latency_factors
                module.handle(clock.now, api.EngineHealthEstimates(latency_factors))

    def run(self, with_fault: Callable[[Deployment], None]) -> score.Score:
        """Play the deployment with a fault; returns its score."""
        with_fault(self.deployment)
        outcomes = self.deployment.run(self.seconds + 26.0)
        return score.count(self.deployment.arrivals, outcomes, self.deployment.settings)
