"""Compares an idle fleet of hollow gateways with one of real gateways: bytes, messages and processor time by role.

Hollow gateways (`tealwing.lab.hollow`) run a gateway's control plane without clients and engines, many per process.
"""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.capacity import control
from benchmarks.capacity.records import CapacityError, Measured, Options, Point, Series
from tealwing.lab.rig import configuration
from tealwing.lab.rig.configuration import Layout
from tealwing.lab.rig.layouts import REPLICA, RULES
from tealwing.lab.rig.ports import free_port
from tealwing.lab.rig.process import Process, ProcessStartError
from tealwing.lab.standins.coordinator import Coordinator
from tealwing.peers.control import RemoteCallError, call_control
from tealwing.peers.plan import Address

NAME = "calibration"
SUMMARY = "20 hollow gateways against 20 real ones at rest: messages, bytes and processor time of each role"
SIZE, SMALL_SIZE = 20, 7
MEMBERS_A_HOST = 15
BEAT_MS = 200
SECONDS, SMALL_SECONDS = 20.0, 3.0  # of measurement; long enough for the coarse clock ticks of /proc/PID/stat
LIMIT = "5"  # s that a change of rules may take, in the notation of the section `rules`
ASK_LIMIT = 5.0  # s that a control call may take
OPEN_LIMIT = 60.0  # s until all gates must be open
POLL = 0.2  # s between two checks of the gates
UTIME, STIME = 11, 12  # indexes of the fields of /proc/PID/stat after the command's name (proc(5)), in clock ticks
QUANTITIES = ("processor time, % of a core", "messages sent a second", "bytes sent a second", "bytes received a second")


class RealFleet:
    """Gateway processes connected to each other directly; the context manager starts them and kills them at its end."""

    def __init__(self, size: int, voters: int) -> None:
        self.names = [f"n{number}" for number in range(size)]
        self.learners = frozenset(self.names[voters:])
        self._folder = tempfile.TemporaryDirectory(prefix="tealwing-calibration-")
        self._coordinator = Coordinator([])
        sections = (REPLICA + RULES).replace("LOST_TOUCH", "serve").replace("LIMIT", LIMIT)
        layout = Layout(sections=sections, stale=0, learners=self.learners)
        peer_addresses: dict[str, Address] = {name: ("127.0.0.1", free_port()) for name in self.names}
        self.processes: dict[str, Process] = {}
        for number, name in enumerate(self.names):
            folder = Path(self._folder.name) / name
            control_address: Address = ("127.0.0.1", free_port())
            known = self._coordinator.known
            platform_file = configuration.platform_file(self.names, number, 1, self._coordinator.address, known, layout)
            conf = configuration.operators_file(
                name, peer_addresses, control_address, BEAT_MS, layout, str(folder / "data")
            )
            self.processes[name] = Process(name, folder, platform_file, conf, control_address)

    def __enter__(self) -> RealFleet:
        try:
            for process in self.processes.values():
                process.start()
            for process in self.processes.values():
                process.ready()
        except ProcessStartError as error:
            self.close()
            raise CapacityError(f"a real gateway did not start: {error}") from None
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all gateways, stop the coordinator and delete the folder."""
        for process in self.processes.values():
            process.kill()
        self._coordinator.stop()
        self._folder.cleanup()

    def ask(self, name: str, call: str) -> dict[str, Any]:
        """Send one call to a gateway's control address."""
        return call_control(self.processes[name].control, call, ASK_LIMIT)

    def settle(self) -> None:
        """Wait until all gates are open."""
        end = time.monotonic() + OPEN_LIMIT
        while time.monotonic() < end:
            try:
                if all(self.ask(name, "rules.status")["gate"]["mode"] == "open" for name in self.names):
                    return
            except (OSError, RemoteCallError):
                pass
            time.sleep(POLL)
        raise CapacityError(f"real gateways: not all {len(self.names)} gates opened within {OPEN_LIMIT:g} s")

    def processor_seconds(self, name: str) -> float:
        """Processor time that all threads of a gateway have used so far."""
        fields = Path(f"/proc/{self.processes[name].pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[UTIME]) + int(fields[STIME])) / os.sysconf("SC_CLK_TCK")

    def figures(self) -> dict[str, tuple[float, float, float, float, float]]:
        """By gateway: time of reading, processor seconds, messages sent, bytes sent, bytes received."""
        found = {}
        for name in self.names:
            traffic = self.ask(name, "status")["traffic"]
            at, spent = time.monotonic(), self.processor_seconds(name)
            found[name] = at, spent, traffic["sent"], traffic["sent_bytes"], traffic["received_bytes"]
        return found


def measure_real_fleet(size: int, seconds: float) -> dict[str, list[float]]:
    """Mean cost of an idle real gateway by role, in the order of `QUANTITIES`."""
    with RealFleet(size, control.VOTERS) as fleet:
        fleet.settle()
        time.sleep(control.SETTLE)
        leader = next(name for name in fleet.names if fleet.ask(name, "status").get("role") == "leader")
        before = fleet.figures()
        time.sleep(seconds)
        after = fleet.figures()
    sums: dict[str, list[list[float]]] = {role: [] for role in control.ROLES}
    for name in fleet.names:
        role = "leader" if name == leader else "learner" if name in fleet.learners else "voter"
        then, now = before[name], after[name]
        rates = [(new - old) / (now[0] - then[0]) for old, new in zip(then[1:], now[1:], strict=True)]
        sums[role].append([rates[0] * 100, *rates[1:]])
    return {role: [sum(column) / len(rows) for column in zip(*rows, strict=True)] for role, rows in sums.items()}


def measure(options: Options) -> Measured:
    """Measure both fleets, one after the other."""
    size = SMALL_SIZE if options.small else SIZE
    seconds = SMALL_SECONDS if options.small else SECONDS
    hollow, real = control.measure_idle_fleet(size, seconds, MEMBERS_A_HOST), measure_real_fleet(size, seconds)
    series, notes = [], []
    for role in control.ROLES:
        for column, name in enumerate(QUANTITIES):
            pair = hollow[role][column], real[role][column]
            points = tuple(Point(size, value) for value in pair)
            series.append(Series(f"{role}: {name}, hollow and real", "", points, None))
            notes.append(f"{role}: {name}: hollow over real {pair[0] / pair[1]:.3f}")
    return Measured(NAME, "members", (size,), tuple(series), tuple(notes))
