"""The sending side of the peer link: a thread for each peer, which dials it and sends what is queued."""

from __future__ import annotations

import itertools
import socket
import threading
import time

from tealwing import threads
from tealwing.coordinator.backoff import Backoff
from tealwing.peers import frames, messages
from tealwing.peers.plan import Address, Plan
from tealwing.peers.send_queue import SendQueue
from tealwing.sockets import set_limit

RECONNECT_BACKOFF = (
    0.05,
    1.0,
)  # s between two dials, least and most, jittered: a healed cut is noticed within the most
CONNECT_TIMEOUT = 1.0  # s
WRITE_TIMEOUT = 1.0  # s that a peer may take nothing before the connection is given up
MAX_BATCH_BYTES = 256 * 1024  # bytes written at once


class OutboundConnection:
    """The sender to one peer: its queue and its thread."""

    def __init__(self, plan: Plan, name: str, address: Address, hello: messages.Hello) -> None:
        """Prepare a sender to that peer; each of its connections begins with the hello."""
        self._plan, self.name, self.address, self._hello = plan, name, address, hello
        self.queue = SendQueue(plan.queue, plan.queue_bytes_per_peer())
        self._backoff = Backoff(*RECONNECT_BACKOFF)
        self._stopped = threading.Event()
        self._heartbeat_numbers = itertools.count(1)
        self.connected = False
        self.dials = self.sent = self.sent_bytes = 0

    def start(self) -> None:
        """Start to dial and send."""
        threads.start(self._run, f"peer-{self.name}")

    def stop(self) -> None:
        """Stop sending."""
        self._stopped.set()
        self.queue.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self.dials += 1
                with socket.create_connection(self.address, CONNECT_TIMEOUT) as sock:
                    sock.settimeout(None)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    set_limit(sock, socket.SO_SNDTIMEO, WRITE_TIMEOUT)
                    self._send_loop(sock)
            except OSError:
                pass  # as good as silence, which the other end's peer table judges
            finally:
                self.connected = False
            # what was meant for a peer that can't be reached is stale by the time that it can
            if self._stopped.wait(self._backoff.next()):
                return
            self.queue.clear()

    def _send_loop(self, sock: socket.socket) -> None:
        times = self._plan.times
        hello = frames.encode(messages.encode(self._hello))
        sock.sendall(hello)
        self.sent_bytes += len(hello)
        self.connected = True
        began = time.monotonic()
        while (queued := self.queue.get(times.heartbeat, MAX_BATCH_BYTES)) is not None:
            payloads = queued or [messages.encode(messages.Heartbeat(next(self._heartbeat_numbers)))]
            data = b"".join(map(frames.encode, payloads))
            sock.sendall(data)
            self.sent += len(payloads)
            self.sent_bytes += len(data)
            if (
                time.monotonic() - began > times.suspect_after
            ):  # the connection is stable: the next backoff starts short
                self._backoff.reset()
            if closed_by_peer(sock):
                return


def closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the other end, which never sends on this connection, has closed it."""
    try:
        return sock.recv(1, socket.MSG_DONTWAIT | socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
