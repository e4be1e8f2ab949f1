"""Who of the peers is heard; pure, with the time passed in.

The states are gossip's (alive, suspect, dead), so that whoever looks at members sees one kind of word. A peer is
known from the start, as the operators' file names it, and is dead until it has been heard.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tealwing.gossip.members import State
from tealwing.peers.plan import LinkTimes


@dataclass(slots=True)
class Peer:
    """One other gateway, as it is heard here."""

    name: str
    state: State = State.DEAD
    since: float = 0.0  # of the state
    last_heard: float | None = None
    incarnation: int = 0  # of the start that was heard last
    sequence: int = -1  # highest of the data taken from it in this start
    received: int = 0  # messages taken
    duplicates: int = 0  # second copies and those that came after a later one

    def silence(self, now: float) -> float | None:
        """Seconds since it was heard; None if it never was."""
        return None if self.last_heard is None else now - self.last_heard


@dataclass(frozen=True, slots=True)
class StateChange:
    """A peer is in another state."""

    name: str
    state: State
    previous: State
    previous_duration: float  # s that the state before had lasted


class PeerTable:
    """The peers by name."""

    def __init__(self, names: Iterable[str], times: LinkTimes, now: float) -> None:
        self._times = times
        self._peers = {name: Peer(name, since=now) for name in names}

    def __contains__(self, name: str) -> bool:
        return name in self._peers

    def names(self) -> list[str]:
        """All of them."""
        return sorted(self._peers)

    def get(self, name: str) -> Peer | None:
        """One of them."""
        return self._peers.get(name)

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Other peers: what was kept of one that goes goes with it."""
        members = set(names)
        for name in [name for name in self._peers if name not in members]:
            del self._peers[name]
        for name in members - set(self._peers):
            self._peers[name] = Peer(name, since=now)

    def reset(self, name: str, now: float) -> None:
        """One that is spoken to no more: what was heard of it says nothing of whether it lives."""
        if name in self._peers:
            self._peers[name] = Peer(name, since=now)

    def accept_hello(self, name: str, incarnation: int, now: float) -> tuple[bool, StateChange | None]:
        """A connection says that it is the peer's. Whether it may speak: only members do.

        Of two starts under a name the last that connects counts, whatever its boot: a machine whose clock was set
        back must not lock its gateway out. An earlier start that still lived would dial again, and be seen to.
        """
        peer = self._peers.get(name)
        if peer is None:
            return False, None
        if incarnation != peer.incarnation:
            peer.incarnation, peer.sequence = incarnation, -1
        return True, self.record_contact(name, now)

    def record_contact(self, name: str, now: float) -> StateChange | None:
        """It has said something."""
        peer = self._peers.get(name)
        if peer is None:
            return None
        peer.last_heard = now
        return self._set_state(peer, State.ALIVE, now)

    def accept_message(self, name: str, incarnation: int, sequence: int) -> bool:
        """Whether a message is news: of the peer's present start, and after all that came of it.

        The link keeps order, and what comes late after a reconnect was given up on by its sender or is a copy.
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
        """Doubt those that have been silent."""
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
        """Those that are heard."""
        return [peer.name for peer in self._peers.values() if peer.state is State.ALIVE]

    def _set_state(self, peer: Peer, state: State, now: float) -> StateChange | None:
        if peer.state is state:
            return None
        change = StateChange(peer.name, state, peer.state, now - peer.since)
        peer.state, peer.since = state, now
        return change
