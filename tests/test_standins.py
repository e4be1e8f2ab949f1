"""The fake engines and coordinator on real sockets, with the gateway process between them and a client."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import orjson
import pytest

from tealwing.lab import arrivals
from tealwing.lab.engines import EngineParameters
from tealwing.lab.load import Load, LoadSpecification, text
from tealwing.lab.realtime import RealClock
from tealwing.lab.standins.coordinator import Coordinator
from tealwing.lab.standins.engine import Engine, Keys, truth
from tealwing.resp import messages
from tealwing.wire import parse_settings as read_settings
from tests.peers import LIMIT, ROOT, SETTINGS, Client, Program, member

SEED = 9
MIX = (arrivals.Mix(0.9, 0.02, 0.5, 0.2, 0.1), arrivals.Mix(0.1, 0.05, 0.5, 0.2, 0.1))
ENGINE_SETTINGS = read_settings(orjson.dumps(SETTINGS))


class Site:
    """Two fake engines, a coordinator and one gateway process."""

    def __init__(self, folder: Path) -> None:
        self.clock = RealClock()
        self.keys = Keys(self.clock)
        self.engines = [
            Engine(ENGINE_SETTINGS, EngineParameters(cores=8, memory=1e6), self.clock, self.keys, SEED, mix=MIX)
            for _ in range(2)
        ]
        self.coordinator = Coordinator([member(f"s-{i}", e.address) for i, e in enumerate(self.engines)])
        self.program = Program(folder, self.engines[0].address, self.coordinator.address, known=self.coordinator.known)
        self.address = self.program.address()

    def ask(self, number: int, op: str = "lookup", **fields: object) -> list[bytes]:
        """Send a query on a new connection; return the rows of its answer."""
        client = Client(self.address)
        client.ask(op=op, call=f"{number:016x}", **fields)
        rows = client.rows()
        client.sock.close()
        return rows

    def attempt_count(self) -> int:
        """Number of attempts that the engines received."""
        return sum(len(engine.record.wants) for engine in self.engines)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path)
    yield site
    errors = site.program.end()
    for engine in site.engines:
        engine.crash()
    site.coordinator.stop()
    site.clock.stop()
    assert errors == ""


def expected_rows(number: int, cls: int = 0) -> list[bytes]:
    pages = truth(SEED, f"{number:016x}".encode(), cls, MIX).pages
    return [
        b"".join(bytes([len(cell)]) + cell for cell in line.split(b"\t"))
        for page in pages
        for line in page.splitlines()
    ]


def test_client_gets_all_rows_of_its_query_over_several_pages(site: Site) -> None:
    asked = range(1, 13)
    assert max(len(truth(SEED, f"{n:016x}".encode(), 0, MIX).pages) for n in asked) > 1
    for number in asked:
        assert site.ask(number) == expected_rows(number)
    ends = [word for engine in site.engines for _, _, word in engine.record.ends]
    assert ends == [b"200"] * len(asked) and site.attempt_count() == len(asked)


def test_repeat_with_the_same_idempotency_key_runs_once(site: Site) -> None:
    for number in (1, 2, 3):
        assert site.ask(number, "load", dedupe="k1") == expected_rows(number, 1)
    assert site.ask(4, "load", dedupe="k2") and site.keys.ran == {b"k1": 1, b"k2": 1}


def test_gateway_survives_a_crashed_engine_and_garbled_answers(site: Site) -> None:
    site.engines[0].misbehaviour.spoil = 0.5
    site.engines[1].misbehaviour.copies = 1.0
    for number in range(1, 20):
        assert site.ask(number) == expected_rows(number)
    site.engines[0].crash()
    site.coordinator.publish([member("s-0", site.engines[0].address, phase="removed")])
    site.coordinator.break_off()
    begun = time.monotonic()
    for number in range(20, 30):
        assert site.ask(number) == expected_rows(number)
    assert time.monotonic() - begun < LIMIT


def test_engine_stops_a_cancelled_query_and_rejects_unknown_requests() -> None:
    clock = RealClock()
    engine = Engine(ENGINE_SETTINGS, EngineParameters(cores=1, memory=1e6), clock, Keys(clock), SEED)
    host, _, port = engine.address.rpartition(":")
    with socket.create_connection((host, int(port)), LIMIT) as sock:
        parser = messages.Parser()

        def receive() -> list[bytes]:
            while not (found := parser.feed(sock.recv(65536))):
                pass
            return found[0]

        sock.sendall(messages.encode(b"want", b"1", b"lane=lookup,ttl=60000", b"SELECT 1 FROM a_1.t"))
        sock.sendall(messages.encode(b"there", b"t"))
        assert receive()[:2] == [b"t", b"alive"]
        while not engine.model.inflight:
            time.sleep(0.01)
        sock.sendall(messages.encode(b"never_mind", b"1") + messages.encode(b"turn", b"1", b"1"))
        assert receive()[:2] == [b"1", b"500"] and not engine.model.inflight
        sock.sendall(messages.encode(b"want", b"2", b"lane=nothing", b"SELECT 1"))
        assert receive()[:2] == [b"2", b"500"]
        sock.sendall(b"$nonsense\r\n")
        assert sock.recv(1) == b""
    engine.crash()
    clock.stop()


def test_load_tool_counts_every_request_from_its_due_time(site: Site) -> None:
    specification = LoadSpecification(
        (site.address,), 60.0, 2.0, 32, 5, mix=MIX, names=("lookup", "load"), deadlines=(20.0, 20.0)
    )
    specification = replace(specification, accounts=("acme",))
    figures = Load(specification).run()
    assert figures["ends"] == {"served": figures["asked"]} and figures["asked"] > 60
    assert figures["by_class"]["lookup"]["latency_ms"]["p50"] >= 1.0
    assert sum(site.keys.ran.values()) == figures["by_class"]["load"]["asked"]
    assert "lookup" in text(figures)
    site.engines[0].misbehaviour.silent = site.engines[1].misbehaviour.silent = True
    stalled = Load(replace(specification, seconds=1.0, sessions=2, seed=6, deadlines=(0.4, 0.4))).run()
    # two sessions for sixty requests, none answered: the count includes all of them, and the run is reported as spoilt
    assert stalled["ends"].get("no answer in time", 0) > 20 and stalled["spoilt"]
    assert sum(stalled["ends"].values()) == stalled["asked"]
    assert "served" not in stalled["ends"] and "SPOILT" in text(stalled)


def test_demo_serves_queries_and_its_counts_add_up() -> None:
    call = [sys.executable, "-m", "tealwing", "demo", "--seconds", "6", "--plain"]
    done = subprocess.run(call, cwd=ROOT, capture_output=True, text=True, timeout=120)
    last = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 0 and not done.stderr and last["rules_broken"] == 0
    assert last["asked"] == last["served"] + last["refused"] + last["failed"] and last["served"] > 100
