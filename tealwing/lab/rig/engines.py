"""The stand-in engines of a trial, so that clients' queries are served while the fleet has its troubles."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from typing import Any

import numpy as np

from tealwing.lab import arrivals, site
from tealwing.lab.realtime import RealClock
from tealwing.lab.standins.engine import Engine, Keys

HOME = "bloemfontein"  # where they stand without sites
SMALL = 0.02  # of the brief's work that a query takes here: it is whether they are served that counts


class Engines:
    """Some engines on sockets, all well; in turn one for each site."""

    def __init__(
        self,
        count: int,
        gateways: int,
        seed: int,
        sites: Sequence[str] = (),
        seen: Callable[[str, str], object] | None = None,
    ) -> None:
        """sites: their localities; rows name them. Without sites all stand at one place, which rows don't name.

        seen is told the id of each query that reaches an engine, and the engine's site.
        """
        self._site: dict[str, str] = {}
        self._clock = RealClock() if count else None
        self._engines: dict[str, Engine] = {}
        self._cores: dict[str, int] = {}
        if self._clock is None:
            return
        settings, keys = site.settings(gateways), Keys(self._clock)
        mix = tuple(arrivals.Mix(m.share, m.work * SMALL, m.spread, m.io, m.memory * SMALL) for m in arrivals.BRIEF)
        for number, draw in enumerate(site.draws(np.random.default_rng((seed, 51)), count)):
            name = f"s-{number}"
            site_ = sites[number % len(sites)] if sites else ""
            self._engines[name] = Engine(
                settings, draw, self._clock, keys, seed + number, mix=mix, site=site_, seen=seen
            )  # fmt: skip
            self._site[name] = site_ or HOME
            self._cores[name] = draw.cores

    def members(self) -> list[dict[str, Any]]:
        """As the coordinator tells them."""
        return [
            {"id": name, "host_port": engine.address, "locality": self._site[name],
             "flavor": f"{self._cores[name]}-core",
             "cell": 0, "phase": "up", "size": 1, "up_since_ms": 0}
            for name, engine in self._engines.items()
        ]  # fmt: skip

    def stop(self) -> None:
        """End them."""
        for engine in self._engines.values():
            with contextlib.suppress(OSError):
                engine.crash()
        if self._clock is not None:
            self._clock.stop()
