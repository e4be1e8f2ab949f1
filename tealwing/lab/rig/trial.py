"""A trial: processes of the program, a proxy on every peer link, a scenario, a load and the history."""

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

CONNECT_LIMIT = 15.0  # s for all processes to connect, before the load begins and after faults are healed
POLL = 0.05  # s between two checks of a condition that is waited for


class Trial:
    """All parts of one trial; as a context manager it ends all that it started."""

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
        """directory: None for a temporary one, removed on close. injection_point: a scenario to run before the trial's.

        The injection point runs under load, with plain changes only, before the scenario and its seconds begin.
        """
        self.injection_point = injection_point
        self._load: Any = None  # the running load
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
        self.engines = Engines(layout.engines, procs, seed, layout.zones, self._record_reached_engine)
        self.coordinator = Coordinator(self.engines.members())
        self.processes: dict[str, Process] = {}
        self.stopping = threading.Event()
        self.faults_over = threading.Event()  # set when no further faults may begin
        self.samples = Samples(self.processes, self.history, self.caller, layout.site_of)
        self.fault_log = FaultLog(self.history, self.leader)
        self.process_faults = ProcessFaults(self, layout.stale)
        self.holder = ""  # last known holder of the lease, set by the load
        self._threads: list[threading.Thread] = []
        self.begun = self.ended = 0.0
        self.problems: list[str] = []  # faults of the rig itself, which make the trial inconclusive
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

    def _record_reached_engine(self, call: str, site: str) -> None:
        """Record that a query reached an engine; only if engines have sites, which show the version that decided."""
        if site:
            self.history.add("seen", call=call, site=site)

    def peer_address(self, name: str) -> Address:
        """Return the address on which a process's peer link listens, behind the proxy."""
        return self.proxy.target(name)

    def __enter__(self) -> Trial:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """End every process, thread and listener that this trial started, and remove its temporary directory."""
        self.stopping.set()
        self.faults_over.set()
        for process in self.processes.values():
            process.kill()
        for thread in self._threads:
            thread.join(15.0)
        for process in self.processes.values():  # the scenario may have started another one meanwhile
            process.kill()
        self.proxy.stop()
        self.coordinator.stop()
        self.engines.stop()
        self.history.close()
        if self._own is not None:
            self._own.cleanup()

    def spawn(self, run: Any, name: str) -> threading.Thread:
        """Start a thread of the trial and return it; an exception in it is a problem of the rig."""

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
        """Start all processes, and wait until all are connected."""
        self.proxy.start()
        for process in self.processes.values():
            process.start()
        for process in self.processes.values():
            process.ready()
        self.spawn(lambda: self.samples.run(self.stopping), "samples")
        if not self.wait(self.is_connected, CONNECT_LIMIT):
            raise RuntimeError(
                f"the processes did not all connect within {CONNECT_LIMIT:g} s; last samples: {self.samples.last}"
            )

    def wait(self, holds: Any, seconds: float) -> bool:
        """Wait until the condition holds; return whether it did in time."""
        end = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end or self.stopping.is_set():
                return False
            time.sleep(POLL)
        return True

    def is_connected(self) -> bool:
        """Return whether every running process counts all others as alive, and knows a leader if it is replicated."""
        return self.samples.is_connected()

    def leader(self) -> str:
        """Return the leader according to the samples; empty if none is known."""
        return self.samples.leader()

    def caller(self, name: str, limit: float = 1.0) -> ControlClient:
        """Return a client of a process's control address."""
        return ControlClient(self.processes[name].control, limit)

    def run(self, load: Any) -> None:
        """Run load and scenario together, heal all faults, wait for reconnection, and record the load's final state."""
        self.begun = time.monotonic()
        self.history.add("begin", procs=len(self.names), seconds=self.seconds, scenario=self.scenario.title)
        self._load = load
        if self.injection_point is not None:
            load.set_only_plain(True)
        load.start(self)
        if self.injection_point is not None:
            FaultDirector(self, self.injection_point, conditions_required=True).play()
            load.set_only_plain(False)
            self.begun = time.monotonic()
        director = self.spawn(FaultDirector(self, self.scenario).play, "scenario")
        self.stopping.wait(self.seconds)
        self.faults_over.set()
        load.stop()
        director.join(30.0)  # s for the step in progress to end
        self.history.add("load-over")
        with self.proxy.lock:
            self.conditions.heal()
        self.fault_log.end_all_intervals()
        for name, process in self.processes.items():
            process.signal(signal.SIGCONT)
            # the scenario ended before it restarted a process whose disk failed
            if name in self.process_faults.failing and process.running:
                self.process_faults.kill(name)
            if not process.running:
                self.process_faults.start(name, "kept")
        for process in self.processes.values():
            process.ready()
        healed = time.monotonic()
        if not self.wait(self.is_connected, CONNECT_LIMIT):
            self.history.add("never-settled", samples=self.samples.last)
        self.history.add("settled", after=round(time.monotonic() - healed, 3))
        load.finish(self)
        self.ended = self.history.now()
        self.history.add("end")
        self.stopping.set()

    def allow_changes(self, allowed: bool) -> None:
        """Let the operators of the load begin changes, or hold them."""
        self._load.hold_changes(not allowed)

    def fault_lines(self) -> list[str]:
        """Return the faults found in the processes' logs, each with the process's name."""
        return [f"{name}: {what}" for name, process in self.processes.items() for what in process.fault_lines()]


def write_json(path: Path, data: Any) -> None:
    """Write the data to a file as indented JSON."""
    path.write_text(json.dumps(data, indent=1) + "\n")
