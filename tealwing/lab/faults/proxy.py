"""The fault proxy of a trial, which forwards all peer links: one thread, one listener per direction of each pair.

It splits the stream into frames with the link's own parser, and the network conditions decide on each frame. A cut
direction drops frames silently, as a network does: connections stay open, and new ones are accepted but carry nothing.
Only the hello of a connection is kept until the cut heals, since a receiver can't read a connection without it.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import selectors
import socket
import threading
import time
import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from tealwing import log
from tealwing.lab.faults.network_conditions import NetworkConditions
from tealwing.peers import frames
from tealwing.peers.plan import Address

READ_SIZE = 64 * 1024  # bytes
# bytes buffered for a target that does not read, such as a stopped process, past which the connection is closed
MAX_WAITING = 32 << 20
IDLE_POLL = 0.05  # s that the proxy waits for events at most


@dataclass(eq=False, slots=True)
class Pipe:
    """An accepted connection of one direction, and the connection to its target."""

    source: str
    target: str
    inner: socket.socket  # to the source
    outer: socket.socket | None = None  # to the target
    parser: frames.Parser = field(default_factory=frames.Parser)
    hello: bytes | None = None  # the first frame, until it is forwarded
    hello_forwarded: bool = False
    last: float = 0.0  # monotonic time at which the last frame in order is due
    waiting: bytearray = field(default_factory=bytearray)  # bytes due that the target has not accepted yet
    closed: bool = False


class Proxy:
    """Forwards all directions between the processes; `set_target` gives the address of each process."""

    def __init__(self, conditions: NetworkConditions, pick: Callable[[], int]) -> None:
        """Open the listeners of all directions; `pick` returns a free port for each."""
        self.conditions = conditions
        self.lock = threading.Lock()  # guards `conditions`
        self.counts: Counter[str] = Counter()
        self.leaky = False  # deliberate defect that a checker must find: frames pass a cut
        self._targets: dict[str, Address] = {}
        self._selector = selectors.DefaultSelector()
        self._listeners: dict[tuple[str, str], socket.socket] = {}
        self._pipes: set[Pipe] = set()
        self._due: list[tuple[float, int, Pipe, bytes]] = []
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        for pair in ((a, b) for a in conditions.names for b in conditions.names if a != b):
            listener = socket.create_server(("127.0.0.1", pick()), backlog=16)
            listener.setblocking(False)
            self._listeners[pair] = listener
            self._selector.register(listener, selectors.EVENT_READ, pair)
        self._thread = threading.Thread(target=self._run, name="fault-proxy", daemon=True)

    def address(self, source: str, target: str) -> Address:
        """Return the address that the source dials to reach the target."""
        host, port = self._listeners[source, target].getsockname()
        return host, port

    def set_target(self, name: str, address: Address) -> None:
        """Set the address on which a process listens."""
        self._targets[name] = address

    def target(self, name: str) -> Address:
        """Return the address on which a process listens."""
        return self._targets[name]

    def start(self) -> None:
        """Start forwarding frames."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, and close all connections and listeners."""
        self._stopped.set()
        self._thread.join(5.0)
        for pipe in list(self._pipes):
            self._close(pipe)
        for listener in self._listeners.values():
            listener.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            wait = min(IDLE_POLL, max(0.0, self._due[0][0] - time.monotonic())) if self._due else IDLE_POLL
            try:
                for key, mask in self._selector.select(wait):
                    if isinstance(key.data, Pipe):
                        self._serve(key.data, key.fileobj, mask)
                    else:
                        self._accept(key.data)
                self._deliver()
                self._forward_hellos()
            except Exception:  # a fault of the proxy must not silently stop all links of the trial
                self.counts["proxy_faults"] += 1
                log.event("proxy_failed", trace=traceback.format_exc(limit=-3))
                time.sleep(IDLE_POLL)

    def _accept(self, pair: tuple[str, str]) -> None:
        try:
            sock, _ = self._listeners[pair].accept()
        except OSError:
            return
        sock.setblocking(False)
        pipe = Pipe(*pair, inner=sock)
        self._pipes.add(pipe)
        self._selector.register(sock, selectors.EVENT_READ, pipe)

    def _serve(self, pipe: Pipe, which: object, mask: int) -> None:
        if pipe.closed:
            return
        if which is pipe.outer:
            if mask & selectors.EVENT_WRITE:
                self._flush(pipe)
            if mask & selectors.EVENT_READ and not pipe.closed:  # a target never sends: it has closed
                self._close(pipe)
            return
        try:
            data = pipe.inner.recv(READ_SIZE)
            if not data:
                raise EOFError
            for payload in pipe.parser.feed(data):
                self._frame(pipe, frames.encode(payload))
        except BlockingIOError:
            return
        except (OSError, EOFError, frames.FrameError):
            self._close(pipe)

    def _frame(self, pipe: Pipe, data: bytes) -> None:
        if not pipe.hello_forwarded and pipe.hello is None:  # the first frame is kept while the direction is cut
            pipe.hello = data
            return
        with self.lock:
            delivery = self.conditions.delivery(pipe.source, pipe.target)
            if self.leaky and not delivery.arrivals:
                delivery = type(delivery)((0.0,))
        self.counts["frames"] += 1
        if not delivery.arrivals or not pipe.hello_forwarded:
            self.counts["dropped"] += 1
            return
        if len(delivery.arrivals) > 1:
            self.counts["duplicated"] += 1
        if not delivery.in_order:
            self.counts["reordered"] += 1
        now = time.monotonic()
        for after in delivery.arrivals:
            at = now + after
            if delivery.in_order:
                at = pipe.last = max(at, pipe.last)
            if at <= now and not self._due:
                self._send(pipe, data)
            else:
                heapq.heappush(self._due, (at, next(self._numbers), pipe, data))

    def _forward_hellos(self) -> None:
        """Forward the kept hellos of directions that are not cut."""
        for pipe in [pipe for pipe in self._pipes if pipe.hello is not None]:
            with self.lock:
                cut = self.conditions.link(pipe.source, pipe.target).cut and not self.leaky
            target = self._targets.get(pipe.target)
            if cut or target is None or pipe.hello is None:
                continue
            try:
                outer = socket.create_connection(target, 0.2)  # s; on loopback it connects or fails at once
            except OSError:
                self._close(pipe)
                continue
            outer.setblocking(False)
            outer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pipe.outer, hello, pipe.hello, pipe.hello_forwarded = outer, pipe.hello, None, True
            self._selector.register(outer, selectors.EVENT_READ, pipe)
            self._send(pipe, hello)

    def _deliver(self) -> None:
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            _, _, pipe, data = heapq.heappop(self._due)
            with self.lock:
                cut = self.conditions.link(pipe.source, pipe.target).cut and not self.leaky
            if cut:  # the frame was in transit when the direction was cut
                self.counts["dropped"] += 1
            else:
                self._send(pipe, data)

    def _send(self, pipe: Pipe, data: bytes) -> None:
        if pipe.closed or pipe.outer is None:
            return
        pipe.waiting += data
        self.counts["passed"] += 1
        if len(pipe.waiting) > MAX_WAITING:
            self._close(pipe)
            return
        self._flush(pipe)

    def _flush(self, pipe: Pipe) -> None:
        assert pipe.outer is not None
        try:
            while pipe.waiting:
                sent = pipe.outer.send(pipe.waiting)
                del pipe.waiting[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self._close(pipe)
            return
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if pipe.waiting else 0)
        self._selector.modify(pipe.outer, events, pipe)

    def _close(self, pipe: Pipe) -> None:
        if pipe.closed:
            return
        pipe.closed = True
        self._pipes.discard(pipe)
        for sock in (pipe.inner, pipe.outer):
            if sock is not None:
                with contextlib.suppress(KeyError, ValueError):
                    self._selector.unregister(sock)
                sock.close()
