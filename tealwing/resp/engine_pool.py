"""The pool of engines from the coordinator's list, by engine number."""

from __future__ import annotations

import threading

from tealwing import interface, log
from tealwing.connection_reader import ConnectionReader
from tealwing.coordinator.updates import Member
from tealwing.resp.connection import SendFields, Sink, Stream
from tealwing.resp.engine import Engine
from tealwing.resp.errors import ConnectError
from tealwing.resp.quota import UNBOUNDED, ConnectionQuota
from tealwing.sockets import Address


class EnginePool:
    """The engines at their current addresses; a changed address or process gets new connections."""

    def __init__(self, limits: interface.Limits, max_connections: int = UNBOUNDED) -> None:
        """Create an empty pool with at most max_connections open at once, to all engines together."""
        self._limits = limits
        self._quota = ConnectionQuota(max_connections, self._close_least_recently_used)
        self._lock = threading.Lock()
        self._engines: dict[int, tuple[Member, Engine]] = {}
        self._by_address: dict[Address, int] = {}  # number of the engine that came up last at each address
        self._reader = ConnectionReader()

    def start(self) -> None:
        """Start the thread that reads all connections. Call before the first request."""
        self._reader.start()

    def set_limits(self, limits: interface.Limits) -> None:
        """Set the limits of all engines, from the active settings."""
        with self._lock:
            self._limits = limits
            engines = [engine for _, engine in self._engines.values()]
        for engine in engines:
            engine.set_limits(limits.attempts_per_connection, limits.connect_timeout, limits.idle_timeout)

    def update(self, members: tuple[Member, ...], complete: bool) -> None:
        """Apply an engine list update. Once this returns, nothing more is sent to draining or removed engines."""
        retired: list[Engine] = []
        with self._lock:
            named = {member.entry.engine for member in members}
            gone = [number for number in self._engines if complete and number not in named]
            retired += [self._remove(number) for number in gone]
            for member in members:  # in order: a removal may precede a start of the same engine
                number, health = member.entry.engine, member.entry.health
                before = self._engines.get(number)
                unique = before is None or before[0].name == member.name
                log.check_invariant(unique, "no two engines share a number")
                engine = before[1] if before is not None and _is_same_process(before[0], member) else None
                if before is not None and (engine is None or health is interface.Health.GONE):
                    # the address or the process is new: the old connections must not be used for it
                    retired.append(self._remove(number))
                if health is interface.Health.GONE:
                    continue
                other = self._other_at(member)
                if other is not None:  # one of both has gone, though the list does not say so yet
                    loser = number if self._engines[other][0].entry.started > member.entry.started else other
                    if loser in self._engines:
                        retired.append(self._remove(loser))
                    log.event("engine_replaced", engine=loser, at=f"{member.host}:{member.port}")
                    if loser == number:
                        continue
                engine = engine or self._create_engine(member)
                engine.set_draining(health is interface.Health.DRAINING)
                self._engines[number] = member, engine
                self._by_address[member.host, member.port] = number
        for engine in retired:
            engine.retire()

    def send(
        self, number: int, request_id: bytes, get_fields: SendFields, body: bytes, sink: Sink, limit: float
    ) -> Stream:
        """Send one attempt to the engine of that number. Raises ConnectError if there is none."""
        with self._lock:
            found = self._engines.get(number)
        if found is None:
            raise ConnectError(f"engine {number} has been removed")
        return found[1].send(request_id, get_fields, body, sink, limit)

    def close_idle(self, number: int) -> None:
        """Close the idle connections to an engine."""
        with self._lock:
            found = self._engines.get(number)
        if found is not None:
            found[1].close_idle()

    def _other_at(self, member: Member) -> int | None:
        """Return the number of another engine at the member's address; None if there is none. Call under the lock."""
        number = self._by_address.get((member.host, member.port))
        return None if number == member.entry.engine else number

    def _remove(self, number: int) -> Engine:
        """Remove an engine, and return it for the caller to retire. Call under the lock."""
        member, engine = self._engines.pop(number)
        if self._by_address.get((member.host, member.port)) == number:
            del self._by_address[member.host, member.port]
        return engine

    def _close_least_recently_used(self) -> None:
        """Close the least recently used idle connection: another engine needs its descriptor."""
        with self._lock:
            engines = [engine for _, engine in self._engines.values()]
        idle = [connection for engine in engines for connection in engine.idle_connections()]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close_unused()

    def _create_engine(self, member: Member) -> Engine:
        limits = self._limits
        address = member.host, member.port
        return Engine(
            address,
            limits.attempts_per_connection,
            limits.connect_timeout,
            limits.idle_timeout,
            self._reader.watch,
            self._quota,
        )


def _is_same_process(one: Member, other: Member) -> bool:
    return (one.host, one.port, one.entry.started) == (other.host, other.port, other.entry.started)
