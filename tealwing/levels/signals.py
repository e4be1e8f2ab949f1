"""Computes the signals of service levels: sliding-window metrics of the decision module's events and actions; pure.

The window is a ring of buckets, one per evaluation. Each evaluation adds the newest bucket to the sums and
subtracts the oldest, so its cost does not depend on the traffic.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from tealwing import interface as api

MIN_REQUESTS = 10  # requests in the window; of fewer, no share is computed
READY_WINDOW = 300.0  # s over which the maximum number of ready engines is taken

# Indices of a class's counters. JUDGED counts the requests that ended within their latency objective and those,
# open or ended, that exceeded it; a rejection is not counted in it.
ARRIVED, ENDED, JUDGED, MISSED, REFUSED, ATTEMPTS, TIMEOUTS = range(7)
COUNTS = 7


class Fleet(Protocol):
    """The attributes of tealwing.policy.Gateway that signals are computed from."""

    mean_report: dict[str, float]
    slowdown: float
    cores: float
    reports_query_counts: bool

    @property
    def ready(self) -> Sequence[Engine]:
        """The engines that are ready."""


class Engine(Protocol):
    """The attributes of tealwing.policy.Engine that signals are computed from."""

    cores: int
    load: float


@dataclass(slots=True)
class OpenRequest:
    """An open request; from the time objective_at (s) on it misses its latency objective."""

    cls: int
    objective_at: float
    priority_weight: float
    late_weight_share: float
    missed_objective: bool = False


@dataclass(slots=True)
class Bucket:
    """The counts of requests and attempts between two evaluations."""

    counts: list[list[int]]  # by class
    by_account: list[list[int]]  # arrivals, by account and class
    offered_weight: list[float]  # priority weight of ended requests, by class
    served_weight: list[float]  # the part of offered_weight that was served; late requests count in part


class Signals:
    """Counts the decision module's events and actions; `sample` returns the window's signals."""

    def __init__(self, settings: api.Settings, window: float, interval: float) -> None:
        self._settings = settings
        self._interval = interval
        self._length = max(1, round(window / interval))
        self._ring: deque[Bucket] = deque()
        self._open: dict[int, OpenRequest] = {}  # in order of arrival
        self._window = self._bucket()
        self._current = self._bucket()
        self._ready_peaks: deque[tuple[float, int]] = deque()  # (time, count); counts decrease as times increase
        self._host_load: api.HostLoad | None = None

    def _bucket(self) -> Bucket:
        classes, accounts = len(self._settings.classes), max(1, len(self._settings.tenants))
        return Bucket(
            [[0] * COUNTS for _ in range(classes)],
            [[0] * classes for _ in range(accounts)],
            [0.0] * classes,
            [0.0] * classes,
        )

    # Events and actions

    def on_request(self, now: float, request: api.Request, latency_objective: float) -> None:
        """Count an arrival; latency_objective, in seconds, applies to a request of its class without a cost."""
        cls = self._settings.classes[request.cls]
        if request.cost is not None:  # the objective grows with the work per thread
            latency_objective = cls.latency_objective + cls.objective_per_work * request.cost / cls.threads
        self._open[request.id] = OpenRequest(
            request.cls, now + latency_objective, cls.priority_weight, cls.late_weight_share
        )
        self._current.counts[request.cls][ARRIVED] += 1
        self._current.by_account[request.tenant if request.tenant < len(self._current.by_account) else 0][
            request.cls
        ] += 1

    def on_outcome(self, now: float, event: api.AttemptOutcome) -> None:
        """Count the end of an attempt, and the end of its request if the attempt was the last."""
        open_request = self._open.get(event.id)
        if open_request is None:
            return
        counts = self._current.counts[open_request.cls]
        counts[ATTEMPTS] += 1
        counts[TIMEOUTS] += event.result is api.AttemptResult.TIMEOUT
        if event.request_ended:
            self._close(now, event.id, open_request, event.result is api.AttemptResult.OK)

    def on_failure(self, now: float, request: int) -> None:
        """Count a request as unserved: its client has gone or the module has failed it."""
        open_request = self._open.get(request)
        if open_request is not None:
            self._close(now, request, open_request, False)

    def on_rejection(self, now: float, request: int, is_load_shedding: bool) -> None:
        """Count a rejection. A request shed by a level shows nothing about the fleet's state and is not counted."""
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
        """Store the gateway's own load for the next sample."""
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
        if not open_request.missed_objective:  # otherwise it was counted when it missed its objective
            counts[JUDGED] += 1
            counts[MISSED] += now > open_request.objective_at

    # Evaluation

    def sample(self, now: float, fleet: Fleet) -> dict[str, float]:
        """Return the signals of the window that ends now, without shares of fewer than MIN_REQUESTS requests."""
        for request in self._open.values():  # counting open ones detects an overload in which no request ends
            if not request.missed_objective and request.objective_at < now:
                request.missed_objective = True
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

    def resize(self, window: float, interval: float) -> None:
        """Change the window and interval (s), and drop the counts, as their buckets have the old length."""
        self._interval, self._length = interval, max(1, round(window / interval))
        self._ring.clear()
        self._window, self._current = self._bucket(), self._bucket()

    def _rotate(self) -> None:
        """Move the current bucket into the window, and drop the oldest bucket once the window is full."""
        self._add(self._current, 1)
        self._ring.append(self._current)
        self._current = self._bucket()
        if len(self._ring) > self._length:
            self._add(self._ring.popleft(), -1)

    def _add(self, bucket: Bucket, sign: int) -> None:
        pairs = zip(self._window.counts + self._window.by_account, bucket.counts + bucket.by_account, strict=True)
        for sums, counts in pairs:
            for i, count in enumerate(counts):
                sums[i] += sign * count
        for i, (offered, served) in enumerate(zip(bucket.offered_weight, bucket.served_weight, strict=True)):
            # rounding stops the drift of float sums: an empty window must sum to 0
            self._window.offered_weight[i] = round(self._window.offered_weight[i] + sign * offered, 6)
            self._window.served_weight[i] = round(self._window.served_weight[i] + sign * served, 6)

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
        if fleet.reports_query_counts:
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
        prefix, index = f"class.{cls.name}", self._settings.classes.index(cls)
        signals = {f"{prefix}.rate": counts[ARRIVED] / (len(self._ring) * self._interval)}
        if counts[JUDGED] >= MIN_REQUESTS:
            signals[f"{prefix}.late"] = counts[MISSED] / counts[JUDGED]
        offered = self._window.offered_weight[index]
        if counts[ENDED] >= MIN_REQUESTS and offered:
            signals[f"{prefix}.refused"] = counts[REFUSED] / counts[ENDED]
            signals[f"{prefix}.kept"] = min(self._window.served_weight[index] / offered, 1.0)
        if counts[ATTEMPTS] >= MIN_REQUESTS:
            signals[f"{prefix}.timeouts"] = counts[TIMEOUTS] / counts[ATTEMPTS]
        return signals

    def arrivals(self) -> Sequence[Sequence[int]]:
        """Return the number of the window's requests by account and class."""
        return self._window.by_account

    def shares_beyond_quota(self) -> Mapping[str, float]:
        """Return, for each account, the share of its requests in the window that are beyond its quota."""
        total = sum(map(sum, self._window.by_account))
        seconds = max(len(self._ring), 1) * self._interval
        shares = {}
        for account, counts in zip(self._settings.tenant_quotas, self._window.by_account, strict=False):
            requested = sum(counts)
            quota = account.rate / self._settings.gateway_count * seconds
            entitled = max(account.share * total, quota)
            shares[account.name] = max(0.0, 1 - entitled / requested) if requested >= MIN_REQUESTS else 0.0
        return shares
