"""The command ``entry``."""

from __future__ import annotations

from pathlib import Path

import click

from galenadrum._internal.entry.daemon import run_entry
from galenadrum._internal.observability.process import observe_process
from galenadrum._internal.settings.daemons import read_entry_settings


@click.command("entry")
@click.argument("settings_file", type=click.Path(path_type=Path))
def command(settings_file: Path) -> None:
    """Run an entry host until it gets SIGTERM.

    It serves callers, accepts announcements of backend servers, and follows
    the declarations held by the control hosts. On SIGTERM it reports that it
    isn't ready, finishes the requests in flight and exits.

    \b
    Example:
      galenadrum check entry-nadi-1.json && galenadrum entry entry-nadi-1.json
    """
    settings = read_entry_settings(settings_file)
    with observe_process(settings.observability, settings.host_id):
        run_entry(settings)
