"""Changes of the rules in real processes: at every gateway or at none, whichever processes are killed meanwhile."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tealwing.lab.faults import scenario
from tealwing.lab.rig.configuration import Layout
from tealwing.lab.rig.trial import Trial
from tealwing.peers.control import RemoteCallError, call_control
from tealwing.rules import records
from tests.test_peers import until

pytestmark = pytest.mark.trial

RULES = """replica
    folder DATA/replica
    stale 0
    snapshot-entries 500
rules
    lost-touch {}
    permit 1s
    limit 2500ms
    patience 200ms
"""
AIM = "[classes.lookup]\naim-ms = {}\n"


@contextmanager
def fleet(lost_touch: str, procs: int = 3, more: str = "") -> Iterator[Trial]:
    """Run processes; yield once all gates are open and each process has all members in its table."""
    layout = Layout(sections=RULES.format(lost_touch) + more, stale=0)
    with Trial(scenario.load("crash-loop"), procs, 5.0, 1, layout=layout) as trial:
        trial.start()
        until(lambda: all(len(s["members"]) == procs and s["gate"]["mode"] == "open" for s in statuses(trial)))
        yield trial
        assert trial.fault_lines() == []


def call(trial: Trial, name: str, what: str, **fields: Any) -> dict[str, Any]:
    return call_control(trial.processes[name].control, what, 15.0, **fields)


def statuses(trial: Trial) -> list[dict[str, Any]]:
    """Return the status of each running process; a placeholder for one that does not answer yet."""
    found = []
    for name, process in trial.processes.items():
        if process.running:
            try:
                found.append(call(trial, name, "rules.status"))
            except (OSError, RemoteCallError):
                found.append({"members": [], "gate": {"mode": ""}, "in_flight": None, "in_force": -1, "active": -1})
    return found


def run(trial: Trial, name: str, *words: str) -> tuple[int, str]:
    from click.testing import CliRunner

    from tealwing.commands import root, rules

    root.tealwing.add_command(rules.rules)
    host, port = trial.processes[name].control
    found = CliRunner().invoke(root.tealwing, ["rules", *words, "--control", f"{host}:{port}"])
    return found.exit_code, found.output


def propose(trial: Trial, name: str, aim: int, **fields: Any) -> dict[str, Any]:
    fields |= {"text": AIM.format(aim).encode(), "who": f"op-{name}", "wait_s": 5.0}
    return call(trial, name, "rules.propose", **fields)


def in_force(trial: Trial, number: int) -> bool:
    """Return whether every running process decides under that version, with an open gate."""
    found = statuses(trial)
    return all(s["in_force"] == s["active"] == number and s["gate"]["mode"] == "open" for s in found)


def events(trial: Trial, name: str, event: str) -> list[dict[str, Any]]:
    return [e for e in trial.processes[name].events() if e["event"] == event]


def test_operator_commands_change_rules_at_all_gateways_or_none(tmp_path: Path) -> None:
    good, bad, misfit, long = (tmp_path / name for name in ("good.toml", "bad.toml", "misfit.toml", "long.toml"))
    good.write_text(AIM.format(700))
    bad.write_text("[classes.lookup]\naim-seconds = 1\n")
    misfit.write_text("[classes.nothing]\naim-ms = 5\n")
    long.write_bytes(b"#" * (300 * 1024))
    with fleet("serve") as trial:
        code, text = run(trial, "n1", "propose", str(good), "--why", "less haste", "--who", "ops-a")
        assert (code, text) == (0, "version 1 is in force on every gateway\n")
        until(lambda: in_force(trial, 1))
        for name in trial.names:
            assert [e["number"] for e in events(trial, name, "rules_closed")] == [1]
            assert [e["outcome"] for e in events(trial, name, "rules_opened")] == ["active"]
        code, text = run(trial, "n0", "propose", str(bad), "--why", "x")
        assert code == 1 and "classes.lookup.aim-seconds" in text and "allowed" in text
        code, text = run(trial, "n0", "propose", str(misfit), "--why", "x")
        assert code == 1 and "NO" in text and "classes.nothing" in text and "what to do" in text
        code, text = run(trial, "n2", "propose", str(good), "--why", "x", "--parent", "9")
        assert code == 1 and "refused: made from version 9" in text and "by ops-a" in text
        for path, message in ((long, "at most"), (tmp_path / "none.toml", "No such file")):
            code, text = run(trial, "n0", "propose", str(path), "--why", "x")
            assert code == 1 and message in text
        code, text = run(trial, "n0", "withdraw", "1", "--who", "ops-a")
        assert code == 1 and "version 1 is active" in text
        code, text = run(trial, "n0", "withdraw", "77", "--who", "ops-a")
        assert code == 1 and "version 77 is unknown" in text
        code, text = run(trial, "n0", "status", "--json")
        status = json.loads(text)
        assert code == 0 and status["active"] == 1 and status["last"] == 2 and status["in_flight"] is None
        assert "version 1 is in force, 1 here; gate open" in run(trial, "n0", "status")[1]
        with pytest.raises(RemoteCallError, match="allowed: 1, 2"):
            call(trial, "n0", "rules.show", number=5)
        with pytest.raises(RemoteCallError, match="propose a version"):
            call(trial, "n0", "replica.settings", text=b"{}")
        with pytest.raises(RemoteCallError, match="allowed: the calls rules"):  # no caller can report for a member
            call(trial, "n0", "replica.do", body=msgspec.msgpack.encode(records.Closed(2, "n1", 1)))
        with pytest.raises(RemoteCallError, match="member"):
            call(trial, "n0", "rules.forget", off=True)
        assert call(trial, "n0", "rules.forget", member="n9", off=True)["word"] == "refused"


def test_second_of_two_concurrent_proposals_is_refused_with_the_first_author(tmp_path: Path) -> None:
    with fleet("serve") as trial:
        replies: dict[str, dict[str, Any]] = {}
        proposers = [threading.Thread(target=lambda n=n: replies.update({n: propose(trial, n, 650, parent=0)}))
                     for n in ("n0", "n2")]  # fmt: skip
        for thread in proposers:
            thread.start()
        for thread in proposers:
            thread.join(20.0)
        assert sorted(reply["word"] for reply in replies.values()) == ["ok", "refused"]
        winner = next(name for name, reply in replies.items() if reply["word"] == "ok")
        loser = next(reply for reply in replies.values() if reply["word"] == "refused")
        assert f"op-{winner}" in loser["why"]
        until(lambda: in_force(trial, 1))


def test_change_is_aborted_while_a_serve_member_is_down() -> None:
    with fleet("serve") as trial:
        assert propose(trial, "n0", 650)["word"] == "ok"
        until(lambda: in_force(trial, 1))
        lost = next(name for name in trial.names if name not in ("n0", trial.leader()))
        trial.processes[lost].kill()
        number = propose(trial, "n0", 660)["number"]
        flight = call(trial, "n0", "rules.status")["in_flight"]
        assert flight["number"] == number and lost in flight["waits_for"]
        assert run(trial, "n0", "withdraw", str(number), "--who", "ops-a", "--why", "a gateway is away")[0] == 0
        number = propose(trial, "n0", 670)["number"]
        until(lambda: call(trial, "n0", "rules.show", number=number)["phase"] == "aborted")
        found = call(trial, "n0", "rules.show", number=number)
        assert f"{lost} (silent)" in found["outcome"] and in_force(trial, 1)
        trial.processes[lost].start()
        trial.processes[lost].ready()
        started = events(trial, lost, "rules_in_force")[-1]
        assert started["version"] == 1  # activated from its own disk, before any member answered
        assert propose(trial, lost, 680)["word"] == "ok"
        until(lambda: in_force(trial, number + 1))
        trial.processes[lost].kill()
        assert call(trial, "n0", "rules.forget", member=lost)["word"] == "refused"
        assert call(trial, "n0", "rules.forget", member=lost, off=True)["word"] == "ok"
        assert propose(trial, "n0", 690)["word"] == "ok"
        until(lambda: in_force(trial, number + 2))


def test_change_completes_without_a_cut_off_hold_member() -> None:
    with fleet("hold") as trial:
        lost = next(name for name in trial.names if name not in ("n0", trial.leader()))
        with trial.proxy.lock:
            trial.conditions.isolate(lost)
        until(lambda: [e["why"][:10] for e in events(trial, lost, "permit_lost")] == ["lost touch"])
        assert propose(trial, "n0", 650)["word"] == "ok"
        others = [name for name in trial.names if name != lost]
        until(lambda: all(call(trial, name, "rules.status")["in_force"] == 1 for name in others))
        cut_off = call(trial, lost, "rules.status")
        assert (cut_off["in_force"], cut_off["gate"]["mode"]) == (0, "shut")
        with trial.proxy.lock:
            trial.conditions.heal()
        until(lambda: in_force(trial, 1))
        trial.processes[lost].kill()
        assert propose(trial, "n0", 660)["word"] == "ok"
        until(lambda: all(call(trial, name, "rules.status")["in_force"] == 2 for name in others))
        trial.processes[lost].start()
        trial.processes[lost].ready()
        until(lambda: in_force(trial, 2))
        trial.processes[lost].kill()
        assert call(trial, "n0", "rules.forget", member=lost, wait_s=10.0)["word"] == "ok"
        assert [m["name"] for m in call(trial, "n0", "rules.status")["members"]] == others


def test_change_completes_without_a_hold_member_whose_disk_fails() -> None:
    with fleet("hold") as trial:
        lost = next(name for name in trial.names if name not in ("n0", trial.leader()))
        call(trial, lost, "fault.disk", fault="fsync", count=10**6)
        assert propose(trial, "n0", 650)["word"] == "ok"
        others = [name for name in trial.names if name != lost]
        until(lambda: all(call(trial, name, "rules.status")["in_force"] == 1 for name in others))
        found = call(trial, lost, "rules.status")
        assert (found["gate"]["mode"], found["in_force"]) == ("shut", 0) and "fsync" in found["broken"]


@pytest.mark.parametrize("lost_touch", ["serve", "hold"])
def test_members_killed_between_close_and_outcome_agree_after_restart(lost_touch: str) -> None:
    with fleet(lost_touch) as trial:
        assert propose(trial, "n0", 650)["word"] == "ok"
        until(lambda: in_force(trial, 1))
        leader = trial.leader()
        late = next(name for name in trial.names if name != leader)
        with trial.proxy.lock:  # its reports are delayed, so that all processes can be killed before the outcome
            trial.conditions.change_all([(late, name) for name in trial.names if name != late], delay=0.5)
        assert propose(trial, leader, 660)["word"] == "ok"
        until(lambda: [e["number"] for e in events(trial, leader, "rules_closed")] == [1, 2])
        for process in trial.processes.values():
            process.kill()
        assert [e["number"] for e in events(trial, leader, "rules_opened")] == [1]
        with trial.proxy.lock:
            trial.conditions.heal()
        for process in trial.processes.values():
            process.start()
        for process in trial.processes.values():
            process.ready()
        until(lambda: in_force(trial, 2) or (in_force(trial, 1) and not any(s["in_flight"] for s in statuses(trial))))
        phases = {call(trial, name, "rules.show", number=2)["phase"] for name in trial.names}
        assert phases == ({"active"} if in_force(trial, 2) else {"aborted"})
