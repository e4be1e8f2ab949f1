"""Starts a fleet of hollow gateways, reads its metrics, changes its rules and ends its processes."""

from __future__ import annotations

import contextlib
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, TypeVar

import msgspec

import tealwing
from tealwing.lab.hollow import requirements
from tealwing.lab.hollow.records import HostMetrics, MemberMetrics, Ready
from tealwing.lab.hollow.specification import Fleet, Host
from tealwing.lab.rig.ports import free_port
from tealwing.peers.control import RemoteCallError, call_control

SOURCE = str(Path(tealwing.__file__).parent.parent)
MEMBERS_A_HOST = 50
START_LIMIT = 60.0  # s for all gates to open after the start
POLL = 0.1  # s between two checks of a condition that is waited for
CALL_TIMEOUT = 10.0  # s that an operator's call waits for its answer
END_LIMIT = 60.0  # s for a killed process to end: a busy machine is slow to end hundreds of threads


Answer = TypeVar("Answer", Ready, HostMetrics)


class HollowFleetError(RuntimeError):
    """The fleet did not start, a host process ended or a proposal failed; the message contains the cause."""


@dataclass
class HostProcess:
    """One host process and its directory."""

    specification: Host
    directory: Path
    process: subprocess.Popen[str] | None = None

    def start(self) -> None:
        """Start the process; `ready` waits until its members have started."""
        path = self.directory / "host.json"
        path.write_bytes(msgspec.json.encode(self.specification))
        with (self.directory / "errors.log").open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "tealwing.lab.hollow.host", str(path)], cwd=self.directory, text=True,
                stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors,
                env={"PYTHONPATH": SOURCE, "MALLOC_ARENA_MAX": "1", "PYTHONDONTWRITEBYTECODE": "1"},
            )  # fmt: skip

    def ready(self) -> None:
        """Wait until the process's members have started."""
        self._read(Ready)

    def read_metrics(self) -> HostMetrics:
        """Return the current metrics of the process."""
        assert self.process is not None and self.process.stdin is not None
        try:
            self.process.stdin.write("figures\n")
            self.process.stdin.flush()
        except OSError as error:
            raise self._fault(str(error)) from None
        return self._read(HostMetrics)

    def faults(self) -> str:
        """Return what the process has written to standard error."""
        return (self.directory / "errors.log").read_text(errors="replace")

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        process, self.process = self.process, None
        if process is None:
            return
        process.kill()
        process.wait(END_LIMIT)
        for stream in (process.stdin, process.stdout):
            if stream is not None:
                with contextlib.suppress(OSError):  # closing flushes, and the process reads no more
                    stream.close()

    def _read(self, kind: type[Answer]) -> Answer:
        assert self.process is not None and self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise self._fault("the process has ended")
        return msgspec.json.decode(line, type=kind)

    def _fault(self, why: str) -> HollowFleetError:
        return HollowFleetError(
            f"host process of {len(self.specification.here)} members: {why}; end of its log: {self.faults()[-600:]}"
        )


@dataclass(frozen=True)
class FleetMetrics:
    """The metrics of all host processes at one moment."""

    at: float  # monotonic time
    hosts: list[HostMetrics] = field(default_factory=list)

    def members(self) -> dict[str, MemberMetrics]:
        """Return the metrics of all members by name."""
        return {member.name: member for host in self.hosts for member in host.members}

    def leader(self) -> str:
        """Return a member that reports the role leader; empty if none does."""
        return next((name for name, member in self.members().items() if member.role == "leader"), "")

    def in_force(self, version: int) -> dict[str, float]:
        """Return the monotonic time at which the version came into force, for each member where it has."""
        found = {}
        for host in self.hosts:
            for name, versions in host.in_force.items():
                if str(version) in versions:
                    found[name] = versions[str(version)]
        return found


