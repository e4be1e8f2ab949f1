"""The proxy through which every peer link of a trial goes: one thread, one listener for each direction of each pair.

It cuts the stream into frames by the link's own parser and lets the weather decide on each. A direction that is cut
is silent, as a network's is: connections stay open and what is sent is gone, and new ones come up and carry nothing.
Only the hello of a connection is kept until the cut heals; without it nothing after it could be read.
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

READ = 64 * 1024  # bytes of a read
MAX_WAITING = 32 << 20  # bytes that wait for a target that takes nothing (a stopped process): then it is cut off
IDLE = 0.05  # s between two looks where nothing is due


@dataclass(eq=False, slots=True)
class Pipe:
    """One connection of a direction, and the connection to its target."""

    source: str
    target: str
    inner: socket.socket
    outer: socket.socket | None = None
    parser: frames.Parser = field(default_factory=frames.Parser)
    hello: bytes | None = None  # that has not been passed on yet
    greeted: bool = False
    last: float = 0.0  # monotonic, when the last frame in order arrives
    waiting: bytearray = field(default_factory=bytearray)
    closed: bool = False


class Proxy:
    """All directions among some processes, whose real addresses are told once they are known."""

    def __init__(self, conditions: NetworkConditions, pick: Callable[[], int]) -> None:
        """Prepare all directions; `pick` returns a free port for each listener."""
        self.conditions = conditions
        self.lock = threading.Lock()  # round the weather
        self.counts: Counter[str] = Counter()
        self.leaky = False  # on purpose, to see a checker find it: a cut lets frames pass
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
        """Where the source dials to reach the target."""
        host, port = self._listeners[source, target].getsockname()
        return host, port

    def set_target(self, name: str, address: Address) -> None:
        """Where a process really listens."""
        self._targets[name] = address

    def target(self, name: str) -> Address:
        """Where a process really listens."""
        return self._targets[name]

    def start(self) -> None:
        """Pass frames on from now on."""
        self._thread.start()

    def stop(self) -> None:
        """End all connections and listeners."""
        self._stopped.set()
        self._thread.join(5.0)
        for pipe in list(self._pipes):
            self._close(pipe)
        for listener in self._listeners.values():
            listener.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            wait = min(IDLE, max(0.0, self._due[0][0] - time.monotonic())) if self._due else IDLE
            try:
                for key, mask in self._selector.select(wait):
                    if isinstance(key.data, Pipe):
                        self._serve(key.data, key.fileobj, mask)
                    else:
                        self._accept(key.data)
                self._deliver()
                self._greet()
            except Exception:  # a fault of ours must not stop a whole trial unseen
                self.counts["proxy_faults"] += 1
                log.event("proxy_failed", trace=traceback.format_exc(limit=-3))
                time.sleep(IDLE)

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
            if mask & selectors.EVENT_READ and not pipe.closed:  # a target never speaks: this is its end
                self._close(pipe)
            return
        try:
            data = pipe.inner.recv(READ)
            if not data:
                raise EOFError
            for payload in pipe.parser.feed(data):
                self._frame(pipe, frames.encode(payload))
        except BlockingIOError:
            return
        except (OSError, EOFError, frames.FrameError):
            self._close(pipe)

    def _frame(self, pipe: Pipe, data: bytes) -> None:
        if not pipe.greeted and pipe.hello is None:  # the first: kept while the direction is cut
            pipe.hello = data
            return
        with self.lock:
            delivery = self.conditions.delivery(pipe.source, pipe.target)
            if self.leaky and not delivery.arrivals:
                delivery = type(delivery)((0.0,))
        self.counts["frames"] += 1
        if not delivery.arrivals or not pipe.greeted:
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

    def _greet(self) -> None:
        """Pass the hellos on of directions that are open."""
        for pipe in [pipe for pipe in self._pipes if pipe.hello is not None]:
            with self.lock:
                cut = self.conditions.rule(pipe.source, pipe.target).cut and not self.leaky
            target = self._targets.get(pipe.target)
            if cut or target is None or pipe.hello is None:
                continue
            try:
                outer = socket.create_connection(target, 0.2)  # on loopback: at once, or refused
            except OSError:
                self._close(pipe)
                continue
            outer.setblocking(False)
            outer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pipe.outer, hello, pipe.hello, pipe.greeted = outer, pipe.hello, None, True
            self._selector.register(outer, selectors.EVENT_READ, pipe)
            self._send(pipe, hello)

    def _deliver(self) -> None:
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            _, _, pipe, data = heapq.heappop(self._due)
            with self.lock:
                cut = self.conditions.rule(pipe.source, pipe.target).cut and not self.leaky
            if cut:  # it was under way when the cable was cut
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
