"""`tealwing` and its sub-commands. Exit codes: 0 for success, 1 for a finding, 2 for wrong usage."""

from __future__ import annotations

import sys

import click

from tealwing.commands.base import FILE, FINDING, read
from tealwing.conf import render


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="tealwing", message="%(prog)s %(version)s")
def tealwing() -> None:
    """A query gateway. Without a command it runs the gateway, as `tealwing run` does.

    Exit codes: 0 for success; 1 for a finding, such as an error in a file; 2 for an unknown command or wrong usage.
    """


@tealwing.command()
@click.option("--conf", type=FILE, help="The operators' file; default: $TEALWING_CONF, or none.")
def run(conf: str | None) -> None:
    """Run one gateway in the foreground.

    The platform's settings come from $LB_CONFIG (a JSON file), $LB_NAME and $LB_LISTEN. On SIGHUP the gateway reads
    both files again; on SIGTERM it drains and exits. It logs to standard output, one JSON line per event, with times
    in Unix seconds.

    Example: LB_CONFIG=config.json tealwing run --conf deploy/tealwing.conf
    """
    import os

    from tealwing import service

    sys.exit(service.gateway(conf or os.environ.get("TEALWING_CONF") or None))


@tealwing.command()
@click.argument("file", type=FILE)
def check(file: str) -> None:
    """Check the operators' FILE. Each error is printed with file, line, directive, what was found and what is allowed.

    Exit code 1 if there is an error.

    Example: tealwing check deploy/tealwing.conf
    """
    conf = read(file)
    click.echo(f"{file}: valid; sections: {', '.join(conf.blocks) or 'none'}")


@tealwing.group()
def config() -> None:
    """The operators' file: print it with all defaults, and print its reference."""


@config.command()
@click.argument("file", type=FILE)
def show(file: str) -> None:
    """Print FILE with its includes expanded and all defaults added; the output is itself a valid file.

    Example: tealwing config show deploy/tealwing.conf
    """
    click.echo(render.show(read(file)), nl=False)


@config.command()
def manual() -> None:
    """Print the reference of every section and directive, in Markdown, as docs/configuration.md contains it.

    Example: tealwing config manual
    """
    click.echo(render.manual(), nl=False)


def main() -> int:
    """Run the command line and return its exit code."""
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
