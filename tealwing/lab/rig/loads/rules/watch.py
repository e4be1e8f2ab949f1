"""Looks at what each process says of versions of the rules, into the history."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from tealwing.lab.judges.versions import NEVER
from tealwing.lab.rig.loads.base import ProcessConnection
from tealwing.lab.rig.loads.rules.bundles import read
from tealwing.peers.control import RemoteCallError

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

LIMIT = 1.0  # s that a look waits
LAST = ("superseded", *NEVER)  # phases that do not change
MAX_RETAINED = 32  # versions that a process keeps


class VersionWatcher:
    """What is known of the versions by looking; used by several threads."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._lock = threading.Lock()
        self._reported: dict[tuple[str, int], str] = {}  # process, number: the phase that is in the history
        self.sites: dict[int, str] = {}
        self.last = 0  # number that was given last, as far as is known
        self.active = 0

    def look(self, line: ProcessConnection) -> dict[str, Any]:
        """A process's status; versions that it has told nothing of yet, or something else, come into the history."""
        status = line.call("rules.status", LIMIT)
        flight = status["in_flight"]
        with self._lock:
            self.active = max(self.active, status["active"])
            self.last = max(self.last, status["active"], flight["number"] if flight else 0)
            known = range(max(1, self.last - MAX_RETAINED), self.last + 1)
            open_ = [number for number in known if self._reported.get((line.name, number)) not in LAST]
        self.show(line, open_)
        return status

    def show(self, line: ProcessConnection, numbers: Iterable[int]) -> dict[int, dict[str, Any]]:
        """Those of the versions that the process keeps."""
        found = {}
        for number in numbers:
            try:
                version = line.call("rules.show", LIMIT, number=number)
            except RemoteCallError:  # it does not keep that one, or not yet
                continue
            found[number] = version
            with self._lock:
                self.last = max(self.last, number)
                if self._reported.get((line.name, number)) == version["phase"]:
                    continue
                self._reported[line.name, number] = version["phase"]
            mark, site = read(version["text"])
            log = self._trial.layout.site_of(line.name)  # each site of a federation has one
            self.sites[number] = site
            self._trial.history.add(
                "version", process=line.name, number=number, digest=version["digest"], phase=version["phase"],
                parent=version["parent"], mark=mark, site=site, outcome=version["outcome"],
                **({"log": log} if log else {}),
            )  # fmt: skip
        return found

    def end(self, line: ProcessConnection) -> bool:
        """In the end: what the process has in force and keeps; whether nothing is under way there."""
        status = self.look(line)
        retained = self.show(line, range(max(1, self.last - MAX_RETAINED + 1), self.last + 1))
        flight = status["in_flight"]["number"] if status["in_flight"] else 0
        self._trial.history.add(
            "rules-end", process=line.name, active=status["active"], in_force=status["in_force"], in_flight=flight,
            digests={str(number): version["digest"] for number, version in retained.items()}, broken=status["broken"],
        )  # fmt: skip
        return not flight
