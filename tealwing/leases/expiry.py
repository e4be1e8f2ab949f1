"""The leader's side: which leases have run out by its clock; pure.

The time of a grant counts from when this leader applied it, or came to lead, whichever is later: so it never ends
before the holder's own time, which began when the holder sent the request.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from tealwing.peers.bounds import USUAL, Bounds

AGAIN = 1.0  # s after which an expiry that was proposed and not seen is proposed again


@dataclass(slots=True)
class Watched:
    """One grant: its token, the entry that renewed it last, and when it runs out."""

    token: int
    renewed: int
    due: float


class Expiry:
    """The grants that are held, as the log tells them."""

    def __init__(self, bounds: Bounds = USUAL) -> None:
        self._bounds = bounds
        self._leading = False
        self._held: dict[str, tuple[int, int, float]] = {}  # token, renewed, ttl
        self._watched: dict[str, Watched] = {}

    def lead(self, now: float, leads: bool) -> None:
        """We lead from now on, or no more."""
        self._leading = leads
        self._watched = {}
        if leads:
            for name, (token, renewed, ttl) in self._held.items():
                self._watched[name] = Watched(token, renewed, now + self._bounds.leader_waits(ttl))

    def granted(self, now: float, name: str, token: int, renewed: int, ttl: float) -> None:
        """A grant or a renewal was applied."""
        self._held[name] = token, renewed, ttl
        if self._leading:
            self._watched[name] = Watched(token, renewed, now + self._bounds.leader_waits(ttl))

    def replace(self, now: float, held: dict[str, tuple[int, int, float]]) -> None:
        """Other grants, from a snapshot: token, renewal and time to live by name."""
        self._held = dict(held)
        self.lead(now, self._leading)

    def ended(self, name: str) -> None:
        """A grant was released or found expired."""
        self._held.pop(name, None)
        self._watched.pop(name, None)

    def clone(self) -> Expiry:
        """One like this that goes its own way: for the model check."""
        twin = Expiry(self._bounds)
        twin._leading, twin._held = self._leading, dict(self._held)
        twin._watched = {name: replace(watched) for name, watched in self._watched.items()}
        return twin

    def dues(self) -> tuple[tuple[str, int, int, float], ...]:
        """What is watched, and until when."""
        return tuple((name, w.token, w.renewed, w.due) for name, w in sorted(self._watched.items()))

    def due(self, now: float) -> list[tuple[str, int, int]]:
        """The grants that have run out: name, token, and the entry that renewed them last."""
        found = []
        for name, watched in self._watched.items():
            if now >= watched.due:
                watched.due = now + AGAIN
                found.append((name, watched.token, watched.renewed))
        return found
