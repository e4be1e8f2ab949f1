"""The division of the process's memory, the account that its users share, and the log lines that clients cause."""

from __future__ import annotations

from queue import SimpleQueue
from typing import Any, cast

import pytest

from tealwing import log, memory
from tealwing.gateway.attempt import Attempt
from tealwing.gateway.request_handler import MAX_WAITING_ITEMS, RequestHandler
from tealwing.memory import MIB
from tealwing.resp.connection import Answer, Connection, Stream, StreamLost
from tealwing.resp.messages import RespError


@pytest.mark.parametrize("limit_mb", [1, 16, 32, 64, 192, 2048])
def test_budget_leaves_room_for_the_process_itself(limit_mb: int) -> None:
    found = memory.budget(limit_mb * MIB)
    spare = max(limit_mb * MIB - memory.PROCESS_BYTES, memory.MIN_SPARE_BYTES)
    assert found.account > 0 and found.threads > 0
    assert found.account + found.threads * memory.THREAD_BYTES < spare


def test_account_gives_no_more_than_its_size() -> None:
    account = memory.Account(100)
    one, other = memory.Reservation(account), memory.Reservation(account)
    assert one.resize(60) and not other.resize(41) and other.size == 0
    assert other.resize(40) and not one.add(1) and one.size == 60
    one.release()
    assert account.taken == 40 and account.peak == 100
    assert other.add(60) and account.taken == 100


def test_resident_memory_is_that_of_this_process() -> None:
    assert 4 * MIB < memory.resident_bytes() < 4096 * MIB


def test_peak_of_memory_is_logged_at_each_sixteenth_of_the_limit_once() -> None:
    peaks = memory.PeakLog(32 * MIB)
    logged = [size for size in range(0, 32 * MIB, MIB // 4) if peaks.is_peak(size)]
    assert logged == list(range(0, 32 * MIB, 2 * MIB))
    assert not peaks.is_peak(16 * MIB)


def test_lines_of_one_event_name_are_limited_and_the_rest_counted() -> None:
    now = [0.0]
    limit = log.RateLimit(3, lambda: now[0])
    assert [limit.admit("lost") for _ in range(5)] == [0, 0, 0, None, None]
    assert limit.admit("other") == 0
    now[0] = 1.0
    assert [limit.admit("lost") for _ in range(2)] == [2, 0]


def test_answers_that_wait_for_a_request_are_bounded() -> None:
    # guards memory: an engine that sends answers without end fills the mailbox of a request whose thread waits
    handler, mailbox = RequestHandler.__new__(RequestHandler), SimpleQueue[Any]()
    handler._mailbox = mailbox
    stream, attempt = Stream(cast(Connection, None), b"1", mailbox.put), Attempt(0, 1, 1.0)
    answer = Answer(stream, b"200", {}, b"a\tb\tc\n")
    for _ in range(MAX_WAITING_ITEMS):
        handler._on_stream_item(attempt, answer)
    with pytest.raises(RespError, match="not asked for"):
        handler._on_stream_item(attempt, answer)
    handler._on_stream_item(attempt, StreamLost(stream))  # the end of the connection still arrives
    assert mailbox.qsize() == MAX_WAITING_ITEMS + 1
