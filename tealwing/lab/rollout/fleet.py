"""A simulated fleet, or a federation of fleets, in virtual time, and the rollouts in it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tealwing.lab.clock import Clock
from tealwing.lab.rollout.copies import StateHistory, StateSnapshot
from tealwing.lab.rollout.costs import Costs
from tealwing.lab.rollout.gate import ServiceChecker, SimulatedGate
from tealwing.lab.rollout.host import Host, Network
from tealwing.lab.rollout.logs import Log
from tealwing.lab.rollout.part import SimulatedMember
from tealwing.lab.rollout.sites import Federated
from tealwing.lab.rollout.tasks import Step, Task
from tealwing.replica import commands as c
from tealwing.replica.raft import Options
from tealwing.rollout.plan import Plan
from tealwing.rules import records
from tealwing.rules.records import digest

FEDERATION_LOG = "federation"  # the name of the federation's log


@dataclass(frozen=True, slots=True)
class Shape:
    """The size of a simulation: sites (more than one: a federation), gateways and voters per site, and the plan."""

    sites: int
    gateways: int
    voters: int
    plan: Plan
    limit: float = 8.0  # s: the federation's `limit`
    rate: float = 5.0  # requests per s and gateway


class Fleet:
    """The simulated gateways, their logs and network; the same seed gives the same run."""

    def __init__(self, shape: Shape, seed: int, costs: Costs = Costs()) -> None:  # noqa: B008 - frozen
        self.shape, self.clock, self.checker = shape, Clock(), ServiceChecker()
        self.network = Network(self.clock, costs, seed)
        self.gateways = {f"s{i}": tuple(f"s{i}g{k:03}" for k in range(shape.gateways)) for i in range(shape.sites)}
        self.copies: dict[str, StateHistory] = {}  # by log
        self.logs: dict[str, list[Log]] = {}  # by log
        self.parts: dict[str, SimulatedMember] = {}  # by gateway
        federated = shape.sites > 1
        federation_voters = {site: names[: min(3, len(names))] for site, names in self.gateways.items()}
        voting = tuple(name for names in federation_voters.values() for name in names)
        learning = tuple(n for site, names in self.gateways.items() for n in names if n not in federation_voters[site])
        self.deciding = FEDERATION_LOG if federated else "s0"
        for site, names in self.gateways.items():
            for name in names:
                host = self.network.hosts[name] = Host(self.network, name, site)
                log = self._log(host, site, names[: shape.voters], names[shape.voters :], Options(), seed)
                federation = (
                    self._log(host, FEDERATION_LOG, voting, learning, Options(election_timeout=1.0), seed)
                    if federated
                    else None
                )
                gate = SimulatedGate(self.clock, name, self.checker, shape.rate, seed)
                self.parts[name] = SimulatedMember(shape.plan, log, gate, seed, federation, site)
                if federation is not None:
                    Federated(log, federation, site, self.gateways, shape.limit, shape.plan.patience)

    def _log(
        self, host: Host, name: str, voters: tuple[str, ...], learners: tuple[str, ...], options: Options, seed: int
    ) -> Log:
        copies = self.copies.setdefault(name, StateHistory())
        log = Log(host, name, voters, learners, copies, options, seed)
        self.logs.setdefault(name, []).append(log)
        return log

    def run_until(self, holds: Callable[[], bool], limit: float, step: float = 0.005) -> bool:
        """Advance the time until `holds` returns True; return False if it does not within `limit` s."""
        end = self.clock.now + limit
        while not holds():
            if self.clock.now >= end:
                return False
            self.clock.run(self.clock.now + step)
        return True

    @property
    def state(self) -> StateSnapshot:
        """Return the state of the deciding log after the last entry that any member has applied."""
        return self.copies[self.deciding].last

    def leader(self, log: str) -> str:
        """Return the leader of a log, empty if there is none."""
        return next((member.host.name for member in self.logs[log] if member.leads), "")

    def all_gates_open(self) -> bool:
        """Return whether all members are in the deciding log's table and the gates of all gateways are open."""
        expected = self.shape.sites if self.deciding == FEDERATION_LOG else self.shape.gateways
        there = len(self.state.tables["rule_members"]) == expected
        return there and all(part.gate.version >= 0 for part in self.parts.values())

    def all_open_under(self, number: int) -> bool:
        """Return whether all gateways that are not cut off decide under that version."""
        return all(part.gate.version == number for name, part in self.parts.items() if name not in self.network.cut)

    def propose(self, text: bytes, at: str) -> None:
        """Have an operator propose a version at a gateway."""
        log = next(member for member in self.logs[self.deciding] if member.host.name == at)
        body = records.Propose(
            self.state.plain.active, digest(text), text, "operator", 1_800_000_000_000, "a change",
            federated=False,
        )  # fmt: skip
        command = c.Command("operator", self.state.index + 1, body)

        def run() -> Step:
            yield from log.write(command, 5.0)

        Task(self.clock, run())
