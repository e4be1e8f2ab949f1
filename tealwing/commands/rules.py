"""`tealwing rules`: versions of the rules, each of which takes effect on every gateway or on none."""

from __future__ import annotations

import getpass
import time
from pathlib import Path
from typing import Any

import click
import orjson

from tealwing.commands.base import FILE, Finding
from tealwing.commands.peers import CONTROL, JSON, call_gateway

MAX_BUNDLE_BYTES = 256 * 1024  # bytes of a bundle's file
MAX_WAIT = 600.0  # s that `propose` may wait for the outcome
POLL_INTERVAL = 0.1  # s between two queries for the phase of a proposed version
PENDING_PHASES = ("proposed", "checked", "preparing", "agreed")  # phases in which the outcome is still open
WHO = click.option("--who", metavar="NAME", help="Author of the change; default: the name of the user.")
REMEDIES = {  # by final phase of a version that is not in force
    "rejected": "correct what the gateways name, and propose again",
    "aborted": "see `tealwing rules status` for the missing gateway; restart it or remove it, and propose again",
    "withdrawn": "nothing has changed; propose again if the change is still wanted",
    "superseded": "nothing; the version was in force, and a later one has replaced it",
}


@click.group()
def rules() -> None:
    """The rules by which gateways decide: one version is in force at a time, on all gateways or on none."""


def _user(who: str | None) -> str:
    if who:
        return who
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        raise click.UsageError("--who: this user has no name; give the author's name with --who") from None


def _bundle(path: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_BUNDLE_BYTES + 1)
    except OSError as error:
        raise Finding(f"{path}: {error.strerror}; allowed: a readable bundle of rules") from None
    if len(data) > MAX_BUNDLE_BYTES:
        raise Finding(f"{path}: more than {MAX_BUNDLE_BYTES} bytes; allowed: at most {MAX_BUNDLE_BYTES}")
    return data


def _version_lines(version: dict[str, Any]) -> str:
    """Return the text of a version: a line for the version, its outcome, and a line for each gateway's verdict."""
    lines = [f"version {version['number']}: {version['phase']}, based on version {version['parent']}; proposed by"
             f" {version['who']}"
             + (f": {version['why']}" if version["why"] else "")]  # fmt: skip
    if version["outcome"]:
        lines.append(f"  {version['outcome']}")
    for name, verdict in sorted(version["said"].items()):
        answer = "yes" if verdict["yes"] else "NO"
        lines.append(f"  {name:32} {answer}" + (f": {verdict['reason']}" if verdict["reason"] else ""))
    return "\n".join(lines)


@rules.command()
@CONTROL
@JSON
@WHO
@click.option("--why", required=True, metavar="TEXT", help="Reason for the change; stored with the version.")
@click.option(
    "--parent", type=click.IntRange(0), help="Version that the bundle is based on; default: the one in force."
)
@click.option("--wait", default=30.0, show_default=True, type=click.FloatRange(0, MAX_WAIT), metavar="S",
              help="Seconds to wait for the outcome.")  # fmt: skip
@click.argument("file", type=FILE)
def propose(control: str, as_json: bool, who: str | None, why: str, parent: int | None, wait: float, file: str) -> None:
    """Propose the bundle in FILE as the next version, and wait for the outcome.

    Exit code 0 only if the version is in force; otherwise the command prints which gateways rejected it and why.
    Stopping the command does not stop the change: `withdraw` does, as long as no gateway has closed for the version.

    Example: tealwing rules propose --control 127.0.0.1:7951 --why "loads to upington" rules.toml
    """
    text, end = _bundle(file), time.monotonic() + wait
    fields: dict[str, Any] = {} if parent is None else {"parent": parent}
    found = call_gateway(control, "rules.propose", 15.0, text=text, why=why, who=_user(who), wait_s=10.0, **fields)
    if found["word"] != "ok":
        raise Finding(f"{found['word']}: {found['why']}")
    number = found["number"]
    version: dict[str, Any] = {"number": number, "phase": "proposed"}
    while True:
        try:
            version = call_gateway(control, "rules.show", number=number)
        except Finding as error:  # the gateway may be restarting, and the change continues without it
            if time.monotonic() >= end:
                raise Finding(
                    f"version {number}: outcome unknown, the gateway does not answer: {error}; see"
                    " `tealwing rules status`"
                ) from None
        if version["phase"] not in PENDING_PHASES or time.monotonic() >= end:
            break
        time.sleep(POLL_INTERVAL)
    if as_json:
        click.echo(orjson.dumps(version).decode())
    elif version["phase"] == "active":
        click.echo(f"version {number} is in force on every gateway")
    if version["phase"] == "active":
        return
    if as_json:
        raise SystemExit(1)
    if version["phase"] in PENDING_PHASES:
        raise Finding(
            f"{_version_lines(version)}\nnot decided within {wait:g} s; the change continues: see"
            " `tealwing rules status`, or withdraw it"
        )
    raise Finding(f"{_version_lines(version)}\nwhat to do: {REMEDIES[version['phase']]}")


@rules.command()
@CONTROL
@JSON
def status(control: str, as_json: bool) -> None:
    """Show the version in force, the change in progress and what it waits for, the members, and this gateway's gate.

    Example: tealwing rules status --control 127.0.0.1:7951
    """
    found = call_gateway(control, "rules.status")
    if as_json:
        click.echo(orjson.dumps(found).decode())
        return
    gate, flight = found["gate"], found["in_flight"]
    click.echo(f"version {found['active']} is in force, {found['in_force']} here; gate {gate['mode']}"
               + (f": {gate['reason']}" if gate["reason"] else ""))  # fmt: skip
    if found["permit_left_s"] is not None:
        click.echo(f"permit: {found['permit_left_s']:.1f} s left")
    if found["broken"]:
        click.echo(f"BROKEN: {found['broken']}")
    if flight is not None:
        click.echo(f"in progress for {flight['for_s']:.1f} s: {_version_lines(flight)}")
        if flight["waits_for"]:
            click.echo(f"  waits for {', '.join(flight['waits_for'])}")
    for member in found["members"]:
        expired = f"; permit expired{', confirmed' if member['over'] else ''}" if member["lapsed"] else ""
        click.echo(f"  {member['name']:32} {member['lost_touch']}, build {member['build']}; closed for version"
                   f" {member['closed'] or 'none'}{expired}")  # fmt: skip


@rules.command()
@CONTROL
@JSON
@WHO
@click.option("--why", default="", metavar="TEXT", help="Reason for the withdrawal.")
@click.argument("number", type=click.IntRange(1))
def withdraw(control: str, as_json: bool, who: str | None, why: str, number: int) -> None:
    """Withdraw version NUMBER before any gateway has closed for it.

    Example: tealwing rules withdraw --control 127.0.0.1:7951 7
    """
    found = call_gateway(control, "rules.withdraw", 15.0, number=number, who=_user(who), why=why, wait_s=10.0)
    if found["word"] != "ok":
        raise Finding(f"{found['word']}: {found['why']}")
    click.echo(orjson.dumps(found).decode() if as_json else f"version {number} is withdrawn")
