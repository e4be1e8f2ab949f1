"""One client at full speed, with small or unsound requests, delays no other client and takes no memory."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tealwing import log
from tealwing.mysql import packets
from tests.crowd import LIMITS, CrowdEngine, ask, connect, peak_memory_mb, read_log, start_gateway, statement
from tests.peers import Program

SECONDS = 1.0  # of each flood
TIME_TO_LIVE = 1.0  # s of the other clients' requests
EVENT_NAMES = 3  # of the log lines that one flood causes
MAX_LINES = EVENT_NAMES * log.CLIENT_EVENTS_PER_SECOND * (SECONDS + 1)
BATCH = 100  # commands in one write


def query(text: str) -> bytes:
    return packets.packet(0, b"\x03" + text.encode())


FLOODS: dict[str, Callable[[int], bytes]] = {
    "pings": lambda number: packets.packet(0, b"\x0e"),
    "empty commands": lambda number: packets.packet(0, b""),
    "unknown commands": lambda number: packets.packet(0, bytes([0x40 + number % 64])),
    "new classes": lambda number: query(f"/* op=class{number},call={number:016x},ttl=500 */ SELECT 1"),
    "new fields": lambda number: query(f"/* op=lookup,field{number}=1 */ SELECT 1"),
    "many fields": lambda number: query(f"/* {'a=1,' * 500}b{number}=1 */ SELECT 1"),
    "new databases": lambda number: packets.packet(0, f"\x02base{number}".encode()),
    "new keys": lambda number: statement(number, op="load", dedupe=f"key{number}"),
    "new ids": lambda number: statement(number),
    "unknown connections": lambda number: query(f"KILL QUERY {number}"),
    "long kills": lambda number: query("KILL 1" + " " * 10_000 + "x"),
    "no comment": lambda number: query("SELECT '" + "''" * 500),
    "no digits": lambda number: query(f"/* op=lookup,call={number:016x},ttl=000000000001{'9' * 5000} */ SELECT 1"),
}


@pytest.fixture
def gateway(tmp_path: Path) -> Iterator[Program]:
    engine = CrowdEngine()
    program = start_gateway(tmp_path, [engine])
    yield program
    errors = program.end()
    engine.close()
    assert errors == ""


class Flood:
    """A client that writes commands at full speed, and reads the answers or does not."""

    def __init__(self, address: tuple[str, int], make: Callable[[int], bytes], reads: bool) -> None:
        self._address, self._make, self._reads = address, make, reads
        self.over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self.over.set()
        self._thread.join()

    def _run(self) -> None:
        number = 1 << 32
        while not self.over.is_set():
            with contextlib.suppress(OSError), connect(self._address) as sock:  # the gateway may close it
                if self._reads:
                    threading.Thread(target=self._read, args=(sock.dup(),), daemon=True).start()
                sock.settimeout(0.1)
                while not self.over.is_set():
                    data = memoryview(b"".join(self._make(number + one) for one in range(BATCH)))
                    number += BATCH
                    while data and not self.over.is_set():
                        with contextlib.suppress(TimeoutError):
                            data = data[sock.send(data) :]

    def _read(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            while sock.recv(1 << 16):
                pass


@pytest.mark.parametrize("reads", [True, False], ids=["reads answers", "reads nothing"])
@pytest.mark.parametrize("flood", FLOODS)
def test_flood_of_one_client_does_not_delay_the_others(gateway: Program, flood: str, reads: bool) -> None:
    address = gateway.address()
    events = read_log(gateway)
    one = Flood(address, FLOODS[flood], reads)
    try:
        until, number = time.monotonic() + SECONDS, 0
        while time.monotonic() < until:
            answer, seconds = ask(address, number, ttl=round(TIME_TO_LIVE * 1e3))
            assert answer == b"\x03" and seconds < TIME_TO_LIVE
            number += 1
    finally:
        one.stop()
    assert gateway.process.poll() is None and peak_memory_mb(gateway) <= LIMITS["memory_mb"]
    assert len(events) <= MAX_LINES
    assert not [event for event in events if event["event"] in ("request_fault", "must_hold_broken")]
