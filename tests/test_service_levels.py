"""Service levels in the running gateway: a level is entered, enforced and left, and SIGHUP reads the files again."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.peers import LIMIT, Client, Peer, Program, say

PAGE = b"a\tb\tc\n"
CONF = """\
levels
    window 1s
    every 100ms
    ramp 100ms
    level fewer-loads
        enter when class.lookup.late > 50% for 200ms
        exit when class.lookup.late < 10% for 500ms
        stay 1s
        admit load 0%
        pushback 60ms..90ms
"""


class Deployment:
    """One gateway with an operators' file, and one engine."""

    def __init__(self, folder: Path, conf: str = CONF) -> None:
        self.engine = Peer()
        self.program = Program(folder, self.engine.address, conf=conf)
        self.address = self.program.address()

    def answer_query(self) -> None:
        """Serve the next query that reaches the engine."""
        sock, parts = self.engine.next(b"want")
        say(sock, parts[1], b"200", b"sheets=1", PAGE)

    def send_load(self, number: int) -> Client:
        client = Client(self.address)
        client.ask(op="load", dedupe="a", call=f"{number:016x}")
        return client

    def reload(self, conf: str) -> None:
        self.program.conf.write_text(conf)
        self.program.process.send_signal(signal.SIGHUP)


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    yield deployment
    errors = deployment.program.end()
    deployment.engine.listener.close()
    assert errors == ""


def overload(deployment: Deployment) -> list[Client]:
    """Send lookups that get no answer; return their clients when the level has been entered."""
    waiting = []
    for number in range(12):
        client = Client(deployment.address)
        client.ask(call=f"{number:016x}")
        waiting.append(client)
    change = deployment.program.wait_for("service_level")
    assert (change["from"], change["to"], change["why"]) == ("full", "fewer-loads", "enter")
    assert change["condition"] == "class.lookup.late > 50%" and change["figures"] == {"class.lookup.late": "100%"}
    return waiting


def test_level_rejects_at_once_serves_the_rest_and_ends(deployment: Deployment) -> None:
    waiting = overload(deployment)
    sent_at = time.monotonic()
    code, text = deployment.send_load(100).error()
    assert code == 1226 and 60 <= int(text.partition("pushback=")[2]) <= 90
    assert time.monotonic() - sent_at < LIMIT / 2, "rejected at once, not at the request's deadline"
    for _ in waiting:
        deployment.answer_query()
    for client in waiting:
        assert client.rows()
    change = deployment.program.wait_for("service_level")
    assert (change["from"], change["to"], change["why"]) == ("fewer-loads", "full", "exit")
    deadline = time.monotonic() + LIMIT
    while True:  # the admitted share rises over the ramp's 100 ms
        client = deployment.send_load(101)
        if not deployment.engine.got.empty() or time.monotonic() > deadline:
            break
        time.sleep(0.05)
        if not deployment.engine.got.empty():
            break
        assert client.error()[0] == 1226
    deployment.answer_query()
    assert client.rows()


def test_sighup_applies_a_valid_file_and_ignores_an_invalid_one(deployment: Deployment) -> None:
    overload(deployment)
    deployment.reload("levels\n    window soon\n    colour red\n")
    found = deployment.program.wait_for("operators_file_unusable")
    assert len(found["problems"]) == 3 and "t" in found["path"]
    assert deployment.send_load(100).error()[0] == 1226, "the old file stays in force as a whole"
    deployment.reload(CONF.replace("level fewer-loads", "level other"))
    change: dict[str, Any] = deployment.program.wait_for("service_level")
    assert (change["from"], change["to"], change["why"]) == ("fewer-loads", "full", "configuration")
    deployment.reload("# no sections\n")
    while deployment.program.wait_for("operators_file")["sections"]:
        pass
    client = deployment.send_load(102)
    while True:
        sock, parts = deployment.engine.got.get(timeout=LIMIT)
        if parts[0] == b"want" and parts[1].endswith(b"66"):
            say(sock, parts[1], b"200", b"sheets=1", PAGE)
            break
    assert client.rows()


def test_sighup_switches_levels_on(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, "# no sections\n")
    deployment.reload(CONF)
    while deployment.program.wait_for("operators_file")["sections"] != ["levels"]:
        pass
    overload(deployment)
    assert deployment.send_load(100).error()[0] == 1226
    assert deployment.program.end() == ""


@pytest.mark.parametrize("conf", ["levels\n    window soon\n", CONF.replace("admit load", "admit nothing")])
def test_invalid_file_ends_the_start_with_its_problems(tmp_path: Path, conf: str) -> None:
    program = Program(tmp_path, "127.0.0.1:1", conf=conf)
    assert program.process.wait(timeout=LIMIT) == 1
    error = program.end()
    assert "tealwing.conf" in error or "no class nothing" in error