class HollowFleet:
    """A fleet of hollow gateways; as a context manager it ends all processes that it started."""

    def __init__(
        self, count: int, voters: int = 5, partition_mode: str = "serve", members_a_host: int = MEMBERS_A_HOST,
        limit: float = 5.0, heartbeat: float = 0.2, singles: int = 0,
    ) -> None:  # fmt: skip
        """Prepare `count` members, of which the first `voters` vote; `singles` learners get a process of their own.

        Raises requirements.FleetTooLargeError if they exceed the machine's resources.
        """
        names = tuple(f"g{number:04}" for number in range(count))
        ports = tuple(free_port() for _ in names)
        self.fleet = Fleet(names, ports, min(voters, count), partition_mode, heartbeat, limit)  # type: ignore[arg-type]
        self.need = requirements.need(self.fleet, members_a_host, singles)
        requirements.check(self.need, requirements.available_resources())
        self._directory = tempfile.TemporaryDirectory(prefix="tealwing-hollow-")
        self.hosts: list[HostProcess] = []
        voting, learning = names[: self.fleet.voters], self.fleet.learners
        groups: list[tuple[str, ...]] = [(name,) for name in voting]
        groups += [(name,) for name in learning[:singles]]
        groups += [learning[at : at + members_a_host] for at in range(singles, len(learning), members_a_host)]
        self.singles = learning[:singles]
        self._controls = {name: free_port() for name in voting}
        for number, group in enumerate(groups):
            directory = Path(self._directory.name) / f"host{number}"
            directory.mkdir()
            controls = {name: port for name, port in self._controls.items() if name in group}
            self.hosts.append(HostProcess(Host(self.fleet, group, str(directory), controls), directory))

    def __enter__(self) -> HollowFleet:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def start(self, settle: float = START_LIMIT) -> float:
        """Start all members, and return the seconds until all gates were open.

        Raises HollowFleetError if that takes more than `settle` seconds.
        """
        begun = time.monotonic()
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            host.ready()
        while True:
            found = self.metrics()
            members = found.members().values()
            open_gates = sum(member.gate_open for member in members)
            if found.leader() and open_gates == len(self.fleet.members):
                return time.monotonic() - begun
            if time.monotonic() - begun > settle:
                raise HollowFleetError(
                    f"{open_gates} of {len(self.fleet.members)} gates are open after {settle:g} s, and the leader is"
                    f" {found.leader() or 'unknown'}; faults: {self.faults()[:600] or 'none'}"
                )
            time.sleep(POLL)

    def close(self) -> None:
        """Kill every host process, and remove the fleet's directory."""
        with ThreadPoolExecutor(8) as pool:
            list(pool.map(HostProcess.kill, self.hosts))
        self._directory.cleanup()

    def metrics(self) -> FleetMetrics:
        """Return the metrics of all running hosts."""
        running = [host for host in self.hosts if host.process is not None]
        with ThreadPoolExecutor(min(32, len(running))) as pool:
            return FleetMetrics(time.monotonic(), list(pool.map(HostProcess.read_metrics, running)))

    def host_of(self, name: str) -> HostProcess:
        """Return the host process of a member."""
        return next(host for host in self.hosts if name in host.specification.here)

    def faults(self) -> str:
        """Return what all hosts have written to standard error."""
        return "".join(host.faults() for host in self.hosts)

    def call(self, what: str, at: str = "", **fields: Any) -> dict[str, Any]:
        """Make an operator's call at the voter `at`, or else at the first running one."""
        running = [name for name in self._controls if self.host_of(name).process is not None]
        name = at or running[0]
        return call_control(("127.0.0.1", self._controls[name]), what, CALL_TIMEOUT, **fields)

    def propose(self, text: bytes, why: str) -> int:
        """Propose a version of the rules and return its number; raise HollowFleetError if it is not accepted."""
        try:
            reply = self.call("rules.propose", text=text, who="operator", why=why, wait_s=CALL_TIMEOUT / 2)
        except (OSError, RemoteCallError) as error:
            raise HollowFleetError(f"the proposal was not accepted: {error}") from None
        if reply["word"] != "ok":
            raise HollowFleetError(f"the proposal was not accepted: {reply}")
        return int(reply["number"])

    def phase(self, version: int) -> str:
        """Return the phase of a version as seen by the first running voter."""
        return str(self.call("rules.show", number=version)["phase"])
