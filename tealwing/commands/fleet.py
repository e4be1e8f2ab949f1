"""`tealwing fleet`: trials of several real processes under injected faults."""

from __future__ import annotations

from pathlib import Path

import click
import orjson

from tealwing import log
from tealwing.commands.base import Finding


@click.group()
def fleet() -> None:
    """Trials of several processes of the program under injected faults."""


@fleet.command("list")
@click.option("--json", "as_json", is_flag=True, help="One line of JSON per scenario.")
def list_(as_json: bool) -> None:
    """List the scenarios that are part of the program.

    Example: tealwing fleet list
    """
    from tealwing.lab.faults import scenario

    for name in scenario.names():
        found = scenario.load(name)
        if as_json:
            summary = {"name": name, "load": found.workload, "title": found.title, "about": found.about}
            click.echo(orjson.dumps(summary).decode())
        else:
            click.echo(f"{name:22} {found.workload:9} {found.title}")


@fleet.command("try")
@click.argument("name", metavar="SCENARIO")
@click.option("--procs", type=click.IntRange(2, 32), default=5, show_default=True, help="Processes of the program.")
@click.option("--seconds", type=click.FloatRange(3, 3600), default=20.0, show_default=True,
              help="Duration of load and faults; the recovery after them takes additional time.")  # fmt: skip
@click.option("--seed", type=click.IntRange(0, 10**9), default=1, show_default=True)
@click.option("--out", type=click.Path(file_okay=False), help="Folder for history, logs and report; new or empty.")
@click.option("--sabotage", default="", help="Inject a defect, to see that a check finds it; `help` lists the defects.")
@click.option("--lost-touch", type=click.Choice(["serve", "hold"]), default="serve", show_default=True,
              help="With the load `rules`: whether gateways that are cut off serve requests or hold them.")  # fmt: skip
@click.option("--sites", type=click.IntRange(0, 16), default=0, show_default=True,
              help="With the load `rules`: number of federated sites; 0: no federation.")  # fmt: skip
@click.option("--learners", type=click.IntRange(0, 29), default=0, show_default=True,
              help="Number of processes that follow the replicated log without a vote.")  # fmt: skip
@click.option("--json", "as_json", is_flag=True, help="Print the results as one line of JSON.")
def attempt(
    name: str,
    procs: int,
    seconds: float,
    seed: int,
    out: str | None,
    sabotage: str,
    lost_touch: str,
    sites: int,
    learners: int,
    as_json: bool,
) -> None:
    """Run SCENARIO, a name of `tealwing fleet list` or a .toml file, on real processes over loopback.

    Every peer link goes through a proxy that injects the scenario's faults. Afterwards the history of all operations
    is checked; exit code 1 if a check finds a violation. Needs the extra `lab`.

    Example: tealwing fleet try partition-halves --procs 5 --seconds 20 --seed 1 --json --out /tmp/trial
    """
    try:
        from tealwing.lab.faults import scenario
        from tealwing.lab.rig import runs
    except ImportError as error:
        raise Finding(f"fleet try needs the extra `lab`: pip install 'tealwing[lab]' ({error})") from None
    if sabotage and sabotage not in runs.SABOTAGES:
        lines = [f"  {key:16} {effect}" for key, effect in sorted(runs.SABOTAGES.items())]
        raise click.UsageError(f"--sabotage: found {sabotage}; allowed:\n" + "\n".join(lines))
    log.logger.disabled = True  # the gateways log to files of their own; this process's log would mix with the results
    directory = Path(out) if out is not None else None
    if directory is not None and directory.exists() and any(directory.iterdir()):
        raise click.UsageError(f"--out: {out} exists and is not empty; allowed: a new or empty directory")
    try:
        found = runs.run_trial(
            scenario.load(name), procs, seconds, seed, directory, sabotage, lost_touch, sites, learners
        )
    except (scenario.ScenarioError, ValueError, RuntimeError, OSError) as error:
        raise Finding(str(error)) from None
    for violation in found.violations[:20]:
        click.echo(str(violation), err=True)
    if as_json:
        click.echo(orjson.dumps(found.summary).decode())
    else:
        for key, value in found.summary.items():
            click.echo(f"{key:24} {value}")
        if directory is not None:
            click.echo(f"report: {directory / 'report.html'}")
    if found.violations:
        raise SystemExit(1)
