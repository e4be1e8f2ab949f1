"""The peer link on its sockets: one thread that accepts, one that reads all, one that looks round, one sender a peer.

Each connection carries one direction. Whoever has something to say dials, says who it is (`Hello`), and sends frames;
the other end only reads. Sends never block the caller: they go into the peer's bounded outbox.

Where the plan has learners, one of those speaks only to who votes, and to whom a replicated log needs besides
(`reach`): links grow with members times voters, not with their square. It hears every member that dials it.
"""

from __future__ import annotations

import contextlib
import itertools
import resource
import socket
import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from math import ceil
from typing import Any

from tealwing import log, threads
from tealwing.connection_reader import ConnectionReader
from tealwing.gossip.members import State
from tealwing.peers import frames, messages
from tealwing.peers.inbound import InboundConnection
from tealwing.peers.outbound import OutboundConnection
from tealwing.peers.peer_table import PeerTable, StateChange
from tealwing.peers.plan import Address, Plan

BACKLOG = 64
ACCEPT_PAUSE = 0.05  # s before a failed accept is tried again
DESCRIPTOR_SHARE = 0.5  # of the process's descriptors, for the link: clients and engines have the others
SPARE_INBOUND = 8  # connections beside one of each peer's: of a peer that starts anew, or of a stranger for `hello`

MessageHandler = Callable[
    [str, bytes], None
]  # name of the peer, body; on the reader's thread: quick, and never blocking
StateWatcher = Callable[[StateChange], None]


@dataclass(frozen=True, slots=True)
class Traffic:
    """All that a link has written to its sockets and read from them so far."""

    sent: int  # messages, signs of life among them
    sent_bytes: int
    received: int
    received_bytes: int


class LinkError(ValueError):
    """The link can't begin; the text says why."""


def check_descriptors(plan: Plan, limit: int) -> None:
    """LinkFault where the connections to and from all members would take more than half of the descriptors."""
    needed = len(plan.linked_members()) + len(plan.members) - 1
    if needed > limit * DESCRIPTOR_SHARE:
        minimum = ceil(needed / DESCRIPTOR_SHARE)
        raise LinkError(
            f"peers: member {plan.name} has up to {needed} connections to and from {len(plan.members)} members, and the"
            f" process may open {limit} files, of which the link may take half; allowed: a limit of {minimum} or more"
            " (ulimit -n), or fewer members"
        )


