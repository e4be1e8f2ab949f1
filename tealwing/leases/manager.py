"""The lease manager: acquires and renews the leases of this gateway's tasks in the replicated state.

    with manager.lease("sweep-drains", ttl=5.0) as held:   # waits until the lease is granted
        while held.valid():
            act(held.token)

or `manager.task(name, ttl, gained, lost)`: `gained(held)` is called on a thread of the task's own and should return
when `held` is no longer valid. `lost` is called before the lease expires, even if the fleet can't be reached.
"""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from tealwing import log, threads
from tealwing.lease_bounds import MIN_TTL
from tealwing.leases.expiry import LeaseExpiry
from tealwing.leases.holder import Action, Holder
from tealwing.peers.clock import Clock
from tealwing.replica import commands as c
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError

TICK = 0.02  # s between two checks of the leases' deadlines
MAX_LEASES = 16  # maximum leases per gateway, as each has a thread for its requests
RELEASE_TIMEOUT = 0.5  # s for the release of a lease, which expires if the release fails


class HeldLease:
    """A granted lease, as passed to its task."""

    def __init__(self, manager: LeaseManager, holder: Holder, token: int) -> None:
        self._manager, self._holder, self.token = manager, holder, token

    def valid(self) -> bool:
        """Whether the lease is held and the task may act, by this gateway's clock."""
        with self._manager.lock:
            return self._holder.token == self.token and self._holder.valid(self._manager.clock.now())

    def wait(self, seconds: float) -> bool:
        """Wait for a number of seconds, or until the lease is no longer valid; return whether it still is."""
        end = time.monotonic() + seconds
        while self.valid():
            left = end - time.monotonic()
            if left <= 0:
                return True
            self._manager.stopped.wait(min(left, TICK))
        return False

    def fence(self) -> c.Fence:
        """Return the fence for commands that may be applied only while this grant is the newest."""
        return c.Fence(self._holder.name, self.token)


GainedCallback = Callable[[HeldLease], None]


class ManagedLease:
    """A lease that a task of this gateway wants to hold, with its callbacks and its next request."""

    def __init__(self, holder: Holder, gained: GainedCallback, lost: Callable[[], None]) -> None:
        self.holder, self.on_gained, self.on_lost = holder, gained, lost
        self.request_pending = threading.Event()  # set when `next_request` is to be sent
        self.next_request = Action.ACQUIRE
        self.dropped = False
        self.token = 0  # fencing token of the last grant that the task was notified of


