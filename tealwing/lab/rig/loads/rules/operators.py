"""Operators that change the rules continuously, through any running process."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from tealwing.lab.rig.loads.base import Clients, ProcessConnection
from tealwing.lab.rig.loads.rules.bundles import bundle
from tealwing.lab.rig.loads.rules.watch import VersionWatcher
from tealwing.peers.control import RemoteCallError

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

OPEN = ("proposed", "checked", "preparing", "agreed")  # phases of a change that is not decided
WAIT = 1.0  # s that a proposal waits to be accepted
PLAIN = "move"  # the kind of change that comes into force unless a fault prevents it
# Kinds of changes; each element is drawn with equal probability. `bad`: one process must reject it. `duel`: a
# second operator proposes a change at the same time. `withdraw`: the operator withdraws it right after its proposal
KINDS = ("move",) * 7 + ("bad", "duel", "withdraw")
BETWEEN = (0.05, 0.4)  # s between two changes of one operator, least and most
POLL = 0.02  # s between two checks of a change's phase


class Operators:
    """Makes changes one after another until the clients are stopped."""

    def __init__(self, trial: Trial, watch: VersionWatcher, sites: Sequence[str], limit: float) -> None:
        """limit: s within which a change is decided, accepted or not, if no fault prevents it."""
        self._trial, self._watch, self._sites, self._limit = trial, watch, sites, limit
        self._turns = itertools.count(1)
        self._recent: list[str] = []
        self._duels = itertools.count(1)
        self._connections: dict[tuple[str, str], ProcessConnection] = {}  # by operator: each has a thread of its own
        self.held = False  # whether operators begin no change
        self.only_plain = False  # whether operators make only changes of the kind PLAIN

    def run(self, clients: Clients) -> None:
        """Make changes until the clients are stopped."""
        rng = random.Random(f"{self._trial.seed}/operators")
        while not clients.stopped.wait(rng.uniform(*BETWEEN)):
            if self.held:
                continue
            kind = PLAIN if self.only_plain else rng.choice(KINDS)
            if kind == "duel":
                other, who = random.Random(rng.random()), f"rival-{next(self._duels)}"
                clients.spawn(lambda other=other, who=who: self._make_change(clients, other, "duel", who), "load-duel")  # type: ignore[misc]
            self._make_change(clients, rng, kind, "first")

    def _make_change(self, clients: Clients, rng: random.Random, kind: str, who: str) -> None:
        if name := self.random_running_process(rng):
            self.change(name, kind, who, rng, clients)

    def random_running_process(self, rng: random.Random) -> str:
        """Return a random running process; empty if none runs."""
        running = [n for n, process in self._trial.processes.items() if process.running and not process.stopped]
        return rng.choice(running) if running else ""

    def _next_site(self) -> str:
        """Return a site that none of the last versions routes to, so that an answer shows its version."""
        turn = next(self._turns)
        now, before = self._watch.active, self._watch.sites
        taken = [before.get(now, ""), before.get(now - 1, ""), *self._recent[-1:]]
        free = [site for site in self._sites if site not in taken] or list(self._sites)
        site = free[turn % len(free)]
        self._recent = [*self._recent[-3:], site]
        return site

    def change(self, name: str, kind: str, who: str, rng: random.Random, clients: Clients | None) -> str:
        """Propose a change through a process, wait until it is decided, and return its phase; empty if unknown."""
        history, site, turn = self._trial.history, self._next_site(), next(self._turns)
        mark = f"{who} {self._trial.seed}-{turn}"
        text = bundle(mark, site, self._sites[0], turn // 3, bad=kind == "bad")
        number = history.invoke("change", name, mark=mark, site=site, what=kind, who=who)
        connection = self._connection(who, name)
        try:
            reply = connection.call(
                "rules.propose", WAIT + 1.0, text=text, why=f"the trial's {kind}", who=who, wait_s=WAIT
            )
        except (ConnectionRefusedError, RemoteCallError) as error:
            history.complete(number, "fail", why=str(error))
            return ""
        except OSError as error:
            history.complete(number, "unknown", why=str(error))
            return ""
        if reply["word"] != "ok":
            history.complete(number, "unknown" if reply["word"] == "unknown" else "fail", why=reply.get("why"))
            return ""
        if kind == "withdraw":
            self._withdraw(connection, reply["number"], who)
        return self._follow(number, reply["number"], who, rng, clients)

    def _withdraw(self, connection: ProcessConnection, version: int, who: str) -> None:
        answer = "unknown"
        try:
            answer = connection.call("rules.withdraw", WAIT, number=version, who=who, why="the trial's", wait_s=1.0)[
                "word"
            ]
        except (RemoteCallError, OSError) as error:
            answer = str(error)
        self._trial.history.add("withdrawal", number=version, word=answer)

    def _follow(self, number: int, version: int, who: str, rng: random.Random, clients: Clients | None) -> str:
        """Wait until a change is decided, twice the limit is over or the load ends; return the phase, or empty."""
        end = time.monotonic() + 2 * self._limit + WAIT
        while time.monotonic() < end and not (clients is not None and clients.stopped.is_set()):
            found: dict[int, dict[str, Any]] = {}
            if name := self.random_running_process(rng):
                try:
                    found = self._watch.record_versions(self._connection(who, name), [version])
                except OSError:
                    found = {}
            if version in found and found[version]["phase"] not in OPEN:
                phase: str = found[version]["phase"]
                self._trial.history.complete(
                    number, "ok", version=version, parent=found[version]["parent"], digest=found[version]["digest"],
                    phase=phase, outcome=found[version]["outcome"],
                )  # fmt: skip
                return phase
            self._trial.stopping.wait(POLL)
        self._trial.history.complete(number, "unknown", version=version)
        return ""

    def _connection(self, who: str, name: str) -> ProcessConnection:
        return self._connections.setdefault((who, name), ProcessConnection(self._trial, name))

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
