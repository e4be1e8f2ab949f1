"""Runs one trial from its scenario to its figures, for `tealwing fleet try` and the tests."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tealwing.lab.faults.scenario import Scenario
from tealwing.lab.faults.scenario import injection_point as load_injection_point
from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig import layouts, report
from tealwing.lab.rig.history import Event
from tealwing.lab.rig.loads.base import Load
from tealwing.lab.rig.loads.echo import EchoLoad
from tealwing.lab.rig.loads.lease import LeaseLoad
from tealwing.lab.rig.loads.power import PowerLoad
from tealwing.lab.rig.loads.register import RegisterLoad
from tealwing.lab.rig.loads.rules.load import RulesLoad
from tealwing.lab.rig.trial import Trial, write_json

LOADS: dict[str, Callable[[], Load]] = {
    "echo": EchoLoad,
    "register": RegisterLoad,
    "lease": LeaseLoad,
    "power": PowerLoad,
    "rules": RulesLoad,
}
# Deliberate defects that a judge must find, built into the trial before its load begins
SABOTAGES = {
    "leaky-cut": "the proxy forwards frames through a cut",
    "lying-echo": "one process echoes another text than it was sent",
    "careless": "tasks go on after their lease is lost, and the resource has to reject their actions",
    "no-fence": "tasks go on after their lease is lost, and the resource accepts any action",
    **layouts.RULES_SABOTAGES,
}


class TrialResult:
    """The figures, violations and events of one trial."""

    def __init__(self, summary: dict[str, Any], violations: list[Violation], events: list[Event]) -> None:
        self.summary, self.violations, self.events = summary, violations, events


def run_trial(
    scenario: Scenario,
    procs: int,
    seconds: float,
    seed: int,
    out: Path | None = None,
    sabotage: str = "",
    lost_touch: str = "serve",
    sites: int = 0,
    learners: int = 0,
    injection_point: str = "",
) -> TrialResult:
    """Run the trial; out: folder for history, logs and report, None to keep none.

    lost_touch: partition mode of the gateways under the load `rules`, `serve` or `hold`. sites: number of sites of the
    federation; 0 for none. learners: number of processes that follow the log without a vote. injection_point: the
    sabotage whose injection point is forced; by default that of `sabotage`, if it has one. Named without a sabotage,
    it is forced on unchanged processes.
    """
    _check_options(scenario, procs, sites, sabotage)
    if learners and (sites or scenario.workload == "echo" or procs - learners < 3):
        raise ValueError(
            f"--learners: {learners}; allowed: up to --procs - 3, so that three processes vote, for a load with a"
            " replicated log (not echo) and without --sites"
        )
    begun = time.monotonic()
    load = LOADS[scenario.workload]()
    if isinstance(load, LeaseLoad):
        load.careless, load.fenced = sabotage in ("careless", "no-fence"), sabotage != "no-fence"
    elif isinstance(load, RulesLoad):
        load = RulesLoad(lost_touch, layouts.FEDERATION_LIMIT if sites else layouts.RULES_LIMIT)
    names = [f"n{number}" for number in range(procs)]
    layout = layouts.layout(scenario.workload, names, lost_touch, sites, sabotage, learners)
    injection_point = injection_point or (sabotage if sabotage in layouts.RULES_SABOTAGES else "")
    forced = load_injection_point(injection_point) if injection_point else None
    with Trial(scenario, procs, seconds, seed, out, layout, injection_point=forced) as trial:
        trial.start()
        _apply_sabotage(trial, sabotage)
        trial.run(load)
        events, end = trial.history.events, trial.ended
        violations = [violation for checker in load.checkers for violation in checker(events, end)]
        violations += [Violation("log", end, what) for what in trial.fault_lines()]
        violations += [Violation("rig", end, what) for what in trial.problems]
        violations += [
            Violation("settled", e["t"], "the processes did not all reconnect after all faults were healed")
            for e in events
            if e["kind"] == "never-settled"
        ]
        violations.sort(key=lambda violation: violation.at)
        summary: dict[str, Any] = {
            "scenario": scenario.title,
            "procs": procs,
            "seconds": seconds,
            "seed": seed,
            "faults": trial.fault_log.count,
            **load.summary(events),
            "violations": len(violations),
            "frames": trial.proxy.counts["frames"],
            "frames_dropped": trial.proxy.counts["dropped"],
            "took_s": round(time.monotonic() - begun, 1),
        }
        if out is not None:
            write_json(out / "figures.json", summary)
            write_json(out / "violations.json", [str(violation) for violation in violations])
            report.write(
                out / "report.html", scenario.title, scenario.about, summary, violations, events, trial.names, end
            )
        return TrialResult(summary, violations, events)


def _check_options(scenario: Scenario, procs: int, sites: int, sabotage: str) -> None:
    if procs < scenario.least_procs:
        raise ValueError(f"--procs: {procs}; the scenario needs {scenario.least_procs} or more")
    if sites and (scenario.workload != "rules" or not 3 <= sites <= len(layouts.ZONES) or procs < 3 * sites):
        raise ValueError(f"--sites: {sites}; allowed: 0 for none, or 3 to {len(layouts.ZONES)} with three processes or"
                         " more per site and a scenario with the load rules")  # fmt: skip
    if sites < scenario.least_sites:
        raise ValueError(f"--sites: {sites}; the scenario needs {scenario.least_sites} or more")
    if sabotage and sabotage not in SABOTAGES:
        raise ValueError(f"--sabotage: {sabotage!r}; allowed: {', '.join(sorted(SABOTAGES))}")
    if sabotage in layouts.RULES_SABOTAGES and scenario.workload != "rules":
        raise ValueError(
            f"--sabotage: {sabotage} needs a scenario with the load rules; this one has {scenario.workload}"
        )


def _apply_sabotage(trial: Trial, sabotage: str) -> None:
    if sabotage == "leaky-cut":
        trial.proxy.leaky = True
    elif sabotage == "lying-echo":
        caller = trial.caller(trial.names[-1])
        caller.call("fault.echo", lie=True)
        caller.close()
