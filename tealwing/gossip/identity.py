"""The local instance's name, key, boot, incarnation and sequence numbers; pure."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.gossip import messages
from tealwing.gossip.messages import Address, Alive, Left, Signer


@dataclass(slots=True)
class Clock:
    """The times that the node's caller passed last."""

    now: float  # s, monotonic
    unix_time: float  # s of the Unix clock; for timestamps only

    def advance(self, now: float, unix_time: float) -> None:
        """Set the times to the caller's; `now` never decreases."""
        self.now, self.unix_time = max(now, self.now), unix_time

    @property
    def unix_ms(self) -> int:
        """The Unix time in ms, as messages carry it."""
        return max(round(self.unix_time * 1e3), 0)


class LocalIdentity:
    """Owns the numbers that only this instance raises, and its signed `Alive`."""

    def __init__(self, name: str, address: Address, signer: Signer, clock: Clock) -> None:
        self.name, self.address, self.signer = name, address, signer
        self.boot = round(clock.unix_time * 1e3)
        self.incarnation = self.sequence = 0
        self.silent = False  # nothing more is sent: it left, or a later start has its name
        self._clock = clock
        self.alive = self._sign_alive()

    def next_sequence(self) -> int:
        """Return the sequence number of the next datagram."""
        if self.sequence >= messages.MAX_SEQUENCE:
            self._restart()
        self.sequence += 1
        return self.sequence

    def next_incarnation(self) -> Alive:
        """Raise the incarnation, which refutes suspicions of lower ones; return the new `Alive`."""
        self.incarnation += 1
        if self.incarnation > messages.MAX_INCARNATION:
            self._restart()
        self.alive = self._sign_alive()
        return self.alive

    def left(self) -> Left:
        """Return the signed `Left` of this instance."""
        left = Left(self.name, self.boot, self.incarnation, messages.NO_KEY_ID, messages.NO_SIGNATURE)
        return messages.sign_rumour(left, self.signer)

    def _restart(self) -> None:
        """Begin a later boot under the same name: a sequence or incarnation number has reached its limit."""
        self.boot = max(self.boot + 1, round(self._clock.unix_time * 1e3))
        self.incarnation = self.sequence = 0
        self.alive = self._sign_alive()

    def _sign_alive(self) -> Alive:
        host, port = self.address
        alive = Alive(
            self.name, host, port, self.boot, self.incarnation, messages.NO_KEY_ID, messages.NO_SIGNATURE
        )  # fmt: skip
        return messages.sign_rumour(alive, self.signer)
