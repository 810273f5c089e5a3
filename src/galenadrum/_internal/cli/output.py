"""Output of the commands to the terminal.

Results go to standard output and everything else to standard error, so that
results can be piped.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import click

from galenadrum._internal.cli import status_codes
from galenadrum._internal.exceptions import (
    ChangeIdReusedError,
    CheckFailedError,
    ConflictError,
    ControlUnreachableError,
    GalenadrumError,
    LogError,
    MalformedAnswerError,
    MemberRefusedError,
    OperatorApiError,
    OutcomeUnknownError,
    StorageError,
)
from galenadrum._internal.models.findings import Finding

_COLUMN_GAP = "  "

_EXIT_CODE_BY_ERROR_CLASS: tuple[tuple[type[GalenadrumError], int], ...] = (
    (CheckFailedError, status_codes.FINDINGS),
    (LogError, status_codes.FINDINGS),
    (ConflictError, status_codes.CONFLICT),
    (OperatorApiError, status_codes.REFUSED),
    (OutcomeUnknownError, status_codes.OUTCOME_UNKNOWN),
    (ControlUnreachableError, status_codes.UNREACHABLE),
    (ChangeIdReusedError, status_codes.USAGE),
    (MemberRefusedError, status_codes.REFUSED),
    (MalformedAnswerError, status_codes.UNREACHABLE),
    (StorageError, status_codes.HOST),
)


def write_text(text: str) -> None:
    """Write human-readable output."""
    click.echo(text)


def encode_json(value: Any) -> str:
    """Return machine-readable output as one line of JSON."""
    return json.dumps(value, ensure_ascii=False)


def write_json(value: Any) -> None:
    """Write machine-readable output as one line of JSON."""
    click.echo(encode_json(value))


def write_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Write a table whose columns are as wide as their longest cell."""
    table = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in table) for column in range(len(headers))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo(_COLUMN_GAP.join(cells).rstrip())


def write_to_stderr(text: str) -> None:
    """Write a message to standard error."""
    click.echo(text, err=True)


def report_error(error: GalenadrumError) -> int:
    """Write an error to standard error and return its exit code."""
    if not isinstance(error, CheckFailedError):
        write_to_stderr(f"error: {error}")
    for finding in getattr(error, "findings", ()):
        write_to_stderr(_format_finding(finding))
    if isinstance(error, ConflictError):
        for resource in error.current:
            write_to_stderr(
                f"{resource.key} now stands at revision {resource.revision},"
                f" owner {resource.owner}: {json.dumps(resource.spec)}"
            )
    for kind, code in _EXIT_CODE_BY_ERROR_CLASS:
        if isinstance(error, kind):
            return code
    return status_codes.INTERNAL


def _format_finding(finding: Finding) -> str:
    return str(finding) if finding.file else f"{finding.path}: {finding.message}"


def discard_stdout() -> None:
    """Redirect standard output to the null device.

    Otherwise the interpreter reports a closed pipe once more at exit.
    """
    devnull = os.open(os.devnull, os.O_WRONLY)
    os.dup2(devnull, sys.stdout.fileno())
