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
from tealwing.gossip import keys, local_evidence, messages, persisted_state
from tealwing.gossip.config import GossipConfig
from tealwing.gossip.control import ControlSocket
from tealwing.gossip.errors import CorruptStateError, GossipConfigError, InvalidKeyError
from tealwing.gossip.events import GossipEvent
from tealwing.gossip.identity import Clock, LocalIdentity
from tealwing.gossip.messages import MAX_DATAGRAM_BYTES
from tealwing.gossip.node import Node, member_status

TICK_INTERVAL = 0.1  # s between two ticks: a third of the shortest time that the protocol waits for
HEALTH_INTERVAL = 0.25  # s between two looks at what the module knows of engines
SAVE_INTERVAL = 30.0  # s between two writings of the file
RECEIVE_BUFFER_BYTES = 256 * 1024  # bytes that wait in the socket: a second of garbage at 200 datagrams

# fields of the configuration that only a restart changes, and what operators read of them
FIXED_FIELDS = {
    "name": "name", "listen": "listen", "seeds": "seeds", "timing": "times", "state_path": "file",
    "control_path": "control",
}  # fmt: skip

EvidenceSource = Callable[[], local_evidence.Evidence]
EventSink = Callable[[api.Event], None]


class GossipService:
    """One instance on its socket. The node is used under one lock, and nothing waits for a socket under it."""

    def __init__(self, plan: GossipConfig, evidence: EvidenceSource, tell: EventSink) -> None:
        self.config, self._evidence, self._submit = plan, evidence, tell
        try:
            own = keys.read_private(Path(plan.key_path))
        except InvalidKeyError as error:
            raise GossipConfigError(f"gossip: key: {error}") from None
        self._check_own(own, plan)
        self._ring = keys.Keyring(plan.allowed_keys)
        self.lock = threading.Lock()
        self._stopped = threading.Event()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._sock.bind(plan.listen)
        except OSError as error:
            self._sock.close()
            raise GossipConfigError(f"gossip: listen {plan.listen[0]}:{plan.listen[1]}: {error.strerror}") from None
        host, port = self._sock.getsockname()
        clock = Clock(time.monotonic(), time.time())
        identity = LocalIdentity(plan.name, (host, port), own, clock)
        self.node = Node(identity, clock, self._ring.verify, plan.timing, plan.seeds, random.Random())
        self.suppress_relay = False  # for trials: passes no rumour of others on
        self.on_event: Callable[[GossipEvent], None] = lambda event: log.event(event.log_name, **event.log_fields)
        self._believed: dict[tuple[int, int], float] = {}
        try:
            self._load_state()
            self._control = ControlSocket(plan.control_path, self.members) if plan.control_path else None
        except ValueError:
            self._sock.close()
            raise

    def _check_own(self, own: keys.LocalKey, plan: GossipConfig) -> None:
        if not any(a.name == plan.name and a.public == own.public for a in plan.allowed_keys):
            raise GossipConfigError(
                f"gossip: {plan.key_path} is not the key of a peer {plan.name}: the others would drop all that we send;"
                f" allowed: a line peer {plan.name} {keys.write_public(own.public)}"
            )

    def start(self) -> None:
        """Speak and listen from now on."""
        for run in (self._listen, self._run):
            threading.Thread(target=run, name=f"gossip{run.__name__}", daemon=True).start()
        if self._control is not None:
            self._control.start()
        log.event("gossip_started", name=self.config.name, address=self.node.address)

    def stop(self) -> None:
        """Say that we leave, write the file, and be silent."""
        self._stopped.set()
        with self.lock:
            if not self.node.silent:
                self.node.leave(time.monotonic(), time.time())
            out = self.node.take_datagrams(time.monotonic())
        self._send(out)
        self._save()
        if self._control is not None:
            self._control.stop()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def change(self, plan: GossipConfig) -> None:
        """Other keys, from a file that was read again. GossipFault, and no change, where what can't change did."""
        for field, name in FIXED_FIELDS.items():
            if getattr(plan, field) != getattr(self.config, field):
                raise GossipConfigError(f"gossip: {name} changed; allowed: only key and peer without a restart")
        try:
            own = keys.read_private(Path(plan.key_path))
        except InvalidKeyError as error:
            raise GossipConfigError(f"gossip: key: {error}") from None
        self._check_own(own, plan)
        with self.lock:
            self._ring.replace(plan.allowed_keys)
            if own.public != self._own_public():
                self.node.replace_key(own)
            self.config = plan

    def _own_public(self) -> bytes:
        signer = self.node.identity.signer
        return signer.public if isinstance(signer, keys.LocalKey) else b""

    def members(self) -> dict[str, Any]:
        """What operators ask for."""
        with self.lock:
            node, now = self.node, time.monotonic()
            return {
                "name": node.name,
                "members": member_status(node, now),
                "health": node.health_score,
                "bytes_sent": node.send_queue.sent_bytes,
                "datagrams_dropped": node.send_queue.dropped_datagrams,
                "rejected": dict(node.counters.rejected),
                "doubted_engines": len(self._believed),
            }

    def _listen(self) -> None:
        while not self._stopped.is_set():
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                if not self._stopped.is_set():
                    continue  # an answer from a port that nobody listens on
                return
            with self.lock:
                self._ring.unix_time = wall = time.time()
                self.node.receive(time.monotonic(), wall, source, data)
                out = self.node.take_datagrams(time.monotonic())
            self._send(out)

    def _run(self) -> None:
        look = save = time.monotonic()
        while not self._stopped.wait(TICK_INTERVAL):
            now = time.monotonic()
            with self.lock:
                self._ring.unix_time = wall = time.time()
                self.node.tick(now, wall)
                out, events = self.node.take_datagrams(now), list(self.node.events)
                self.node.events.clear()
            self._send(out)
            for event in events:
                self.on_event(event)
            if now >= look:
                look = now + HEALTH_INTERVAL
                self._exchange_health()
            if now >= save:
                save = now + SAVE_INTERVAL
                self._save()

    def _exchange_health(self) -> None:
        """What we see goes out, and what the others see comes in, weighed."""
        own, engines = self._evidence()  # takes the module's lock, and ours is free
        with self.lock:
            now = time.monotonic()
            accused = self.node.health_estimator.reported_unhealthy(now)
            words = local_evidence.select_reportable(
                own.values(), accused, self.node.sampling_key, self.node.members.live
            )
            if words:
                self.node.publish_health(words)
            doubts = self.node.health_estimator.estimate(now, own, self.node.members.live, engines)
        if doubts != self._believed:
            for (engine, started), doubt in doubts.items():
                if (engine, started) not in self._believed:
                    log.event("gossip_engine_suspected", engine=engine, started_ms=started, factor=round(doubt, 2))
            self._believed = doubts
            self._submit(api.EngineHealthEstimates(doubts))

    def _send(self, out: Sequence[tuple[tuple[str, int], bytes]]) -> None:
        for to, data in out:
            if self.suppress_relay:
                data = strip_relayed_rumours(data, self.node)
            with contextlib.suppress(OSError):  # nobody there, or no room: as good as lost on the way
                self._sock.sendto(data, to)

    def _load_state(self) -> None:
        if self.config.state_path is None:
            return
        try:
            found = persisted_state.load(Path(self.config.state_path), self.config.name)
        except CorruptStateError as error:
            log.event("gossip_state_quarantined", why=str(error))
            return
        except OSError as error:
            raise GossipConfigError(f"gossip: file {self.config.state_path}: {error.strerror}") from None
        if found is not None:
            self._ring.unix_time = time.time()
            self.node.restore(found.members, found.trust)

    def _save(self) -> None:
        if self.config.state_path is None:
            return
        with self.lock:
            alive = [member.alive for member in self.node.members]
            trust, boot = dict(self.node.health_estimator.trust), self.node.identity.boot
        try:
            persisted_state.save(Path(self.config.state_path), self.config.name, boot, alive, trust)
        except OSError as error:  # a full disk costs the memory of a restart, and nothing else
            log.event("gossip_state_save_failed", why=str(error))


def strip_relayed_rumours(data: bytes, node: Node) -> bytes:
    """A datagram of ours without what it passes on: a peer that is silent, for trials."""
    payload = messages.decode(data, lambda *_: True)
    own = [rumour for rumour in payload.rumours if rumour.name == node.name]
    bare = messages.Payload(payload.name, payload.boot, payload.sequence, payload.sent_at_ms, payload.body, own)
    return messages.encode(bare, node.identity.signer)
