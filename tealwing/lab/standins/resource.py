"""A resource that fleet-wide tasks act on: it rejects actions with an older token than it has seen."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from tealwing.peers.control import ControlServer, Fields, field
from tealwing.peers.plan import Address


class Resource:
    """Serves actions over TCP and records each."""

    def __init__(self, record: Callable[..., Any], address: Address = ("127.0.0.1", 0)) -> None:
        self._record = record
        self._lock = threading.Lock()
        self.newest: dict[str, int] = {}  # by lease name: the newest token
        self.fenced = True  # False accepts every token, to show that a judge detects it
        self._control = ControlServer(address)
        self._control.serve("act", self._act)

    @property
    def address(self) -> str:
        """Return the address as HOST:PORT."""
        host, port = self._control.address
        return f"{host}:{port}"

    def start(self) -> None:
        """Start serving actions."""
        self._control.start()

    def stop(self) -> None:
        """Stop serving actions."""
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
