"""The model of leases: the holders' state machines, the leader's expiry and the lease state, on clocks that drift.

Consensus is assumed to be correct (models/consensus.py checks it): a request is applied at any time after it was sent,
or never, and its answer arrives or is lost. A holder may pause for any time, since it acts only when the explorer
picks one of its steps. Another leader may take over at any moment. Checked in every state: at most one holder's lease
is valid by its own clock, and every action that the state accepts carries the newest token granted.

The lease bounds are coarser than in production, so that a violation shows within a few steps of time.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from tealwing.lease_bounds import LeaseBounds
from tealwing.leases.expiry import LeaseExpiry
from tealwing.leases.holder import Action, Holder
from tealwing.replica import commands as c
from tealwing.replica.state import Lease, State

NAME, TTL = "task", 2.0  # s
DT = 0.5  # s of model time per time step
COARSE = LeaseBounds(max_drift=0.25, max_step=0.0, loss_notice=0.01)
NO_DRIFT = LeaseBounds(max_drift=0.0, max_step=0.0, loss_notice=0.01)  # a mutation: no allowance for clock drift
RATES = (0.75, 1.25)  # speeds of the slow and the fast clock, in s per s


class RenewsAfterExpiry(State):
    """A mutation: a renewal is accepted even if the grant has expired or was replaced."""

    def _renew(self, index: int, name: str, token: int) -> c.CommandResult:
        lease: Lease | None = self.tables["leases"].get(name)
        super()._renew(index, name, token)
        return c.CommandResult(lease is not None, index, token)


MUTATIONS: dict[str, tuple[LeaseBounds, type[State]]] = {
    "": (COARSE, State),
    "drift-ignored": (NO_DRIFT, State),
    "renewal-after-expiry": (COARSE, RenewsAfterExpiry),
}


@dataclass(frozen=True, slots=True)
class Request:
    """A command that was sent and not yet applied: a holder's, or the leader's own with an empty `holder`."""

    holder: str
    body: c.Body
    number: int


@dataclass(slots=True)
class World:
    """One state of the model: the holders, the lease state, and the requests, answers and actions in flight."""

    at: int  # time steps so far
    holders: dict[str, Holder]
    rates: dict[str, float]  # clock speeds of the holders and of the leader, in s per s
    state: State
    expiry: LeaseExpiry
    requests: frozenset[Request] = frozenset()
    answers: dict[str, c.CommandResult] = field(default_factory=dict)  # in flight, by holder, to its pending request
    waits: dict[str, int] = field(default_factory=dict)  # the number of each holder's pending request
    actions: frozenset[tuple[str, int]] = frozenset()  # in flight to the resource: holder and token
    numbers: int = 0  # requests numbered so far
    leaders: int = 0  # changes of leader so far
    acts: int = 0  # actions started so far
    wrong: str = ""  # the safety violation found, empty if none

    def clock(self, name: str) -> float:
        """Return the time on a member's clock, in s."""
        return self.at * DT * self.rates[name]


