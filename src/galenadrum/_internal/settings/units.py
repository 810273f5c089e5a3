"""Units that the names of settings carry, and hints for misspelt names."""

from __future__ import annotations

import difflib
from collections.abc import Collection

_UNIT_BY_SUFFIX = {
    "_ms": "milliseconds",
    "_s": "seconds",
    "_bytes": "bytes",
}
_CLOSE_ENOUGH = 0.6


def unit_of(name: str) -> str | None:
    """Return the unit that a name carries, such as ``milliseconds``."""
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if name.endswith(suffix):
            return unit
    return None


def describe_unit_error(name: str, value: object) -> str | None:
    """Say how to write a quantity that was written as text, such as ``"5s"``.

    Returns:
        The message, or None when the name carries no unit or the value is not
        text.
    """
    unit = unit_of(name)
    if unit is None or not isinstance(value, str):
        return None
    return f'write a plain number of {unit}, without quotes or unit, not "{value}"'


def describe_unknown_key(name: str, known: Collection[str]) -> str:
    """Say that a key isn't known, and which one may be meant.

    A key that differs only in its unit is preferred to one that is spelt
    alike.
    """
    for candidate in known:
        if _without_unit(candidate) == _without_unit(name) and unit_of(candidate):
            unit = unit_of(candidate)
            return f'unknown key; write "{candidate}", a number of {unit}'
    close = difflib.get_close_matches(name, known, n=1, cutoff=_CLOSE_ENOUGH)
    if close:
        return f'unknown key; did you mean "{close[0]}"?'
    return f"unknown key; expected one of {', '.join(sorted(known))}"


def _without_unit(name: str) -> str:
    for suffix in _UNIT_BY_SUFFIX:
        name = name.removesuffix(suffix)
    return name
