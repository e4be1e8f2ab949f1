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

LEAST = 10  # requests below which a share says nothing: one late answer of two is no flood
READY_MEMORY = 300.0  # s in which the most engines ready are remembered: a release takes minutes

# places in a class's counters
# JUDGED: ended in time, or past its aim whether it has ended or not; refusals are not judged
CAME, ENDED, JUDGED, LATE, REFUSED, ATTEMPTS, TIMEOUTS = range(7)
COUNTS = 7


class Fleet(Protocol):
    """What the decision module shows of the fleet; tealwing.policy.Gateway has all of it."""

    fleet: dict[str, float]
    slow: float
    cores: float
    counted: bool

    @property
    def ready(self) -> Sequence[Engine]:
        """The engines that are ready."""


class Engine(Protocol):
    """What is read of one engine."""

    cores: int
    load: float


@dataclass(slots=True)
class Open:
    """A request under way: its class, when it is past its aim, its worth, and whether it was late."""

    cls: int
    due: float
    worth: float
    late_share: float
    late: bool = False


@dataclass(slots=True)
class Bucket:
    """What came between two looks."""

    counts: list[list[int]]  # by class
    accounts: list[list[int]]  # arrivals by account and class
    offered: list[float]  # worth by class, of what ended
    kept: list[float]


