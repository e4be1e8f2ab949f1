"""What holds for all tests: steady examples, and no watch that outlives its test."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator

import pytest
from hypothesis import settings

from tealwing.coordinator.follower import Follower
from tests.peers import LIMIT

settings.register_profile("steady", derandomize=True, deadline=None, database=None)
settings.load_profile("steady")


class Left(BaseException):
    """Ends a follower's loop; no handler of its own takes it."""


@pytest.fixture(autouse=True)
def followers(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Ends the watches that a test's gateways began in this process: they would speak into the next test's log."""
    started: list[tuple[Follower, threading.Thread]] = []

    def start(self: Follower) -> None:
        def run() -> None:
            with contextlib.suppress(Left):
                self._run()

        started.append((self, threading.Thread(target=run, daemon=True)))
        started[-1][1].start()

    def leave(seconds: float) -> bool:
        raise Left

    monkeypatch.setattr(Follower, "start", start)
    yield
    for one, thread in started:
        monkeypatch.setattr(one._moved, "wait", leave)
        one.move(("127.0.0.1", 1))
        thread.join(LIMIT)
        assert not thread.is_alive()
