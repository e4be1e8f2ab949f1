"""Several real processes of the program with faults between them, judged by what the history shows."""

from __future__ import annotations

import os
import socket
from pathlib import Path

import pytest

from tealwing.lab.faults import scenario
from tealwing.lab.rig import runs
from tealwing.lab.rig.loads import EchoLoad
from tealwing.lab.rig.trial import Trial
from tests.peers import LIMIT
from tests.test_peers import until

pytestmark = pytest.mark.trial


def alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


@pytest.mark.parametrize("name", ["partition-halves", "crash-loop", "paused-peer"])
def test_a_fleet_under_faults_keeps_its_promises(name: str, tmp_path: Path) -> None:
    found = runs.attempt(scenario.load(name), 4, 8.0, 1, tmp_path / "out")
    assert [str(violation) for violation in found.violations] == []
    assert found.figures["faults"] >= 4 and found.figures["answered"] > 50
    assert found.figures["unreached_at_end"] == 0
    assert (tmp_path / "out" / "report.html").stat().st_size > 10_000


@pytest.mark.parametrize(("sabotage", "rule"), [("leaky-cut", "cut"), ("lying-echo", "echo-text")])
def test_a_broken_target_is_found(sabotage: str, rule: str) -> None:
    found = runs.attempt(scenario.load("partition-halves"), 3, 5.0, 1, sabotage=sabotage)
    assert rule in {violation.rule for violation in found.violations}


def test_a_process_that_is_sent_garbage_serves_on_and_a_trial_ends_all_that_it_started() -> None:
    with Trial(scenario.load("flapping-link"), 3, 5.0, 1) as trial:
        trial.start()
        pids = [process.pid for process in trial.processes.values()]
        for port in (trial.processes["n0"].control, trial.peer_address("n0")):
            for said in (b"garbage" * 20, b"TWP", b""):
                with socket.create_connection(port, LIMIT) as sock:
                    sock.sendall(said)
        load = EchoLoad()
        load.finish(trial)
        assert trial.trouble() == [] and load.figures(trial.history.events)["unreached_at_end"] == 0
    for pid in pids:
        assert pid is not None
        until(lambda pid=pid: not alive(pid))  # type: ignore[misc]
