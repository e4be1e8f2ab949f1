"""What a change of the rules touches: which requests have to wait while it closes; pure.

In doubt everything: a request that waits for nothing costs milliseconds, one that is decided under the old rules after
the new ones hold breaks what this is for.
"""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.routing.diff import Ranges, changed_groups
from tealwing.rules.bundle import EMPTY, Bundle, Class, table

NOTHING = Class()


@dataclass(frozen=True, slots=True)
class Touch:
    """Requests of these classes, and those for these groups of tables; or every one.

    No account is touched alone: service levels admit each by its share beside all the others'.
    """

    everything: bool = False
    classes: frozenset[str] = frozenset()
    groups: Ranges = Ranges()

    def hits(self, cls: str, tenant: str, group: int) -> bool:
        """Whether a request of that class and account, for that group, has to wait."""
        return self.everything or cls in self.classes or self.groups.contains(group)


EVERYTHING = Touch(everything=True)


def touched(old: Bundle | None, new: Bundle) -> Touch:
    """What the change from one bundle to another touches; old is None before the first version."""
    old = old or EMPTY
    if (old.attempts, old.levels, _shares(old)) != (new.attempts, new.levels, _shares(new)):
        return EVERYTHING
    classes = set()
    for name in old.classes.keys() | new.classes.keys():
        before, after = old.classes.get(name, NOTHING), new.classes.get(name, NOTHING)
        if before.worth != after.worth:  # a class is ranked by its worth beside the others'
            return EVERYTHING
        if before != after:
            classes.add(name)
    return Touch(False, frozenset(classes), changed_groups(table(old), table(new)))


def _shares(bundle: Bundle) -> dict[str, float]:
    return {name: said.share for name, said in bundle.tenants.items() if said.share is not None}
