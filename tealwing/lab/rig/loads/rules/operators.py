"""Operators who change the rules all the time, through any process that lives."""

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

OPEN = ("proposed", "checked", "preparing", "agreed")  # phases that are not the last
WAIT = 1.0  # s that a proposal waits to be taken
PLAIN = "move"  # a change that nothing but a fault keeps from coming into force
KINDS = ("move",) * 7 + ("bad", "duel", "withdraw")  # of changes, drawn evenly
BETWEEN = (0.05, 0.4)  # s between two changes of one operator
POLL = 0.02  # s between two looks at what has become of a change


class Operators:
    """Their changes, one after another until they are stopped."""

    def __init__(self, trial: Trial, watch: VersionWatcher, sites: Sequence[str], limit: float) -> None:
        """limit: s in which a change is decided, one way or the other, where all is well enough."""
        self._trial, self._watch, self._sites, self._limit = trial, watch, sites, limit
        self._turns = itertools.count(1)
        self._recent: list[str] = []
        self._duels = itertools.count(1)
        self._lines: dict[tuple[str, str], ProcessConnection] = {}  # by operator: each has a thread of its own
        self.held = False  # whether no change is begun
        self.only_plain = False  # whether no change is turned down, withdrawn or rivalled on purpose

    def run(self, clients: Clients) -> None:
        """Until the clients are stopped."""
        rng = random.Random(f"{self._trial.seed}/operators")
        while not clients.stopped.wait(rng.uniform(*BETWEEN)):
            if self.held:
                continue
            kind = PLAIN if self.only_plain else rng.choice(KINDS)
            if kind == "duel":
                other, who = random.Random(rng.random()), f"rival-{next(self._duels)}"
                clients.spawn(lambda other=other, who=who: self._one(clients, other, "duel", who), "load-duel")  # type: ignore[misc]
            self._one(clients, rng, kind, "first")

    def _one(self, clients: Clients, rng: random.Random, kind: str, who: str) -> None:
        if name := self.anyone(rng):
            self.change(name, kind, who, rng, clients)

    def anyone(self, rng: random.Random) -> str:
        """A process that runs; empty where none does."""
        running = [n for n, process in self._trial.processes.items() if process.running and not process.stopped]
        return rng.choice(running) if running else ""

    def _site(self) -> str:
        """One that none of the last versions has, so that an answer tells its version."""
        turn = next(self._turns)
        now, before = self._watch.active, self._watch.sites
        taken = [before.get(now, ""), before.get(now - 1, ""), *self._recent[-1:]]
        free = [site for site in self._sites if site not in taken] or list(self._sites)
        site = free[turn % len(free)]
        self._recent = [*self._recent[-3:], site]
        return site

    def change(self, name: str, kind: str, who: str, rng: random.Random, clients: Clients | None) -> str:
        """Propose one through a process, and wait for what becomes of it; the phase, empty where it is not known."""
        history, site, turn = self._trial.history, self._site(), next(self._turns)
        mark = f"{who} {self._trial.seed}-{turn}"
        text = bundle(mark, site, self._sites[0], turn // 3, bad=kind == "bad")
        number = history.invoke("change", name, mark=mark, site=site, what=kind, who=who)
        line = self._line(who, name)
        try:
            reply = line.call("rules.propose", WAIT + 1.0, text=text, why=f"the trial's {kind}", who=who, wait_s=WAIT)
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
            self._withdraw(line, reply["number"], who)
        return self._follow(number, reply["number"], who, rng, clients)

    def _withdraw(self, line: ProcessConnection, version: int, who: str) -> None:
        answer = "unknown"
        try:
            answer = line.call("rules.withdraw", WAIT, number=version, who=who, why="the trial's", wait_s=1.0)["word"]
        except (RemoteCallError, OSError) as error:
            answer = str(error)
        self._trial.history.add("withdrawal", number=version, word=answer)

    def _follow(self, number: int, version: int, who: str, rng: random.Random, clients: Clients | None) -> str:
        """Until it is decided, or the time for that is over twice, or the trial's load ends."""
        end = time.monotonic() + 2 * self._limit + WAIT
        while time.monotonic() < end and not (clients is not None and clients.stopped.is_set()):
            found: dict[int, dict[str, Any]] = {}
            if name := self.anyone(rng):
                try:
                    found = self._watch.show(self._line(who, name), [version])
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

    def _line(self, who: str, name: str) -> ProcessConnection:
        return self._lines.setdefault((who, name), ProcessConnection(self._trial, name))

    def close(self) -> None:
        """End all connections."""
        for line in self._lines.values():
            line.close()