class Signals:
    """Takes what passes between host and module; `read` gives the signals of the window."""

    def __init__(self, settings: api.Settings, window: float, every: float) -> None:
        self._settings = settings
        self._every, self._length = every, max(1, round(window / every))
        self._ring: deque[Bucket] = deque()
        self._open: dict[int, Open] = {}  # in the order in which they came
        self._sum, self._now = self._bucket(), self._bucket()
        self._ready: deque[tuple[float, int]] = deque()  # the most ready: falling counts, rising times
        self._host: api.HostLoad | None = None

    def _bucket(self) -> Bucket:
        classes, accounts = len(self._settings.classes), max(1, len(self._settings.tenants))
        return Bucket(
            [[0] * COUNTS for _ in range(classes)],
            [[0] * classes for _ in range(accounts)],
            [0.0] * classes,
            [0.0] * classes,
        )

    # What passes

    def came(self, now: float, request: api.Request, goal: float) -> None:
        """A request; goal is the aim of a usual one of its class, in seconds."""
        cls = self._settings.classes[request.cls]
        if request.cost is not None:  # the aim grows with the work over its threads
            goal = cls.latency_objective + cls.objective_per_work * request.cost / cls.threads
        self._open[request.id] = Open(request.cls, now + goal, cls.priority_weight, cls.late_weight_share)
        self._now.counts[request.cls][CAME] += 1
        self._now.accounts[request.tenant if request.tenant < len(self._now.accounts) else 0][request.cls] += 1

    def outcome(self, now: float, event: api.AttemptOutcome) -> None:
        """An attempt ended, and with it the request where it was served."""
        found = self._open.get(event.id)
        if found is None:
            return
        counts = self._now.counts[found.cls]
        counts[ATTEMPTS] += 1
        counts[TIMEOUTS] += event.result is api.AttemptResult.TIMEOUT
        if event.request_ended:
            self._ended(now, event.id, found, event.result is api.AttemptResult.OK)

    def gave_up(self, now: float, request: int) -> None:
        """The client went, or the module failed the request."""
        found = self._open.get(request)
        if found is not None:
            self._ended(now, request, found, False)

    def refused(self, now: float, request: int, shed: bool) -> None:
        """The module refused a request; one that a level shed tells nothing of the fleet and is not counted."""
        found = self._open.get(request)
        if found is None:
            return
        if shed:
            del self._open[request]
            return
        self._now.counts[found.cls][REFUSED] += 1
        self._now.counts[found.cls][ENDED] += 1
        self._now.offered[found.cls] += found.worth
        del self._open[request]

    def host(self, load: api.HostLoad) -> None:
        """The gateway's own state."""
        self._host = load

    def _ended(self, now: float, request: int, found: Open, served: bool) -> None:
        del self._open[request]
        counts = self._now.counts[found.cls]
        counts[ENDED] += 1
        self._now.offered[found.cls] += found.worth
        if served and now <= found.due:
            self._now.kept[found.cls] += found.worth
        elif served:
            self._now.kept[found.cls] += found.worth * found.late_share
        if not found.late:  # else it was counted when it passed its aim
            counts[JUDGED] += 1
            counts[LATE] += now > found.due

    # A look

    def read(self, now: float, fleet: Fleet) -> dict[str, float]:
        """The signals of the window that ends now. Shares of fewer than LEAST requests are left out."""
        for found in self._open.values():  # what is past its aim tells of a jam, which ends nothing
            if not found.late and found.due < now:
                found.late = True
                self._now.counts[found.cls][JUDGED] += 1
                self._now.counts[found.cls][LATE] += 1
        self._turn()
        signals = self._of_the_fleet(now, fleet)
        for cls, counts in zip(self._settings.classes, self._sum.counts, strict=True):
            signals |= self._of_a_class(cls, counts)
        for account, share in self.beyond().items():
            signals[f"account.{account}.beyond"] = share
        seconds = len(self._ring) * self._every
        for tenant, counts in zip(self._settings.tenants, self._sum.accounts, strict=False):
            signals[f"account.{tenant}.rate"] = sum(counts) / seconds
        if self._host is not None:
            signals["own.lag"], signals["own.unread"] = self._host.dispatch_delay, self._host.unread_age
            signals["own.processor"] = self._host.cpu_utilization
        return signals

    def resize(self, window: float, every: float) -> None:
        """Another window: what was counted in the old one is let go of, as its buckets have another length."""
        self._every, self._length = every, max(1, round(window / every))
        self._ring.clear()
        self._sum, self._now = self._bucket(), self._bucket()

    def _turn(self) -> None:
        """The bucket that is full goes into the ring, and the oldest leaves it."""
        self._add(self._now, 1)
        self._ring.append(self._now)
        self._now = self._bucket()
        if len(self._ring) > self._length:
            self._add(self._ring.popleft(), -1)

    def _add(self, bucket: Bucket, sign: int) -> None:
        both = zip(self._sum.counts + self._sum.accounts, bucket.counts + bucket.accounts, strict=True)
        for ours, theirs in both:
            for i, count in enumerate(theirs):
                ours[i] += sign * count
        for i, (offered, kept) in enumerate(zip(bucket.offered, bucket.kept, strict=True)):
            # sums of floats drift: an empty window must read as nothing
            self._sum.offered[i] = round(self._sum.offered[i] + sign * offered, 6)
            self._sum.kept[i] = round(self._sum.kept[i] + sign * kept, 6)

    def _of_the_fleet(self, now: float, fleet: Fleet) -> dict[str, float]:
        ready = len(fleet.ready)
        while self._ready and (self._ready[-1][1] <= ready):
            self._ready.pop()
        self._ready.append((now, ready))
        while self._ready[0][0] < now - READY_MEMORY:
            self._ready.popleft()
        signals = {"fleet.slow": fleet.slow, "fleet.queue": fleet.fleet.get("queue", 0.0)}
        most = self._ready[0][1]
        signals["fleet.ready"] = ready / most if most else 1.0
        cores = sum(engine.cores for engine in fleet.ready)
        signals["fleet.cold"] = 1 - min(fleet.cores / cores, 1.0) if cores else 0.0
        if fleet.counted:
            signals["fleet.load"] = fleet.fleet.get("load", 0.0)
        elif ready:
            signals["fleet.load"] = sum(engine.load for engine in fleet.ready) / ready
        ended = sum(counts[ENDED] for counts in self._sum.counts)
        if ended >= LEAST:
            signals["fleet.refused"] = sum(counts[REFUSED] for counts in self._sum.counts) / ended
            offered = sum(self._sum.offered)
            signals["fleet.kept"] = min(sum(self._sum.kept) / offered, 1.0) if offered else 1.0
        return signals

    def _of_a_class(self, cls: api.RequestClass, counts: Sequence[int]) -> dict[str, float]:
        head, place = f"class.{cls.name}", self._settings.classes.index(cls)
        signals = {f"{head}.rate": counts[CAME] / (len(self._ring) * self._every)}
        if counts[JUDGED] >= LEAST:
            signals[f"{head}.late"] = counts[LATE] / counts[JUDGED]
        offered = self._sum.offered[place]
        if counts[ENDED] >= LEAST and offered:
            signals[f"{head}.refused"] = counts[REFUSED] / counts[ENDED]
            signals[f"{head}.kept"] = min(self._sum.kept[place] / offered, 1.0)
        if counts[ATTEMPTS] >= LEAST:
            signals[f"{head}.timeouts"] = counts[TIMEOUTS] / counts[ATTEMPTS]
        return signals

    def arrivals(self) -> Sequence[Sequence[int]]:
        """Requests of the window by account and class."""
        return self._sum.accounts

    def beyond(self) -> Mapping[str, float]:
        """By account, the share of its requests that lie beyond its share of the service."""
        total = sum(map(sum, self._sum.accounts))
        seconds = max(len(self._ring), 1) * self._every
        found = {}
        for account, counts in zip(self._settings.tenant_quotas, self._sum.accounts, strict=False):
            asked = sum(counts)
            quota = account.rate / self._settings.gateway_count * seconds
            due = max(account.share * total, quota)
            found[account.name] = max(0.0, 1 - due / asked) if asked >= LEAST else 0.0
        return found
