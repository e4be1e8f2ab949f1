"""The score of a run: worth served in time over worth requested, in total, by class and in its worst stretch."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

from tealwing import interface as api
from tealwing.lab.arrivals import Arrivals
from tealwing.lab.harness import RequestOutcomes

STRETCH = 10.0  # s of a stretch, as the operators score it


@dataclass(frozen=True, slots=True)
class Score:
    """Shares of the requested worth that were served; in_time leaves out requests that a level refused."""

    total: float
    worst: float  # in the worst stretch
    by_class: dict[str, float]
    in_time: dict[str, float]  # by class, share of the requests served in time
    shed: dict[str, float]  # by class, share of the requests that a level refused and that were not served

    @property
    def mixed(self) -> float:
        """The operators' score without accounts, weighted 4 : 3 : 2 from the total, worst stretch and worst class."""
        return (0.4 * self.total + 0.3 * self.worst + 0.2 * min(self.by_class.values())) / 0.9


def latency_objectives(arrivals: Arrivals, settings: api.Settings) -> Any:
    """The time by which each request must be answered to count as in time."""
    objective = np.array([cls.latency_objective for cls in settings.classes])[arrivals.cls]
    stretch = np.array([cls.objective_per_work / cls.threads for cls in settings.classes])[arrivals.cls]
    return arrivals.at + objective + stretch * arrivals.work


def count(
    arrivals: Arrivals,
    outcomes: RequestOutcomes,
    settings: api.Settings,
    begin: float = 1.0,
    end: float = np.inf,
    account: int | None = None,
) -> Score:
    """Score the requests that arrived from `begin` to `end`, of one account or of all."""
    counted = (arrivals.at >= begin) & (arrivals.at < end)
    if account is not None:
        counted &= arrivals.account == account
    weight = np.array([cls.priority_weight for cls in settings.classes])[arrivals.cls]
    late_weight = np.array([cls.late_weight_share for cls in settings.classes])[arrivals.cls]
    served = ~np.isnan(outcomes.answered)
    in_time = served & (outcomes.answered <= latency_objectives(arrivals, settings))
    earned = weight * np.where(in_time, 1.0, np.where(served, late_weight, 0.0))

    def share(of: Any) -> float:
        requested = float(weight[of].sum())
        return float(earned[of].sum()) / requested if requested else 1.0

    stretch = ((arrivals.at - begin) // STRETCH).astype(int)
    worst = min((share(counted & (stretch == i)) for i in range(max(int(stretch.max(initial=0)), 1))), default=1.0)
    by_class, timely, shed = {}, {}, {}
    for place, cls in enumerate(settings.classes):
        of = counted & (arrivals.cls == place)
        rejected = ~served & (outcomes.shed > 0)
        admitted = of & ~rejected
        by_class[cls.name] = share(of)
        timely[cls.name] = float(in_time[admitted].mean()) if admitted.any() else 1.0
        shed[cls.name] = float(rejected[of].mean()) if of.any() else 0.0
    return Score(share(counted), worst, by_class, timely, shed)
