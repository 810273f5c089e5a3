"""The command ``apply``."""

from __future__ import annotations

from pathlib import Path

import click

from galenadrum._internal.changes.preparing import prepare_puts
from galenadrum._internal.cli.changes import read_current, submit_and_report
from galenadrum._internal.cli.options import (
    ChangeOptions,
    ControlOptions,
    change_options,
    control_options,
    files_option,
)
from galenadrum._internal.settings.declarations import read_declarations


@click.command("apply")
@files_option
@change_options
@control_options
def command(
    paths: tuple[Path, ...], options: ChangeOptions, control: ControlOptions
) -> None:
    """Put declarations in place, all of them together or none.

    Resources that the files don't name stay as they are. Each one is compared
    with the revision that was read at the beginning: when another operator
    changes one meanwhile, nothing is applied, and the exit code is 4.

    The change id is shown before anything is sent. When the answer is lost,
    the change is sent again by itself for as long as --timeout-s allows; after
    that, run the same command with --change-id: the change then takes effect
    once, and the first outcome comes back.

    \b
    Examples:
      galenadrum apply -f examples/vatu/declarations
      galenadrum apply -f organisations.json -f pipelines.json --dry-run
      galenadrum apply -f declarations --change-id 4f0c...
    """
    declared = read_declarations(paths)
    client = control.connect()
    current = read_current(client)
    change_set = prepare_puts(options.change_id, declared.declarations, current)
    submit_and_report(client, change_set, options, declared)
