"""Flattening of the error groups that cattrs raises."""

from __future__ import annotations

from collections.abc import Iterator

from cattrs import ClassValidationError, IterableValidationError

ErrorPath = tuple[str | int, ...]


def flatten_errors(
    error: Exception, path: ErrorPath = ()
) -> Iterator[tuple[ErrorPath, Exception]]:
    """Yield each leaf error in ``error`` with its path.

    Args:
        error: Error raised by ``Converter.structure`` with detailed validation.
        path: Path of the structured value within the whole document.
    """
    if isinstance(error, ClassValidationError):
        with_notes, without_notes = error.group_exceptions()
        parts = [(inner, note.name) for inner, note in with_notes]
    elif isinstance(error, IterableValidationError):
        with_notes, without_notes = error.group_exceptions()
        parts = [(inner, note.index) for inner, note in with_notes]
    else:
        yield path, error
        return
    for inner, part in parts:
        yield from flatten_errors(inner, (*path, part))
    for inner in without_notes:
        yield from flatten_errors(inner, path)
