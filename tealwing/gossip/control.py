"""The operators' socket: a Unix socket that answers each connection with one JSON line."""

from __future__ import annotations

import contextlib
import os
import socket
import threading
from collections.abc import Callable
from typing import Any

import orjson

CLIENT_TIMEOUT = 2.0  # s for one asker
MAX_ANSWER_BYTES = 4 << 20  # bytes of an answer: some thousand members


class ControlSocket:
    """Answers with what `tell` gives."""

    def __init__(self, path: str, tell: Callable[[], dict[str, Any]]) -> None:
        self._path, self._tell = path, tell
        if os.path.exists(path) and is_answering(path):
            raise ValueError(f"gossip: control {path}: another instance answers there")
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        mask = os.umask(0o177)  # its owner's alone
        try:
            self._sock.bind(path)
        except OSError as error:
            raise ValueError(f"gossip: control {path}: {error.strerror}") from None
        finally:
            os.umask(mask)
        self._sock.listen(8)

    def start(self) -> None:
        """Answer from now on."""
        threading.Thread(target=self._run, name="gossip-control", daemon=True).start()

    def stop(self) -> None:
        """Answer no more."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        with contextlib.suppress(OSError):
            os.unlink(self._path)

    def _run(self) -> None:
        while True:
            try:
                asker, _ = self._sock.accept()
            except OSError:
                return
            with asker, contextlib.suppress(OSError):  # an asker that goes costs nothing
                asker.settimeout(CLIENT_TIMEOUT)
                asker.sendall(orjson.dumps(self._tell()) + b"\n")


def query(path: str) -> dict[str, Any]:
    """What the instance at that socket tells; OSError where none does."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(CLIENT_TIMEOUT)
        sock.connect(path)
        data = bytearray()
        while len(data) <= MAX_ANSWER_BYTES and (part := sock.recv(65536)):
            data += part
    found: dict[str, Any] = orjson.loads(data)
    return found


def is_answering(path: str) -> bool:
    """Whether an instance answers there."""
    try:
        query(path)
    except (OSError, orjson.JSONDecodeError):
        return False
    return True
