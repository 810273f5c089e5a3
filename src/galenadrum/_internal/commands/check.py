"""The command ``check``."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import click

from galenadrum._internal.cli import output, status_codes
from galenadrum._internal.cli.output_option import output_option
from galenadrum._internal.settings.check import check_files


@click.command("check")
@click.argument(
    "paths",
    metavar="FILE...",
    nargs=-1,
    required=True,
    type=click.Path(path_type=Path),
)
@output_option
def command(paths: tuple[Path, ...], form: str) -> int:
    """Check settings files and declaration files; connect to nothing.

    A file with a "role" is a settings file, any other a declaration file. A
    folder stands for the .json and .jsonc files below it. All given
    declarations are checked as one set: a reference to a resource that none of
    them declares is a finding.

    Every finding is printed, one per line, as FILE:LINE:COLUMN: path: message.
    The exit code is 1 if there are findings, else 0.

    \b
    Examples:
      galenadrum check examples/vatu
      galenadrum check control-1.json entry-nadi-1.json
    """
    findings = check_files(paths)
    if form == "json":
        output.write_json([dataclasses.asdict(finding) for finding in findings])
    else:
        for finding in findings:
            output.write_text(str(finding))
    return status_codes.FINDINGS if findings else status_codes.SUCCESS
