"""Helpers of all commands: findings, exit codes, and reading the operators' file."""

from __future__ import annotations

import click

from tealwing.conf import reader
from tealwing.conf.reader import ConfError

FILE = click.Path(dir_okay=False)
FINDING = 1  # exit code of a command that found a fault in what it examined


class Finding(click.ClickException):
    """Raised for a fault that a command found; the message goes to standard error, and the exit code is 1."""

    exit_code = FINDING

    def show(self, file: object = None) -> None:
        """Write the message to standard error."""
        click.echo(self.message, err=True)


def read(path: str) -> reader.Conf:
    """Return the operators' file; raise a Finding with all its problems."""
    try:
        return reader.read(path)
    except ConfError as error:
        raise Finding(str(error)) from None
