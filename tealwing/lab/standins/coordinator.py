"""A fake coordinator on a real socket: numbered events, a heartbeat each second, and injected failures."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from typing import Any

HEARTBEAT_INTERVAL = 1.0  # s between heartbeats, which carry the last index (set by the protocol)


class Coordinator:
    """Keeps the events and sends each follower those that it lacks."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self._changed = threading.Condition()
        self._events: list[dict[str, Any]] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._followers: set[socket.socket] = set()
        self.silent = self._stopped = False
        self.publish(members, complete=True)
        threading.Thread(target=self._accept, name="standin-coordinator", daemon=True).start()

    @property
    def known(self) -> dict[str, Any]:
        """Return the events so far, which a gateway gets at its start."""
        with self._changed:
            return {"index": len(self._events), "updates": list(self._events)}

    def publish(self, members: list[dict[str, Any]], complete: bool = False) -> None:
        """Add an event with an update of the engine list; `complete` marks a full list."""
        with self._changed:
            number = len(self._events) + 1
            endpoints = {"revision": number, "complete": complete, "members": members}
            self._events.append({"index": number, "endpoints": endpoints})
            self._changed.notify_all()

    def break_off(self) -> None:
        """Close all connections in the middle of a line."""
        with self._changed:
            followers, self._followers = self._followers, set()
        for sock in followers:
            with contextlib.suppress(OSError):
                sock.sendall(b'{"index":')
                sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Close the listener and end all connections."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), name="standin-follower", daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError, ValueError, IndexError):
            at = int(sock.recv(64).split()[1])
            with self._changed:
                self._followers.add(sock)
            while True:
                with self._changed:
                    if len(self._events) <= at or self.silent:
                        self._changed.wait(HEARTBEAT_INTERVAL)
                    if self._stopped or sock not in self._followers:
                        return
                    new = [] if self.silent else self._events[at:]
                    at += len(new)
                if not self.silent:
                    lines = [json.dumps(event) for event in new] or [str(at)]
                    sock.sendall("".join(line + "\n" for line in lines).encode())
