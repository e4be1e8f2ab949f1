"""Gossip in the gateway's process: persisted state, section, control socket, members on real sockets."""

from __future__ import annotations

import random
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from tealwing.conf import reader
from tealwing.conf.reader import ConfError
from tealwing.gossip import control, keys, persisted_state
from tealwing.gossip.config import Timing
from tealwing.gossip.errors import CorruptStateError
from tealwing.gossip.identity import Clock, LocalIdentity
from tealwing.gossip.messages import Alive
from tealwing.gossip.node import Node
from tealwing.lab.network import EPOCH, SimulatedKey, SimulatedKeyring, real_key
from tests.gossip import alive
from tests.peers import LIMIT, SETTINGS, Program


def test_corrupt_persisted_state_is_quarantined(tmp_path: Path) -> None:
    path = tmp_path / "gossip.state"
    assert persisted_state.load(path, "n0") is None
    persisted_state.save(path, "n0", 7, [alive()], {"n1": 0.25, "n2": 7.0})
    found = persisted_state.load(path, "n0")
    assert found is not None and found.members == [alive()] and found.trust == {"n1": 0.25, "n2": 1.0}
    complete = path.read_bytes()
    for bad in (complete[:-20], b"", b"hello\n", complete.replace(b"n1", b"n9", 1)):
        path.write_bytes(bad)
        with pytest.raises(CorruptStateError, match="set aside"):
            persisted_state.load(path, "n0")
        assert not path.exists() and path.with_name("gossip.state.bad").read_bytes() == bad
    path.write_bytes(complete)
    with pytest.raises(CorruptStateError, match="it is of n0"):
        persisted_state.load(path, "other")


def test_persisted_members_with_valid_signature_are_restored() -> None:
    ring, key = SimulatedKeyring(), SimulatedKey("n0")
    clock = Clock(0.0, EPOCH)
    node = Node(LocalIdentity("n0", ("10.0.0.1", 1), key, clock), clock, ring.verify, Timing(), [], random.Random(1))
    node.restore([alive("n1"), with_zero_signature(alive("n2"))], {"n1": 0.2})
    assert [m.alive.name for m in node.members] == ["n1"] and node.health_estimator.trust == {"n1": 0.2}


def with_zero_signature(alive_rumour: Alive) -> Alive:
    return Alive(
        alive_rumour.name,
        alive_rumour.host,
        alive_rumour.port,
        alive_rumour.boot,
        alive_rumour.incarnation,
        alive_rumour.key,
        bytes(64),
    )


def conf(folder: Path, of: str, names: str = "ab", seed: int = 0, **changes: str) -> str:
    lines = {"name": of, "listen": "127.0.0.1:0", "key": str(folder / f"{of}.key"), "period": "200ms"}
    lines |= {"answer": "90ms", "control": str(folder / f"{of}.sock"), "file": str(folder / f"{of}.state")}
    for other in names:
        if not (folder / f"{other}.key").exists():
            keys.write_private(folder / f"{other}.key", real_key(other).private)
    text = "gossip\n" + "".join(f"    {key} {value}\n" for key, value in (lines | changes).items())
    text += "".join(f"    peer {other} {keys.write_public(real_key(other).public)}\n" for other in names)
    return text + (f"    seed 127.0.0.1:{seed}\n" if seed else "")


def test_gossip_section_errors_name_the_directive(tmp_path: Path) -> None:
    path = tmp_path / "t.conf"
    path.write_text(conf(tmp_path, "a"))
    assert reader.read(str(path)).records["gossip"].timing.probe_interval == 0.2
    wrong = conf(tmp_path, "a", listen="here", ceiling="1KB", skew="1h", name="a b")
    wrong += "    peer c xx\n    seed 1.2.3.4\n"
    path.write_text(wrong)
    with pytest.raises(ConfError) as caught:
        reader.read(str(path))
    assert sorted(p.directive for p in caught.value.problems) == ["ceiling", "listen", "name", "peer", "seed", "skew"]
    path.write_text(conf(tmp_path, "a", name="c", answer="150ms"))
    with pytest.raises(ConfError) as caught:
        reader.read(str(path))
    assert [p.directive for p in caught.value.problems] == ["name", "answer"]


PEERS = SETTINGS | {"Allowed": SETTINGS["Allowed"] | {"Peers": True}}