class LeaseManager:
    """Manager of the leases that this gateway wants and, while it leads, of the expiry of all members' leases."""

    def __init__(self, replica: Replica, clock: Clock) -> None:
        self._replica, self.clock = replica, clock
        self.lock = threading.Lock()  # guards the holders
        self.stopped = threading.Event()
        self._leases: dict[str, ManagedLease] = {}
        self._expiry = LeaseExpiry()  # confined to the replica's thread
        self._sequence, self._client = 0, f"{replica.core.local_id}/{replica.incarnation}"
        replica.on_applied(self._applied)
        replica.on_leadership(lambda leads: self._expiry.set_leading(clock.now(), leads))
        replica.on_leader_tick(self._expire)
        replica.on_state_replaced(self._reload)
        self._reload()

    def start(self) -> None:
        """Start the thread that acquires and renews the leases."""
        threads.start(self._tick_loop, "lease-watch")

    def stop(self) -> None:
        """Stop acquiring and renewing, and release all leases as far as that succeeds within RELEASE_TIMEOUT each."""
        self.stopped.set()
        with self.lock:
            leases = list(self._leases.values())
        for lease in leases:
            lease.request_pending.set()
            self._release(lease)

    def task(self, name: str, ttl: float, gained: GainedCallback, lost: Callable[[], None] = lambda: None) -> None:
        """Hold a lease whenever possible; call `gained` and `lost` each time. `ttl` is in s.

        Raises ValueError if the TTL is too short, the name is already in use here, or there are too many leases.
        """
        if ttl < MIN_TTL:
            raise ValueError(f"lease {name}: a TTL of {ttl:g} s; allowed: {MIN_TTL:g} s or more")
        lease = ManagedLease(Holder(name, ttl, acquire_at=self.clock.now()), gained, lost)
        with self.lock:
            if name in self._leases:
                raise ValueError(f"lease {name}: another task of this gateway already wants it")
            if len(self._leases) >= MAX_LEASES:
                raise ValueError(f"lease {name}: this gateway already has {MAX_LEASES} leases, which is the maximum")
            self._leases[name] = lease
        threads.start(lambda: self._request_loop(lease), f"lease-{name}")

    def drop(self, name: str) -> None:
        """Stop acquiring and renewing a lease, and release it."""
        with self.lock:
            lease = self._leases.pop(name, None)
        if lease is not None:
            lease.dropped = True
            lease.request_pending.set()
            self._release(lease)

    @contextlib.contextmanager
    def lease(self, name: str, ttl: float, wait: float = 60.0) -> Iterator[HeldLease]:
        """Hold a lease during the block, which should end when the lease is no longer valid.

        Raises TimeoutError if the lease is not granted within `wait` seconds, ValueError as `task` does.
        """
        grants: list[HeldLease] = []
        granted = threading.Event()

        def gained(held: HeldLease) -> None:
            grants.append(held)
            granted.set()

        self.task(name, ttl, gained)
        try:
            if not granted.wait(wait):
                raise TimeoutError(f"lease {name}: not granted within {wait:g} s")
            yield grants[-1]
        finally:
            self.drop(name)

    def status(self) -> dict[str, Any]:
        """Return the leases that this gateway wants, and all leases in the replicated state."""
        now = self.clock.now()
        with self.lock:
            local = [
                {"name": name, "ttl_s": lease.holder.ttl, "token": lease.holder.token, "valid": lease.holder.valid(now),
                 "left_s": round(max(0.0, lease.holder.expires_at - now), 3) if lease.holder.token else 0.0}
                for name, lease in self._leases.items()
            ]  # fmt: skip
        with self._replica.lock:
            state = self._replica.state
            leases = [
                {"name": name, "holder": lease.holder, "ttl_s": lease.ttl / 1e3, "token": lease.token,
                 "held": lease.held, "newest": state.tables["fences"].get(name, 0)}
                for name, lease in sorted(state.tables["leases"].items())
            ]  # fmt: skip
            applied, refused = state.applied, state.rejected_stale
        return {"here": local, "leases": leases, "applied": applied, "refused_stale": refused}

    # Called on the tick thread, which never blocks, so that a task is notified of a loss in time

    def _tick_loop(self) -> None:
        while not self.stopped.wait(self.clock.real(TICK)):
            with self.lock:
                now = self.clock.now()
                due = [(lease, lease.holder.tick(now)) for lease in self._leases.values()]
            for lease, actions in due:
                self._execute(lease, actions)

    def _execute(self, lease: ManagedLease, actions: list[Action]) -> None:
        for action in actions:
            if action in (Action.ACQUIRE, Action.RENEW):
                lease.next_request = action
                lease.request_pending.set()
            elif action is Action.LOST:
                log.event("lease_lost", name=lease.holder.name, token=lease.token)
                lease.on_lost()
            else:
                lease.token = lease.holder.token
                held = HeldLease(self, lease.holder, lease.token)
                log.event("lease_acquired", name=lease.holder.name, token=lease.token)
                try:
                    threads.start(lambda held=held: lease.on_gained(held), f"task-{lease.holder.name}")  # type: ignore[misc]
                except threads.ThreadUnavailableError:  # the task does not run; the lease is renewed or expires
                    continue

    # Called on the request threads: one per lease, as a request may block

    def _request_loop(self, lease: ManagedLease) -> None:
        holder = lease.holder
        while True:
            lease.request_pending.wait()
            lease.request_pending.clear()
            if self.stopped.is_set() or lease.dropped:
                return
            renews = lease.next_request is Action.RENEW
            body: c.Body = c.Acquire(holder.name, self._client, round(holder.ttl * 1e3))
            if renews:
                body = c.Renew(holder.name, lease.token)
            try:
                result = self._replica.write(self._command(body), holder.ttl / 2)
            except (OutcomeUnknownError, UnavailableError):
                result = None
            with self.lock:
                now = self.clock.now()
                if result is None:
                    actions = holder.timed_out(now)
                elif result.ok:
                    actions = holder.granted(now, result.version)
                else:
                    actions = holder.rejected(now)
            self._execute(lease, actions)

    def _command(self, body: c.Body) -> c.Command:
        with self.lock:
            self._sequence += 1
            # concurrent requests of several leases need separate sessions
            return c.Command(f"{self._client}/{self._sequence % MAX_LEASES}", self._sequence, body)

    def _release(self, lease: ManagedLease) -> None:
        """Notify the task of the loss of its lease, and release it."""
        with self.lock:
            token, lease.holder.token = lease.holder.token, 0
        if not token:
            return
        self._execute(lease, [Action.LOST])
        with contextlib.suppress(OutcomeUnknownError, UnavailableError):
            self._replica.write(c.Command("", 0, c.Release(lease.holder.name, token)), RELEASE_TIMEOUT)

    # Called on the replica's thread

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
                    if name in self._leases:
                        self._leases[name].holder.released(now)

    def _reload(self) -> None:
        """Take all grants from the state, which was loaded from disk or from a snapshot."""
        leases = self._replica.state.tables["leases"].items()
        grants = {name: (lease.token, lease.renewed, lease.ttl / 1e3) for name, lease in leases if lease.held}
        self._expiry.replace(self.clock.now(), grants)

    def _expire(self, now: float) -> None:
        """Propose the expiry of the leases that have expired by this leader's clock."""
        for name, token, renewed in self._expiry.expired(now):
            log.event("lease_expired", name=name, token=token)
            self._replica.propose_if_leader(c.encode(c.Command("", 0, c.Expire(name, token, renewed))))
