"""The membership rules of gossip in every order of events, with one member and two observers."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any

import pytest

from tealwing.gossip import suspicion
from tealwing.gossip.members import Member, Members, State
from tealwing.gossip.messages import Alive, Dead, Suspect
from tests.gossip import alive

View = tuple[State, int]
GlobalState = tuple[int, tuple[View, View], frozenset[tuple[str, int]]]


def members_with(view: View) -> Members:
    members = Members("me", random.Random(1))
    members.apply_alive(alive("n1", view[1]), 0.0)
    member = members.get("n1")
    assert member is not None
    if view[0] is State.SUSPECT:
        members.suspect(member, "me", 0.0)
    elif view[0] is State.DEAD:
        members.mark_dead(member, 0.0)
    return members


def view_of(members: Members) -> View:
    member = members.get("n1")
    assert member is not None
    return member.state, member.alive.incarnation


def successors(state: GlobalState) -> Iterator[tuple[str, GlobalState]]:
    own, views, rumours = state
    for kind, incarnation in rumours:
        if kind != "alive" and incarnation == own and own < 3:  # the member learns of the suspicion and refutes
            yield "refute", (own + 1, views, rumours | {("alive", own + 1)})
    for i, view in enumerate(views):
        moves: list[tuple[str, Members, set[tuple[str, int]]]] = []
        members = members_with(view)
        member = members.get("n1")
        assert member is not None
        if member.state is State.ALIVE:
            moves.append(("probe", members, {("suspect", view[1])}))
            members.suspect(member, "me", 0.0)
        elif member.state is State.SUSPECT:
            moves.append(("timeout", members, {("dead", view[1])}))
            members.mark_dead(member, 0.0)
        for kind, incarnation in rumours:
            members = members_with(view)
            if kind == "alive":
                members.apply_alive(alive("n1", incarnation), 0.0)
            else:
                members.apply_suspicion((Suspect if kind == "suspect" else Dead)("n1", 5, incarnation), "other", 9.0)
            moves.append((f"receives {kind}", members, set()))
        for what, members, added in moves:
            after = list(views)
            after[i] = view_of(members)
            yield what, (own, (after[0], after[1]), rumours | added)


def search_states() -> tuple[int, str]:
    start: GlobalState = (0, ((State.ALIVE, 0), (State.ALIVE, 0)), frozenset({("alive", 0)}))
    seen, front = {start}, [start]
    while front:
        state = front.pop()
        for what, after in successors(state):
            own, views, _ = after
            for before, now in zip(state[1], views, strict=True):
                if now[1] > own:
                    return len(seen), f"{what}: an incarnation that the member never announced"
                if now[1] < before[1]:
                    return len(seen), f"{what}: an incarnation went back"
                if now[1] == before[1] and now[0] < before[0]:
                    return len(seen), f"{what}: a suspicion ended without the member's own statement"
                if what.startswith("receives") and now[0] is State.DEAD and before[0] is not State.DEAD:
                    return len(seen), f"{what}: held dead because of a rumour alone"
            if after not in seen:
                seen.add(after)
                front.append(after)
    return len(seen), ""


def test_membership_rules_hold_in_every_order_of_events() -> None:
    states, wrong = search_states()
    assert not wrong and states > 500


@pytest.mark.parametrize("fault", ["same incarnation", "dead on a rumour", "any incarnation"])
def test_state_search_detects_injected_faults(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def same(self: Members, rumour: Alive, now: float) -> Member | None:
        return self._store(Member(rumour, State.ALIVE, now))

    def dead_at_once(self: Members, rumour: Any, by: str, now: float) -> Any:
        known = self.get(rumour.name)
        if known is not None and isinstance(rumour, Dead):
            self.mark_dead(known, now)
        return None, False

    def higher(self: Members, rumour: Any, by: str, now: float) -> Any:
        self._store(Member(alive("n1", rumour.incarnation + 1), State.SUSPECT, now))
        return None, False

    if fault == "same incarnation":
        monkeypatch.setattr(Members, "apply_alive", same)
    else:
        monkeypatch.setattr(Members, "apply_suspicion", dead_at_once if fault == "dead on a rumour" else higher)
    assert search_states()[1]


def test_suspicion_timeout_shrinks_with_confirmations() -> None:
    suspected = suspicion.Suspicion(0.0, {"a"})
    deadlines = [suspected.deadline(100, 1.0)]
    for name in "abcde":
        suspected.confirm(name)
        deadlines.append(suspected.deadline(100, 1.0))
    min_timeout, max_timeout = suspicion.timeout_bounds(100, 1.0)
    assert deadlines[0] == max_timeout and deadlines[-1] == min_timeout and deadlines == sorted(deadlines, reverse=True)
