"""The peer link: a thread that accepts, one that reads all connections, one that checks timeouts, and one per sender.

Each connection carries one direction. The sender dials, identifies itself with a `Hello`, and sends frames; the other
end only reads (`inbound.PeerListener`). A send never blocks the caller: it goes into the peer's bounded send queue.

A learner of the replicated log links only to voters and to the members given to `set_additional_peers`: the number of
links so grows with members times voters, not with the square of the members. It accepts connections of every member.
"""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from tealwing import log, threads
from tealwing.gossip.members import State
from tealwing.peers import messages
from tealwing.peers.inbound import MessageHandler, PeerListener, StateHandler
from tealwing.peers.outbound import OutboundConnection
from tealwing.peers.peer_table import PeerTable, StateChange
from tealwing.peers.plan import Address, Plan


@dataclass(frozen=True, slots=True)
class Traffic:
    """Counts of the messages and bytes that a link has sent and received."""

    sent: int  # messages, heartbeats included
    sent_bytes: int
    received: int
    received_bytes: int


class Link:
    """One gateway's connections to and from its peers."""

    def __init__(self, plan: Plan, incarnation: int | None = None) -> None:
        """Listen at the plan's address; LinkError if it is not available.

        `incarnation` is the time of this start in ms of the Unix clock; the current time if None.
        """
        self.plan = plan
        self.incarnation = int(time.time() * 1e3) if incarnation is None else incarnation
        self.lock = threading.Lock()  # guards the peer table, the connections and the senders
        self._members = {name: address for name, address in plan.members if name != plan.name}
        # members to link to besides those of the plan, by the caller that requested them
        self._additional: dict[str, frozenset[str]] = {}
        self._table = PeerTable(self._members, plan.times, time.monotonic())
        self._listener = PeerListener(plan, self._table, self.lock, self._notify)
        linked = plan.linked_members()
        self._senders = {name: self._sender(name, to) for name, to in self._members.items() if name in linked}
        self._watchers: list[StateHandler] = []
        self._sequences = {name: itertools.count(1) for name in self._senders}
        self._started = False
        self._stopped = threading.Event()

    @property
    def address(self) -> Address:
        """The address at which the link listens."""
        return self._listener.address

    def on(self, channel: int, handler: MessageHandler) -> None:
        """Register the handler of a channel's messages; to be called before the start."""
        self._listener.on(channel, handler)

    def watch(self, watcher: StateHandler) -> None:
        """Register a callback for changes of peers' states, before the start. It is called without the lock."""
        self._watchers.append(watcher)

    def start(self) -> None:
        """Start the threads that accept, read, check timeouts and send."""
        self._listener.start()
        threads.start(self._monitor, "peer-looks")
        with self.lock:
            self._started = True
            senders = list(self._senders.values())
        for sender in senders:
            sender.start()
        log.event("peers_started", name=self.plan.name, address=self.address, peers=self._table.names())

    def stop(self) -> None:
        """Close all connections, and end the threads of the link."""
        self._stopped.set()
        self._listener.close()
        with self.lock:
            inbound, senders = list(self._listener.connections), list(self._senders.values())
        for sender in senders:
            sender.stop()
        for connection in inbound:
            connection.shutdown()

    def send(self, name: str, channel: int, body: bytes) -> bool:
        """Queue a message for a peer without blocking; return False if the link has no sender to it."""
        with self.lock:
            outbound = self._senders.get(name)
            if outbound is None:
                return False
            payload = messages.encode(messages.Data(channel, next(self._sequences[name]), body))
            outbound.queue.put(payload)  # under the lock, so that the queue has the order of the sequence numbers
        return True

    def live(self) -> list[str]:
        """Return the names of the peers that are alive."""
        with self.lock:
            return self._table.live()

    def set_members(self, members: dict[str, Address]) -> None:
        """Replace the members; close the connections of removed members, and drop their senders and state."""
        with self.lock:
            self._members = {name: address for name, address in members.items() if name != self.plan.name}
            self._table.set_members(self._members, time.monotonic())
            removed = [c for c in self._listener.connections if c.name not in ("", *self._members)]
        self._set_senders()
        for connection in removed:
            connection.shutdown()

    def set_additional_peers(self, caller: str, names: Collection[str]) -> None:
        """Link to these members besides those of the plan; they replace the ones that the caller named before.

        It affects only fleets with learners, as otherwise each links to all members. It may be called on any thread,
        and waits for no connection.
        """
        with self.lock:
            self._additional[caller] = frozenset(names)
        self._set_senders()

    def _set_senders(self) -> None:
        """Add and remove senders, so that there is one to each member that this one links to, and to no other."""
        with self.lock:
            linked = (
                self.plan.linked_members().union(*self._additional.values()) if self.plan.learners else self._members
            )
            targets = {name: address for name, address in self._members.items() if name in linked}
            removed = [out for name, out in self._senders.items() if targets.get(name) != out.address]
            for outbound in removed:
                del self._senders[outbound.name]
                del self._sequences[outbound.name]
                if outbound.name not in targets:
                    self._table.reset(outbound.name, time.monotonic())
            added = [self._sender(name, targets[name]) for name in targets if name not in self._senders]
            for outbound in added:
                self._senders[outbound.name] = outbound
                self._sequences[outbound.name] = itertools.count(1)
            started = self._started and not self._stopped.is_set()
        for outbound in removed:
            outbound.stop()
        for outbound in added if started else ():
            try:
                outbound.start()
            except threads.ThreadUnavailableError:  # logged by `threads`; messages to this peer are not sent
                continue

    def traffic(self) -> Traffic:
        """Return the counts since the start, without those of removed senders."""
        with self.lock:
            senders = list(self._senders.values())
        sent, sent_bytes = sum(one.sent for one in senders), sum(one.sent_bytes for one in senders)
        return Traffic(sent, sent_bytes, self._listener.received, self._listener.received_bytes)

    def status(self) -> list[dict[str, Any]]:
        """Return the status of each peer; durations in seconds."""
        now = time.monotonic()
        peers = []
        with self.lock:
            for name in self._table.names():
                peer, out = self._table.get(name), self._senders.get(name)
                assert peer is not None
                unlinked = out is None and peer.state is not State.ALIVE  # nothing shows whether the peer is alive
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

    def _sender(self, name: str, address: Address) -> OutboundConnection:
        hello = messages.Hello(self.plan.fleet, self.plan.name, name, self.incarnation)
        return OutboundConnection(self.plan, name, address, hello)

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
