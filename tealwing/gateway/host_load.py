"""The gateway's own state, for the service levels: its lag, the age of what waits to be read, its processor time."""

from __future__ import annotations

import threading
import time

from tealwing import interface as api
from tealwing.gateway.decisions import Decisions

REPORT_INTERVAL = 0.25  # s between two events: levels are looked at about as often
SAMPLE_DECAY = 0.5  # weight of the last quarter of a second in the means: a memory of half a second


class HostLoadMonitor:
    """Takes measured times from any thread; tells the module of them from a thread of its own."""

    def __init__(self, decisions: Decisions, cores: float) -> None:
        self._decisions, self._cores = decisions, cores
        self._lock = threading.Lock()
        self._dispatch_delay, self._unread_age = (0.0, 0), (0.0, 0)  # sum and count since the last event
        self._stopped = threading.Event()

    def start(self) -> None:
        """Tell from now on."""
        threading.Thread(target=self._run, name="vitals", daemon=True).start()

    def stop(self) -> None:
        """Tell no more."""
        self._stopped.set()

    def record_dispatch_delay(self, seconds: float) -> None:
        """A request's first attempt went out so long after its last byte had been read."""
        with self._lock:
            self._dispatch_delay = self._dispatch_delay[0] + seconds, self._dispatch_delay[1] + 1

    def record_unread_age(self, seconds: float) -> None:
        """What was read now had come so long ago."""
        with self._lock:
            self._unread_age = self._unread_age[0] + seconds, self._unread_age[1] + 1

    def _run(self) -> None:
        lag = unread = processor = 0.0
        at, used = time.monotonic(), time.process_time()
        while not self._stopped.wait(REPORT_INTERVAL):
            now, took = time.monotonic(), time.process_time()
            with self._lock:
                lags, self._dispatch_delay = self._dispatch_delay, (0.0, 0)
                ages, self._unread_age = self._unread_age, (0.0, 0)
            # nothing came: nothing waits, as far as is known; a wake-up that is late is lag itself
            lateness = max(0.0, now - at - REPORT_INTERVAL)
            lag += SAMPLE_DECAY * (max(lags[0] / lags[1] if lags[1] else 0.0, lateness) - lag)
            unread += SAMPLE_DECAY * ((ages[0] / ages[1] if ages[1] else 0.0) - unread)
            processor += SAMPLE_DECAY * ((took - used) / ((now - at) * self._cores) - processor)
            at, used = now, took
            self._decisions.submit(api.HostLoad(lag, unread, processor))
