"""The command ``control``."""

from __future__ import annotations

from pathlib import Path

import click

from galenadrum._internal.control.daemon import run_control
from galenadrum._internal.observability.process import observe_process
from galenadrum._internal.settings.daemons import read_control_settings


@click.command("control")
@click.argument("settings_file", type=click.Path(path_type=Path))
def command(settings_file: Path) -> None:
    """Run a control host until it gets SIGTERM.

    It keeps a replica of the declared state in its data folder, which must not
    be shared with another host and must be on a persistent disk.

    \b
    Example:
      galenadrum check control-1.json && galenadrum control control-1.json
    """
    settings = read_control_settings(settings_file)
    with observe_process(settings.observability, settings.member_id):
        run_control(settings)
