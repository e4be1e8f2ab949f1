"""The shell: leases of this gateway's tasks, kept through the replicated state.

    with keeper.lease("sweep-drains", ttl=5.0) as held:   # waits until it is granted
        while held.valid():
            act(held.token)

or `keeper.task(name, ttl, gained, lost)`: `gained(held)` is called on a thread of the task's own and should return when
`held` is no more valid; `lost` is called before the lease is over, even where the fleet can't be reached.
"""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from tealwing import log, threads
from tealwing.leases.expiry import Expiry
from tealwing.leases.holder import Do, Holder
from tealwing.peers.bounds import LEAST_TTL
from tealwing.peers.clock import Clock
from tealwing.replica import commands as c
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError

TICK = 0.02  # s between two looks at the clock
MOST = 16  # leases that one gateway may want: each has a thread that asks for it
RELEASE_WAIT = 0.5  # s that a release may take at the end; without it the lease runs out by itself


class Held:
    """A lease as its task sees it."""

    def __init__(self, keeper: Keeper, holder: Holder, token: int) -> None:
        self._keeper, self._holder, self.token = keeper, holder, token

    def valid(self) -> bool:
        """Whether the task may act now, by this gateway's clock."""
        with self._keeper.lock:
            return self._holder.token == self.token and self._holder.valid(self._keeper.clock.now())

    def wait(self, seconds: float) -> bool:
        """Wait, no longer than the lease is valid; whether it still is."""
        end = time.monotonic() + seconds
        while self.valid():
            left = end - time.monotonic()
            if left <= 0:
                return True
            self._keeper.stopped.wait(min(left, TICK))
        return False

    def fence(self) -> c.Fence:
        """What a command to the replicated state carries to be done under this grant alone."""
        return c.Fence(self._holder.name, self.token)


Gained = Callable[[Held], None]


class Wanted:
    """One lease that a task here wants."""

    def __init__(self, holder: Holder, gained: Gained, lost: Callable[[], None]) -> None:
        self.holder, self.gained, self.lost = holder, gained, lost
        self.asked = threading.Event()  # there is something for the asking thread
        self.what = Do.ACQUIRE
        self.dropped = False
        self.token = 0  # of the grant that the task was told of


