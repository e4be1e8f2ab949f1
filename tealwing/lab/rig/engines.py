"""The stand-in engines of a trial, which serve clients' queries while the fleet is under faults."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from typing import Any

import numpy as np

from tealwing.lab import arrivals, site
from tealwing.lab.realtime import RealClock
from tealwing.lab.standins.engine import Engine, Keys

DEFAULT_SITE = "bloemfontein"  # locality of engines in a trial without sites
WORK_SCALE = 0.02  # work and memory of a query relative to BRIEF; trials check whether queries are served, not speed


class Engines:
    """Healthy stand-in engines on sockets, assigned to the sites in turn."""

    def __init__(
        self,
        count: int,
        gateways: int,
        seed: int,
        sites: Sequence[str] = (),
        seen: Callable[[str, str], object] | None = None,
    ) -> None:
        """sites: localities of the engines, which result rows name; if empty, all have one that rows don't name.

        seen is called with the id of each query that reaches an engine, and with the engine's site.
        """
        self._site: dict[str, str] = {}
        self._clock = RealClock() if count else None
        self._engines: dict[str, Engine] = {}
        self._cores: dict[str, int] = {}
        if self._clock is None:
            return
        settings, keys = site.settings(gateways), Keys(self._clock)
        mix = tuple(
            arrivals.Mix(m.share, m.work * WORK_SCALE, m.spread, m.io, m.memory * WORK_SCALE) for m in arrivals.BRIEF
        )
        for number, draw in enumerate(site.draws(np.random.default_rng((seed, 51)), count)):
            name = f"s-{number}"
            site_ = sites[number % len(sites)] if sites else ""
            self._engines[name] = Engine(
                settings, draw, self._clock, keys, seed + number, mix=mix, site=site_, seen=seen
            )  # fmt: skip
            self._site[name] = site_ or DEFAULT_SITE
            self._cores[name] = draw.cores

    def members(self) -> list[dict[str, Any]]:
        """Return the engine list as the coordinator serves it."""
        return [
            {"id": name, "host_port": engine.address, "locality": self._site[name],
             "flavor": f"{self._cores[name]}-core",
             "cell": 0, "phase": "up", "size": 1, "up_since_ms": 0}
            for name, engine in self._engines.items()
        ]  # fmt: skip

    def stop(self) -> None:
        """Stop all engines and their clock."""
        for engine in self._engines.values():
            with contextlib.suppress(OSError):
                engine.crash()
        if self._clock is not None:
            self._clock.stop()