class Link:
    """One gateway among its peers."""

    def __init__(self, plan: Plan, incarnation: int | None = None) -> None:
        """boot is ms of the Unix clock at this start (now, if None). LinkFault where the address can't be had."""
        self.plan = plan
        self.incarnation = int(time.time() * 1e3) if incarnation is None else incarnation
        listen = plan.address(plan.name)
        assert listen is not None  # the section's check
        check_descriptors(plan, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        try:
            self._listener = socket.create_server(listen, backlog=BACKLOG)
        except OSError as error:
            raise LinkError(f"peers: member {plan.name} {listen[0]}:{listen[1]}: {error.strerror}") from None
        self.lock = threading.Lock()  # round the book, the connections and the senders
        self._members = {name: address for name, address in plan.members if name != plan.name}
        self._needed: dict[str, frozenset[str]] = {}  # by who needs them: members to speak to, beside the plan's
        self._table = PeerTable(self._members, plan.times, time.monotonic())
        linked = plan.linked_members()
        self._senders = {
            name: OutboundConnection(self, name, to) for name, to in self._members.items() if name in linked
        }
        self._inbound: set[InboundConnection] = set()
        self._channels: dict[int, MessageHandler] = {}
        self._watchers: list[StateWatcher] = []
        self._sequences = {name: itertools.count(1) for name in self._senders}
        self._started = False
        self._stopped = threading.Event()
        self._reader = ConnectionReader("peer-reader", limited=True)
        self._connection_errors = 0
        self.received_bytes = self._received = 0  # bytes and messages that came, of the reader's thread

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._listener.getsockname()
        return host, port

    def on(self, channel: int, handler: MessageHandler) -> None:
        """Have what comes on a channel handed on; before the start."""
        self._channels[channel] = handler

    def watch(self, watcher: StateWatcher) -> None:
        """Be told of peers that are heard again, suspected or lost; before the start, never under our lock."""
        self._watchers.append(watcher)

    def start(self) -> None:
        """Listen and dial from now on."""
        self._reader.start()
        threads.start(self._accept, "peer-accept")
        threads.start(self._monitor, "peer-looks")
        with self.lock:
            self._started = True
            outbounds = list(self._senders.values())
        for outbound in outbounds:
            outbound.start()
        log.event("peers_started", name=self.plan.name, address=self.address, peers=self._table.names())

    def stop(self) -> None:
        """End all connections and threads of the link."""
        self._stopped.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RD)
        self._listener.close()
        with self.lock:
            inbound, outbound = list(self._inbound), list(self._senders.values())
        for sender in outbound:
            sender.stop()
        for connection in inbound:
            connection.shutdown()

    def send(self, name: str, channel: int, body: bytes) -> bool:
        """Send to a peer, as far as it is reached; False where it is none that we speak to. Never blocks."""
        with self.lock:
            outbound = self._senders.get(name)
            if outbound is None:
                return False
            payload = messages.encode(messages.Data(channel, next(self._sequences[name]), body))
            outbound.queue.put(payload)  # in the order of its numbers
        return True

    def live(self) -> list[str]:
        """The peers that are heard."""
        with self.lock:
            return self._table.live()

    def change(self, members: dict[str, Address]) -> None:
        """Other members: the senders and all that is kept of those that go, go with them."""
        with self.lock:
            self._members = {name: address for name, address in members.items() if name != self.plan.name}
            self._table.set_members(self._members, time.monotonic())
            strangers = [connection for connection in self._inbound if connection.name not in ("", *self._members)]
        self._set_senders()
        for connection in strangers:
            connection.shutdown()

    def reach(self, who: str, names: Collection[str]) -> None:
        """Speak to these members too, as that one needs them, until it says otherwise. Any thread; never blocks."""
        with self.lock:
            self._needed[who] = frozenset(names)
        self._set_senders()

    def _set_senders(self) -> None:
        """Have a sender to each member that is to be spoken to, and to no other."""
        with self.lock:
            linked = self.plan.linked_members().union(*self._needed.values()) if self.plan.learners else self._members
            targets = {name: address for name, address in self._members.items() if name in linked}
            removed = [out for name, out in self._senders.items() if targets.get(name) != out.address]
            for outbound in removed:
                del self._senders[outbound.name]
                del self._sequences[outbound.name]
                if outbound.name not in targets:
                    self._table.reset(outbound.name, time.monotonic())
            added = [OutboundConnection(self, name, targets[name]) for name in targets if name not in self._senders]
            for outbound in added:
                self._senders[outbound.name] = outbound
                self._sequences[outbound.name] = itertools.count(1)
            started = self._started and not self._stopped.is_set()
        for outbound in removed:
            outbound.stop()
        for outbound in added if started else ():
            try:
                outbound.start()
            except threads.ThreadUnavailableError:  # logged there; without a sender it is as good as unreachable
                continue

    def traffic(self) -> Traffic:
        """What has passed so far; connections to peers that are spoken to no more count no more."""
        with self.lock:
            senders = list(self._senders.values())
        sent, sent_bytes = sum(one.sent for one in senders), sum(one.sent_bytes for one in senders)
        return Traffic(sent, sent_bytes, self._received, self.received_bytes)

    def status(self) -> list[dict[str, Any]]:
        """What is known of each peer; seconds and counts."""
        now = time.monotonic()
        peers = []
        with self.lock:
            for name in self._table.names():
                peer, out = self._table.get(name), self._senders.get(name)
                assert peer is not None
                unlinked = out is None and peer.state is not State.ALIVE  # nothing says whether it lives
                silence = peer.silence(now)
                peers.append(
                    {
                        "name": name,
                        "state": "unlinked" if unlinked else peer.state.name.lower(),
                        "for_s": round(now - peer.since, 3),
                        "silence_s": None if silence is None else round(silence, 3),
                        "boot": peer.incarnation,
                        "received": peer.received,
                        "repeated": peer.duplicates,
                        "connected": out is not None and out.connected,
                        "dials": out.dials if out is not None else 0,
                        "sent": out.sent if out is not None else 0,
                        "waiting": len(out.queue) if out is not None else 0,
                        "dropped": out.queue.dropped if out is not None else 0,
                    }
                )
        return peers

    # For the connections

    def hello(self, to: str) -> messages.Hello:
        """Who we are."""
        return messages.Hello(self.plan.fleet, self.plan.name, to, self.incarnation)

    def receive(self, connection: InboundConnection, message: messages.Message) -> None:
        """One message, on the reader's thread. FrameError ends the connection."""
        now = time.monotonic()
        self._received += 1
        change = None
        if not connection.name:
            if not isinstance(message, messages.Hello):
                raise frames.FrameError("a message before the hello")
            if (message.fleet, message.to) != (self.plan.fleet, self.plan.name):
                raise frames.FrameError(
                    f"a hello of {message.name} for {message.to} of fleet {message.fleet!r};"
                    f" this is {self.plan.name} of {self.plan.fleet!r}"
                )
            with self.lock:
                is_member, change = self._table.accept_hello(message.name, message.incarnation, now)
                earlier = [c for c in self._inbound if c.name == message.name]
            if not is_member:
                raise frames.FrameError(f"a hello of {message.name}, which is no member")
            connection.name, connection.incarnation = message.name, message.incarnation
            for other in earlier:  # of one direction the last connection counts
                other.shutdown()
        elif isinstance(message, messages.Hello):
            raise frames.FrameError("a second hello")
        else:
            with self.lock:
                change = self._table.record_contact(connection.name, now)
                data = isinstance(message, messages.Data)
                is_new = data and self._table.accept_message(connection.name, connection.incarnation, message.sequence)
            if is_new and isinstance(message, messages.Data) and (handler := self._channels.get(message.channel)):
                self._dispatch(handler, connection.name, message.body)
        if change is not None:
            self._notify(change)

    def _dispatch(self, handler: MessageHandler, name: str, body: bytes) -> None:
        try:
            handler(name, body)
        except ValueError as error:  # a body that its package can't read: nothing more of this connection counts
            raise frames.FrameError(f"a message of {name}: {error}") from None

    def connection_ended(self, connection: InboundConnection, why: Exception | None) -> None:
        """A connection has ended."""
        with self.lock:
            self._inbound.discard(connection)
        if not isinstance(why, (EOFError, OSError)) and not self._stopped.is_set():
            self._connection_errors += 1
            if self._connection_errors & (self._connection_errors - 1) == 0:  # a flood writes few lines
                log.event(
                    "peer_connection_ended", peer=connection.name or None, why=str(why), so_far=self._connection_errors
                )

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if self._stopped.wait(ACCEPT_PAUSE):
                    return
                log.event("accept_failed", error=str(error))
                continue
            connection = InboundConnection(self, sock, self.plan.times)
            with self.lock:
                full = len(self._inbound) >= len(self._table.names()) + SPARE_INBOUND
                if not full:
                    self._inbound.add(connection)
            if full:  # strangers hold the places: each for `hello` seconds at most
                connection.close()
                continue
            try:
                self._reader.watch(connection, connection.deadline)
            except (threads.ThreadUnavailableError, OSError):
                connection.close()
                with self.lock:
                    self._inbound.discard(connection)

    def _monitor(self) -> None:
        while not self._stopped.wait(self.plan.times.heartbeat):
            with self.lock:
                changes = self._table.check_timeouts(time.monotonic())
            for change in changes:
                self._notify(change)

    def _notify(self, change: StateChange) -> None:
        names = {State.ALIVE: "peer_alive", State.SUSPECT: "peer_suspected", State.DEAD: "peer_dead"}
        log.event(names[change.state], peer=change.name, after=round(change.previous_duration, 3))
        for watcher in self._watchers:
            watcher(change)
