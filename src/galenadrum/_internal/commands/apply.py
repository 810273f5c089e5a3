"""The command ``apply``."""

from __future__ import annotations

from pathlib import Path

import click

from galenadrum._internal.changes.preparing import prepare_puts
from galenadrum._internal.changes.sending import send_change_set
from galenadrum._internal.cli import output
from galenadrum._internal.cli.changes import (
    explain_unknown_outcome,
    place_findings,
    read_current,
    write_change_set_outcome,
)
from galenadrum._internal.cli.forms import output_option
from galenadrum._internal.cli.options import (
    ControlOptions,
    change_id_options,
    control_options,
    files_option,
    open_pending_changes,
)
from galenadrum._internal.settings.declarations import read_declarations


@click.command("apply")
@files_option
@click.option("--dry-run", is_flag=True, help="Only ask whether it would be accepted.")
@change_id_options
@control_options
@output_option
def command(
    paths: tuple[Path, ...],
    dry_run: bool,
    change_id: str,
    state_folder: Path,
    control: ControlOptions,
    form: str,
) -> None:
    r"""Put declarations in place, all of them together or none.

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
    change_set = prepare_puts(change_id, declared.declarations, current)
    with place_findings(declared):
        if dry_run:
            outcome = client.submit(change_set, check_only=True)
        else:
            output.write_note(f"change id {change_id}")
            with explain_unknown_outcome(change_id):
                pending = open_pending_changes(state_folder)
                outcome = send_change_set(client, pending, change_set)
    write_change_set_outcome(outcome, change_id, form, dry_run)
