"""The program under an operators' file: a level is entered, enforced, left; files are read again."""

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


class Site:
    """One gateway under a file, one engine."""

    def __init__(self, folder: Path, conf: str = CONF) -> None:
        self.engine = Peer()
        self.program = Program(folder, self.engine.address, conf=conf)
        self.address = self.program.address()

    def answer(self) -> None:
        """Serve the next query that comes to the engine."""
        sock, parts = self.engine.next(b"want")
        say(sock, parts[1], b"200", b"sheets=1", PAGE)

    def load(self, number: int) -> Client:
        client = Client(self.address)
        client.ask(op="load", dedupe="a", call=f"{number:016x}")
        return client

    def reread(self, conf: str) -> None:
        self.program.conf.write_text(conf)
        self.program.process.send_signal(signal.SIGHUP)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path)
    yield site
    errors = site.program.end()
    site.engine.listener.close()
    assert errors == ""


def press(site: Site) -> list[Client]:
    """Lookups that get no answer; returns when the level has been entered."""
    waiting = []
    for number in range(12):
        client = Client(site.address)
        client.ask(call=f"{number:016x}")
        waiting.append(client)
    change = site.program.wait_for("service_level")
    assert (change["from"], change["to"], change["why"]) == ("full", "fewer-loads", "enter")
    assert change["condition"] == "class.lookup.late > 50%" and change["figures"] == {"class.lookup.late": "100%"}
    return waiting


def test_a_level_rejects_at_once_serves_the_rest_and_ends(site: Site) -> None:
    waiting = press(site)
    begun = time.monotonic()
    code, text = site.load(100).error()
    assert code == 1226 and 60 <= int(text.partition("pushback=")[2]) <= 90
    assert time.monotonic() - begun < LIMIT / 2, "at once, not when its time is over"
    for _ in waiting:
        site.answer()
    for client in waiting:
        assert client.rows()
    change = site.program.wait_for("service_level")
    assert (change["from"], change["to"], change["why"]) == ("fewer-loads", "full", "exit")
    deadline = time.monotonic() + LIMIT
    while True:  # the share rises over the ramp
        client = site.load(101)
        if not site.engine.got.empty() or time.monotonic() > deadline:
            break
        time.sleep(0.05)
        if not site.engine.got.empty():
            break
        assert client.error()[0] == 1226
    site.answer()
    assert client.rows()


def test_files_are_read_again(site: Site) -> None:
    press(site)
    site.reread("levels\n    window soon\n    colour red\n")
    found = site.program.wait_for("operators_file_unusable")
    assert len(found["problems"]) == 3 and "t" in found["path"]
    assert site.load(100).error()[0] == 1226, "the old file holds in whole"
    site.reread(CONF.replace("level fewer-loads", "level other"))
    change: dict[str, Any] = site.program.wait_for("service_level")
    assert (change["from"], change["to"], change["why"]) == ("fewer-loads", "full", "configuration")
    site.reread("# all off\n")
    while site.program.wait_for("operators_file")["sections"]:
        pass
    client = site.load(102)
    while True:
        sock, parts = site.engine.got.get(timeout=LIMIT)
        if parts[0] == b"want" and parts[1].endswith(b"66"):
            say(sock, parts[1], b"200", b"sheets=1", PAGE)
            break
    assert client.rows()


def test_levels_can_be_switched_on_while_it_runs(tmp_path: Path) -> None:
    site = Site(tmp_path, "# nothing yet\n")
    site.reread(CONF)
    while site.program.wait_for("operators_file")["sections"] != ["levels"]:
        pass
    press(site)
    assert site.load(100).error()[0] == 1226
    assert site.program.end() == ""


@pytest.mark.parametrize("conf", ["levels\n    window soon\n", CONF.replace("admit load", "admit nothing")])
def test_a_bad_file_ends_the_start_with_its_problems(tmp_path: Path, conf: str) -> None:
    program = Program(tmp_path, "127.0.0.1:1", conf=conf)
    assert program.process.wait(timeout=LIMIT) == 1
    error = program.end()
    assert "tealwing.conf" in error or "no class nothing" in error
