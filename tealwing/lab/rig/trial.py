"""A trial: processes of the program, a proxy on every peer link, a scenario, a load, and a history of it all."""

from __future__ import annotations

import json
import random
import signal
import tempfile
import threading
import time
import traceback
from pathlib import Path
from typing import Any

from tealwing.lab.faults.network_conditions import NetworkConditions
from tealwing.lab.faults.proxy import Proxy
from tealwing.lab.faults.scenario import Scenario
from tealwing.lab.rig import configuration
from tealwing.lab.rig.configuration import Layout
from tealwing.lab.rig.director import FaultDirector
from tealwing.lab.rig.engines import Engines
from tealwing.lab.rig.fault_log import FaultLog
from tealwing.lab.rig.history import History
from tealwing.lab.rig.ports import free_port
from tealwing.lab.rig.process import Process
from tealwing.lab.rig.process_faults import ProcessFaults
from tealwing.lab.rig.samples import Samples
from tealwing.lab.standins.coordinator import Coordinator
from tealwing.peers.control import ControlClient
from tealwing.peers.plan import Address

SETTLE = 15.0  # s for all to be ready and in touch before the load begins
POLL = 0.05  # s between two looks while something is waited for


class Trial:
    """Everything of one trial; used as a context, it ends all that it started."""

    def __init__(
        self,
        scenario: Scenario,
        procs: int,
        seconds: float,
        seed: int,
        directory: Path | None = None,
        layout: Layout = Layout(),  # noqa: B008 - frozen
        heartbeat_ms: int = 200,
        injection_point: Scenario | None = None,
    ) -> None:
        """Without a folder it has one of its own, which goes with it.

        injection_point: played under load before the scenario and its seconds begin, while only plain changes are made.
        """
        self.injection_point = injection_point
        self._load: Any = None  # under way
        self.layout = layout
        self.scenario, self.seconds, self.seed = scenario, seconds, seed
        self._own = tempfile.TemporaryDirectory(prefix="tealwing-fleet-") if directory is None else None
        self.directory: Path = Path(self._own.name) if directory is None else directory  # type: ignore[union-attr]
        self.directory.mkdir(parents=True, exist_ok=True)
        self.history = History(self.directory / "history.jsonl")
        self.random = random.Random(f"{seed}/director")
        self.names = [f"n{number}" for number in range(procs)]
        self.conditions = NetworkConditions(self.names, seed)
        self.proxy = Proxy(self.conditions, free_port)
        self.engines = Engines(layout.engines, procs, seed, layout.zones, self._reached)
        self.coordinator = Coordinator(self.engines.members())
        self.processes: dict[str, Process] = {}
        self.stopping = threading.Event()
        self.calm = threading.Event()  # no fault is begun any more
        self.samples = Samples(self.processes, self.history, self.caller, layout.site_of)
        self.fault_log = FaultLog(self.history, self.leader)
        self.process_faults = ProcessFaults(self, layout.stale)
        self.holder = ""  # who held the lease, as the load last saw it
        self._threads: list[threading.Thread] = []
        self.begun = self.ended = 0.0
        self.problems: list[str] = []  # of the rig itself: the trial then shows nothing
        for name in self.names:
            self.proxy.set_target(name, ("127.0.0.1", free_port()))
        for number, name in enumerate(self.names):
            control: Address = ("127.0.0.1", free_port())
            known = self.coordinator.known
            configuration_file = configuration.platform_file(
                self.names, number, seed, self.coordinator.address, known, layout
            )
            dial = configuration.dials(name, self.names, self.proxy.target(name), self.proxy.address)
            conf = configuration.operators_file(
                name, dial, control, heartbeat_ms, layout, str(self.directory / name / "data")
            )
            self.processes[name] = Process(name, self.directory / name, configuration_file, conf, control)

    def _reached(self, call: str, site: str) -> None:
        """A query came to an engine; kept where engines have sites, as there it shows who decided."""
        if site:
            self.history.add("seen", call=call, site=site)

    def peer_address(self, name: str) -> Address:
        """Where a process's peer link really listens."""
        return self.proxy.target(name)

    # The context

    def __enter__(self) -> Trial:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """End every process, thread and listener that this trial started, and its folder if it is its own."""
        self.stopping.set()
        self.calm.set()
        for process in self.processes.values():
            process.kill()
        for thread in self._threads:
            thread.join(15.0)
        for process in self.processes.values():  # one that the scenario was just about to start
            process.kill()
        self.proxy.stop()
        self.coordinator.stop()
        self.engines.stop()
        self.history.close()
        if self._own is not None:
            self._own.cleanup()

    def spawn(self, run: Any, name: str) -> threading.Thread:
        """A thread of the trial, started; what it raises is a problem of the rig."""

        def work() -> None:
            try:
                run()
            except Exception:
                self.problems.append(f"{name}: {traceback.format_exc(limit=-4)}")

        thread = threading.Thread(target=work, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()
        return thread

    def start(self) -> None:
        """Start all, and wait until each hears all others."""
        self.proxy.start()
        for process in self.processes.values():
            process.start()
        for process in self.processes.values():
            process.ready()
        self.spawn(lambda: self.samples.run(self.stopping), "samples")
        if not self.wait(self.is_connected, SETTLE):
            raise RuntimeError(f"the processes did not hear each other within {SETTLE:g} s: {self.samples.last}")

    def wait(self, holds: Any, seconds: float) -> bool:
        """Wait for something to hold; whether it did in time."""
        end = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end or self.stopping.is_set():
                return False
            time.sleep(POLL)
        return True

    def is_connected(self) -> bool:
        """Whether every process that runs hears all others that run, and is led if it is replicated."""
        return self.samples.is_connected()

    def leader(self) -> str:
        """Who leads, as the samples say; empty where none is known."""
        return self.samples.leader()

    def caller(self, name: str, limit: float = 1.0) -> ControlClient:
        """A connection to a process's control address."""
        return ControlClient(self.processes[name].control, limit)

    # The whole

    def run(self, load: Any) -> None:
        """Load and scenario together, then everything healed, and what the load still looks at in the end."""
        self.begun = time.monotonic()
        self.history.add("begin", procs=len(self.names), seconds=self.seconds, scenario=self.scenario.title)
        self._load = load
        if self.injection_point is not None:
            load.keep_plain(True)
        load.start(self)
        if self.injection_point is not None:
            FaultDirector(self, self.injection_point, must_come=True).play()
            load.keep_plain(False)
            self.begun = time.monotonic()
        director = self.spawn(FaultDirector(self, self.scenario).play, "scenario")
        self.stopping.wait(self.seconds)
        self.calm.set()
        load.stop()
        director.join(30.0)  # what it had begun
        self.history.add("load-over")
        with self.proxy.lock:
            self.conditions.heal()
        self.fault_log.end_all_intervals()
        for name, process in self.processes.items():
            process.signal(signal.SIGCONT)
            if (
                name in self.process_faults.failing and process.running
            ):  # its scenario ended before it had it started anew
                self.process_faults.kill(name)
            if not process.running:
                self.process_faults.start(name, "kept")
        for process in self.processes.values():
            process.ready()
        healed = time.monotonic()
        if not self.wait(self.is_connected, SETTLE):
            self.history.add("never-settled", samples=self.samples.last)
        self.history.add("settled", after=round(time.monotonic() - healed, 3))
        load.finish(self)
        self.ended = self.history.now()
        self.history.add("end")
        self.stopping.set()

    def changes(self, going_on: bool) -> None:
        """Have the operators of the load make changes, or begin none."""
        self._load.hold_changes(not going_on)

    def fault_lines(self) -> list[str]:
        """What the processes' logs say that must never be said."""
        return [f"{name}: {what}" for name, process in self.processes.items() for what in process.fault_lines()]


def write_json(path: Path, data: Any) -> None:
    """A file of JSON, whole."""
    path.write_text(json.dumps(data, indent=1) + "\n")
