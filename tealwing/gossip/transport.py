"""The shell round a node: a UDP socket, a clock, the file, the operators' socket, and the decision module."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from tealwing import interface as api
from tealwing import log
from tealwing.gossip import keys, messages, observe, written
from tealwing.gossip.control import Control
from tealwing.gossip.messages import LARGEST
from tealwing.gossip.node import Node, fields_of
from tealwing.gossip.plan import Plan

TICK = 0.1  # s between two ticks: a third of the shortest time that the protocol waits for
LOOK = 0.25  # s between two looks at what the module knows of engines
SAVE = 30.0  # s between two writings of the file
RECEIVE = 256 * 1024  # bytes that wait in the socket: a second of garbage at 200 datagrams

Look = Callable[[], observe.Evidence]
Tell = Callable[[api.Event], None]


class GossipFault(ValueError):
    """Gossip can't begin; the text says why."""


class Link:
    """One instance on its socket. The node is used under one lock, and nothing waits for a socket under it."""

    def __init__(self, plan: Plan, evidence: Look, tell: Tell) -> None:
        self.plan, self._evidence, self._tell = plan, evidence, tell
        try:
            own = keys.read_private(Path(plan.key))
        except keys.KeyFault as error:
            raise GossipFault(f"gossip: key: {error}") from None
        self._check_own(own, plan)
        self._ring = keys.Keyring(plan.allowed)
        self.lock = threading.Lock()
        self._stopped = threading.Event()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
            self._sock.bind(plan.listen)
        except OSError as error:
            self._sock.close()
            raise GossipFault(f"gossip: listen {plan.listen[0]}:{plan.listen[1]}: {error.strerror}") from None
        host, port = self._sock.getsockname()
        now, wall = time.monotonic(), time.time()
        self.node = Node(
            plan.name, (host, port), own, self._ring.verify, plan.times, plan.seeds, random.Random(), now, wall
        )
        self.mute = False  # for trials: passes no rumour of others on
        self.heard: Callable[[str, dict[str, Any]], None] = lambda name, fields: log.event(name, **fields)
        self._believed: dict[tuple[int, int], float] = {}
        try:
            self._recall()
            self._control = Control(plan.control, self.members) if plan.control else None
        except ValueError:
            self._sock.close()
            raise

    def _check_own(self, own: keys.OwnKey, plan: Plan) -> None:
        if not any(a.name == plan.name and a.public == own.public for a in plan.allowed):
            raise GossipFault(
                f"gossip: {plan.key} is not the key of a peer {plan.name}: the others would drop all that we send;"
                f" allowed: a line peer {plan.name} {keys.write_public(own.public)}"
            )

    def start(self) -> None:
        """Speak and listen from now on."""
        for run in (self._listen, self._run):
            threading.Thread(target=run, name=f"gossip{run.__name__}", daemon=True).start()
        if self._control is not None:
            self._control.start()
        log.event("gossip_started", name=self.plan.name, address=self.node.address)

    def stop(self) -> None:
        """Say that we leave, write the file, and be silent."""
        self._stopped.set()
        with self.lock:
            if not self.node.silent:
                self.node.leave(time.monotonic(), time.time())
            out = self.node.out(time.monotonic())
        self._send(out)
        self._save()
        if self._control is not None:
            self._control.stop()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def change(self, plan: Plan) -> None:
        """Other keys, from a file that was read again. GossipFault, and no change, where what can't change did."""
        fixed = ("name", "listen", "seeds", "times", "file", "control")
        for name in fixed:
            if getattr(plan, name) != getattr(self.plan, name):
                raise GossipFault(f"gossip: {name} changed; allowed: only key and peer without a restart")
        try:
            own = keys.read_private(Path(plan.key))
        except keys.KeyFault as error:
            raise GossipFault(f"gossip: key: {error}") from None
        self._check_own(own, plan)
        with self.lock:
            self._ring.replace(plan.allowed)
            if own.public != self._own_public():
                self.node.renew_key(own)
            self.plan = plan

    def _own_public(self) -> bytes:
        signer = self.node.signer
        return signer.public if isinstance(signer, keys.OwnKey) else b""

    def members(self) -> dict[str, Any]:
        """What operators ask for."""
        with self.lock:
            node, now = self.node, time.monotonic()
            return {
                "name": node.name,
                "members": fields_of(node, now),
                "health": node.health,
                "bytes_sent": node.budget.sent,
                "datagrams_dropped": node.budget.dropped,
                "rejected": dict(node.counts.rejected),
                "doubted_engines": len(self._believed),
            }

    def _listen(self) -> None:
        while not self._stopped.is_set():
            try:
                data, source = self._sock.recvfrom(LARGEST + 1)
            except OSError:
                if not self._stopped.is_set():
                    continue  # an answer from a port that nobody listens on
                return
            with self.lock:
                self._ring.wall = wall = time.time()
                self.node.datagram(time.monotonic(), wall, source, data)
                out = self.node.out(time.monotonic())
            self._send(out)

    def _run(self) -> None:
        look = save = time.monotonic()
        while not self._stopped.wait(TICK):
            now = time.monotonic()
            with self.lock:
                self._ring.wall = wall = time.time()
                self.node.tick(now, wall)
                out, events = self.node.out(now), list(self.node.events)
                self.node.events.clear()
            self._send(out)
            for name, fields in events:
                self.heard(name, fields)
            if now >= look:
                look = now + LOOK
                self._look()
            if now >= save:
                save = now + SAVE
                self._save()

    def _look(self) -> None:
        """What we see goes out, and what the others see comes in, weighed."""
        own, engines = self._evidence()  # takes the module's lock, and ours is free
        with self.lock:
            now = time.monotonic()
            accused = self.node.beliefs.accused(now)
            words = observe.worth_saying(own.values(), accused, self.node.lot, self.node.members.live)
            if words:
                self.node.say(words)
            doubts = self.node.beliefs.weigh(now, own, self.node.members.live, engines)
        if doubts != self._believed:
            for (engine, started), doubt in doubts.items():
                if (engine, started) not in self._believed:
                    log.event("gossip_doubt", engine=engine, started_ms=started, factor=round(doubt, 2))
            self._believed = doubts
            self._tell(api.EngineHealthEstimates(doubts))

    def _send(self, out: Sequence[tuple[tuple[str, int], bytes]]) -> None:
        for to, data in out:
            if self.mute:
                data = only_own(data, self.node)
            with contextlib.suppress(OSError):  # nobody there, or no room: as good as lost on the way
                self._sock.sendto(data, to)

    def _recall(self) -> None:
        if self.plan.file is None:
            return
        try:
            found = written.load(Path(self.plan.file), self.plan.name)
        except written.Torn as error:
            log.event("gossip_file_set_aside", why=str(error))
            return
        except OSError as error:
            raise GossipFault(f"gossip: file {self.plan.file}: {error.strerror}") from None
        if found is not None:
            self._ring.wall = time.time()
            self.node.recall(found.members, found.trust)

    def _save(self) -> None:
        if self.plan.file is None:
            return
        with self.lock:
            alive = [member.alive for member in self.node.members]
            trust, boot = dict(self.node.beliefs.trust), self.node.boot
        try:
            written.save(Path(self.plan.file), self.plan.name, boot, alive, trust)
        except OSError as error:  # a full disk costs the memory of a restart, and nothing else
            log.event("gossip_file_not_written", why=str(error))


def only_own(data: bytes, node: Node) -> bytes:
    """A datagram of ours without what it passes on: a peer that is silent, for trials."""
    payload = messages.decode(data, lambda *_: True)
    own = [rumour for rumour in payload.rumours if rumour.name == node.name]
    bare = messages.Payload(payload.name, payload.boot, payload.sequence, payload.at, payload.body, own)
    return messages.encode(bare, node.signer)
