"""A resource on which fleet-wide tasks act: it takes an action only under the newest token that it has seen."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from tealwing.peers.control import ControlServer, Fields, field
from tealwing.peers.plan import Address


class Resource:
    """Answers actions over TCP, and tells each to whoever records them."""

    def __init__(self, record: Callable[..., Any], address: Address = ("127.0.0.1", 0)) -> None:
        self._record = record
        self._lock = threading.Lock()
        self.newest: dict[str, int] = {}
        self.fenced = True  # else it takes whatever comes: on purpose, to see a judge find it
        self._control = ControlServer(address)
        self._control.serve("act", self._act)

    @property
    def address(self) -> str:
        """HOST:PORT."""
        host, port = self._control.address
        return f"{host}:{port}"

    def start(self) -> None:
        """Take actions from now on."""
        self._control.start()

    def stop(self) -> None:
        """Take no more."""
        self._control.stop()

    def _act(self, fields: Fields) -> Fields:
        name, token, begun = field(fields, "name", str), field(fields, "token", int), field(fields, "begun", float)
        with self._lock:
            newest = self.newest.get(name, 0)
            accepted = token >= newest or not self.fenced
            if accepted:
                self.newest[name] = max(token, newest)
            took = time.monotonic() - begun
            self._record("act", name=name, token=token, newest=newest, accepted=accepted, took=round(took, 6))
        return {"accepted": accepted, "newest": newest}