class Keeper:
    """All leases that this gateway wants, and, where it leads, the expiry of everyone's."""

    def __init__(self, replica: Replica, clock: Clock) -> None:
        self._replica, self.clock = replica, clock
        self.lock = threading.Lock()  # round the holders
        self.stopped = threading.Event()
        self._wanted: dict[str, Wanted] = {}
        self._expiry = Expiry()  # the replica's thread alone
        self._sequence, self._client = 0, f"{replica.core.local_id}/{replica.incarnation}"
        replica.on_applied(self._applied)
        replica.on_leadership(lambda leads: self._expiry.lead(clock.now(), leads))
        replica.on_leader_tick(self._expire)
        replica.on_state_replaced(self._reread)
        self._reread()

    def start(self) -> None:
        """Keep leases from now on."""
        threads.start(self._watch, "lease-watch")

    def stop(self) -> None:
        """Give all back, as far as that can be done in time, and hold none."""
        self.stopped.set()
        with self.lock:
            wanted = list(self._wanted.values())
        for one in wanted:
            one.asked.set()
            self._drop(one)

    def task(self, name: str, ttl: float, gained: Gained, lost: Callable[[], None] = lambda: None) -> None:
        """Want a lease for good; the task is told each time that it gains and loses it. ValueError if that can't be."""
        if ttl < LEAST_TTL:
            raise ValueError(f"a lease of {ttl:g} s; allowed: {LEAST_TTL:g} s or more")
        wanted = Wanted(Holder(name, ttl, try_at=self.clock.now()), gained, lost)
        with self.lock:
            if name in self._wanted:
                raise ValueError(f"a task here wants {name} already")
            if len(self._wanted) >= MOST:
                raise ValueError(f"{MOST} leases are wanted here already")
            self._wanted[name] = wanted
        threads.start(lambda: self._ask(wanted), f"lease-{name}")

    def drop(self, name: str) -> None:
        """Want it no more, and give it back."""
        with self.lock:
            wanted = self._wanted.pop(name, None)
        if wanted is not None:
            wanted.dropped = True
            wanted.asked.set()
            self._drop(wanted)

    @contextlib.contextmanager
    def lease(self, name: str, ttl: float, wait: float = 60.0) -> Iterator[Held]:
        """Hold a lease for the block, which should end when it is no more valid. TimeoutError if it is not granted."""
        got: list[Held] = []
        there = threading.Event()

        def gained(held: Held) -> None:
            got.append(held)
            there.set()

        self.task(name, ttl, gained)
        try:
            if not there.wait(wait):
                raise TimeoutError(f"the lease {name} was not granted in {wait:g} s")
            yield got[-1]
        finally:
            self.drop(name)

    def status(self) -> dict[str, Any]:
        """What is wanted and held here, and what the state says of all leases."""
        now = self.clock.now()
        with self.lock:
            here = [
                {"name": name, "ttl_s": w.holder.ttl, "token": w.holder.token, "valid": w.holder.valid(now),
                 "left_s": round(max(0.0, w.holder.until - now), 3) if w.holder.token else 0.0}
                for name, w in self._wanted.items()
            ]  # fmt: skip
        with self._replica.lock:
            state = self._replica.state
            leases = [
                {"name": name, "holder": lease.holder, "ttl_s": lease.ttl / 1e3, "token": lease.token,
                 "held": lease.held, "newest": state.tables["fences"].get(name, 0)}
                for name, lease in sorted(state.tables["leases"].items())
            ]  # fmt: skip
            applied, refused = state.applied, state.rejected_stale
        return {"here": here, "leases": leases, "applied": applied, "refused_stale": refused}

    # The watching thread: it waits for nobody, so a loss is told in time

    def _watch(self) -> None:
        while not self.stopped.wait(self.clock.real(TICK)):
            with self.lock:
                now = self.clock.now()
                found = [(wanted, wanted.holder.tick(now)) for wanted in self._wanted.values()]
            for wanted, things in found:
                self._carry_out(wanted, things)

    def _carry_out(self, wanted: Wanted, things: list[Do]) -> None:
        for what in things:
            if what in (Do.ACQUIRE, Do.RENEW):
                wanted.what = what
                wanted.asked.set()
            elif what is Do.LOST:
                log.event("lease_lost", name=wanted.holder.name, token=wanted.token)
                wanted.lost()
            else:
                wanted.token = wanted.holder.token
                held = Held(self, wanted.holder, wanted.token)
                log.event("lease_gained", name=wanted.holder.name, token=wanted.token)
                try:
                    threads.start(lambda held=held: wanted.gained(held), f"task-{wanted.holder.name}")  # type: ignore[misc]
                except threads.ThreadUnavailableError:  # nobody acts; it runs out, or is renewed until there is one
                    continue

    # The asking threads: one a lease, as a call may wait

    def _ask(self, wanted: Wanted) -> None:
        holder = wanted.holder
        while True:
            wanted.asked.wait()
            wanted.asked.clear()
            if self.stopped.is_set() or wanted.dropped:
                return
            renews = wanted.what is Do.RENEW
            body: c.Body = c.Acquire(holder.name, self._client, round(holder.ttl * 1e3))
            if renews:
                body = c.Renew(holder.name, wanted.token)
            try:
                result = self._replica.write(self._command(body), holder.ttl / 2)
            except (OutcomeUnknownError, UnavailableError):
                result = None
            with self.lock:
                now = self.clock.now()
                if result is None:
                    things = holder.unanswered(now)
                elif result.ok:
                    things = holder.granted(now, result.version)
                else:
                    things = holder.refused(now)
            self._carry_out(wanted, things)

    def _command(self, body: c.Body) -> c.Command:
        with self.lock:
            self._sequence += 1
            # each request is a session of its own: threads of several leases ask at once
            return c.Command(f"{self._client}/{self._sequence % MOST}", self._sequence, body)

    def _drop(self, wanted: Wanted) -> None:
        """Hold it no more; release what was held, the task having been told."""
        with self.lock:
            token, wanted.holder.token = wanted.holder.token, 0
        if not token:
            return
        self._carry_out(wanted, [Do.LOST])
        with contextlib.suppress(OutcomeUnknownError, UnavailableError):
            self._replica.write(c.Command("", 0, c.Release(wanted.holder.name, token)), RELEASE_WAIT)

    # The replica's thread

    def _applied(self, index: int, command: c.Command | None, result: c.CommandResult | None) -> None:
        if command is None or result is None or not result.ok:
            return
        now = self.clock.now()
        match command.body:
            case c.Acquire(name) | c.Renew(name):
                lease = self._replica.state.tables["leases"][name]
                self._expiry.granted(now, name, lease.token, lease.renewed, lease.ttl / 1e3)
            case c.Release(name) | c.Expire(name):
                self._expiry.ended(name)
                with self.lock:
                    if name in self._wanted:
                        self._wanted[name].holder.free(now)

    def _reread(self) -> None:
        """The state as a whole is new: from the disk, or another's snapshot."""
        leases = self._replica.state.tables["leases"].items()
        held = {name: (lease.token, lease.renewed, lease.ttl / 1e3) for name, lease in leases if lease.held}
        self._expiry.replace(self.clock.now(), held)

    def _expire(self, now: float) -> None:
        for name, token, renewed in self._expiry.due(now):
            log.event("lease_expired", name=name, token=token)
            self._replica.propose_if_leader(c.encode(c.Command("", 0, c.Expire(name, token, renewed))))
