"""Findings of a check, with their location."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One error in a file or a change.

    Attributes:
        file: Name of the file, or an empty string for a change sent over the
            network.
        line: Line number from 1, or 0 if there is no file.
        column: Column number from 1, or 0 if there is no file.
        path: Path inside the document, such as ``stages[2].name``.
        message: Description of the error.
    """

    file: str
    line: int
    column: int
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.path}: {self.message}"
