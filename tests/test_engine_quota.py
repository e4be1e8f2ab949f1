"""The quota of descriptors for connections to engines."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from queue import SimpleQueue
from typing import Any

import pytest

from tealwing.coordinator.updates import Member
from tealwing.resp.engine_pool import EnginePool
from tealwing.resp.errors import ConnectError
from tests.build import entry, make_settings
from tests.peers import LIMIT
from tests.test_engine_connections import FakeEngine, empty_fields, read_message, wait_for_end


def make_pool(engines: list[FakeEngine], max_connections: int, connect_timeout: float) -> EnginePool:
    limits = dataclasses.replace(make_settings().limits, connect_timeout=connect_timeout, attempts_per_connection=1)
    pool = EnginePool(limits, max_connections)
    members = (Member(f"e-{n}", "127.0.0.1", engine.address[1], entry(n)) for n, engine in enumerate(engines))
    pool.update(tuple(members), True)
    pool.start()
    return pool


@pytest.fixture
def fake_engines() -> Iterator[list[FakeEngine]]:
    engines = [FakeEngine(), FakeEngine()]
    yield engines
    for fake_engine in engines:
        fake_engine.close()


def test_full_quota_closes_longest_idle_connection_of_another_engine(fake_engines: list[FakeEngine]) -> None:
    # guards against exceeding the budget: 12 engines that take one attempt per connection had 192 connections, not 126
    pool = make_pool(fake_engines, 2, LIMIT)
    received: SimpleQueue[Any] = SimpleQueue()
    first, second = (pool.send(0, b"%d" % n, empty_fields, b"SELECT 1", received.put, LIMIT) for n in range(2))
    socks = [fake_engines[0].accept() for _ in range(2)]
    second.finish()
    first.finish()  # the second connection has been idle for longer than the first
    third = pool.send(1, b"3", empty_fields, b"SELECT 1", received.put, LIMIT)
    assert read_message(fake_engines[1].accept())[1] == b"3" and pool._quota.in_use == 2
    assert read_message(socks[0])[1] == b"0" and read_message(socks[1])[1] == b"1"
    wait_for_end(socks[1])
    assert first.connection.is_alive and third.connection.is_alive and received.empty()


def test_connect_fails_when_quota_is_in_use_and_leaks_no_quota(fake_engines: list[FakeEngine]) -> None:
    pool = make_pool(fake_engines, 1, 0.2)
    received: SimpleQueue[Any] = SimpleQueue()
    in_flight = pool.send(0, b"1", empty_fields, b"SELECT 1", received.put, LIMIT)
    with pytest.raises(ConnectError, match="hold all the descriptors"):
        pool.send(1, b"2", empty_fields, b"SELECT 1", received.put, LIMIT)
    fake_engines[1].listener.settimeout(0.0)
    with pytest.raises(BlockingIOError):  # no connection was opened
        fake_engines[1].listener.accept()
    assert received.empty() and pool._quota.in_use == 1
    sock = fake_engines[0].accept()
    in_flight.finish()
    fake_engines[1].listener.settimeout(LIMIT)
    pool.send(1, b"3", empty_fields, b"SELECT 1", received.put, LIMIT).finish()
    assert read_message(fake_engines[1].accept())[1] == b"3" and pool._quota.in_use == 1
    wait_for_end(sock)
    fake_engines[1].close()
    refused = make_pool([fake_engines[0]], 1, LIMIT)
    fake_engines[0].close()
    for _ in range(3):  # failed connects release their quota
        with pytest.raises(ConnectError):
            refused.send(0, b"4", empty_fields, b"SELECT 1", received.put, LIMIT)
    assert refused._quota.in_use == 0
