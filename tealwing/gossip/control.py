"""The control socket: a Unix socket that answers each connection with the instance's status as one JSON line."""

from __future__ import annotations

import contextlib
import os
import socket
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from tealwing.gossip.errors import GossipConfigError

CLIENT_TIMEOUT = 2.0  # s
MAX_ANSWER_BYTES = 4 << 20  # enough for several thousand members
OWNER_ONLY_MASK = 0o177  # umask


class ControlSocket:
    """Answers each connection with the instance's status.

    Raises:
        GossipConfigError: another instance answers at the path, or the socket can't be bound.
    """

    def __init__(self, path: str, status: Callable[[], dict[str, Any]]) -> None:
        self._path, self._status = Path(path), status
        if self._path.exists() and is_answering(path):
            raise GossipConfigError(
                f"gossip: control {path}: another instance answers there; allowed: a path of its own"
            )
        self._path.unlink(missing_ok=True)
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        mask = os.umask(OWNER_ONLY_MASK)
        try:
            self._sock.bind(path)
        except OSError as error:
            raise GossipConfigError(f"gossip: control {path}: {error.strerror}") from None
        finally:
            os.umask(mask)
        self._sock.listen(8)

    def start(self) -> None:
        """Start the thread that answers connections."""
        threading.Thread(target=self._run, name="gossip-control", daemon=True).start()

    def stop(self) -> None:
        """Close the socket and remove its path."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        with contextlib.suppress(OSError):
            self._path.unlink()

    def _run(self) -> None:
        while True:
            try:
                client, _ = self._sock.accept()
            except OSError:
                return
            with client, contextlib.suppress(OSError):  # the client may disconnect before its answer
                client.settimeout(CLIENT_TIMEOUT)
                client.sendall(orjson.dumps(self._status()) + b"\n")


def query(path: str) -> dict[str, Any]:
    """Return the status of the instance that listens at a socket's path.

    Raises:
        OSError: no instance answers at the path.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(CLIENT_TIMEOUT)
        sock.connect(path)
        data = bytearray()
        while len(data) <= MAX_ANSWER_BYTES and (part := sock.recv(65536)):
            data += part
    status: dict[str, Any] = orjson.loads(data)
    return status


def is_answering(path: str) -> bool:
    """Return whether an instance answers at a socket's path."""
    try:
        query(path)
    except (OSError, orjson.JSONDecodeError):
        return False
    return True
