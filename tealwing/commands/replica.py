"""`tealwing replica`: the replicated state of the gateways."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import orjson

from tealwing.commands.base import Finding
from tealwing.commands.peers import CONTROL, JSON, call_gateway


@click.group()
def replica() -> None:
    """The replicated state of the gateways: leader, members, snapshots and stored files."""


def _print_result(found: dict[str, Any], as_json: bool, text: str) -> None:
    click.echo(orjson.dumps(found).decode() if as_json else text)


@replica.command()
@CONTROL
@JSON
def status(control: str, as_json: bool) -> None:
    """Show a member's role, term and leader, and the indices of its log and state.

    Example: tealwing replica status --control 127.0.0.1:7951
    """
    found = call_gateway(control, "replica.status")
    held = ", ".join(f"{count} {name}" for name, count in found["held"].items() if count) or "nothing"
    text = (
        f"{found['role']} in term {found['term']}, led by {found['leader'] or 'nobody'}"
        f"; members {', '.join(found['members'])}\n"
        f"applied {found['applied']}, committed {found['commit']}, log to {found['last']},"
        f" snapshot at {found['snapshot']}; holds {held}"
    )
    if found["unsure"]:
        text += "\nunsure: since its start, this member has not yet caught up with entries that its disk may have lost"
    if found["broken"]:
        text += f"\nBROKEN: {found['broken']}"
    _print_result(found, as_json, text)


@replica.command()
@CONTROL
@JSON
def members(control: str, as_json: bool) -> None:
    """Show the members, and the state of the link to each.

    Example: tealwing replica members --control 127.0.0.1:7951
    """
    found = call_gateway(control, "status")
    if "members" not in found:
        raise Finding(f"{control}: the gateway has no replicated state: its file has no section replica")
    states = {peer["name"]: peer["state"] for peer in found["peers"]} | {found["name"]: "this one"}
    result = {"members": [{"name": name, "state": states.get(name, "unknown")} for name in found["members"]]}
    _print_result(result, as_json, "\n".join(f"{each['name']:32} {each['state']}" for each in result["members"]))


def _change(control: str, change: str, name: str, as_json: bool) -> None:
    found = call_gateway(control, "replica.members", 15.0, change=change, name=name, wait_s=10.0)
    if found["word"] != "ok":
        raise Finding(f"{found['word']}: {found['why']}")
    _print_result(found, as_json, f"members from entry {found['index']} on: {', '.join(found['members'])}")


@replica.command()
@CONTROL
@JSON
@click.argument("name")
def add(control: str, as_json: bool, name: str) -> None:
    """Add the gateway NAME to the members. It must run with `join on`, and every gateway needs a member line for it.

    Example: tealwing replica add --control 127.0.0.1:7951 n5
    """
    _change(control, "add", name, as_json)


@replica.command()
@CONTROL
@JSON
@click.argument("name")
def remove(control: str, as_json: bool, name: str) -> None:
    """Remove the gateway NAME from the members.

    Example: tealwing replica remove --control 127.0.0.1:7951 n1
    """
    _change(control, "remove", name, as_json)


@replica.command()
@CONTROL
@JSON
def snapshot(control: str, as_json: bool) -> None:
    """Have a member write a snapshot now and delete the log entries before it.

    Example: tealwing replica snapshot --control 127.0.0.1:7951
    """
    found = call_gateway(control, "replica.snapshot")
    _print_result(found, as_json, f"a snapshot of entry {found['applied']} or later is being written")


@replica.command()
@click.option("--control", metavar="HOST:PORT", help="Control address of a running gateway.")
@click.option("--folder", type=click.Path(exists=True, file_okay=False), help="Folder of a gateway that does not run.")
@JSON
def verify(control: str | None, folder: str | None, as_json: bool) -> None:
    """Check every record and snapshot on a member's disk.

    An incomplete record at the end of the log is reported but is not damage. Exit code 1 if anything is damaged.

    Example: tealwing replica verify --folder /var/lib/tealwing/replica
    """
    if (control is None) == (folder is None):
        raise click.UsageError("give either --control or --folder, and only one of them")
    if folder is not None:
        from tealwing.replica.storage import store

        result = {"folder": folder, "found": store.verify(Path(folder))}
    else:
        result = call_gateway(str(control), "replica.verify", 60.0)
    _print_result(result, as_json, "\n".join(result["found"]) or f"{result['folder']}: no problems found")
    if any("damaged" in line for line in result["found"]):
        raise SystemExit(1)
