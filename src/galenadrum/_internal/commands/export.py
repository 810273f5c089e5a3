"""The command ``export``."""

from __future__ import annotations

import json
from pathlib import Path

import click

from galenadrum._internal.cli import output
from galenadrum._internal.cli.options import ControlOptions, control_options


@click.command("export")
@click.option("--owner", required=True, help="Operator whose resources are written.")
@click.option(
    "--to",
    "target",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File to write; standard output when left out.",
)
@control_options
def command(owner: str, target: Path | None, control: ControlOptions) -> None:
    """Write one owner's declarations as a file.

    The file is a declaration file: keep it in version control, apply it to the
    same cluster again, or create its resources in another one with import.

    \b
    Example:
      galenadrum export --owner vatu --to vatu.json
    """
    declarations = control.connect().export(owner)
    text = json.dumps(declarations, indent=2, ensure_ascii=False)
    if target is None:
        output.write_text(text)
        return
    target.write_text(text + "\n", encoding="utf-8")
    output.write_to_stderr(f"{len(declarations)} declarations written to {target}")
