"""Records in the history what each process reports about the versions of the rules."""

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

LIMIT = 1.0  # s that a call waits for its answer
FINAL_PHASES = ("superseded", *NEVER)
MAX_RETAINED = 32  # versions that a process retains


class VersionWatcher:
    """Polls the processes for their versions; used by several threads."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._lock = threading.Lock()
        self._reported: dict[tuple[str, int], str] = {}  # last recorded phase by process and version
        self.sites: dict[int, str] = {}  # site that a version routes moved groups to
        self.last = 0  # highest version number seen
        self.active = 0  # highest version seen in force

    def poll(self, connection: ProcessConnection) -> dict[str, Any]:
        """Return a process's status, and record the versions whose phase is new or has changed there."""
        status = connection.call("rules.status", LIMIT)
        flight = status["in_flight"]
        with self._lock:
            self.active = max(self.active, status["active"])
            self.last = max(self.last, status["active"], flight["number"] if flight else 0)
            known = range(max(1, self.last - MAX_RETAINED), self.last + 1)
            open_ = [number for number in known if self._reported.get((connection.name, number)) not in FINAL_PHASES]
        self.record_versions(connection, open_)
        return status

    def record_versions(self, connection: ProcessConnection, numbers: Iterable[int]) -> dict[int, dict[str, Any]]:
        """Return those of the versions that the process retains, and record each phase that is new there."""
        found = {}
        for number in numbers:
            try:
                version = connection.call("rules.show", LIMIT, number=number)
            except RemoteCallError:  # the process has not received this version yet, or retains it no longer
                continue
            found[number] = version
            with self._lock:
                self.last = max(self.last, number)
                if self._reported.get((connection.name, number)) == version["phase"]:
                    continue
                self._reported[connection.name, number] = version["phase"]
            mark, site = read(version["text"])
            log = self._trial.layout.site_of(connection.name)  # each site of a federation has one
            self.sites[number] = site
            self._trial.history.add(
                "version", process=connection.name, number=number, digest=version["digest"], phase=version["phase"],
                parent=version["parent"], mark=mark, site=site, outcome=version["outcome"],
                **({"log": log} if log else {}),
            )  # fmt: skip
        return found

    def record_final_state(self, connection: ProcessConnection) -> bool:
        """Record a process's version in force and retained versions; return whether it has no change in flight."""
        status = self.poll(connection)
        retained = self.record_versions(connection, range(max(1, self.last - MAX_RETAINED + 1), self.last + 1))
        flight = status["in_flight"]["number"] if status["in_flight"] else 0
        self._trial.history.add(
            "rules-end", process=connection.name, active=status["active"], in_force=status["in_force"],
            in_flight=flight, digests={str(number): version["digest"] for number, version in retained.items()},
            broken=status["broken"],
        )  # fmt: skip
        return not flight
