"""Failure detection of the peers; pure, with the time passed in.

The states are those of gossip (alive, suspect, dead). A peer that the operators' file names is dead until its first
message.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tealwing.gossip.members import State
from tealwing.peers.plan import LinkTimes


@dataclass(slots=True)
class Peer:
    """One other gateway, as it is seen here."""

    name: str
    state: State = State.DEAD
    since: float = 0.0  # of the state
    last_heard: float | None = None
    incarnation: int = 0  # of the connection accepted last
    sequence: int = -1  # highest accepted of this incarnation
    received: int = 0  # messages accepted
    duplicates: int = 0  # copies, and messages that came after a later one

    def silence(self, now: float) -> float | None:
        """Return the seconds since its last message; None if there was none."""
        return None if self.last_heard is None else now - self.last_heard


@dataclass(frozen=True, slots=True)
class StateChange:
    """A peer has changed its state."""

    name: str
    state: State
    previous: State
    previous_duration: float  # s


class PeerTable:
    """The peers by name."""

    def __init__(self, names: Iterable[str], times: LinkTimes, now: float) -> None:
        self._times = times
        self._peers = {name: Peer(name, since=now) for name in names}

    def __contains__(self, name: str) -> bool:
        return name in self._peers

    def names(self) -> list[str]:
        """Return all names, sorted."""
        return sorted(self._peers)

    def get(self, name: str) -> Peer | None:
        """Return the peer of that name; None if there is none."""
        return self._peers.get(name)

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Set the peers; the state of those that leave is dropped."""
        members = set(names)
        for name in [name for name in self._peers if name not in members]:
            del self._peers[name]
        for name in members - set(self._peers):
            self._peers[name] = Peer(name, since=now)

    def reset(self, name: str, now: float) -> None:
        """Drop the state of a peer that is no longer linked: nothing shows whether it lives."""
        if name in self._peers:
            self._peers[name] = Peer(name, since=now)

    def accept_hello(self, name: str, incarnation: int, now: float) -> tuple[bool, StateChange | None]:
        """Record a peer's hello; return whether it is a member, and the change of its state.

        Of two incarnations the last that connects counts, even if its number is lower: a machine whose clock was set
        back must not lock its gateway out. An earlier incarnation that still lived would dial again.
        """
        peer = self._peers.get(name)
        if peer is None:
            return False, None
        if incarnation != peer.incarnation:
            peer.incarnation, peer.sequence = incarnation, -1
        return True, self.record_contact(name, now)

    def record_contact(self, name: str, now: float) -> StateChange | None:
        """Record that a message of the peer has come."""
        peer = self._peers.get(name)
        if peer is None:
            return None
        peer.last_heard = now
        return self._set_state(peer, State.ALIVE, now)

    def accept_message(self, name: str, incarnation: int, sequence: int) -> bool:
        """Return whether a message is of the peer's present incarnation and newer than all accepted before.

        The link keeps order: a message that comes late after a reconnect was dropped by its sender or is a copy.
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
