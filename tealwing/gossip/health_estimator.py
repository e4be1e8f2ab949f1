"""What peers say of engines, weighed into what this gateway may believe; pure.

A claim is evidence of bounded weight. For one start of one engine the words of distinct peers are drawn together into a
trimmed mean: a third of the weight at either end is left out, so a minority can't move it far whatever it says, and
it needs a quorum of weight behind it. A word weighs by the answers that it rests on, up to a few, and by the trust in
its speaker. What is believed only makes us expect a longer latency there, by a factor up to MOST_DOUBT, for a bounded
share of the fleet. Our own fresh evidence goes before it. Nothing here bars an engine.

A peer whose words our own later answers contradict loses trust, quickly and down to a floor; it comes back slowly.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import ceil

MAX_SLOWNESS = 10.0  # that a word may claim: beyond it all are as bad
MAX_LATENCY_FACTOR = 2.0  # that a belief multiplies the engine's expected latency by at most
SLOW_RATIO = 1.8  # slowness over the fleet's past which an engine is notable: short of that it is noise
FAILING_RATIO = 0.3  # share of failures past which it is
HEALTHY_LIMITS = (1.3, 0.1)  # slowness and failures below which an engine is well: apart from the above
MIN_SAMPLES = 0.5  # answers that a word must rest on at least: where each sees little, all see enough
FULL_WEIGHT_SAMPLES = 1.5  # answers at which a word has its full weight: whoever claims more counts for no more
TRUST_CHECK_SAMPLES = 2.0  # of our own answers, faded, with which we hold others' words against them
TRIMMED_SHARE = 0.35  # of the weight at either end that is left out: so much may lie together
SUSPECTED_COST = 1.4  # mean slowness, failures included, at which a belief begins: many words are quieter than one
MAX_REPORTERS = 24  # of the members that speak of one engine, about: more words would only cost more
REPORTABLE = (1.6, 1.0)  # slowness, and answers it rests on, at which one speaks up: earlier than one would act
OWN_EVIDENCE_SAMPLES = 4.0  # of our own answers, faded, with which we need nobody's word
CONFIRM_TIME = 0.2  # s for which a belief must have been there before it counts: a second look
REPORT_LIFETIME = 6.0  # s after which a claim has aged out: engines that are slow are so for 10 s or more
QUORUM_WEIGHTS = (
    2.0,
    0.5,
)  # weight behind a belief: at least, and for each member that may speak: liars alone have none
MAX_FLEET_SHARE = 0.25  # of the engines that beliefs lean on at once: past it the fleet is the matter
TRUST_LIMITS = (0.1, 1.0)  # floor, and full: a liar's word keeps a tenth, so that it can come back
TRUST_LOSS_FACTOR, TRUST_GAIN_STEP = 0.5, 0.02  # factor at a contradiction; step at a word that held


@dataclass(frozen=True, slots=True)
class EngineHealth:
    """One instance's word on one start of one engine."""

    engine: int
    started_ms: int  # ms
    slowness: float
    failure_ratio: float
    samples: float

    @property
    def key(self) -> tuple[int, int]:
        """Which start of which engine."""
        return self.engine, self.started_ms

    @property
    def is_unhealthy(self) -> bool:
        """Whether it accuses the engine."""
        return self.slowness >= SLOW_RATIO or self.failure_ratio >= FAILING_RATIO

    @property
    def is_healthy(self) -> bool:
        """Whether it clears the engine."""
        return self.slowness <= HEALTHY_LIMITS[0] and self.failure_ratio <= HEALTHY_LIMITS[1]

    @property
    def is_reportable(self) -> bool:
        """Whether it is worth saying unasked."""
        return self.samples >= REPORTABLE[1] and (self.slowness >= REPORTABLE[0] or self.failure_ratio >= FAILING_RATIO)

    @property
    def weight(self) -> float:
        """What it weighs, up to 1."""
        return min(self.samples / FULL_WEIGHT_SAMPLES, 1.0)

    @property
    def cost(self) -> float:
        """How much longer a query takes there until it is served, over the fleet."""
        return min(self.slowness, MAX_SLOWNESS) / max(1 - self.failure_ratio, 1 / MAX_SLOWNESS)


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """What one peer said last, and when by our clock."""

    received_at: float
    engines: tuple[EngineHealth, ...]