def start(folder: Path, text: str, **changes: Any) -> Program:
    folder.mkdir(exist_ok=True)
    return Program(folder, "127.0.0.1:1", conf=text, settings=PEERS, **changes)


def live(path: Path) -> list[str]:
    return sorted(m["name"] for m in control.query(str(path))["members"] if m["state"] == "alive")


def until(condition: Any) -> None:
    end = time.monotonic() + LIMIT
    while not condition():
        assert time.monotonic() < end, f"condition not met in {LIMIT:g} s"
        time.sleep(0.05)


def test_gateways_find_each_other_and_restart_restores_members(tmp_path: Path) -> None:
    first = start(tmp_path / "1", conf(tmp_path, "a"))
    port = first.wait_for("gossip_started")["address"][1]
    second = start(tmp_path / "2", conf(tmp_path, "b", seed=port))
    second.wait_for("gossip_started")
    until(lambda: live(tmp_path / "a.sock") == ["b"] and live(tmp_path / "b.sock") == ["a"])
    table = subprocess.run(
        [sys.executable, "-m", "tealwing", "gossip", "members", "--control", str(tmp_path / "a.sock")],
        cwd=Path(__file__).parent.parent, capture_output=True, text=True, check=True,
    ).stdout  # fmt: skip
    assert "a: 1 members" in table and "alive" in table
    second.terminate()
    second.process.wait(timeout=LIMIT)
    until(lambda: live(tmp_path / "a.sock") == [])
    again = start(tmp_path / "3", conf(tmp_path, "b"))  # without a seed: the state file has the members
    until(lambda: live(tmp_path / "a.sock") == ["b"])
    first.conf.write_text(conf(tmp_path, "a", "a"))  # b's key is revoked
    first.reload(first.path.read_text())
    until(lambda: live(tmp_path / "a.sock") == [])
    assert control.query(str(tmp_path / "a.sock"))["rejected"]["signature"] > 0
    assert [p.end() for p in (first, second, again)] == ["", "", ""]


@pytest.mark.parametrize("wrong", ["forbidden", "other key", "no key", "taken"])
def test_gateway_exits_if_gossip_cannot_start(tmp_path: Path, wrong: str) -> None:
    text, settings_ = conf(tmp_path, "a"), PEERS
    taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    taken.bind(("127.0.0.1", 0))
    if wrong == "forbidden":
        settings_ = SETTINGS
    elif wrong == "other key":
        text = text.replace("a.key", "b.key")
    elif wrong == "no key":
        text = text.replace("a.key", "none.key")
    else:
        text = text.replace("127.0.0.1:0", f"127.0.0.1:{taken.getsockname()[1]}")
    program = Program(tmp_path, "127.0.0.1:1", conf=text, settings=settings_)
    assert program.process.wait(timeout=LIMIT) == 1
    assert "gossip" in program.end()
    taken.close()


def test_members_command_fails_without_instance(tmp_path: Path) -> None:
    call = [sys.executable, "-m", "tealwing", "gossip", "members", "--control", str(tmp_path / "none")]
    done = subprocess.run(call, cwd=Path(__file__).parent.parent, capture_output=True, text=True)
    assert done.returncode == 1 and "no instance answers" in done.stderr


def test_invalid_operators_file_leaves_gossip_unchanged(tmp_path: Path) -> None:
    # An operators' file is applied whole or not at all: levels with a class that the platform doesn't have must not
    # stop gossip halfway.
    program = start(tmp_path / "1", conf(tmp_path, "a"))
    program.wait_for("gossip_started")
    levels = "levels\n  level x\n    enter when fleet.load > 2 for 1s\n    exit when fleet.load < 1 for 5s\n"
    program.conf.write_text(levels + "    admit nothing 0%\n")
    program.reload(program.path.read_text())
    assert "no class nothing" in program.wait_for("operators_file_unusable")["problems"][0]
    assert control.query(str(tmp_path / "a.sock"))["name"] == "a"
    program.conf.write_text(conf(tmp_path, "a", skew="20s"))
    program.reload(program.path.read_text())
    assert "times changed" in program.wait_for("operators_file_unusable")["problems"][0]
    program.conf.write_text("# off\n")
    program.reload(program.path.read_text())
    until(lambda: not control.is_answering(str(tmp_path / "a.sock")))
    assert program.end() == ""
