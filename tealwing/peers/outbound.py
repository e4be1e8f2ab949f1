"""The sending side of the peer link: a thread per peer that dials it and sends the queued messages."""

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

RECONNECT_BACKOFF = 0.05, 1.0  # least and most s between two dials, jittered; a healed partition is noticed at the next
CONNECT_TIMEOUT = 1.0  # s that a dial may take
WRITE_TIMEOUT = 1.0  # s that a peer may read nothing before the connection is closed
MAX_BATCH_BYTES = 256 * 1024  # bytes of messages written to a socket at once


class OutboundConnection:
    """The sender to one peer: its queue and its thread."""

    def __init__(self, plan: Plan, name: str, address: Address, hello: messages.Hello) -> None:
        """Prepare a sender to the peer; each of its connections begins with the hello."""
        self._plan, self.name, self.address, self._hello = plan, name, address, hello
        self.queue = SendQueue(plan.queue, plan.queue_bytes_per_peer())
        self._backoff = Backoff(*RECONNECT_BACKOFF)
        self._stopped = threading.Event()
        self._heartbeat_numbers = itertools.count(1)
        self.connected = False
        self.dials = self.sent = self.sent_bytes = 0

    def start(self) -> None:
        """Start the thread that dials and sends."""
        threads.start(self._run, f"peer-{self.name}")

    def stop(self) -> None:
        """Stop the thread, and close the queue."""
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
                pass  # the peer notices the silence: its peer table suspects this gateway
            finally:
                self.connected = False
            # messages for an unreachable peer are stale by the time that it can be reached
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
            if time.monotonic() - began > times.suspect_after:  # stable: the next backoff starts at its least
                self._backoff.reset()
            if closed_by_peer(sock):
                return


def closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer, which never sends on this connection, has closed it."""
    try:
        return sock.recv(1, socket.MSG_DONTWAIT | socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
