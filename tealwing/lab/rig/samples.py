"""Looks at the processes of a trial, again and again: what each says of itself and of its peers."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any

from tealwing.lab.rig.history import History
from tealwing.lab.rig.process import Process
from tealwing.peers.control import ControlClient, RemoteCallError

SAMPLE = 0.25  # s between two looks at each process
CALL_TIMEOUT = 1.0  # s that a look waits for its answer
SAMPLED_FIELDS = ("role", "term", "leader", "commit", "applied", "unsure", "phase")  # of a status, where it has them


class Samples:
    """The last look at each process that runs; all looks are in the history."""

    def __init__(self, processes: Mapping[str, Process], history: History, caller: Callable[[str], ControlClient],
                 site_of: Callable[[str], str]) -> None:  # fmt: skip
        """site_of gives a process's site in a federation, where each site has a log of its own; else empty."""
        self.last: dict[str, dict[str, Any]] = {}
        self._processes, self._history, self._caller, self._site_of = processes, history, caller, site_of

    def run(self, stopping: threading.Event) -> None:
        """Look until the trial stops."""
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
            stopping.wait(SAMPLE)
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
        """Whether every process that runs hears all others that run, and is led if it is replicated."""
        running = {name for name, process in self._processes.items() if process.running and not process.stopped}
        for name in running:
            sample = self.last.get(name)
            if sample is None:
                return False
            # two that only learn have no link to one another, and say so
            reachable = {peer for peer, state in sample["peers"].items() if state in ("alive", "unlinked")}
            if not running - {name} <= reachable or sample.get("leader") == "":
                return False
        return True

    def leader(self) -> str:
        """Who leads, as the samples say: the leader of the highest term; empty where none is known."""
        led = [(s.get("term", 0), name) for name, s in list(self.last.items()) if s.get("role") == "leader"]
        return max(led)[1] if led else ""

    def leaders(self) -> list[str]:
        """All that say they lead: of a federation, those of the sites' logs."""
        return [name for name, sample in list(self.last.items()) if sample.get("role") == "leader"]

    @property
    def replicated(self) -> bool:
        """Whether any process says that it keeps the replicated state."""
        return any("role" in sample for sample in list(self.last.values()))
