"""Runs a node: its UDP socket, clock, persisted state and control socket, and its exchange with the decision module."""

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

TICK_INTERVAL = 0.1  # s between two ticks: a third of the default probe timeout
HEALTH_INTERVAL = 0.25  # s between two exchanges with the decision module
SAVE_INTERVAL = 30.0  # s between two saves of the state
RECEIVE_BUFFER_BYTES = 256 * 1024  # of the socket: holds a second of garbage at 200 datagrams a second

# Fields of the configuration that only change at a restart, with their names in error messages.
FIXED_FIELDS = {
    "name": "name", "listen": "listen", "seeds": "seeds", "timing": "times", "state_path": "file",
    "control_path": "control",
}  # fmt: skip

EvidenceSource = Callable[[], local_evidence.Evidence]
EventSink = Callable[[api.Event], None]


class GossipService:
    """One instance on its socket. The node is used under one lock, which is never held during a wait for a socket.

    Args:
        config: The configuration of the section `gossip`.
        evidence: Returns this gateway's own evidence; it may take the decision module's lock.
        submit: Takes the estimates for the decision module.

    Raises:
        GossipConfigError: the key, the address, the state file or the control socket can't be used.
    """

    def __init__(self, config: GossipConfig, evidence: EvidenceSource, submit: EventSink) -> None:
        self.config, self._evidence, self._submit = config, evidence, submit
        self._local_key = _read_local_key(config)
        self._keyring = keys.Keyring(config.allowed_keys)
        self.lock = threading.Lock()
        self._stopped = threading.Event()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._sock.bind(config.listen)
        except OSError as error:
            self._sock.close()
            host, port = config.listen
            raise GossipConfigError(f"gossip: listen {host}:{port}: {error.strerror}") from None
        host, port = self._sock.getsockname()
        clock = Clock(time.monotonic(), time.time())
        identity = LocalIdentity(config.name, (host, port), self._local_key, clock)
        self.node = Node(identity, clock, self._keyring.verify, config.timing, config.seeds, random.Random())
        self.suppress_relay = False  # for trials: send no rumours of others
        self.on_event: Callable[[GossipEvent], None] = lambda event: log.event(event.log_name, **event.log_fields)
        self._estimates: dict[tuple[int, int], float] = {}
        try:
            self._load_state()
            self._control = ControlSocket(config.control_path, self.members) if config.control_path else None
        except ValueError:
            self._sock.close()
            raise

    def start(self) -> None:
        """Start the threads that receive and send."""
        for run in (self._listen, self._run):
            threading.Thread(target=run, name=f"gossip{run.__name__}", daemon=True).start()
        if self._control is not None:
            self._control.start()
        log.event("gossip_started", name=self.config.name, address=self.node.address)

    def stop(self) -> None:
        """Leave the cluster: notify a few members, save the state, and close the sockets."""
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

    def reconfigure(self, config: GossipConfig) -> None:
        """Apply a configuration that was read again; only its keys may differ from the one in force.

        Raises:
            GossipConfigError: a field differs that only changes at a restart; nothing is changed.
        """
        for field, name in FIXED_FIELDS.items():
            if getattr(config, field) != getattr(self.config, field):
                raise GossipConfigError(f"gossip: {name} changed; allowed without a restart: changes of key and peer")
        local_key = _read_local_key(config)
        with self.lock:
            self._keyring.replace(config.allowed_keys)
            if local_key.public != self._local_key.public:
                self._local_key = local_key
                self.node.replace_key(local_key)
            self.config = config

    def members(self) -> dict[str, Any]:
        """Return the status that the control socket answers with."""
        with self.lock:
            node, now = self.node, time.monotonic()
            return {
                "name": node.name,
                "members": member_status(node, now),
                "health": node.health_score,
                "bytes_sent": node.send_queue.sent_bytes,
                "datagrams_dropped": node.send_queue.dropped_datagrams,
                "rejected": dict(node.counters.rejected),
                "doubted_engines": len(self._estimates),
            }

    def _listen(self) -> None:
        while not self._stopped.is_set():
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                if not self._stopped.is_set():
                    continue  # an ICMP error: nothing listens at a port that a datagram went to
                return
            with self.lock:
                self._keyring.unix_time = wall = time.time()
                self.node.receive(time.monotonic(), wall, source, data)
                out = self.node.take_datagrams(time.monotonic())
            self._send(out)

    def _run(self) -> None:
        next_exchange = next_save = time.monotonic()
        while not self._stopped.wait(TICK_INTERVAL):
            now = time.monotonic()
            with self.lock:
                self._keyring.unix_time = wall = time.time()
                self.node.tick(now, wall)
                out, events = self.node.take_datagrams(now), list(self.node.events)
                self.node.events.clear()
            self._send(out)
            for event in events:
                self.on_event(event)
            if now >= next_exchange:
                next_exchange = now + HEALTH_INTERVAL
                self._exchange_health()
            if now >= next_save:
                next_save = now + SAVE_INTERVAL
                self._save()

    def _exchange_health(self) -> None:
        """Publish this instance's evidence, and submit the estimates from all members' reports if they changed."""
        own, engines = self._evidence()  # takes the decision module's lock, so it is called without this one
        with self.lock:
            now = time.monotonic()
            unhealthy = self.node.health_estimator.reported_unhealthy(now)
            reportable = local_evidence.select_reportable(
                own.values(), unhealthy, self.node.sampling_key, self.node.members.live
            )
            if reportable:
                self.node.publish_health(reportable)
            estimates = self.node.health_estimator.estimate(now, own, self.node.members.live, engines)
        if estimates != self._estimates:
            for (engine, started), factor in estimates.items():
                if (engine, started) not in self._estimates:
                    log.event("gossip_engine_suspected", engine=engine, started_ms=started, factor=round(factor, 2))
            self._estimates = estimates
            self._submit(api.EngineHealthEstimates(estimates))

    def _send(self, out: Sequence[tuple[tuple[str, int], bytes]]) -> None:
        for to, data in out:
            sent = strip_relayed_rumours(data, self.node) if self.suppress_relay else data
            with contextlib.suppress(OSError):  # a send error counts as a lost datagram
                self._sock.sendto(sent, to)

    def _load_state(self) -> None:
        if self.config.state_path is None:
            return
        try:
            state = persisted_state.load(Path(self.config.state_path), self.config.name)
        except CorruptStateError as error:
            log.event("gossip_state_quarantined", why=str(error))
            return
        except OSError as error:
            raise GossipConfigError(f"gossip: file {self.config.state_path}: {error.strerror}") from None
        if state is not None:
            self._keyring.unix_time = time.time()
            self.node.restore(state.members, state.trust)

    def _save(self) -> None:
        if self.config.state_path is None:
            return
        with self.lock:
            alive = [member.alive for member in self.node.members]
            trust, boot = dict(self.node.health_estimator.trust), self.node.identity.boot
        try:
            persisted_state.save(Path(self.config.state_path), self.config.name, boot, alive, trust)
        except OSError as error:  # without the file a restart begins at the seeds, and loses nothing else
            log.event("gossip_state_save_failed", why=str(error))


def _read_local_key(config: GossipConfig) -> keys.LocalKey:
    try:
        local_key = keys.read_private(Path(config.key_path))
    except InvalidKeyError as error:
        raise GossipConfigError(f"gossip: key: {error}") from None
    if not any(a.name == config.name and a.public == local_key.public for a in config.allowed_keys):
        raise GossipConfigError(
            f"gossip: no peer line of {config.name} has the public key of {config.key_path}, so other instances would"
            f" drop its datagrams; allowed: a line peer {config.name} {keys.write_public(local_key.public)}"
        )
    return local_key


def strip_relayed_rumours(data: bytes, node: Node) -> bytes:
    """Return a datagram of the node without its rumours about other members; for trials."""
    payload = messages.decode(data, lambda *_: True)
    own = [rumour for rumour in payload.rumours if rumour.name == node.name]
    bare = messages.Payload(payload.name, payload.boot, payload.sequence, payload.sent_at_ms, payload.body, own)
    return messages.encode(bare, node.identity.signer)
