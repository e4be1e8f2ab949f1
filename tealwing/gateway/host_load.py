"""The gateway's own load, for the service levels: its dispatch lag, the age of unread bytes and its processor use."""

from __future__ import annotations

import threading
import time

from tealwing import interface as api
from tealwing.gateway.decisions import Decisions

REPORT_INTERVAL = 0.25  # s between two HostLoad events: service levels are evaluated about as often
SAMPLE_DECAY = 0.5  # weight of the last interval in the moving averages: they span about half a second


class HostLoadMonitor:
    """Collects measurements from any thread, and reports their averages to the decision module from its own thread."""

    def __init__(self, decisions: Decisions, cores: float) -> None:
        self._decisions, self._cores = decisions, cores
        self._lock = threading.Lock()
        self._dispatch_delay, self._unread_age = (0.0, 0), (0.0, 0)  # sum in s and count since the last event
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the reporting thread."""
        threading.Thread(target=self._run, name="vitals", daemon=True).start()

    def stop(self) -> None:
        """Stop reporting."""
        self._stopped.set()

    def record_dispatch_delay(self, seconds: float) -> None:
        """Record the time from the reading of a request's last byte to the sending of its first attempt."""
        with self._lock:
            self._dispatch_delay = self._dispatch_delay[0] + seconds, self._dispatch_delay[1] + 1

    def record_unread_age(self, seconds: float) -> None:
        """Record how long bytes that have just been read had waited in the socket."""
        with self._lock:
            self._unread_age = self._unread_age[0] + seconds, self._unread_age[1] + 1

    def _run(self) -> None:
        lag = unread = processor = 0.0
        last, last_cpu = time.monotonic(), time.process_time()
        while not self._stopped.wait(REPORT_INTERVAL):
            now, cpu = time.monotonic(), time.process_time()
            with self._lock:
                lags, self._dispatch_delay = self._dispatch_delay, (0.0, 0)
                ages, self._unread_age = self._unread_age, (0.0, 0)
            # no samples count as a delay of 0; a late wake-up of this thread counts as dispatch delay too
            lateness = max(0.0, now - last - REPORT_INTERVAL)
            lag += SAMPLE_DECAY * (max(lags[0] / lags[1] if lags[1] else 0.0, lateness) - lag)
            unread += SAMPLE_DECAY * ((ages[0] / ages[1] if ages[1] else 0.0) - unread)
            processor += SAMPLE_DECAY * ((cpu - last_cpu) / ((now - last) * self._cores) - processor)
            last, last_cpu = now, cpu
            self._decisions.submit(api.HostLoad(lag, unread, processor))
