"""Start times of engines on a clock that steps of the wall clock do not change; pure.

The coordinator gives the Unix millisecond of an engine's start, and a slow start lasts for a span of real time after
it. Wall clocks may be wrong, here or there, by seconds or by an hour. So a start that has just been listed is believed
only as far as the list itself bounds its age: it can't be older than the time for which the list was not known to lack
nothing, and the moment that discovery takes. Where a claim is outside of that, the engine is held to start now: a cold
engine that is taken to be warm falls over, a warm one that is taken to be cold costs some seconds of its capacity.
"""

from __future__ import annotations

from dataclasses import replace

from tealwing.coordinator.updates import Member

DISCOVERY = 3.0  # s from an engine's start until it is listed, at most: the checks are a second or two apart
EARLY = 0.1  # s by which a start may seem to lie ahead: two machines' clocks are that near
MAX_START_TIMES = 1 << 14  # engines whose start is kept: five times the largest fleet, as replaced ones are new engines
STEPPED = 1.0  # s between two readings of the wall clock that mean a step: slewing is 0.5 ms a second at most


class StartTimes:
    """Converts listed start times; one for a gateway."""

    def __init__(self) -> None:
        self._dated: dict[int, tuple[float, float]] = {}  # by engine: its start as listed, and as converted

    def with_start_time(self, member: Member, now: float, wall: float, unknown: float) -> Member:
        """Return the member with its start on the clock of `now`, Unix time that no step changes.

        wall is the machine's Unix time; unknown the seconds for which the list may have lacked something, infinite
        for what the configuration tells: any age fits that. A start that is told again keeps its date.
        """
        listed = member.entry.started
        if not listed:  # has run for long
            return member
        before = self._dated.get(member.entry.engine)
        if before is not None and before[0] == listed:
            started = before[1]
        else:
            started = now - self._age(listed, now, wall, unknown + DISCOVERY)
            if started + EARLY > listed > started - EARLY:
                started = listed  # the same at all gateways
            self._dated[member.entry.engine] = listed, started
            if len(self._dated) > MAX_START_TIMES:
                del self._dated[next(iter(self._dated))]
        return replace(member, entry=replace(member.entry, started=started))

    def _age(self, listed: float, now: float, wall: float, max_age: float) -> float:
        """Return the seconds since the start by the plausible clock, the smaller of two; 0 if neither is."""
        readings = [now] if abs(wall - now) < STEPPED else [now, wall]
        ages = [reading - listed for reading in readings]
        return max(0.0, min((age for age in ages if -EARLY <= age <= max_age), default=0.0))
