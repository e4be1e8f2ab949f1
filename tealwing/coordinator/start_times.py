"""Start times of engines on a clock that steps of the wall clock do not change.

The coordinator lists an engine's start as Unix milliseconds, and slow start lasts for a span of real time after it.
Wall clocks, of the gateway or of others, may be wrong by seconds or by an hour. A new start time is therefore trusted
only within the bound that the list gives: an engine can't be older than the time since the list was last known to be
complete, plus the delay of discovery. Outside of that bound the engine is assumed to start now: a cold engine that is
taken for a warm one collapses under load, while a warm one that is taken for a cold one costs some seconds of its
capacity.
"""

from __future__ import annotations

from dataclasses import replace

from tealwing.coordinator.updates import Member

MAX_DISCOVERY_DELAY = 3.0  # s from an engine's start until it is listed; health checks are 1 to 2 s apart
MAX_CLOCK_SKEW = 0.1  # s by which a start may lie in the future, as two machines' clocks differ
MAX_START_TIMES = 1 << 14  # engines whose start is kept; 5 times the largest fleet, as each replacement is a new engine
MIN_CLOCK_STEP = 1.0  # s between the two clocks that mean a step; slewing is at most 0.5 ms a second


class StartTimes:
    """Converts the listed start times of a gateway's engines, and remembers them."""

    def __init__(self) -> None:
        self._converted: dict[int, tuple[float, float]] = {}  # by engine: its start as listed, and as converted

    def with_start_time(self, member: Member, now: float, wall: float, list_age: float) -> Member:
        """Return the member with its start on the clock of `now`, a Unix time that no step changes.

        wall is the machine's Unix time. list_age is the number of seconds since the list was last known to be complete;
        it is infinite for cached events of the configuration, which allow any age. A start that is listed again keeps
        its converted time.
        """
        listed = member.entry.started
        if not listed:  # the engine has run for long
            return member
        before = self._converted.get(member.entry.engine)
        if before is not None and before[0] == listed:
            started = before[1]
        else:
            started = now - self._age(listed, now, wall, list_age + MAX_DISCOVERY_DELAY)
            if started + MAX_CLOCK_SKEW > listed > started - MAX_CLOCK_SKEW:
                started = listed  # so that all gateways use the same start time
            self._converted[member.entry.engine] = listed, started
            if len(self._converted) > MAX_START_TIMES:
                del self._converted[next(iter(self._converted))]
        return replace(member, entry=replace(member.entry, started=started))

    def _age(self, listed: float, now: float, wall: float, max_age: float) -> float:
        """Return the smallest plausible age in seconds by the clocks; 0 if no clock gives a plausible one."""
        readings = [now] if abs(wall - now) < MIN_CLOCK_STEP else [now, wall]
        ages = [reading - listed for reading in readings]
        return max(0.0, min((age for age in ages if -MAX_CLOCK_SKEW <= age <= max_age), default=0.0))
