"""The command ``import``."""

from __future__ import annotations

from pathlib import Path

import click

from galenadrum._internal.changes.preparing import prepare_puts
from galenadrum._internal.changes.sending import send_change_set
from galenadrum._internal.cli import output
from galenadrum._internal.cli.changes import (
    explain_unknown_outcome,
    place_findings,
    write_change_set_outcome,
)
from galenadrum._internal.cli.forms import output_option
from galenadrum._internal.cli.options import (
    ControlOptions,
    change_id_options,
    control_options,
    open_pending_changes,
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
@change_id_options
@control_options
@output_option
def command(
    paths: tuple[Path, ...],
    change_id: str,
    state_folder: Path,
    control: ControlOptions,
    form: str,
) -> None:
    r"""Create exported declarations elsewhere, all of them or none.

    Unlike apply, it changes nothing that stands already: a resource of the
    same kind and name is a conflict. The operator whose token is used becomes
    the owner.

    \b
    Example:
      galenadrum import vatu.json --control http://10.9.0.1:9100
    """
    declared = read_declarations(paths)
    change_set = prepare_puts(change_id, declared.declarations, current_by_key={})
    output.write_note(f"change id {change_id}")
    with place_findings(declared), explain_unknown_outcome(change_id):
        pending = open_pending_changes(state_folder)
        outcome = send_change_set(control.connect(), pending, change_set)
    write_change_set_outcome(outcome, change_id, form, dry_run=False)
