"""Open-loop load on real gateways: a schedule drawn in advance, and latency measured from a request's due time.

A client that waits for an answer before it sends its next request hides every stall (Tene's "coordinated omission").
This schedule does not wait: the latency of a request that is sent late, for lack of a free session or of processor
time, counts from its due time. The tool reports its own lateness; above a limit the run counts as spoilt, because it
then measured the tool.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from tealwing.lab import arrivals
from tealwing.lab.client import Session

STACK = 256 * 1024  # bytes of stack per thread
MAX_LATENCY = 120_000_000  # us, the largest value that a histogram holds
DIGITS = 3  # significant digits of a recorded latency
SPOILT = 0.01  # s of the tool's own lateness (99th percentile) above which the run is spoilt
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
NAMES = ("lookup", "report", "load")
DEADLINES = (3.0, 20.0, 25.0)  # s by class (the operators' brief)
ACCOUNTS = ("graan-koop", "veldsure")


@dataclass(frozen=True, slots=True)
class LoadSpecification:
    """The load to generate."""

    addresses: tuple[tuple[str, int], ...]
    rate: float  # requests a second, over all addresses
    seconds: float
    sessions: int  # open at once, over all addresses
    seed: int
    shape: arrivals.Shape = arrivals.steady
    mix: tuple[arrivals.Mix, ...] = arrivals.BRIEF
    names: tuple[str, ...] = NAMES
    deadlines: tuple[float, ...] = DEADLINES
    accounts: tuple[str, ...] = ACCOUNTS


class Load:
    """One run of a load."""

    def __init__(self, spec: LoadSpecification) -> None:
        self._spec = spec
        rng = np.random.default_rng((spec.seed, 40))
        shares = arrivals.ACCOUNTS if len(spec.accounts) == len(arrivals.ACCOUNTS) else (1.0,) * len(spec.accounts)
        drawn = arrivals.draw(rng, spec.rate, spec.seconds, len(spec.addresses), spec.shape, spec.mix, shares)
        columns = (drawn.at, drawn.cls, drawn.account, drawn.gateway, drawn.cost, drawn.group, drawn.need)
        self._plan: list[tuple[Any, ...]] = list(zip(*(column.tolist() for column in columns), strict=True))
        self._next, self._lock = 0, threading.Lock()
        self._begun = 0.0
        self.latency = {name: HdrHistogram(1, MAX_LATENCY, DIGITS) for name in spec.names}
        self.lateness = HdrHistogram(1, MAX_LATENCY, DIGITS)
        self.ends: dict[str, Counter[str]] = {name: Counter() for name in spec.names}
        self.rows = 0

    def run(self) -> dict[str, Any]:
        """Play the schedule; returns the figures."""
        threading.stack_size(STACK)
        self._begun = time.monotonic() + 0.2  # s for the threads to start
        workers = [
            threading.Thread(target=self._run_session, name=f"load-{i}", daemon=True)
            for i in range(min(self._spec.sessions, max(len(self._plan), 1)))
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        return self.summary()

    def _run_session(self) -> None:
        """Thread of one session: sends the schedule's next request when it is due, or at once if that has passed."""
        sessions: dict[int, Session] = {}
        while True:
            with self._lock:
                place = self._next
                self._next += 1
            if place >= len(self._plan):
                break
            at, cls, account, gateway, cost, group, need = self._plan[place]
            due = self._begun + at
            if (wait := due - time.monotonic()) > 0:
                time.sleep(wait)
            text = self._text(place, cls, account, cost, group, need)
            lateness = time.monotonic() - due
            outcome, rows = self._send_query(sessions, gateway, text, self._spec.deadlines[cls] - lateness)
            took = time.monotonic() - due
            name = self._spec.names[cls]
            with self._lock:
                self.lateness.record_value(max(round(lateness * 1e6), 1))
                self.ends[name][outcome] += 1
                self.rows += rows
                if outcome == "served":
                    self.latency[name].record_value(min(max(round(took * 1e6), 1), MAX_LATENCY))
        for session in sessions.values():
            session.close()

    def _send_query(self, sessions: dict[int, Session], gateway: int, text: bytes, left: float) -> tuple[str, int]:
        if left <= 0:
            return "not sent in time", 0
        try:
            session = sessions.get(gateway)
            if session is None:
                session = sessions[gateway] = Session(self._spec.addresses[gateway])
            answer = session.query(text, left)
            return answer.outcome, answer.rows
        except TimeoutError:
            outcome = "no answer in time"
        except OSError:
            outcome = "connection lost"
        if (lost_session := sessions.pop(gateway, None)) is not None:
            lost_session.close()
        return outcome, 0

    def _text(self, place: int, cls: int, account: int, cost: float, group: int, need: float) -> bytes:
        spec = self._spec
        call = f"{spec.seed & 0xFFFF:04x}{place:012x}"
        fields = f"op={spec.names[cls]},call={call},ttl={round(spec.deadlines[cls] * 1e3)},org={spec.accounts[account]}"
        fields += f",work={cost * 1e3:.1f},heap_mb={need:.0f}"
        if spec.names[cls] == "load":
            fields += f",dedupe={call}"
        return f"/* {fields} */ SELECT day, count(*), max(note) FROM sales_{group}.orders GROUP BY day".encode()

    def summary(self) -> dict[str, Any]:
        """The figures: counts, latencies in ms from the due time, and the tool's own lateness."""
        total = Counter[str]()
        for ends in self.ends.values():
            total += ends
        tool_lateness = self.lateness.get_value_at_percentile(99.0) / 1e6 if self._plan else 0.0
        return {
            "asked": len(self._plan),
            "seconds": self._spec.seconds,
            "ends": dict(total),
            "by_class": {
                name: {
                    "asked": sum(self.ends[name].values()),
                    "ends": dict(self.ends[name]),
                    "latency_ms": {f"p{p:g}": histogram.get_value_at_percentile(p) / 1e3 for p in PERCENTILES},
                }
                for name, histogram in self.latency.items()
            },
            "rows": self.rows,
            "own_lateness_ms_p99": round(tool_lateness * 1e3, 3),
            "spoilt": tool_lateness > SPOILT,
        }


def text(summary: dict[str, Any]) -> str:
    """The figures as a table."""
    heads = [f"p{p:g}" for p in PERCENTILES]
    lines = [
        f"{'class':10} {'asked':>7} {'served':>7} {'refused':>8} {'other':>6} " + "".join(f"{h:>10}" for h in heads)
    ]
    for name, row in summary["by_class"].items():
        ends = row["ends"]
        served, refused = ends.get("served", 0), ends.get("refused", 0)
        other = row["asked"] - served - refused
        cells = "".join(f"{row['latency_ms'][head]:>10.1f}" for head in heads)
        lines.append(f"{name:10} {row['asked']:>7} {served:>7} {refused:>8} {other:>6} {cells}")
    lines.append(
        f"latency in ms from the due time; the tool's own lateness, p99: {summary['own_lateness_ms_p99']:.1f} ms"
    )
    if summary["spoilt"]:
        lines.append(
            "SPOILT: the load tool was late itself, so the figures describe the tool; use more sessions or a lower rate"
        )
    return "\n".join(lines)


def addresses(texts: Sequence[str]) -> tuple[tuple[str, int], ...]:
    """Parse HOST:PORT texts; raises ValueError with the first one that is malformed."""
    found = []
    for text in texts:
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError(f"found {text!r}; allowed: HOST:PORT")
        found.append((host, int(port)))
    return tuple(found)
