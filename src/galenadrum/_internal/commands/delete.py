"""The command ``delete``."""

from __future__ import annotations

import click

from galenadrum._internal.changes.preparing import prepare_deletions
from galenadrum._internal.cli.changes import read_resources_by_key, submit_and_report
from galenadrum._internal.cli.options import (
    ChangeOptions,
    ControlOptions,
    ResourceKeyType,
    change_options,
    control_options,
)
from galenadrum._internal.models.resources import ResourceKey


@click.command("delete")
@click.argument("keys", nargs=-1, required=True, type=ResourceKeyType())
@change_options
@control_options
def command(
    keys: tuple[ResourceKey, ...], options: ChangeOptions, control: ControlOptions
) -> None:
    """Delete resources, all of them together or none.

    A resource can't be deleted while another one refers to it; to delete both,
    name them in one command. A lost answer is handled as in apply.

    \b
    Example:
      galenadrum delete pipeline/restock-plan stage/rerank-plan
    """
    client = control.connect()
    current = read_resources_by_key(client)
    change_set = prepare_deletions(options.change_id, keys, current)
    submit_and_report(client, change_set, options)