class HealthEstimator:
    """Keeps what was heard of each peer, and the trust in it."""

    def __init__(self) -> None:
        self._heard: dict[str, ReceivedReport] = {}
        self.trust: dict[str, float] = {}
        self._since: dict[tuple[int, int], float] = {}  # when a belief was first there
        self._judged: dict[tuple[str, tuple[int, int]], float] = {}  # when a peer's word was held against ours

    def add_report(self, peer: str, at: float, words: Iterable[EngineHealth]) -> None:
        """A peer's latest words; those before are gone. A start spoken of twice counts once."""
        by_key = {word.key: word for word in words if word.samples >= MIN_SAMPLES}
        self._heard[peer] = ReceivedReport(at, tuple(by_key.values()))

    def reported_unhealthy(self, now: float) -> set[tuple[int, int]]:
        """The starts that a peer accuses now: who knows better should speak."""
        return {
            word.key
            for heard in self._heard.values()
            if now - heard.received_at <= REPORT_LIFETIME
            for word in heard.engines
            if word.is_unhealthy
        }

    def estimate(
        self, now: float, own: Mapping[tuple[int, int], EngineHealth], members: int, engines: int
    ) -> dict[tuple[int, int], float]:
        """The doubt by start of engine, above 1; own is our own evidence, members those live, engines those ready."""
        self._judge(now, own)
        said: dict[tuple[int, int], list[tuple[float, float]]] = {}
        for peer, heard in self._heard.items():
            if now - heard.received_at > REPORT_LIFETIME:
                continue
            for word in heard.engines:
                weight = self.trust.get(peer, TRUST_LIMITS[1]) * word.weight
                said.setdefault(word.key, []).append((word.cost, weight))
        quorum = max(QUORUM_WEIGHTS[0], QUORUM_WEIGHTS[1] * min(members, MAX_REPORTERS))
        found = {}
        for key, words in said.items():
            ours = own.get(key)
            if (
                ours is not None
                and ours.samples >= OWN_EVIDENCE_SAMPLES
                and (ours.is_unhealthy or ours.cost < SUSPECTED_COST)
            ):
                continue  # we know; what lies between the two we do not
            if ours is not None:  # less than enough to stand alone, but a word like the others'
                words.append((ours.cost, ours.weight))
            if sum(weight for _, weight in words) >= quorum and (mean := trimmed_mean(words)) >= SUSPECTED_COST:
                found[key] = min(mean, MAX_LATENCY_FACTOR)
        # one look may catch a quorum by chance: a belief must be there at a second one too
        self._since = {key: self._since.get(key, now) for key in found}
        found = {key: doubt for key, doubt in found.items() if now - self._since[key] >= CONFIRM_TIME}
        most = ceil(MAX_FLEET_SHARE * engines) if engines else 0
        worst = sorted(found, key=lambda key: (-found[key], key))[:most]
        return {key: found[key] for key in worst}

    def _judge(self, now: float, own: Mapping[tuple[int, int], EngineHealth]) -> None:
        """Hold fresh words against our own fresh evidence, each once."""
        for peer, heard in self._heard.items():
            for word in heard.engines:
                ours, mark = own.get(word.key), (peer, word.key)
                if ours is None or ours.samples < TRUST_CHECK_SAMPLES or now - heard.received_at > REPORT_LIFETIME:
                    continue
                if self._judged.get(mark, -REPORT_LIFETIME) >= heard.received_at:
                    continue
                before = self.trust.get(peer, TRUST_LIMITS[1])
                if (word.is_unhealthy and ours.is_healthy) or (word.is_healthy and ours.is_unhealthy):
                    self.trust[peer] = max(TRUST_LIMITS[0], before * TRUST_LOSS_FACTOR)
                elif (word.is_unhealthy and ours.is_unhealthy) or (word.is_healthy and ours.is_healthy):
                    self.trust[peer] = min(TRUST_LIMITS[1], before + TRUST_GAIN_STEP)
                else:
                    continue
                self._judged[mark] = heard.received_at
        self._judged = {mark: at for mark, at in self._judged.items() if now - at <= REPORT_LIFETIME}

    def forget(self, peer: str) -> None:
        """A member has been let go of; its trust is kept by whoever keeps its name."""
        self._heard.pop(peer, None)
        self.trust.pop(peer, None)


def trimmed_mean(words: Sequence[tuple[float, float]]) -> float:
    """The mean of (value, weight) over the middle of the weight: TRIMMED of it is left out at either end."""
    total = sum(weight for _, weight in words)
    low, high = TRIMMED_SHARE * total, (1 - TRIMMED_SHARE) * total
    mean = at = 0.0
    for value, weight in sorted(words):
        mean += value * max(0.0, min(at + weight, high) - max(at, low))
        at += weight
    return mean / (high - low) if high > low else 1.0
