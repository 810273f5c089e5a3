"""The command ``import``."""

from __future__ import annotations

from pathlib import Path

import click

from galenadrum._internal.changes.preparing import prepare_puts
from galenadrum._internal.cli.changes import submit_and_report
from galenadrum._internal.cli.options import (
    ChangeOptions,
    ControlOptions,
    change_options,
    control_options,
)
from galenadrum._internal.settings.declarations import read_declarations


@click.command("import")
@click.argument(
    "paths",
    metavar="FILE...",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=Path),
)
@change_options
@control_options
def command(
    paths: tuple[Path, ...], options: ChangeOptions, control: ControlOptions
) -> None:
    """Create exported declarations elsewhere, all of them or none.

    Unlike apply, it changes no existing resource: one with the same kind and
    name is a conflict. The operator whose token is used becomes the owner.

    \b
    Example:
      galenadrum import vatu.json --control http://10.9.0.1:9100
    """
    declared = read_declarations(paths)
    change_set = prepare_puts(options.change_id, declared.declarations, {})
    submit_and_report(control.connect(), change_set, options, declared)
