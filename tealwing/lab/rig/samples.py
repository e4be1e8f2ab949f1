"""Samples the status of each process of a trial at intervals: its own state and how it sees its peers."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any

from tealwing.lab.rig.history import History
from tealwing.lab.rig.process import Process
from tealwing.peers.control import ControlClient, RemoteCallError

SAMPLE_INTERVAL = 0.25  # s between two samples of each process
CALL_TIMEOUT = 1.0  # s that a call waits for its answer
SAMPLED_FIELDS = ("role", "term", "leader", "commit", "applied", "unsure", "phase")  # kept if the status has them


class Samples:
    """Keeps the last sample of each running process, and records every sample in the history."""

    def __init__(self, processes: Mapping[str, Process], history: History, caller: Callable[[str], ControlClient],
                 site_of: Callable[[str], str]) -> None:  # fmt: skip
        """site_of: returns the site of a process in a federation, where each site has its own log; else empty."""
        self.last: dict[str, dict[str, Any]] = {}
        self._processes, self._history, self._caller, self._site_of = processes, history, caller, site_of

    def run(self, stopping: threading.Event) -> None:
        """Sample all processes until the trial stops."""
        callers: dict[str, ControlClient] = {}
        while not stopping.is_set():
            for name, process in self._processes.items():
                if not process.running or process.stopped:
                    self.last.pop(name, None)
                    continue
                try:
                    if name not in callers:
                        callers[name] = self._caller(name)
                    begun = self._history.now()
                    found = callers[name].call("status", CALL_TIMEOUT)
                except (OSError, RemoteCallError):
                    if (old := callers.pop(name, None)) is not None:
                        old.close()
                    self.last.pop(name, None)
                    continue
                self._keep(name, begun, found)
            stopping.wait(SAMPLE_INTERVAL)
        for caller in callers.values():
            caller.close()

    def _keep(self, name: str, begun: float, found: dict[str, Any]) -> None:
        sample: dict[str, Any] = {
            "process": name, "asked": round(begun, 6), "boot": found["boot"],
            "peers": {peer["name"]: peer["state"] for peer in found["peers"]},
            **{key: found[key] for key in SAMPLED_FIELDS if key in found},
        }  # fmt: skip
        if site := self._site_of(name):
            sample["log"] = site
        self.last[name] = sample
        self._history.add("sample", **sample)

    def is_connected(self) -> bool:
        """Return whether every running process counts all others as alive, and knows a leader if it is replicated."""
        running = {name for name, process in self._processes.items() if process.running and not process.stopped}
        for name in running:
            sample = self.last.get(name)
            if sample is None:
                return False
            # learners have no links to one another, and report each other as unlinked
            reachable = {peer for peer, state in sample["peers"].items() if state in ("alive", "unlinked")}
            if not running - {name} <= reachable or sample.get("leader") == "":
                return False
        return True

    def leader(self) -> str:
        """Return the leader of the highest term among the samples; empty if none is known."""
        led = [(s.get("term", 0), name) for name, s in list(self.last.items()) if s.get("role") == "leader"]
        return max(led)[1] if led else ""

    def leaders(self) -> list[str]:
        """Return all processes that report the role leader: in a federation, one per site's log."""
        return [name for name, sample in list(self.last.items()) if sample.get("role") == "leader"]

    @property
    def replicated(self) -> bool:
        """Whether any process reports a role in a replicated log."""
        return any("role" in sample for sample in list(self.last.values()))
