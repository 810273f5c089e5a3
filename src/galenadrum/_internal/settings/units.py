"""Units in the names of settings, and hints for misspelt names."""

from __future__ import annotations

import difflib
from collections.abc import Collection

_UNIT_BY_SUFFIX = {
    "_ms": "milliseconds",
    "_s": "seconds",
    "_bytes": "bytes",
}
_MIN_SIMILARITY_RATIO = 0.6


def get_unit(name: str) -> str | None:
    """Return the unit in the suffix of a name, such as ``milliseconds``, or None."""
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if name.endswith(suffix):
            return unit
    return None


def describe_unit_error(name: str, value: object) -> str | None:
    """Return a message for a quantity given as a string, such as ``"5s"``.

    Returns:
        The message, or None if the name has no unit or the value is no string.
    """
    unit = get_unit(name)
    if unit is None or not isinstance(value, str):
        return None
    return f'write a plain number of {unit}, without quotes or unit, not "{value}"'


def describe_unknown_key(name: str, known_names: Collection[str]) -> str:
    """Return a message for an unknown key, with the most similar known key.

    A key that differs only in its unit is preferred to one with a similar
    spelling.
    """
    for candidate in known_names:
        if _strip_unit(candidate) == _strip_unit(name) and get_unit(candidate):
            unit = get_unit(candidate)
            return f'unknown key; write "{candidate}", a number of {unit}'
    similar_names = difflib.get_close_matches(
        name, known_names, n=1, cutoff=_MIN_SIMILARITY_RATIO
    )
    if similar_names:
        return f'unknown key; did you mean "{similar_names[0]}"?'
    return f"unknown key; expected one of {', '.join(sorted(known_names))}"


def _strip_unit(name: str) -> str:
    for suffix in _UNIT_BY_SUFFIX:
        name = name.removesuffix(suffix)
    return name
