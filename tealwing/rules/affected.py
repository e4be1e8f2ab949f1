"""Which requests a change of the rules affects, and which must therefore wait while the gate is closed for it; pure.

In doubt, all requests are affected: a needless wait costs milliseconds, while a request decided under the old version
after the new one is in force violates the guarantee.
"""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.routing.diff import Ranges, changed_groups
from tealwing.rules.bundle import EMPTY, Bundle, Class, table

NO_OVERRIDE = Class()


@dataclass(frozen=True, slots=True)
class AffectedRequests:
    """The affected requests: those of these classes and those for these table groups; or all requests.

    No tenant is affected alone: service levels admit each tenant by its quota relative to all others.
    """

    everything: bool = False
    classes: frozenset[str] = frozenset()
    groups: Ranges = Ranges()  # noqa: RUF009 -- Ranges is immutable

    def includes(self, cls: str, tenant: str, group: int) -> bool:
        """Return whether a request of that class and tenant, for that group, must wait."""
        return self.everything or cls in self.classes or self.groups.contains(group)


ALL_REQUESTS = AffectedRequests(everything=True)


def affected_requests(old: Bundle | None, new: Bundle) -> AffectedRequests:
    """Return the requests that a change between two bundles affects; old is None before the first version."""
    old = old or EMPTY
    if (old.attempts, old.levels, _shares(old)) != (new.attempts, new.levels, _shares(new)):
        return ALL_REQUESTS
    classes = set()
    for name in old.classes.keys() | new.classes.keys():
        before, after = old.classes.get(name, NO_OVERRIDE), new.classes.get(name, NO_OVERRIDE)
        # classes are ranked by their weights relative to each other
        if before.priority_weight != after.priority_weight:
            return ALL_REQUESTS
        if before != after:
            classes.add(name)
    return AffectedRequests(False, frozenset(classes), changed_groups(table(old), table(new)))


def _shares(bundle: Bundle) -> dict[str, float]:
    return {name: override.share for name, override in bundle.tenants.items() if override.share is not None}
