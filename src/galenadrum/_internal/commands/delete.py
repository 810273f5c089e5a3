"""The command ``delete``."""

from __future__ import annotations

from pathlib import Path

import click

from galenadrum._internal.changes.preparing import prepare_deletions
from galenadrum._internal.changes.sending import send_change_set
from galenadrum._internal.cli import output
from galenadrum._internal.cli.changes import (
    explain_unknown_outcome,
    read_current,
    write_change_set_outcome,
)
from galenadrum._internal.cli.forms import output_option
from galenadrum._internal.cli.options import (
    ControlOptions,
    ResourceKeyType,
    change_id_options,
    control_options,
    open_pending_changes,
)
from galenadrum._internal.models.resources import ResourceKey


@click.command("delete")
@click.argument("keys", nargs=-1, required=True, type=ResourceKeyType())
@click.option("--dry-run", is_flag=True, help="Only ask whether it would be accepted.")
@change_id_options
@control_options
@output_option
def command(
    keys: tuple[ResourceKey, ...],
    dry_run: bool,
    change_id: str,
    state_folder: Path,
    control: ControlOptions,
    form: str,
) -> None:
    r"""Delete resources, all of them together or none.

    A resource that another one refers to can't be deleted before it; name
    both in one command. A lost answer is handled as by apply.

    \b
    Example:
      galenadrum delete pipeline/restock-plan stage/rerank-plan
    """
    client = control.connect()
    change_set = prepare_deletions(change_id, keys, read_current(client))
    if dry_run:
        outcome = client.submit(change_set, check_only=True)
    else:
        output.write_note(f"change id {change_id}")
        with explain_unknown_outcome(change_id):
            pending = open_pending_changes(state_folder)
            outcome = send_change_set(client, pending, change_set)
    write_change_set_outcome(outcome, change_id, form, dry_run)
