"""The command ``apply``."""

from __future__ import annotations

from pathlib import Path

import click

from galenadrum._internal.changes.preparing import prepare_puts
from galenadrum._internal.cli.changes import read_resources_by_key, submit_and_report
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

    Resources that the files don't name are left unchanged. The revisions of
    the named ones are read first: if another operator changes one of these
    resources after that, nothing is applied, and the exit code is 4.

    The change id is printed before anything is sent. If the answer is lost,
    the change is resent automatically until --timeout-s has passed; after
    that, run the same command with --change-id: the change takes effect only
    once, and the first outcome is returned.

    \b
    Examples:
      galenadrum apply -f examples/vatu/declarations
      galenadrum apply -f organisations.json -f pipelines.json --dry-run
      galenadrum apply -f declarations --change-id 4f0c...
    """
    declared = read_declarations(paths)
    client = control.connect()
    current = read_resources_by_key(client)
    change_set = prepare_puts(options.change_id, declared.declarations, current)
    submit_and_report(client, change_set, options, declared)