class Leases:
    """The model of leases, to be explored."""

    def __init__(
        self, times: int = 8, mutation: str = "", leaders: int = 1, acts: int = 1, renewing: bool = False
    ) -> None:
        """Bound the model: time steps, changes of leader, actions that holders start.

        renewing: start where holder a has the lease and has just sent a renewal.
        """
        self._times, self._leaders, self._acts, self._renewing = times, leaders, acts, renewing
        self._bounds, self._state = MUTATIONS[mutation]

    def initial(self) -> World:
        """Return the initial state: no lease is held; holder a has a slow clock, b and the leader have a fast one."""
        holders = {name: Holder(NAME, TTL, bounds=self._bounds) for name in "ab"}
        expiry = LeaseExpiry(self._bounds)
        expiry.set_leading(0.0, True)
        world = World(0, holders, {"a": RATES[0], "b": RATES[1], "leader": RATES[1]}, self._state(), expiry)
        if self._renewing:
            world = self._tick(world, "a")
            world = self._receive(self._apply(world, next(iter(world.requests))), "a")
            world = self._tick(self._pass(self._pass(world)), "a")
        return world

    def steps(self, world: World) -> Iterable[tuple[str, Callable[[], World]]]:
        """Yield every possible step: its description and a function that returns the state after it."""
        if world.at < self._times:
            yield f"{DT} s pass", lambda: self._pass(world)
        for name in world.holders:
            if world.holders[name].request_sent_at is None or world.holders[name].token:
                yield f"{name} reads its clock", lambda n=name: self._tick(world, n)  # type: ignore[misc]
            if name in world.answers:
                yield f"{name} receives {_describe_result(world.answers[name])}", lambda n=name: self._receive(world, n)  # type: ignore[misc]
            if world.holders[name].request_sent_at is not None:
                yield f"{name} times out waiting for the answer", lambda n=name: self._give_up(world, n)  # type: ignore[misc]
            if world.acts < self._acts and world.holders[name].valid(world.clock(name)):
                yield f"{name} begins an action", lambda n=name: self._act(world, n)  # type: ignore[misc]
        for request in sorted(world.requests, key=lambda r: r.number):
            yield f"applied: {request.holder}: {request.body}", lambda r=request: self._apply(world, r)  # type: ignore[misc]
        for action in sorted(world.actions):
            yield f"{action[0]}'s action arrives", lambda a=action: self._arrive(world, a)  # type: ignore[misc]
        if any(due <= world.clock("leader") for _, _, _, due in world.expiry.deadlines()):
            yield "the leader finds the lease expired", lambda: self._expire(world)
        if world.leaders < self._leaders:
            yield "another member becomes leader, with a slow clock", lambda: self._lead(world)

    def _after(self, world: World, **changes: Any) -> World:
        after = copy.copy(world)
        for key, value in changes.items():
            setattr(after, key, value)
        return after

    def _with(self, world: World, name: str) -> World:
        return self._after(
            world, holders={**world.holders, name: replace(world.holders[name])}, answers=dict(world.answers),
            waits=dict(world.waits),
        )  # fmt: skip

    def _pass(self, world: World) -> World:
        return self._after(world, at=world.at + 1)

    def _tick(self, world: World, name: str) -> World:
        after = self._with(world, name)
        holder = after.holders[name]
        token = holder.token
        for what in holder.tick(after.clock(name)):
            if what in (Action.ACQUIRE, Action.RENEW):
                body: c.Body = c.Acquire(NAME, name, round(TTL * 1e3))
                if what is Action.RENEW:
                    body = c.Renew(NAME, token)
                after.numbers += 1
                after.requests = after.requests | {Request(name, body, after.numbers)}
                after.waits[name] = after.numbers
        return after

    def _apply(self, world: World, request: Request) -> World:
        after = self._after(world, state=_copied(world.state), expiry=world.expiry.clone(), answers=dict(world.answers))
        after.requests = after.requests - {request}
        index = after.state.applied + 1
        result = after.state.apply(index, c.encode(c.Command("", 0, request.body)))
        now = after.clock("leader")
        lease: Lease | None = after.state.tables["leases"].get(NAME)
        if result.ok and lease is not None and isinstance(request.body, c.Acquire | c.Renew):
            after.expiry.granted(now, NAME, lease.token, lease.renewed, TTL)
        elif result.ok:
            after.expiry.ended(NAME)
        if request.holder and after.waits.get(request.holder) == request.number:
            after.answers[request.holder] = result
        return after

    def _receive(self, world: World, name: str) -> World:
        after = self._with(world, name)
        result, holder = after.answers.pop(name), after.holders[name]
        after.waits.pop(name)
        if result.ok:
            holder.granted(after.clock(name), result.version)
        else:
            holder.rejected(after.clock(name))
        return after

    def _give_up(self, world: World, name: str) -> World:
        after = self._with(world, name)
        after.answers.pop(name, None)
        after.waits.pop(name, None)
        after.holders[name].timed_out(after.clock(name))
        return after

    def _act(self, world: World, name: str) -> World:
        token = world.holders[name].token
        return self._after(world, actions=world.actions | {(name, token)}, acts=world.acts + 1)

    def _arrive(self, world: World, action: tuple[str, int]) -> World:
        after = self._after(world, state=_copied(world.state), actions=world.actions - {action})
        command = c.Command("", 0, c.Put("k", b"v"), c.Fence(NAME, action[1]))
        newest = after.state.tables["fences"].get(NAME, 0)
        if after.state.apply(after.state.applied + 1, c.encode(command)).ok and action[1] != newest:
            after.wrong = f"an action with token {action[1]} was accepted, and {newest} is the newest token granted"
        return after

    def _expire(self, world: World) -> World:
        after = self._after(world, expiry=world.expiry.clone())
        for name, token, renewed in after.expiry.expired(after.clock("leader")):
            after.numbers += 1
            request = Request("", c.Expire(name, token, renewed), after.numbers)
            after.requests = after.requests | {request}
        return after

    def _lead(self, world: World) -> World:
        rates = {**world.rates, "leader": RATES[0]}
        after = self._after(world, expiry=world.expiry.clone(), rates=rates, leaders=world.leaders + 1)
        after.expiry.set_leading(after.clock("leader"), True)
        return after

    def broken(self, world: World) -> str:
        """Return the safety violation in this state, empty if there is none."""
        valid = [name for name, holder in world.holders.items() if holder.valid(world.clock(name))]
        if len(valid) > 1:
            return f"{' and '.join(valid)} both may act at {world.at * DT:g} s"
        return world.wrong

    def key(self, world: World) -> Hashable:
        """Return the identity of a state: everything in it, with requests by content instead of number."""
        holders = tuple(
            (name, h.token, h.expires_at, h.renew_at, h.acquire_at, h.backoff, h.request_sent_at)
            for name, h in sorted(world.holders.items())
        )
        return (
            world.at, holders, tuple(sorted(world.rates.items())), world.state.applied,
            tuple(world.state.tables["leases"].items()), tuple(world.state.tables["fences"].items()),
            world.expiry.deadlines(), frozenset((r.holder, r.body, world.waits.get(r.holder) == r.number)
                                           for r in world.requests),
            tuple(sorted(world.answers.items())), world.actions, world.leaders, world.acts,
        )  # fmt: skip


def _copied(state: State) -> State:
    twin = type(state)()
    twin.applied, twin.rejected_stale = state.applied, 0
    twin.tables = {name: dict(table) for name, table in state.tables.items()}
    return twin


def _describe_result(result: c.CommandResult) -> str:
    return f"yes, token {result.version}" if result.ok else f"no: {result.reason}"
