"""The command ``version``."""

from __future__ import annotations

import click

from galenadrum import __version__
from galenadrum._internal.cli import output


@click.command("version")
def command() -> None:
    """Print the version."""
    output.write_text(__version__)
