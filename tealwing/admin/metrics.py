"""The gateway's metrics: counters and gauges, and their StatsD lines for the admin address."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

PREFIX = "app"
BY_CLASS = ("ok", "shed", "errors", "tries")  # requests served, rejected and failed; attempts sent
CONFIG = ("config_applied", "config_rejected")  # configuration files applied and rejected at SIGHUP


class Metrics:
    """Counters by class name, from 0 at the start of the process; the counters of a dropped class are dropped.

    Counting takes a lock, which is never held for longer than a few dictionary operations.
    """

    def __init__(self, classes: Iterable[str], watch_ends: Iterable[str] = ()) -> None:
        self._lock = threading.Lock()
        self._counts: dict[str, list[int]] = {name: [0] * len(BY_CLASS) for name in classes}
        self._config = [0, 0]
        self._watches: dict[str, int] = dict.fromkeys(watch_ends, 0)  # ended watches of the engine list, by reason
        self._totals = [0] * len(BY_CLASS)  # of all classes, dropped ones included
        self.gauges: Callable[[], dict[str, int]] = dict  # returns the gauges by name; called for each report

    def count(self, figure: int, name: str, by: int = 1) -> None:
        """Add to a counter (an index of BY_CLASS) of a class; unknown classes are ignored."""
        with self._lock:
            self._totals[figure] += by
            counts = self._counts.get(name)
            if counts is not None:
                counts[figure] += by

    @property
    def totals(self) -> tuple[int, ...]:
        """Return the counters of BY_CLASS over all classes, dropped ones included."""
        with self._lock:
            return tuple(self._totals)

    def count_watch_end(self, reason: str) -> None:
        """Count an ended watch of the engine list."""
        with self._lock:
            self._watches[reason] = self._watches.get(reason, 0) + 1

    def count_configuration(self, applied: bool) -> None:
        """Count a reload at SIGHUP whose files were applied or rejected."""
        with self._lock:
            self._config[0 if applied else 1] += 1

    def set_classes(self, classes: Iterable[str]) -> None:
        """Set the classes: counters of new classes start at 0, those of dropped classes are removed."""
        names = list(classes)
        with self._lock:
            self._counts = {name: self._counts.get(name) or [0] * len(BY_CLASS) for name in names}

    def statsd_lines(self) -> bytes:
        """Return all metrics as StatsD lines: counters as `|c`, gauges as `|g`."""
        with self._lock:
            counts = {name: list(values) for name, values in self._counts.items()}
            config, watches = list(self._config), dict(self._watches)
        out = [
            f"{PREFIX}.{figure}.{name}:{values[index]}|c"
            for name, values in counts.items()
            for index, figure in enumerate(BY_CLASS)
        ]
        out += [f"{PREFIX}.{figure}:{value}|c" for figure, value in zip(CONFIG, config, strict=True)]
        out += [f"{PREFIX}.watch_ended.{reason}:{value}|c" for reason, value in watches.items()]
        out += [f"{PREFIX}.{figure}:{value}|g" for figure, value in self.gauges().items()]
        return ("\n".join(out) + "\n").encode()


OK, SHED, ERRORS, TRIES = range(len(BY_CLASS))
