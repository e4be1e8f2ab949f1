"""`tealwing demo`: a whole deployment on this machine, with an engine crash, a drain and a slow engine."""

from __future__ import annotations

from typing import Any

import click
import orjson

from tealwing.commands.base import Finding


@click.command()
@click.option("--seconds", type=click.FloatRange(5, 3600), default=30.0, show_default=True,
              help="Duration of the load.")  # fmt: skip
@click.option("--seed", type=click.IntRange(0, 10**6), default=1, show_default=True, help="Seed of the random load.")
@click.option("--plain", is_flag=True, help="Print lines instead of a live table.")
def demo(seconds: float, seed: int, plain: bool) -> None:
    """Run a coordinator, 8 simulated engines, 3 gateways and clients on loopback.

    One engine crashes after a quarter of the time and restarts with a cold cache, one drains, and one runs five times
    slower for a while. The last line is JSON: the numbers of requests sent (asked), served, refused and failed, the
    number of rule violations (rules_broken), and in_time, the share of requests served within their latency objective.
    Requires the extra `lab`. Exit code 1 if a rule was violated.

    Example: tealwing demo --seconds 20 --plain
    """
    try:
        from rich.live import Live
        from rich.table import Table

        from tealwing.lab import demo as module
    except ImportError as error:
        raise Finding(f"demo needs the extra `lab`: pip install 'tealwing[lab]' ({error})") from None
    run = module.Demo(seconds, seed)
    addresses = run.start()
    for host, port in addresses:
        click.echo(f"a gateway for MySQL clients: {host}:{port}, user app, no password, database reports")

    def table(state: Any) -> Table:
        found = Table(title=f"{state.seconds:5.1f} s   {state.note}")
        for head in ("engine", "state", "queries in flight"):
            found.add_column(head)
        for name, engine_state, in_flight in state.engines:
            found.add_row(name, engine_state, str(in_flight))
        found.caption = ", ".join(f"{outcome} {n}" for outcome, n in sorted(state.ends.items()))
        return found

    if plain:
        for number, state in enumerate(run.run(addresses)):
            if number % 10 == 0:
                in_flight = " ".join(f"{name}:{count}" for name, _, count in state.engines)
                click.echo(f"{state.seconds:6.1f} s  {state.ends}  {in_flight}  {state.note}")
    else:
        with Live(refresh_per_second=4) as live:
            for state in run.run(addresses):
                live.update(table(state))
    found = run.end()
    click.echo(orjson.dumps(found).decode())
    if found["rules_broken"]:
        raise SystemExit(1)
