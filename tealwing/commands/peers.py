"""`tealwing peers`: which peers a gateway receives messages from, and whether a peer answers."""

from __future__ import annotations

from typing import Any

import click
import orjson

from tealwing.commands.base import Finding


def call_gateway(control: str, call: str, limit: float = 5.0, **fields: Any) -> dict[str, Any]:
    """Return the reply to a call of a gateway's control address (HOST:PORT); raise a Finding if the call fails."""
    from tealwing.conf import values
    from tealwing.peers.control import RemoteCallError, call_control

    try:
        address = values.address((control,))
    except values.InvalidValueError as error:
        raise click.UsageError(f"--control: found {control!r}; allowed: {error}") from None
    try:
        return call_control(address, call, limit, **fields)
    except RemoteCallError as error:
        raise Finding(f"{control}: {error}") from None
    except OSError as error:
        raise Finding(f"{control}: no gateway answers there ({error})") from None


CONTROL = click.option(
    "--control", required=True, metavar="HOST:PORT", help="The gateway's address `control` in its section `peers`."
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print one line of JSON.")


@click.group()
def peers() -> None:
    """The links between gateways."""


@peers.command()
@CONTROL
@JSON
def status(control: str, as_json: bool) -> None:
    """Show the state of a gateway's peers, the time since the last message of each, and message counts.

    Example: tealwing peers status --control 127.0.0.1:7951
    """
    found = call_gateway(control, "status")
    if as_json:
        click.echo(orjson.dumps(found).decode())
        return
    click.echo(f"{found['name']} of fleet {found['fleet']}")
    for peer in found["peers"]:
        silence = "no message yet" if peer["silence_s"] is None else f"silent for {peer['silence_s']:.1f} s"
        click.echo(f"  {peer['name']:32} {peer['state']:8} {peer['for_s']:>9.1f} s  {silence}; sent {peer['sent']},"
                   f" received {peer['received']}, dropped {peer['dropped']}, dials {peer['dials']}")  # fmt: skip


@peers.command()
@CONTROL
@JSON
@click.argument("name")
def ping(control: str, as_json: bool, name: str) -> None:
    """Have a gateway ping its peer NAME, and show the round-trip time.

    Example: tealwing peers ping --control 127.0.0.1:7951 n2
    """
    found = call_gateway(control, "ping", to=name, text="ping", wait_s=2.0)
    if as_json:
        click.echo(orjson.dumps(found).decode())
    else:
        click.echo(f"{found['by']} answered in {found['took_ms']:.1f} ms")
