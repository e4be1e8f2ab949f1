"""`tealwing gossip`: keys, the members that an instance knows, and trials in virtual time or as processes."""

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
    """Make a key: writes OUT/NAME.key (mode 0600) and prints the line `peer NAME KEY` for the operators' files.

    A file that is there stays. To change a key in service: make the new one in another folder, add its peer line at
    every instance (SIGHUP), then let this instance's `key` name the new file (SIGHUP), then take the old line away.

    Example: tealwing gossip keygen --name n0 --out /etc/tealwing
    """
    import msgspec

    from tealwing.gossip import keys
    from tealwing.gossip.messages import Name

    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        raise click.UsageError(
            f"--name: found {name!r}; allowed: 32 letters, digits, dots, hyphens and underscores"
        ) from None
    path = Path(out) / f"{name}.key"
    try:
        private = keys.generate()
        keys.write_private(path, private)
    except FileExistsError:
        raise Finding(f"{path}: it is there already, and stays") from None
    except OSError as error:
        raise Finding(f"{path}: {error.strerror}") from None
    click.echo(f"wrote {path}", err=True)
    click.echo(f"peer {name} {keys.write_public(private.public_key().public_bytes_raw())}")


@gossip.command()
@click.option("--control", "path", type=click.Path(), required=True, help="The socket that its `control` names.")
@click.option("--json", "as_json", is_flag=True, help="One line of JSON in place of a table.")
def members(path: str, as_json: bool) -> None:
    """Ask a running instance which members it knows, in which state and for how many seconds.

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
@click.option("--instances", type=click.IntRange(2, 2000), default=20, show_default=True)
@click.option(
    "--liars",
    type=click.IntRange(0, 1000),
    default=0,
    show_default=True,
    help="Accuse engines that are well, praise the slow one, call live members dead.",
)
@click.option(
    "--silent", type=click.IntRange(0, 1000), default=0, show_default=True, help="Answer probes and pass nothing on."
)
@click.option(
    "--seconds",
    type=click.FloatRange(5, 3600),
    default=60.0,
    show_default=True,
    help="Watched after one engine of eight has grown five times slower.",
)
@click.option("--seed", type=click.IntRange(0, 10**9), default=1, show_default=True)
@click.option("--real", is_flag=True, help="Processes over UDP on loopback, in real time.")
@click.option("--json", "as_json", is_flag=True, help="One line of JSON.")
def attempt(instances: int, liars: int, silent: int, seconds: float, seed: int, real: bool, as_json: bool) -> None:
    """Try gossip out: a cluster joins, one engine grows slow, and the rest is watched.

    Times are seconds, rates bytes a second. `slow_engine_known_s` is when the last honest instance leaned away from
    the slow engine, `slow_engine_known_alone_s` when it would have by what it saw itself. Needs the extra `lab`.
    Exit code 1 where the ceiling was passed or a healthy engine shunned.

    Example: tealwing gossip try --instances 20 --liars 3 --silent 2 --seconds 60 --seed 1 --json
    """
    if liars + silent > instances - 3:
        raise click.UsageError("--liars and --silent together must leave three instances honest")
    try:
        from tealwing.lab import gossip_trial, processes
    except ImportError as error:
        raise Finding(f"gossip try needs the extra lab: pip install 'tealwing[lab]' ({error})") from None
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
