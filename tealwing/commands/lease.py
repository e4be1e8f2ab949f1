"""`tealwing lease`: which gateway holds the lease of each fleet-wide task."""

from __future__ import annotations

import click
import orjson

from tealwing.commands.peers import CONTROL, JSON, call_gateway


@click.group()
def lease() -> None:
    """Leases of tasks that one gateway does for the whole fleet."""


@lease.command("list")
@CONTROL
@JSON
def list_(control: str, as_json: bool) -> None:
    """Show all leases in this gateway's copy of the replicated state, and those that it wants or holds itself.

    Example: tealwing lease list --control 127.0.0.1:7951
    """
    found = call_gateway(control, "lease.list")
    if as_json:
        click.echo(orjson.dumps(found).decode())
        return
    for each in found["leases"]:
        holder = each["holder"] if each["held"] else "nobody"
        click.echo(f"{each['name']:24} held by {holder}, token {each['token']}, time to live {each['ttl_s']:g} s")
    for each in found["here"]:
        held = f"held here, {each['left_s']:.1f} s left" if each["valid"] else "wanted here"
        click.echo(f"{each['name']:24} {held}")
    click.echo(f"actions rejected for an outdated token, by this copy of the state: {found['refused_stale']}")


@lease.command()
@CONTROL
@JSON
@click.argument("name")
def show(control: str, as_json: bool, name: str) -> None:
    """Show the lease NAME.

    Example: tealwing lease show --control 127.0.0.1:7951 sweep-drains
    """
    found = call_gateway(control, "lease.show", name=name)
    if as_json:
        click.echo(orjson.dumps(found).decode())
        return
    granted, local = found["lease"], found["here"]
    if granted is not None:
        state = "held by" if granted["held"] else "free; last held by"
        click.echo(f"{state} {granted['holder']}, token {granted['token']}, newest token {granted['newest']}")
    if local is not None:
        click.echo(
            f"here: {'held' if local['valid'] else 'wanted'}, token {local['token']}, {local['left_s']:.1f} s left"
        )
