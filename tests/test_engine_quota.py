"""Connections to engines keep to their share of the descriptors."""

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
from tests.test_engine_connections import Machine, head, take, wait_for_end


def engine_list(machines: list[Machine], most: int, patience: float) -> EnginePool:
    limits = dataclasses.replace(make_settings().limits, connect_timeout=patience, attempts_per_connection=1)
    engines = EnginePool(limits, most)
    members = (Member(f"e-{n}", "127.0.0.1", one.address[1], entry(n)) for n, one in enumerate(machines))
    engines.update(tuple(members), True)
    engines.start()
    return engines


@pytest.fixture
def two() -> Iterator[list[Machine]]:
    machines = [Machine(), Machine()]
    yield machines
    for machine in machines:
        machine.close()


def test_a_full_share_costs_the_longest_idle_connection_to_another_engine(two: list[Machine]) -> None:
    # seen in a trial: 12 engines that take one attempt a connection had 192 connections of a budget of 126
    engines = engine_list(two, 2, LIMIT)
    heard: SimpleQueue[Any] = SimpleQueue()
    first, second = (engines.send(0, b"%d" % n, head, b"SELECT 1", heard.put, LIMIT) for n in range(2))
    socks = [two[0].accept() for _ in range(2)]
    second.finish()
    first.finish()  # the second connection has been idle for longer
    third = engines.send(1, b"3", head, b"SELECT 1", heard.put, LIMIT)
    assert take(two[1].accept())[1] == b"3" and engines._quota.in_use == 2
    assert take(socks[0])[1] == b"0" and take(socks[1])[1] == b"1"
    wait_for_end(socks[1])
    assert first.connection.is_alive and third.connection.is_alive and heard.empty()


def test_a_full_share_that_is_in_use_fails_the_connect_and_gives_everything_back(two: list[Machine]) -> None:
    engines = engine_list(two, 1, 0.2)
    heard: SimpleQueue[Any] = SimpleQueue()
    out = engines.send(0, b"1", head, b"SELECT 1", heard.put, LIMIT)
    with pytest.raises(ConnectError, match="hold all the descriptors"):
        engines.send(1, b"2", head, b"SELECT 1", heard.put, LIMIT)
    two[1].listener.settimeout(0.0)
    with pytest.raises(BlockingIOError):  # nobody came
        two[1].listener.accept()
    assert heard.empty() and engines._quota.in_use == 1
    sock = two[0].accept()
    out.finish()
    two[1].listener.settimeout(LIMIT)
    engines.send(1, b"3", head, b"SELECT 1", heard.put, LIMIT).finish()
    assert take(two[1].accept())[1] == b"3" and engines._quota.in_use == 1
    wait_for_end(sock)
    two[1].close()
    refused = engine_list([two[0]], 1, LIMIT)
    two[0].close()
    for _ in range(3):  # connects that fail keep no place
        with pytest.raises(ConnectError):
            refused.send(0, b"4", head, b"SELECT 1", heard.put, LIMIT)
    assert refused._quota.in_use == 0
