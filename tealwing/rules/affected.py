"""What a change of the rules touches: which requests have to wait while it closes; pure.

In doubt everything: a request that waits for nothing costs milliseconds, one that is decided under the old rules after
the new ones hold breaks what this is for.
"""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.routing.diff import Ranges, moved
from tealwing.rules.bundle import EMPTY, Bundle, Class, table

NO_OVERRIDE = Class()


@dataclass(frozen=True, slots=True)
class AffectedRequests:
    """Requests of these classes, and those for these groups of tables; or every one.

    No account is touched alone: service levels admit each by its share beside all the others'.
    """

    everything: bool = False
    classes: frozenset[str] = frozenset()
    groups: Ranges = Ranges()

    def includes(self, cls: str, tenant: str, group: int) -> bool:
        """Whether a request of that class and account, for that group, has to wait."""
        return self.everything or cls in self.classes or self.groups.has(group)


ALL_REQUESTS = AffectedRequests(everything=True)


def affected_requests(old: Bundle | None, new: Bundle) -> AffectedRequests:
    """What the change from one bundle to another touches; old is None before the first version."""
    old = old or EMPTY
    if (old.attempts, old.levels, _shares(old)) != (new.attempts, new.levels, _shares(new)):
        return ALL_REQUESTS
    classes = set()
    for name in old.classes.keys() | new.classes.keys():
        before, after = old.classes.get(name, NO_OVERRIDE), new.classes.get(name, NO_OVERRIDE)
        if before.priority_weight != after.priority_weight:  # a class is ranked by its worth beside the others'
            return ALL_REQUESTS
        if before != after:
            classes.add(name)
    return AffectedRequests(False, frozenset(classes), moved(table(old), table(new)))


def _shares(bundle: Bundle) -> dict[str, float]:
    return {name: override.share for name, override in bundle.tenants.items() if override.share is not None}
