"""The root command."""

from __future__ import annotations

import click

from galenadrum import __version__


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Serve multi-stage model pipelines."""


@cli.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


def main() -> None:
    """Run the command line and exit."""
    cli()
