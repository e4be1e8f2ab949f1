"""Failure detection of the peers; pure: the caller passes the time.

The states are those of gossip (alive, suspect, dead). A peer counts as dead until its first message.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tealwing.gossip.members import State
from tealwing.peers.plan import LinkTimes


@dataclass(slots=True)
class Peer:
    """Another gateway, as this one sees it."""

    name: str
    state: State = State.DEAD
    since: float = 0.0  # s, monotonic: start of the state
    last_received_at: float | None = None  # s, monotonic: its last message
    incarnation: int = 0  # of its last accepted connection
    sequence: int = -1  # highest accepted number of this incarnation
    received: int = 0  # messages accepted
    duplicates: int = 0  # repeated messages, and those that came after a later one

    def silence(self, now: float) -> float | None:
        """Return the seconds since the peer's last message; None if there was none."""
        return None if self.last_received_at is None else now - self.last_received_at


@dataclass(frozen=True, slots=True)
class StateChange:
    """The change of a peer's state."""

    name: str
    state: State
    previous: State
    previous_duration: float  # s that the peer was in the previous state


class PeerTable:
    """Owns the peers by name, and their states."""

    def __init__(self, names: Iterable[str], times: LinkTimes, now: float) -> None:
        self._times = times
        self._peers = {name: Peer(name, since=now) for name in names}

    def __contains__(self, name: str) -> bool:
        return name in self._peers

    def names(self) -> list[str]:
        """Return the names of all peers, sorted."""
        return sorted(self._peers)

    def get(self, name: str) -> Peer | None:
        """Return the peer of that name; None if there is none."""
        return self._peers.get(name)

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Set the names of the peers; the state of removed ones is dropped."""
        members = set(names)
        for name in [name for name in self._peers if name not in members]:
            del self._peers[name]
        for name in members - set(self._peers):
            self._peers[name] = Peer(name, since=now)

    def reset(self, name: str, now: float) -> None:
        """Drop the state of a peer that this gateway no longer links to: nothing shows whether it is alive."""
        if name in self._peers:
            self._peers[name] = Peer(name, since=now)

    def accept_hello(self, name: str, incarnation: int, now: float) -> tuple[bool, StateChange | None]:
        """Record a peer's hello; return whether it is a member, and its change of state if any.

        Of two incarnations the last to connect counts, even if its number is lower: a machine whose clock was set back
        must not lock its gateway out. An earlier incarnation that is still running would dial again.
        """
        peer = self._peers.get(name)
        if peer is None:
            return False, None
        if incarnation != peer.incarnation:
            peer.incarnation, peer.sequence = incarnation, -1
        return True, self.record_contact(name, now)

    def record_contact(self, name: str, now: float) -> StateChange | None:
        """Record the receipt of a message of a peer; return its change of state if any."""
        peer = self._peers.get(name)
        if peer is None:
            return None
        peer.last_received_at = now
        return self._set_state(peer, State.ALIVE, now)

    def accept_message(self, name: str, incarnation: int, sequence: int) -> bool:
        """Return whether a message is of the peer's present incarnation and newer than all accepted before.

        The link keeps messages in order: one that comes late, after a reconnect, was dropped by its sender or is
        repeated.
        """
        peer = self._peers.get(name)
        if peer is None or incarnation != peer.incarnation or sequence <= peer.sequence:
            if peer is not None:
                peer.duplicates += 1
            return False
        peer.sequence = sequence
        peer.received += 1
        return True

    def check_timeouts(self, now: float) -> list[StateChange]:
        """Return the changes to suspect and dead of peers whose silence has exceeded the timeouts."""
        changes = []
        for peer in self._peers.values():
            silence = peer.silence(now)
            if silence is None:
                continue
            state = State.ALIVE
            if silence >= self._times.dead_after:
                state = State.DEAD
            elif silence >= self._times.suspect_after:
                state = State.SUSPECT
            if state > peer.state and (change := self._set_state(peer, state, now)) is not None:
                changes.append(change)
        return changes

    def live(self) -> list[str]:
        """Return the names of the peers that are alive."""
        return [peer.name for peer in self._peers.values() if peer.state is State.ALIVE]

    def _set_state(self, peer: Peer, state: State, now: float) -> StateChange | None:
        if peer.state is state:
            return None
        change = StateChange(peer.name, state, peer.state, now - peer.since)
        peer.state, peer.since = state, now
        return change
