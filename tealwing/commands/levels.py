"""`tealwing levels`: replay of recorded signals, and simulated load that oscillates around the thresholds."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import orjson

from tealwing.commands.base import FILE, Finding, read

if TYPE_CHECKING:
    from tealwing.levels.plan import Plan

MAX_CHANGES = 2  # changes of level in any minute at one gateway; the controller guarantees no more
CONF = click.option("--conf", type=FILE, required=True, help="The operators' file with a section `levels`.")


def plan_of(path: str) -> Plan:
    """Return the plan of a file's section `levels`; raise a Finding if the file has none."""
    record = read(path).records.get("levels")
    if record is None:
        raise Finding(f"{path}: no section levels; add one (`tealwing config manual` describes it)")
    plan: Plan = record
    return plan


def print_json(record: dict[str, Any]) -> None:
    """Write one record as a line of JSON."""
    click.echo(orjson.dumps(record).decode())


@click.group()
def levels() -> None:
    """Reduced service levels: what the plan in a file would do."""


@levels.command()
@CONF
@click.argument("trace", type=click.Path(dir_okay=False, allow_dash=True))
def replay(conf: str, trace: str) -> None:
    """Replay the signals recorded in TRACE (`-` reads standard input) through the plan.

    TRACE has one JSON object per line, `{"at": SECONDS, "signals": {NAME: VALUE}}`, with increasing `at`. Durations
    are in seconds and shares lie between 0 and 1, so that 20% is 0.2. A signal that a line omits has its value without
    traffic, and a line holds until the next. Prints a JSON line for each change of level, then a summary line.

    Example: tealwing levels replay --conf deploy/tealwing.conf flood.jsonl
    """
    from tealwing.levels import replay as module

    plan = plan_of(conf)
    try:
        source = sys.stdin.buffer if trace == "-" else Path(trace).open("rb")  # noqa: SIM115
        with source:
            for record in module.replay(plan, module.read_trace(source)):
                print_json(record)
    except OSError as error:
        raise Finding(f"{trace}: {error.strerror}") from None
    except module.TraceError as error:
        raise Finding(f"{trace}: {error}") from None


@levels.command()
@CONF
@click.option("--seed", type=click.IntRange(0, 10**9), required=True, help="The same seed gives the same output.")
@click.option(
    "--minutes", type=click.FloatRange(0.5, 60), default=5.0, show_default=True, help="Simulated minutes of each run."
)
@click.option("--jobs", type=click.IntRange(1, 256), help="Worker processes; default: the number of processors.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines instead of a table.")
def swing(conf: str, seed: int, minutes: float, jobs: int | None, as_json: bool) -> None:
    """Simulate load that oscillates around each threshold, with the levels on and off for the same arrivals.

    For each level that load can trigger, the load is a square wave, a sawtooth and noise, each with a random period
    from 1 s to 2 min; then come an overload of 2.5 times the usual load and a run of low load. Results: changes of
    level, their maximum in any minute at one gateway, the priority weight served over the weight requested (worth),
    and the share of admitted lookups that met their latency objective. Needs the extra `lab`. Exit code 1 if a level
    changed more than twice in a minute or a rule was broken.

    Example: tealwing levels swing --conf deploy/tealwing.conf --seed 1 --minutes 2 --json
    """
    plan = plan_of(conf)
    try:
        from tealwing.lab import load_swing as module
    except ImportError as error:
        raise Finding(f"levels swing needs the extra `lab`: pip install 'tealwing[lab]' ({error})") from None
    last: dict[str, Any] = {}
    if not as_json:
        click.echo(
            f"{'threshold':20} {'form':9} {'period':>7} {'load':>6} {'changes':>8} {'a minute':>9} {'worth on':>9}"
            f" {'off':>7} {'lookups on':>11} {'off':>7}"
        )
    for last in module.swing(plan, seed, minutes * 60, jobs or os.cpu_count() or 1):
        if as_json:
            print_json(last)
        elif "summary" not in last:
            click.echo(
                f"{last['threshold']:20} {last['form']:9} {last['period_s']:>6g}s {last['load']:>6.2f}"
                f" {last['changes']:>8} {last['changes_per_minute_max']:>9} {last['worth']['on']:>9.4f}"
                f" {last['worth']['off']:>7.4f} {last['lookup_in_time']['on']:>11.4f}"
                f" {last['lookup_in_time']['off']:>7.4f}"
            )
    if not as_json:
        for name in last["not_entered_by_load"]:
            click.echo(f"{name}: load alone does not trigger this level")
        click.echo(
            f"maximum changes in a minute: {last['changes_per_minute_max']}; worth on {last['worth']['on']:.4f}, off"
            f" {last['worth']['off']:.4f}"
        )
    if last["changes_per_minute_max"] > MAX_CHANGES or last["rules_broken"]:
        raise SystemExit(1)
