"""The signals that levels go by, from the events and actions of the decision module, over a sliding window; pure.

A window is a ring of buckets, one a look. Sums over the ring are kept by adding what comes and taking away what
leaves, so a look costs the same however much traffic there was.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from tealwing import interface as api

MIN_REQUESTS = 10  # requests below which a share says nothing: one late answer of two is no flood
READY_WINDOW = 300.0  # s in which the most engines ready are remembered: a release takes minutes

# places in a class's counters
# JUDGED: ended in time, or past its aim whether it has ended or not; refusals are not judged
ARRIVED, ENDED, JUDGED, MISSED, REFUSED, ATTEMPTS, TIMEOUTS = range(7)
COUNTS = 7


class Fleet(Protocol):
    """What the decision module shows of the fleet; tealwing.policy.Gateway has all of it."""

    mean_report: dict[str, float]
    slowdown: float
    cores: float
    reports_in_flight: bool

    @property
    def ready(self) -> Sequence[Engine]:
        """The engines that are ready."""


class Engine(Protocol):
    """What is read of one engine."""

    cores: int
    load: float


@dataclass(slots=True)
class OpenRequest:
    """A request under way: its class, when it is past its aim, its worth, and whether it was late."""

    cls: int
    objective_at: float
    priority_weight: float
    late_weight_share: float
    is_late: bool = False


@dataclass(slots=True)
class Bucket:
    """What came between two looks."""

    counts: list[list[int]]  # by class
    by_account: list[list[int]]  # arrivals by account and class
    offered_weight: list[float]  # worth by class, of what ended
    served_weight: list[float]


class Signals:
    """Takes what passes between host and module; `read` gives the signals of the window."""

    def __init__(self, settings: api.Settings, window: float, every: float) -> None:
        self._settings = settings
        self._interval, self._length = every, max(1, round(window / every))
        self._ring: deque[Bucket] = deque()
        self._open: dict[int, OpenRequest] = {}  # in the order in which they came
        self._window, self._current = self._bucket(), self._bucket()
        self._ready_peaks: deque[tuple[float, int]] = deque()  # the most ready: falling counts, rising times
        self._host_load: api.HostLoad | None = None

    def _bucket(self) -> Bucket:
        classes, accounts = len(self._settings.classes), max(1, len(self._settings.tenants))
        return Bucket(
            [[0] * COUNTS for _ in range(classes)],
            [[0] * classes for _ in range(accounts)],
            [0.0] * classes,
            [0.0] * classes,
        )

    # What passes

    def on_request(self, now: float, request: api.Request, latency_objective: float) -> None:
        """A request; goal is the aim of a usual one of its class, in seconds."""
        cls = self._settings.classes[request.cls]
        if request.cost is not None:  # the aim grows with the work over its threads
            latency_objective = cls.latency_objective + cls.objective_per_work * request.cost / cls.threads
        self._open[request.id] = OpenRequest(
            request.cls, now + latency_objective, cls.priority_weight, cls.late_weight_share
        )
        self._current.counts[request.cls][ARRIVED] += 1
        self._current.by_account[request.tenant if request.tenant < len(self._current.by_account) else 0][
            request.cls
        ] += 1

    def on_outcome(self, now: float, event: api.AttemptOutcome) -> None:
        """An attempt ended, and with it the request where it was served."""
        open_request = self._open.get(event.id)
        if open_request is None:
            return
        counts = self._current.counts[open_request.cls]
        counts[ATTEMPTS] += 1
        counts[TIMEOUTS] += event.result is api.AttemptResult.TIMEOUT
        if event.request_ended:
            self._close(now, event.id, open_request, event.result is api.AttemptResult.OK)

    def on_failure(self, now: float, request: int) -> None:
        """The client went, or the module failed the request."""
        open_request = self._open.get(request)
        if open_request is not None:
            self._close(now, request, open_request, False)

    def on_rejection(self, now: float, request: int, is_load_shedding: bool) -> None:
        """The module refused a request; one that a level shed tells nothing of the fleet and is not counted."""
        open_request = self._open.get(request)
        if open_request is None:
            return
        if is_load_shedding:
            del self._open[request]
            return
        self._current.counts[open_request.cls][REFUSED] += 1
        self._current.counts[open_request.cls][ENDED] += 1
        self._current.offered_weight[open_request.cls] += open_request.priority_weight
        del self._open[request]

    def on_host_load(self, load: api.HostLoad) -> None:
        """The gateway's own state."""
        self._host_load = load

    def _close(self, now: float, request: int, open_request: OpenRequest, served: bool) -> None:
        del self._open[request]
        counts = self._current.counts[open_request.cls]
        counts[ENDED] += 1
        self._current.offered_weight[open_request.cls] += open_request.priority_weight
        if served and now <= open_request.objective_at:
            self._current.served_weight[open_request.cls] += open_request.priority_weight
        elif served:
            self._current.served_weight[open_request.cls] += (
                open_request.priority_weight * open_request.late_weight_share
            )
        if not open_request.is_late:  # else it was counted when it passed its aim
            counts[JUDGED] += 1
            counts[MISSED] += now > open_request.objective_at

    # A look

    def sample(self, now: float, fleet: Fleet) -> dict[str, float]:
        """The signals of the window that ends now. Shares of fewer than LEAST requests are left out."""
        for request in self._open.values():  # what is past its aim tells of a jam, which ends nothing
            if not request.is_late and request.objective_at < now:
                request.is_late = True
                self._current.counts[request.cls][JUDGED] += 1
                self._current.counts[request.cls][MISSED] += 1
        self._rotate()
        signals = self._fleet_signals(now, fleet)
        for cls, counts in zip(self._settings.classes, self._window.counts, strict=True):
            signals |= self._class_signals(cls, counts)
        for tenant, share in self.shares_beyond_quota().items():
            signals[f"account.{tenant}.beyond"] = share
        seconds = len(self._ring) * self._interval
        for tenant, counts in zip(self._settings.tenants, self._window.by_account, strict=False):
            signals[f"account.{tenant}.rate"] = sum(counts) / seconds
        if self._host_load is not None:
            signals["own.lag"], signals["own.unread"] = self._host_load.dispatch_delay, self._host_load.unread_age
            signals["own.processor"] = self._host_load.cpu_utilization
        return signals

    def resize(self, window: float, every: float) -> None:
        """Another window: what was counted in the old one is let go of, as its buckets have another length."""
        self._interval, self._length = every, max(1, round(window / every))
        self._ring.clear()
        self._window, self._current = self._bucket(), self._bucket()

    def _rotate(self) -> None:
        """The bucket that is full goes into the ring, and the oldest leaves it."""
        self._add(self._current, 1)
        self._ring.append(self._current)
        self._current = self._bucket()
        if len(self._ring) > self._length:
            self._add(self._ring.popleft(), -1)

    def _add(self, bucket: Bucket, sign: int) -> None:
        both = zip(self._window.counts + self._window.by_account, bucket.counts + bucket.by_account, strict=True)
        for ours, theirs in both:
            for i, count in enumerate(theirs):
                ours[i] += sign * count
        for i, (offered, kept) in enumerate(zip(bucket.offered_weight, bucket.served_weight, strict=True)):
            # sums of floats drift: an empty window must read as nothing
            self._window.offered_weight[i] = round(self._window.offered_weight[i] + sign * offered, 6)
            self._window.served_weight[i] = round(self._window.served_weight[i] + sign * kept, 6)

    def _fleet_signals(self, now: float, fleet: Fleet) -> dict[str, float]:
        ready = len(fleet.ready)
        while self._ready_peaks and (self._ready_peaks[-1][1] <= ready):
            self._ready_peaks.pop()
        self._ready_peaks.append((now, ready))
        while self._ready_peaks[0][0] < now - READY_WINDOW:
            self._ready_peaks.popleft()
        signals = {"fleet.slow": fleet.slowdown, "fleet.queue": fleet.mean_report.get("queue", 0.0)}
        max_ready = self._ready_peaks[0][1]
        signals["fleet.ready"] = ready / max_ready if max_ready else 1.0
        cores = sum(engine.cores for engine in fleet.ready)
        signals["fleet.cold"] = 1 - min(fleet.cores / cores, 1.0) if cores else 0.0
        if fleet.reports_in_flight:
            signals["fleet.load"] = fleet.mean_report.get("load", 0.0)
        elif ready:
            signals["fleet.load"] = sum(engine.load for engine in fleet.ready) / ready
        ended = sum(counts[ENDED] for counts in self._window.counts)
        if ended >= MIN_REQUESTS:
            signals["fleet.refused"] = sum(counts[REFUSED] for counts in self._window.counts) / ended
            offered = sum(self._window.offered_weight)
            signals["fleet.kept"] = min(sum(self._window.served_weight) / offered, 1.0) if offered else 1.0
        return signals

    def _class_signals(self, cls: api.RequestClass, counts: Sequence[int]) -> dict[str, float]:
        head, place = f"class.{cls.name}", self._settings.classes.index(cls)
        signals = {f"{head}.rate": counts[ARRIVED] / (len(self._ring) * self._interval)}
        if counts[JUDGED] >= MIN_REQUESTS:
            signals[f"{head}.late"] = counts[MISSED] / counts[JUDGED]
        offered = self._window.offered_weight[place]
        if counts[ENDED] >= MIN_REQUESTS and offered:
            signals[f"{head}.refused"] = counts[REFUSED] / counts[ENDED]
            signals[f"{head}.kept"] = min(self._window.served_weight[place] / offered, 1.0)
        if counts[ATTEMPTS] >= MIN_REQUESTS:
            signals[f"{head}.timeouts"] = counts[TIMEOUTS] / counts[ATTEMPTS]
        return signals

    def arrivals(self) -> Sequence[Sequence[int]]:
        """Requests of the window by account and class."""
        return self._window.by_account

    def shares_beyond_quota(self) -> Mapping[str, float]:
        """By account, the share of its requests that lie beyond its share of the service."""
        total = sum(map(sum, self._window.by_account))
        seconds = max(len(self._ring), 1) * self._interval
        shares = {}
        for account, counts in zip(self._settings.tenant_quotas, self._window.by_account, strict=False):
            requested = sum(counts)
            quota = account.rate / self._settings.gateway_count * seconds
            entitled = max(account.share * total, quota)
            shares[account.name] = max(0.0, 1 - entitled / requested) if requested >= MIN_REQUESTS else 0.0
        return shares
