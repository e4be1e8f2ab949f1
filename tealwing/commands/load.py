"""`tealwing load`: open-loop load on running gateways."""

from __future__ import annotations

import click
import orjson

from tealwing.commands.base import Finding


@click.command()
@click.argument("gateways", nargs=-1, required=True)
@click.option(
    "--rate", type=click.FloatRange(0.1, 100_000), default=50.0, show_default=True, help="Requests per second."
)
@click.option("--seconds", type=click.FloatRange(0.5, 86_400), default=10.0, show_default=True)
@click.option("--sessions", type=click.IntRange(1, 5000), default=64, show_default=True, help="Maximum open sessions.")
@click.option("--seed", type=click.IntRange(0, 10**9), default=1, show_default=True)
@click.option("--burst", type=click.FloatRange(1.0, 100.0), help="Factor on the rate in the middle third.")
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON instead of a table.")
def load(
    gateways: tuple[str, ...], rate: float, seconds: float, sessions: int, seed: int, burst: float | None, as_json: bool
) -> None:
    """Send load to GATEWAYS (HOST:PORT ...), with the standard mix of classes and accounts.

    The load is open-loop: the schedule is drawn in advance and does not wait for answers. Latencies are in
    milliseconds and start at a request's scheduled time. Needs the extra `lab`. Exit code 1 if the tool itself sent
    requests more than 10 ms late (99th percentile), which makes the run invalid.

    Example: tealwing load 127.0.0.1:9090 127.0.0.1:9091 --rate 100 --seconds 30 --burst 2.5
    """
    try:
        from tealwing.lab import arrivals
        from tealwing.lab import load as module
    except ImportError as error:
        raise Finding(f"load needs the extra `lab`: pip install 'tealwing[lab]' ({error})") from None
    try:
        addresses = module.addresses(gateways)
    except ValueError as error:
        raise click.UsageError(f"GATEWAYS: {error}") from None
    shape = arrivals.burst(burst, seconds / 3, seconds / 3) if burst else arrivals.steady
    results = module.Load(module.LoadSpecification(addresses, rate, seconds, sessions, seed, shape)).run()
    click.echo(orjson.dumps(results).decode() if as_json else module.text(results))
    if results["spoilt"]:
        raise SystemExit(1)
