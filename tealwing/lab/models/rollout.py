"""The model of a rollout of rules: the members' state machines, the expiry observers and the registry.

The log is assumed to be correct (models/consensus.py checks it): one order, reliable. Each member applies it at its own
pace. A proposed command may be applied at any later moment, twice or never. A leader's commands may come from any
member at any moment, whether or not it still leads. Members crash and restart with all that they had applied, with
less or empty, in the same partition mode or the other. Permits expire by slow clocks and their expiry is observed by
fast ones; one member's clock may run far out of bounds.

A request may be decided at any member whenever its gate is open. Checked in every state: no gate is open under a
version older than one that any gate was ever open under; no gate is open under a version that was never in force; the
outcome of a version never changes. A crash before the marker is written equals a crash before the entry was applied.

The lease bounds are coarser than in production, so that a violation shows within a few steps of time.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from tealwing.lab.models.rollout_faults import apply_with_fault
from tealwing.lab.models.rollout_parts import (
    COARSE,
    DT,
    FAST,
    IMMEDIATE_RETRY,
    LOG,
    PERMIT,
    SLOW,
    WILD,
    Budget,
    Log,
    Node,
    Tables,
    World,
    describe,
    empty,
    message_key,
    propose,
)
from tealwing.rollout.agent.actions import (
    HOLD_MARKER,
    CheckBundle,
    PersistMarker,
    Restart,
    SubmitCommand,
)
from tealwing.rollout.agent.machine import Machine
from tealwing.rollout.agent.view import View, view_of
from tealwing.rollout.leader.expiry_observer import ExpiryObserver
from tealwing.rules import records as r
from tealwing.rules import registry


class Rollout:
    """The model of a rollout in one site, to be explored."""

    def __init__(
        self, modes: str, budget: Budget, sabotage: str = "", mutation: str = "", wild: str = "",
        begin: Callable[[Any, World], World] | None = None,
    ) -> None:  # fmt: skip
        """Set up the model: `modes` has one letter per member, s for serve or h for hold.

        sabotage: a fault that the members' state machines have; mutation: one that the model or its registry has.
        wild: the member whose clock runs far out of bounds.
        begin: takes the state where all have begun and checked a version to the state where the exploration starts.
        """
        self._modes, self._budget, self._mutation, self._wild, self._begin = modes, budget, mutation, wild, begin
        self._sabotage = frozenset({sabotage} if sabotage else ())
        self._names = "abcdefgh"[: len(modes)]
        self._applied: dict[Hashable, tuple[Tables, Tables | None]] = {}  # memo of `apply`: tables before and after
        self._seen: dict[tuple[int, str], tuple[Tables, View]] = {}
        self._interned: dict[Hashable, int] = {}

    # Initial state

    def initial(self) -> World:
        """Return the initial state: all have applied all Begins, and version 1 is checked; then `begin` takes it on."""
        nodes = {}
        for place, (name, mode) in enumerate(zip(self._names, self._modes, strict=True)):
            nodes[name] = self._node(name, mode, SLOW if place == 0 else FAST)
        world = World(nodes, self._logs(), frozenset(), replace(self._budget, proposals=99))
        for name in self._names:
            world = self._run_shell(world, name)
        world = self._set_up(world)
        world.budget = self._budget
        if self._begin is None:
            return world
        world.budget = Budget(99, 99, 99, 99, 99, 99, 99, 99, 99)
        world = self._begin(self, world)
        world.budget, world.at = self._budget, world.at
        return world

    def _logs(self) -> dict[str, Log]:
        return {LOG: Log((empty(),), (None,))}

    def _node(self, name: str, mode: str, rate: float) -> Node:
        rate = WILD if name == self._wild else rate
        logs = self.logs_of(name)
        observers = {log: ExpiryObserver(who, COARSE) for log, who in logs.items()}
        for observer in observers.values():
            observer._retry = IMMEDIATE_RETRY
        machine = self._machine(name, mode, 1, 0, None, None)
        return Node(machine, rate, dict.fromkeys(logs, 0), dict.fromkeys(logs, 0), observers)

    def _machine(self, name: str, mode: str, start: int, mark: int, disk: View | None, fed: View | None) -> Machine:
        partition_mode: r.PartitionMode = "hold" if mode[0] == "h" else "serve"
        machine = Machine(
            name, partition_mode, start, PERMIT, COARSE, mark, sabotage=self._sabotage, disk=disk,
            federated=len(self.logs_of(name)) > 1, disk_federated=fed,
        )  # fmt: skip
        machine._retry = IMMEDIATE_RETRY
        return machine

    def logs_of(self, name: str) -> dict[str, str]:
        """Return the logs that a member applies, its site's first, each with the member's name in it."""
        return {LOG: name}

    def _set_up(self, world: World) -> World:
        world = self.apply_until_stable(world, lambda body: isinstance(body, r.Begin))
        for name in self._names:
            world = self.read(world, name, LOG)
        world = self.apply(world, LOG, propose(0))
        return self.apply_until_stable(world, lambda body: isinstance(body, r.Verdict))

    def apply_until_stable(self, world: World, accepts: Callable[[r.Body], bool]) -> World:
        """Append the proposed commands that `accepts` selects and let all members catch up, until nothing changes."""
        while True:
            for name, node in world.nodes.items():
                for log in node.at:
                    if node.at[log] < len(world.logs[log].states) - 1:
                        world = self.catch_up(world, name, log, len(world.logs[log].states) - 1)
            for log, body in sorted(world.requests, key=repr):
                if accepts(body) and (after := self.apply(world, log, body)) is not world:
                    world = after
                    break
            else:
                return world

    # Steps

    def steps(self, world: World) -> Iterable[tuple[str, Callable[[], World]]]:
        """Yield every possible step: its description and a function that returns the state after it."""
        budget = world.budget
        for log, body in sorted((*world.requests, *self.leader_commands(world)), key=repr):
            if self._changes(world, log, body):
                yield f"{log}: {describe(body)}", lambda o=log, b=body: self.apply(world, o, b)  # type: ignore[misc]
        for name, node in world.nodes.items():
            for log, at in node.at.items():
                last = len(world.logs[log].states) - 1
                for to in sorted({at + 1, last} if at < last else ()):
                    what = "all" if to == last else "one entry"
                    yield (
                        f"{name} applies {what} of the {log}",
                        lambda n=name, o=log, t=to: self.catch_up(world, n, o, t),  # type: ignore[misc]
                    )
                if budget.reads and self._may_read(world, node, log):
                    yield f"{name} reads the {log}", lambda n=name, o=log: self.read(world, n, o)  # type: ignore[misc]
            if budget.crashes:
                step = f"{name} crashes and restarts"
                yield step, lambda n=name, p=node.at: self.crash(world, n, p)  # type: ignore[misc]
                yield from self._crashes(world, name, node)
        if budget.times:
            yield f"{DT:g} s pass", lambda: self.advance_time(world)

    def _crashes(self, world: World, name: str, node: Node) -> Iterable[tuple[str, Callable[[], World]]]:
        if world.budget.old:
            for log in node.at:
                for at in range(node.disk[log], node.at[log]):
                    yield (
                        f"{name} crashes and restarts with the {log} up to {at}",
                        lambda n=name, p=node.at | {log: at}: self.crash(world, n, p, old=1),  # type: ignore[misc]
                    )
        if world.budget.empty:
            nothing = dict.fromkeys(node.at, 0)
            yield f"{name} crashes and restarts empty", lambda: self.crash(world, name, nothing, empty=1)
        if world.budget.flips:
            for had in (node.disk, node.at):
                yield (
                    f"{name} crashes and restarts in the other mode with the logs up to {tuple(had.values())}",
                    lambda p=had: self.crash(world, name, p, flips=1),  # type: ignore[misc]
                )

    def leader_commands(self, world: World) -> Iterable[tuple[str, r.Body]]:
        """Yield the commands that a current or former leader may propose."""
        for log, its in world.logs.items():
            tables = its.states[-1]
            flight = registry.in_flight(tables)
            if flight is None:
                if world.budget.proposals and log == self.top:
                    yield log, propose(registry.facts(tables).active_number)
                continue
            if log == self.top:
                yield log, r.Close(flight.number)
                yield log, r.Activate(flight.number)
                if world.budget.aborts:
                    yield log, r.Abort(flight.number)
            if world.budget.lapses and len(tables["rule_members"]) > 1:
                for name, member in tables["rule_members"].items():
                    if member.partition_mode == "hold" and not member.expiry_index:
                        yield log, r.ExpirePermit(name, member.start)

    top = LOG  # the log that decides on versions

    def _may_read(self, world: World, node: Node, log: str) -> bool:
        return node.machine.partition_mode == "hold" or node.machine.read_would_extend(log != next(iter(node.at)))

    def apply(self, world: World, log: str, body: r.Body) -> World:
        """Append an entry to a log; members apply it later. Return the same world if it leaves the tables unchanged."""
        states = world.logs[log].states
        known = id(states[-1]), len(states), body
        if known not in self._applied:
            fresh = {name: dict(table) for name, table in states[-1].items()}
            changes = apply_with_fault(fresh, len(states), body, self._mutation) and fresh != states[-1]
            self._applied[known] = states[-1], fresh if changes else None
        tables = self._applied[known][1]
        if tables is None:
            return world
        kinds = {"lapses": r.ExpirePermit, "aborts": r.Abort, "proposals": r.Propose}
        spent = {key: int(isinstance(body, kind) and log == self.top) for key, kind in kinds.items()}
        after = self._after(world, spent)
        keys = *world.logs[log].keys, self._intern(message_key(tables))
        after.logs = {**world.logs, log: Log((*states, tables), keys)}
        for number, before in states[-1]["rules"].items():
            now = tables["rules"].get(number)
            again = (before.phase, now.phase) in (("active", "superseded"), ("rejected", "proposed")) if now else True
            if before.phase not in r.IN_FLIGHT and now is not None and now.phase != before.phase and not again:
                after.wrong = f"version {number} was {before.phase} and is {now.phase}"
        return after

    def _changes(self, world: World, log: str, body: r.Body) -> bool:
        return self.apply(world, log, body) is not world

    def catch_up(self, world: World, name: str, log: str, to: int) -> World:
        """Have a member apply a log up to an index, entry by entry."""
        after = self._with(world, name)
        node = after.nodes[name]
        while node.at[log] < to:
            node.at[log] += 1
            after = self._run_shell(after, name)
        return after

    def read(self, world: World, name: str, log: str) -> World:
        """Have a member send a ReadIndex and receive the commit index of that moment, the lowest answer allowed."""
        after = self._with(world, name, reads=1)
        node = after.nodes[name]
        token = node.machine.read_sent(self._clock(after, node), log != next(iter(node.at)))
        node.machine.read_completed(self._clock(after, node), token, len(after.logs[log].states) - 1)
        return self._run_shell(after, name)

    def crash(self, world: World, name: str, at: Mapping[str, int], **spent: int) -> World:
        """Restart a member with its logs up to the indexes `at`; restarted empty, it has no marker either."""
        after = self._with(world, name, crashes=1, **spent)
        node = after.nodes[name]
        lost = "empty" in spent
        mode = node.machine.partition_mode
        if "flips" in spent:
            mode = "hold" if mode == "serve" else "serve"
        views = [
            None if lost else view_of(world.logs[log].states[at[log]], at[log], who)
            for log, who in self.logs_of(name).items()
        ]
        start, mark = (1, 0) if lost else (node.machine.start + 1, node.machine.marker)
        if mark == HOLD_MARKER and self._mutation == "mode-forgotten":
            mark = 0
        node.machine = self._machine(name, mode, start, mark, views[0], views[1] if len(views) > 1 else None)
        if lost and self._mutation == "empty-trusted":
            node.machine._site_permit.grant_forever()
        node.at, node.disk = dict(at), dict(at)
        for observer in node.observers.values():
            observer._observed_at = {}
        return self._run_shell(after, name)

    def advance_time(self, world: World) -> World:
        """Advance the time by one step for all members."""
        after = self._after(world, {"times": 1})
        after.at += 1
        after.nodes = dict(world.nodes)
        for name in world.nodes:
            after = self._run_shell(self._with(after, name), name)
        return after

    # Effects of a step

    def _after(self, world: World, spent: Mapping[str, int]) -> World:
        after = copy.copy(world)
        if any(spent.values()):
            left = {key: max(0, getattr(world.budget, key) - count) for key, count in spent.items() if count}
            after.budget = replace(world.budget, **left)
        return after

    def _with(self, world: World, name: str, **spent: int) -> World:
        after = self._after(world, spent)
        node = world.nodes[name]
        twin = Node(node.machine.clone(), node.rate, dict(node.at), node.disk, {})
        for log, observer in node.observers.items():
            twin.observers[log] = copy.copy(observer)
        after.nodes = {**world.nodes, name: twin}
        return after

    def _clock(self, world: World, node: Node) -> float:
        return world.at * DT * node.rate

    def _run_shell(self, world: World, name: str) -> World:
        """Do what rollout/runtime.py does: step the machine, write its marker, accept each check, submit commands."""
        node = world.nodes[name]
        now, machine = self._clock(world, node), node.machine
        views = [self._view(world, log, node.at[log], who) for log, who in self.logs_of(name).items()]
        submitted: set[tuple[str, r.Body]] = set()
        again = True
        while again:
            again = False
            for action in machine.step(now, *views):
                match action:
                    case SubmitCommand(body):
                        submitted.add((next(iter(node.at)), body))
                    case PersistMarker(number):
                        machine.marker_written(number)
                        again = True
                    case CheckBundle(number):
                        machine.checked(number, True)
                        again = True
                    case Restart():
                        again = True
        for log, observer in node.observers.items():
            submitted |= {(log, body) for body in observer.due(now, world.logs[log].states[node.at[log]])}
        world.requests = world.requests | submitted | self._site_commands(world, name)
        gate = machine.gate_state(now)
        if gate.mode == "open" and not world.wrong:
            if gate.number < world.newest:
                world.wrong = f"{name} decides under version {gate.number} after version {world.newest} was in use"
            phase = self._view(world, self.top, len(world.logs[self.top].states) - 1, "").phase_of(gate.number)
            if gate.number and phase not in ("active", "superseded"):
                world.wrong = f"{name} decides under version {gate.number}, which is {phase} and not in force"
            if gate.number > world.newest:
                world.newest = gate.number
                for other, its in world.nodes.items():
                    theirs = its.machine.gate_state(self._clock(world, its))
                    if theirs.mode == "open" and theirs.number < gate.number:
                        world.wrong = f"{name} decides under version {gate.number} while {other} uses {theirs.number}"
        return world

    def _site_commands(self, world: World, name: str) -> frozenset[tuple[str, r.Body]]:
        return frozenset()

    # Safety properties

    def broken(self, world: World) -> str:
        """Return the safety violation in this state, empty if there is none."""
        return world.wrong

    def key(self, world: World) -> Hashable:
        """Return the identity of a state: of each log only what a member has yet to apply or may restart from."""
        logs = []
        for name, log in world.logs.items():
            oldest = min(
                min(node.at[name], node.disk[name] if world.budget.old or world.budget.flips else node.at[name])
                for node in world.nodes.values() if name in node.at
            )  # fmt: skip
            logs.append((len(log.states), log.keys[oldest:]))
        nodes = tuple(
            (self._intern(node.machine.key()), tuple(node.at.values()), tuple(node.disk.values()),
             tuple(tuple(sorted(observer._observed_at.items())) for observer in node.observers.values()))
            for node in world.nodes.values()
        )  # fmt: skip
        return tuple(logs), nodes, self._intern(world.requests), world.budget, world.newest

    def _intern(self, thing: Hashable) -> int:
        return self._interned.setdefault(thing, len(self._interned))

    def _view(self, world: World, log: str, at: int, who: str) -> View:
        tables = world.logs[log].states[at]
        known = self._seen.get((id(tables), who))
        if known is None or known[1].index != at:
            known = self._seen[id(tables), who] = tables, view_of(tables, at, who)
        return known[1]
