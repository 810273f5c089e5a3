"""The command ``diff``."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path

import click

from galenadrum._internal.changes.differences import (
    ResourceDifference,
    find_differences,
)
from galenadrum._internal.cli import output, status_codes
from galenadrum._internal.cli.changes import read_resources_by_key
from galenadrum._internal.cli.options import (
    ControlOptions,
    control_options,
    files_option,
)
from galenadrum._internal.cli.output_option import output_option
from galenadrum._internal.settings.declarations import read_declarations


@click.command("diff")
@files_option
@control_options
@output_option
def command(paths: tuple[Path, ...], control: ControlOptions, form: str) -> int:
    """Show what apply would change; change nothing.

    The exit code is 1 if there are differences, else 0.

    \b
    Example:
      galenadrum diff -f examples/vatu/declarations
    """
    declared = read_declarations(paths)
    differences = find_differences(
        declared.declarations, read_resources_by_key(control.connect())
    )
    if form == "json":
        output.write_json([_to_json(difference) for difference in differences])
    else:
        for difference in differences:
            _write_difference(difference)
    return status_codes.FINDINGS if differences else status_codes.SUCCESS


def _write_difference(difference: ResourceDifference) -> None:
    output.write_text(f"{difference.key} would be {difference.outcome}")
    for field in difference.fields:
        before, after = json.dumps(field.before), json.dumps(field.after)
        output.write_text(f"  {field.path}: {before} -> {after}")


def _to_json(difference: ResourceDifference) -> dict[str, object]:
    return {
        "kind": difference.key.kind,
        "name": difference.key.name,
        "outcome": difference.outcome,
        "fields": [dataclasses.asdict(field) for field in difference.fields],
    }
