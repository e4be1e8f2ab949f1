"""A datagram network in virtual time, with delay, loss, reordering, duplicates and one-way or two-way cuts.

Instances run `gossip.node.Node`, the code that runs on sockets; only the network and the clocks are modelled.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tealwing.gossip import keys
from tealwing.gossip.config import Timing
from tealwing.gossip.identity import Clock as NodeClock
from tealwing.gossip.identity import LocalIdentity
from tealwing.gossip.members import State
from tealwing.gossip.messages import HEADERS_BYTES, KEY_ID_BYTES, MAX_DATAGRAM_BYTES, SIGNATURE_BYTES, Address
from tealwing.gossip.node import Node
from tealwing.lab.clock import Clock

TICK = 0.1  # s between two ticks of an instance
DELAY = (0.0002, 0.003)  # s of transit of a datagram: minimum and maximum
PORT = 7946
EPOCH = 1_800_000_000.0  # s of the Unix clock at which virtual time begins


class SimulatedKey:
    """A keyed hash in place of a signature: of the same length and a hundred times faster, for hundreds of instances.

    Anyone who has this code can forge it, so it is for tests of behaviour, never of security.
    """

    def __init__(self, name: str) -> None:
        self._secret = hashlib.blake2b(name.encode(), digest_size=32).digest()
        self.key_id = self._secret[:KEY_ID_BYTES]

    def sign(self, data: bytes) -> bytes:
        """Return a tag as long as a signature."""
        return hashlib.blake2b(data, key=self._secret, digest_size=SIGNATURE_BYTES).digest()


class SimulatedKeyring:
    """Verifies the tags of `SimulatedKey`."""

    def __init__(self) -> None:
        self.wall = 0.0
        self._simulated_keys: dict[str, SimulatedKey] = {}

    def verify(self, name: str, key: bytes, data: bytes, signature: bytes) -> bool:
        """Whether `name` signed `data` with this key."""
        simulated = self._simulated_keys.get(name) or self._simulated_keys.setdefault(name, SimulatedKey(name))
        return simulated.key_id == key and simulated.sign(data) == signature


def real_key(name: str) -> keys.LocalKey:
    """An Ed25519 key derived from a name, for trials."""
    return keys.from_seed(hashlib.blake2b(name.encode(), digest_size=32).digest())


@dataclass(eq=False, slots=True)
class Instance:
    """One instance on the network."""

    node: Node
    address: Address
    skew: float  # s that its Unix clock is ahead
    running: bool = True
    paused: list[tuple[Address, bytes]] | None = None  # received while its process is paused; None if it is not
    seconds: dict[int, int] = field(default_factory=dict)  # bytes sent by second
    largest: int = 0  # bytes of the largest datagram sent


@dataclass(slots=True)
class LinkConditions:
    """The conditions under which the network delivers datagrams."""

    loss: float = 0.0  # probability that a datagram is lost
    copies: float = 0.0  # probability that a datagram is duplicated
    delay: tuple[float, float] = DELAY
    cut: Callable[[Address, Address], bool] = lambda source, to: False  # whether source can't reach to


class Network:
    """Gossip instances and the network conditions between them."""

    def __init__(self, seed: int, times: Timing | None = None, real_keys: bool = False) -> None:
        self.clock, self.times = Clock(), times or Timing()
        self.conditions = LinkConditions()
        self.instances: dict[str, Instance] = {}
        self.events: list[tuple[float, str, str, dict[str, object]]] = []  # time, instance, event, fields
        self.tamper: dict[str, Callable[[Instance, Address, bytes], list[tuple[Address, bytes]]]] = {}
        self._random, self._seed, self._real = random.Random(seed), seed, real_keys
        self._by_address: dict[Address, Instance] = {}
        self._hosts = 0

    # Instances

    def start(self, name: str, seeds: Sequence[Address], skew: float = 0.0, address: Address | None = None) -> Instance:
        """Start an instance under a name; it replaces any instance at the same address."""
        if address is None:
            self._hosts += 1
            address = (f"10.{self._hosts >> 16}.{self._hosts >> 8 & 255}.{self._hosts & 255}", PORT)
        rng = random.Random(f"{self._seed}/{name}/{self.clock.now}")
        ring: SimulatedKeyring | keys.Keyring = SimulatedKeyring()
        signer: SimulatedKey | keys.LocalKey = SimulatedKey(name)
        if self._real:
            signer = real_key(name)
            ring = _TrialKeyring()
        clock = NodeClock(self.clock.now, self.wall(skew))
        identity = LocalIdentity(name, address, signer, clock)
        node = Node(identity, clock, ring.verify, self.times, seeds, rng)
        instance = Instance(node, address, skew)
        self.instances[name] = instance
        self._by_address[address] = instance
        self.clock.after(rng.random() * TICK, self._tick, instance)
        return instance

    def wall(self, skew: float) -> float:
        """The Unix time by the clock of an instance with this skew."""
        return EPOCH + self.clock.now + skew

    def kill(self, name: str) -> None:
        """Kill an instance without notice to the others."""
        instance = self.instances[name]
        instance.running = False
        if self._by_address.get(instance.address) is instance:
            del self._by_address[instance.address]

    def pause(self, name: str, seconds: float) -> None:
        """Pause an instance for a while; its socket buffers at most 200 datagrams."""
        instance = self.instances[name]
        instance.paused = []
        self.clock.after(seconds, self._resume, instance)

    def _resume(self, instance: Instance) -> None:
        waiting, instance.paused = instance.paused or [], None
        for source, data in waiting[:200]:
            instance.node.receive(self.clock.now, self.wall(instance.skew), source, data)

    def _tick(self, instance: Instance) -> None:
        if not instance.running:
            return
        self.clock.after(TICK, self._tick, instance)
        if instance.paused is None:
            instance.node.tick(self.clock.now, self.wall(instance.skew))
            self._flush(instance)

    # Datagrams

    def inject(self, source: Address, to: Address, data: bytes) -> None:
        """Send a datagram from any address."""
        self._transmit(source, to, data)

    def _flush(self, instance: Instance) -> None:
        node = instance.node
        for event in node.events:
            self.events.append((self.clock.now, node.name, event.log_name, event.log_fields))
        node.events.clear()
        second = int(self.clock.now)
        for to, data in node.take_datagrams(self.clock.now):
            instance.seconds[second] = instance.seconds.get(second, 0) + len(data) + HEADERS_BYTES
            instance.largest = max(instance.largest, len(data))
            assert len(data) <= MAX_DATAGRAM_BYTES, f"datagram of {len(data)} bytes; at most {MAX_DATAGRAM_BYTES}"
            tamper = self.tamper.get(node.name)
            for target, what in tamper(instance, to, data) if tamper else [(to, data)]:
                self._transmit(instance.address, target, what)

    def _transmit(self, source: Address, to: Address, data: bytes) -> None:
        conditions, rng = self.conditions, self._random
        if conditions.cut(source, to) or (conditions.loss and rng.random() < conditions.loss):
            return
        for _ in range(1 + (rng.random() < conditions.copies if conditions.copies else 0)):
            self.clock.after(rng.uniform(*conditions.delay), self._deliver, source, to, data)

    def _deliver(self, source: Address, to: Address, data: bytes) -> None:
        instance = self._by_address.get(to)
        if instance is None or not instance.running:
            return
        if instance.paused is not None:
            instance.paused.append((source, data))
            return
        instance.node.receive(self.clock.now, self.wall(instance.skew), source, data)
        self._flush(instance)

    # State of the cluster

    def live(self) -> list[Instance]:
        """Instances that run and are not silent."""
        return [i for i in self.instances.values() if i.running and not i.node.silent]

    def agreed(self) -> bool:
        """Whether all live instances consider each other live, and no other instance."""
        running = self.live()
        if any(instance.node.members.live != len(running) - 1 for instance in running):
            return False
        names = {instance.node.name for instance in running}
        return all(m.alive.name in names for i in running for m in i.node.members if m.state <= State.SUSPECT)

    def until(self, holds: Callable[[], bool], limit: float, step: float = 0.25) -> float | None:
        """Advance the time until a condition holds; returns the time that took, or None after the limit."""
        begun = self.clock.now
        while self.clock.now < begun + limit:
            if holds():
                return self.clock.now - begun
            self.clock.run(self.clock.now + step)
        return self.clock.now - begun if holds() else None

    def max_bytes_per_second(self) -> int:
        """The maximum number of bytes that an instance sent in one second."""
        return max((n for i in self.instances.values() for n in i.seconds.values()), default=0)


class _TrialKeyring(keys.Keyring):
    """A keyring that allows every name its trial key."""

    def __init__(self) -> None:
        super().__init__(())

    def verify(self, name: str, key: bytes, data: bytes, signature: bytes) -> bool:
        if (name, key) not in self._keys:
            public = real_key(name).public
            self._keys |= keys.Keyring([keys.AllowedKey(name, public)])._keys
        return super().verify(name, key, data, signature)


def cluster(network: Network, count: int, seeds: int = 3, skew: float = 0.0) -> list[Instance]:
    """Start `count` instances together, the first `seeds` of them as seeds."""
    rng = random.Random(count)
    made: list[Instance] = []
    addresses = [(f"10.0.{(i + 1) >> 8}.{(i + 1) & 255}", PORT) for i in range(min(seeds, count))]
    for number in range(count):
        made.append(network.start(f"n{number}", addresses, rng.uniform(-skew, skew)))
    return made
