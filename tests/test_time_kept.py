"""An engine gets all of a request's ttl except the time reserved for timers and wake-ups.

Guards against a reserve that is too large: with 0.1 to 0.25 s reserved, a request with 200 ms left was sent with 100,
and one with 100 ms was rejected unsent. That reserve allowed for wake-ups 0.1 to 0.15 s late, which were stalls of an
earlier test bench for processes with many system calls. A timer fires up to 20 ms after its due time, as timers fire at
multiples of 20 ms; the wake-up, lock and write after it take 10 ms at most in 999 of 1,000 cases.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.peers import Client, Peer, Program, answer_next

MAX_RESERVED = 0.03  # s that a gateway may reserve: 0.02 of timer granularity, and 0.01 for wake-ups and writes
TRANSIT = 0.05  # s allowed for the two processes of this test on a busy machine


@pytest.mark.parametrize("ttl", [100, 200, 1000, 3000])
def test_ttl_of_an_attempt_is_nearly_all_of_the_time_its_client_has(ttl: int, tmp_path: Path) -> None:
    engine = Peer()
    program = Program(tmp_path, engine.address)
    try:
        client = Client(program.address())
        client.ask(call="00000000000000a0")  # opens the connection to the engine
        answer_next(engine, b"a\tb\tc\n")
        client.rows()
        client.ask(call="00000000000000a1", ttl=ttl)
        _, parts = engine.next(b"want")
        sent_ttl = int(parts[2].split(b"ttl=")[1].split(b",")[0])
        assert ttl - (MAX_RESERVED + TRANSIT) * 1e3 <= sent_ttl <= ttl
    finally:
        program.end()
