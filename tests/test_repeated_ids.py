"""An id that comes again is not sent to an engine again, whichever process of the gateway it reaches."""

from __future__ import annotations

import contextlib
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from tealwing.gateway.sent_ids import BUCKETS, IDS_PER_BUCKET, SentIds, TableUnavailableError
from tealwing.upgrade import shared_sent_ids
from tests.peers import LIMIT, Client, Peer, Program, say
from tests.test_program import PAGE
from tests.test_upgrade import Upgrades

CALL = "9b1f03aa5c7e2d41"
FAILED = 1105  # MySQL error code
QUIET = 0.3  # s in which the engine gets no further attempt


@pytest.fixture
def upgrades(tmp_path: Path) -> Iterator[Upgrades]:
    found = Upgrades(tmp_path)
    yield found
    found.end()


def request_id(number: int) -> bytes:
    return b"%016x" % number


def assert_not_sent_again(engine: Peer, client: Client) -> None:
    client.ask(call=CALL)
    assert client.error()[0] == FAILED
    with contextlib.suppress(Exception):
        while True:  # what cancels the first attempt may come
            _, parts = engine.got.get(timeout=QUIET)
            assert parts[0] != b"want"


def test_id_that_comes_again_after_its_client_left_is_not_sent_again(tmp_path: Path) -> None:
    engine = Peer()
    program = Program(tmp_path, engine.address)
    try:
        address = program.address()
        first = Client(address)
        first.ask(call=CALL)
        _, parts = engine.next(b"want")
        assert parts[1] == CALL.encode()
        first.sock.close()
        assert engine.next(b"never_mind")[1][1] == CALL.encode()
        assert_not_sent_again(engine, Client(address))
    finally:
        assert program.end() == ""


def test_id_that_comes_again_after_its_answer_is_not_sent_again(tmp_path: Path) -> None:
    engine = Peer()
    program = Program(tmp_path, engine.address)
    try:
        client = Client(program.address())
        client.ask(call=CALL)
        sock, parts = engine.next(b"want")
        say(sock, parts[1], b"200", b"sheets=1", PAGE)
        assert client.rows()
        assert_not_sent_again(engine, client)
    finally:
        assert program.end() == ""


def test_id_that_comes_again_at_another_process_is_not_sent_again(upgrades: Upgrades) -> None:
    old, new = upgrades.start(), upgrades.start()
    first = upgrades.client_of(old)
    first.ask(call=CALL)
    upgrades.engine.next(b"want")
    second = upgrades.client_of(new)
    assert_not_sent_again(upgrades.engine, second)
    first.sock.close()
    assert_not_sent_again(upgrades.engine, upgrades.client_of(new))


def test_id_is_claimed_once_and_forgotten_after_enough_others() -> None:
    ids = SentIds()
    assert ids.claim(request_id(7)) and not ids.claim(request_id(7))
    for other in range(1, IDS_PER_BUCKET):
        assert ids.claim(request_id(7 + other * BUCKETS))
    assert not ids.claim(request_id(7))
    assert ids.claim(request_id(7 + IDS_PER_BUCKET * BUCKETS)) and ids.claim(request_id(7))


@pytest.mark.parametrize("number", [0, 1, (1 << 64) - 2])
def test_smallest_and_largest_ids_are_told_from_a_free_place(number: int) -> None:
    ids = SentIds()
    assert ids.claim(request_id(number)) and not ids.claim(request_id(number))


def test_id_found_across_two_places_of_a_bucket_is_new() -> None:
    ids = SentIds()
    first, second = 0x0000_0000_0003_0003 - 1, 0xBBBB_0000_0000_0003 - 1  # the later one is stored first
    assert ids.claim(request_id(first)) and ids.claim(request_id(second))
    across = 0x0003_0000_0000_0003 - 1  # the end of the second entry and the beginning of the first
    assert across % BUCKETS == first % BUCKETS == second % BUCKETS
    assert ids.claim(request_id(across)) and not ids.claim(request_id(across))


def test_two_threads_that_claim_one_id_get_it_once(tmp_path: Path) -> None:
    for ids in (SentIds(), shared_sent_ids.open_shared(tmp_path)):
        for number in range(50):
            found: list[bool] = []
            together = threading.Barrier(4)

            def claim(ids: SentIds = ids, number: int = number) -> None:
                together.wait(LIMIT)  # noqa: B023 - joined before the next turn
                found.append(ids.claim(request_id(number)))  # noqa: B023

            threads = [threading.Thread(target=claim) for _ in range(4)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(LIMIT)
            assert sorted(found) == [False, False, False, True]


def test_table_outlives_the_process_that_made_it(tmp_path: Path) -> None:
    assert shared_sent_ids.open_shared(tmp_path).claim(request_id(7))
    assert not shared_sent_ids.open_shared(tmp_path).claim(request_id(7))


def test_table_locked_by_a_stopped_process_refuses_claims_in_time(tmp_path: Path) -> None:
    ids = shared_sent_ids.open_shared(tmp_path)
    holder = subprocess.Popen([sys.executable, "-c", HOLDER, str(tmp_path / shared_sent_ids.FILE_NAME)])
    try:
        while not (tmp_path / "held").exists():
            assert holder.poll() is None
        with pytest.raises(TableUnavailableError, match="locked"):
            ids.claim(request_id(7))
    finally:
        holder.kill()
        holder.wait(LIMIT)
    assert ids.claim(request_id(7))


HOLDER = """
import fcntl, pathlib, sys, time
file = open(sys.argv[1], "r+b")
fcntl.lockf(file, fcntl.LOCK_EX)
pathlib.Path(sys.argv[1]).with_name("held").touch()
time.sleep(60)
"""
