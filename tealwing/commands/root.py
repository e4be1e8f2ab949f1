"""`tealwing` and its sub-commands: run, check, config, levels. Exit codes: 0, 1 for a finding, 2 for usage."""

from __future__ import annotations

import sys

import click

from tealwing.commands.base import FILE, FINDING, read
from tealwing.conf import render


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="tealwing", message="%(prog)s %(version)s")
def tealwing() -> None:
    """A query gateway. With no command it runs the gateway, as `tealwing run` does.

    Exit codes: 0; 1 for a finding, such as an error in a file; 2 for a call that can't be understood.
    """


@tealwing.command()
@click.option("--conf", type=FILE, help="The operators' file; else $TEALWING_CONF, else none.")
def run(conf: str | None) -> None:
    """Run one gateway in the foreground.

    The platform's settings come from $LB_CONFIG (JSON), $LB_NAME and $LB_LISTEN. SIGHUP reads both files again, and
    SIGTERM drains. The log is standard output, one JSON line an event; times in it are Unix seconds.

    Example: LB_CONFIG=config.json tealwing run --conf deploy/tealwing.conf
    """
    import os

    from tealwing import service

    sys.exit(service.gateway(conf or os.environ.get("TEALWING_CONF") or None))


@tealwing.command()
@click.argument("file", type=FILE)
def check(file: str) -> None:
    """Check the operators' FILE: every error with its file, line and directive, what was found and what is allowed.

    Exit code 1 where there is an error.

    Example: tealwing check deploy/tealwing.conf
    """
    conf = read(file)
    click.echo(f"{file}: good; sections: {', '.join(conf.blocks) or 'none'}")


@tealwing.group()
def config() -> None:
    """The operators' file."""


@config.command()
@click.argument("file", type=FILE)
def show(file: str) -> None:
    """Print FILE as it would hold, its includes in place and with all defaults; the output is such a file too.

    Example: tealwing config show deploy/tealwing.conf
    """
    click.echo(render.show(read(file)), nl=False)


@config.command()
def manual() -> None:
    """Print the reference of every section and directive, in Markdown; docs/configuration.md holds it.

    Example: tealwing config manual
    """
    click.echo(render.manual(), nl=False)


def main() -> int:
    """Run the command line; the exit code."""
    from tealwing.commands import demo, fleet, gossip, lease, levels, load, peers, replica, rules

    tealwing.add_command(levels.levels)
    tealwing.add_command(gossip.gossip)
    tealwing.add_command(load.load)
    tealwing.add_command(demo.demo)
    tealwing.add_command(fleet.fleet)
    tealwing.add_command(peers.peers)
    tealwing.add_command(replica.replica)
    tealwing.add_command(lease.lease)
    tealwing.add_command(rules.rules)
    try:
        tealwing.main(prog_name="tealwing")
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else FINDING
    return 0
