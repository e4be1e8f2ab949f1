"""`tealwing gossip`: keys, the members that an instance knows, and trials in simulated time or as processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import orjson

from tealwing.commands.base import Finding


@click.group()
def gossip() -> None:
    """Gossip between instances: keys, members, trials."""


@gossip.command()
@click.option("--name", required=True, help="The instance's name.")
@click.option("--out", type=click.Path(file_okay=False), default=".", show_default=True, help="Folder of the key.")
def keygen(name: str, out: str) -> None:
    """Generate a key: write OUT/NAME.key (mode 0600) and print the line `peer NAME KEY` for the operators' files.

    An existing file is not overwritten. To change a key in service: generate the new one in another folder, add its
    peer line at every instance (SIGHUP), then set this instance's `key` to the new file (SIGHUP), then remove the old
    peer line at every instance.

    Example: tealwing gossip keygen --name n0 --out /etc/tealwing
    """
    import msgspec

    from tealwing.gossip import keys
    from tealwing.gossip.messages import Name

    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        raise click.UsageError(
            f"--name: found {name!r}; allowed: at most 32 letters, digits, dots, hyphens and underscores"
        ) from None
    path = Path(out) / f"{name}.key"
    try:
        private = keys.generate()
        keys.write_private(path, private)
    except FileExistsError:
        raise Finding(f"{path}: exists already and was not overwritten; use another folder with --out") from None
    except OSError as error:
        raise Finding(f"{path}: {error.strerror}") from None
    click.echo(f"wrote {path}", err=True)
    click.echo(f"peer {name} {keys.write_public(private.public_key().public_bytes_raw())}")


@gossip.command()
@click.option(
    "--control", "path", type=click.Path(), required=True, help="The socket that the instance's `control` names."
)
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON instead of a table.")
def members(path: str, as_json: bool) -> None:
    """Show the members that a running instance knows, their state and for how many seconds they have had it.

    Example: tealwing gossip members --control /run/tealwing/n0.sock
    """
    from tealwing.gossip import control

    try:
        found = control.query(path)
    except (OSError, orjson.JSONDecodeError) as error:
        raise Finding(f"{path}: no instance answers there ({error})") from None
    if as_json:
        click.echo(orjson.dumps(found).decode())
        return
    click.echo(
        f"{found['name']}: {len(found['members'])} members, health {found['health']}, {found['bytes_sent']} bytes"
        f" sent, rejected {found['rejected'] or 'nothing'}"
    )
    for member in found["members"]:
        click.echo(
            f"  {member['name']:32} {member['state']:8} {member['for_s']:>9.1f} s"
            f"  {member['address']:21} trust {member['trust']:.2f}"
        )


@gossip.command("try")
@click.option(
    "--instances", type=click.IntRange(2, 2000), default=20, show_default=True, help="Members of the cluster."
)
@click.option(
    "--liars",
    type=click.IntRange(0, 1000),
    default=0,
    show_default=True,
    help="Instances that report healthy engines as slow, the slow one as fast and live members as dead.",
)
@click.option(
    "--silent",
    type=click.IntRange(0, 1000),
    default=0,
    show_default=True,
    help="Instances that answer probes but forward nothing.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(5, 3600),
    default=60.0,
    show_default=True,
    help="Time observed after one of eight engines becomes five times slower.",
)
@click.option("--seed", type=click.IntRange(0, 10**9), default=1, show_default=True)
@click.option("--real", is_flag=True, help="Use processes over UDP on loopback, in real time, instead of a simulation.")
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON.")
def attempt(instances: int, liars: int, silent: int, seconds: float, seed: int, real: bool, as_json: bool) -> None:
    """Try gossip: a cluster forms, one engine becomes slow, and the cluster's reaction is observed.

    Times are in seconds, rates in bytes per second. `slow_engine_known_s` is when the last honest instance began to
    avoid the slow engine, `slow_engine_known_alone_s` when it would have done so by its own observations alone. Needs
    the extra `lab`. Exit code 1 if the traffic ceiling was exceeded or a healthy engine was avoided.

    Example: tealwing gossip try --instances 20 --liars 3 --silent 2 --seconds 60 --seed 1 --json
    """
    if liars + silent > instances - 3:
        raise click.UsageError(
            f"--liars {liars} and --silent {silent} of {instances} instances: at least three must remain honest"
        )
    try:
        from tealwing.lab import gossip_trial, processes
    except ImportError as error:
        raise Finding(f"gossip try needs the extra `lab`: pip install 'tealwing[lab]' ({error})") from None
    found: dict[str, Any]
    if real:
        found = processes.run_trial(instances, liars, silent, seconds, seed)
    else:
        found = gossip_trial.run_trial(instances, liars, silent, seconds, seed)
    if as_json:
        click.echo(orjson.dumps(found).decode())
    else:
        for name, value in found.items():
            if name != "summary":
                click.echo(f"{name:32} {value}")
    if found["bytes_per_s_max"] > found["ceiling_bytes_per_s"] or found["healthy_shunned"]:
        raise SystemExit(1)
