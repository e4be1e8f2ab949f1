"""Resolves the selectors of a scenario's step to processes at the time of the step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tealwing.lab.faults.scenario import Step

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

SAME = "same"  # selector: the processes of the previous selector
SITE, SITES = "site:", "sites"  # prefix: all processes of the named site, or of `any`; all links between sites
Pairs = list[tuple[str, str]]


class TargetResolver:
    """Resolves selectors to processes, and remembers those of the last selector for `same`."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._last: list[str] = []

    def names(self, selector: str) -> list[str]:
        """Return the processes that a selector means, at least one."""
        if selector == "all":
            return list(self._trial.names)
        if selector == SAME and self._last:
            return self._last
        if selector.startswith(SITE):
            self._last = self._site(selector.removeprefix(SITE))
        else:
            self._last = [self._one(selector)]
        return self._last

    def _site(self, name: str) -> list[str]:
        sites = self._trial.layout.sites
        if name not in sites:
            name = self._trial.random.choice(sorted(sites)) if sites else ""
        return list(sites.get(name) or [self._one("random")])

    def _one(self, selector: str) -> str:
        trial = self._trial
        if selector in trial.names:
            return selector
        running = [name for name, process in trial.processes.items() if process.running and not process.stopped]
        leader = trial.leader()
        if selector == "leader" and leader:
            return leader
        if selector == "holder" and trial.holder:
            return trial.holder
        if selector == "delegate" and (leaders := trial.samples.leaders()):
            return trial.random.choice(leaders)
        followers = [name for name in running if name != leader] or running or trial.names
        return trial.random.choice(followers if selector == "follower" else running or trial.names)

    def directions(self, step: Step) -> tuple[str, str, Pairs]:
        """Return a step's source and target as the history names them, and all directions from one to the other."""
        trial = self._trial
        if SITES in (step.source, step.target):
            site_of = trial.layout.site_of
            return SITES, SITES, [(a, b) for a in trial.names for b in trial.names if site_of(a) != site_of(b)]
        sources, targets = self.names(step.source), self.names(step.target)
        if sources == targets and len(sources) == 1:
            targets = [next(name for name in trial.names if name != sources[0])]
        within = SITE in step.source + step.target  # between a site and `all`: links within the site are unaffected
        pairs = [(a, b) for a in sources for b in targets
                 if a != b and not (within and trial.layout.site_of(a) == trial.layout.site_of(b))]  # fmt: skip
        source, target = (names[0] if len(names) == 1 else selector
                          for names, selector in ((sources, step.source), (targets, step.target)))  # fmt: skip
        return source, target, pairs

    def groups(self, step: Step) -> list[list[str]]:
        """Return the groups of a partition."""
        trial = self._trial
        if isinstance(step.groups, list):
            return step.groups
        if step.groups == SITES:
            return [sorted(members) for members in trial.layout.sites.values()]
        names = list(trial.names)
        trial.random.shuffle(names)
        half = len(names) // 2
        if step.groups == "leader-minority" and (leader := trial.leader()):
            names.remove(leader)
            names.insert(0, leader)
            return [sorted(names[: max(1, half)]), sorted(names[max(1, half) :])]
        return [sorted(names[:half]), sorted(names[half:])]
