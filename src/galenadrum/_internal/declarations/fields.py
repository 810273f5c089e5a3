"""Factories of cattrs structure hooks that validate single fields.

A hook takes the raw value and the declared type. It returns the structured
value, or raises ``TypeError`` or ``ValueError`` with the message of the finding.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from cattrs import IterableValidationError, IterableValidationNote

from galenadrum._internal.declarations.names import NAME_RULE, is_valid_name

Hook = Callable[[Any, Any], Any]

_TYPE_NAMES = {
    bool: "true or false",
    dict: "an object",
    float: "a number",
    int: "a number",
    list: "a list",
    str: "a string",
    type(None): "null",
}


def type_name(value: object) -> str:
    """Return a readable name of the JSON type of ``value``."""
    return _TYPE_NAMES.get(type(value), type(value).__name__)


def boolean(value: Any, _: Any) -> bool:
    """Structure a boolean; values of other types are rejected."""
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, found {type_name(value)}")
    return value


def integer_between(low: int, high: int) -> Hook:
    """Return a hook for integers from ``low`` to ``high``, both included."""

    def structure(value: Any, _: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise TypeError(f"expected a whole number, found {type_name(value)}")
        if not low <= value <= high:
            raise ValueError(f"expected {low} to {high}, found {value}")
        return value

    return structure


def number_above(low: float, high: float) -> Hook:
    """Return a hook for finite numbers above ``low`` and at most ``high``."""

    def structure(value: Any, _: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise TypeError(f"expected a number, found {type_name(value)}")
        if not low < value <= high:
            raise ValueError(f"expected above {low:g} and up to {high:g}")
        return float(value)

    return structure


def text_up_to(max_characters: int) -> Hook:
    """Return a hook for printable, non-empty strings of limited length."""

    def structure(value: Any, _: Any) -> str:
        if not isinstance(value, str):
            raise TypeError(f"expected a string, found {type_name(value)}")
        if not 1 <= len(value) <= max_characters:
            raise ValueError(f"expected 1 to {max_characters} characters")
        if not value.isprintable():
            raise ValueError("not printable")
        return value

    return structure


def text_matching(pattern: str, rule: str) -> Hook:
    """Return a hook for strings that match ``pattern`` from start to end.

    Args:
        pattern: Regular expression.
        rule: Error message for strings that don't match.
    """
    compiled = re.compile(pattern)

    def structure(value: Any, _: Any) -> str:
        if not isinstance(value, str):
            raise TypeError(f"expected a string, found {type_name(value)}")
        if compiled.fullmatch(value) is None:
            raise ValueError(rule)
        return value

    return structure


def name(value: Any, _: Any) -> str:
    """Structure the name of a resource or an availability zone."""
    if not isinstance(value, str):
        raise TypeError(f"expected a name, found {type_name(value)}")
    if not is_valid_name(value):
        raise ValueError(NAME_RULE)
    return value


def optional(hook: Hook) -> Hook:
    """Return a hook that also accepts null."""

    def structure(value: Any, expected: Any) -> Any:
        return None if value is None else hook(value, expected)

    return structure


def one_of(values: type[StrEnum]) -> Hook:
    """Return a hook for the values of an enumeration."""

    def structure(value: Any, _: Any) -> StrEnum:
        try:
            return values(value)
        except ValueError:
            allowed = ", ".join(repr(str(member)) for member in values)
            raise ValueError(f"expected one of {allowed}") from None

    return structure


def distinct_list(item_hook: Hook, low: int, high: int) -> Hook:
    """Return a hook for lists of ``low`` to ``high`` distinct items."""

    def structure(value: Any, _: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple):
            raise TypeError(f"expected a list, found {type_name(value)}")
        if not low <= len(value) <= high:
            raise ValueError(f"expected {low} to {high} items, found {len(value)}")
        seen: set[Any] = set()
        return _structure_items(value, _reject_duplicates(item_hook, seen))

    return structure


def map_of(key_hook: Hook, value_hook: Hook, high: int) -> Hook:
    """Return a hook for objects with at most ``high`` entries."""

    def structure(value: Any, _: Any) -> dict[str, Any]:
        if not isinstance(value, dict):
            raise TypeError(f"expected an object, found {type_name(value)}")
        if len(value) > high:
            raise ValueError(f"expected at most {high} entries, found {len(value)}")
        pairs = _structure_items(value, _make_entry_hook(value, key_hook, value_hook))
        return dict(pairs)

    return structure


def _reject_duplicates(hook: Hook, seen: set[Any]) -> Callable[[Any], Any]:
    def structure(item: Any) -> Any:
        structured = hook(item, None)
        if structured in seen:
            raise ValueError(f"{structured!r} stands in the list already")
        seen.add(structured)
        return structured

    return structure


def _make_entry_hook(
    entries: dict[str, Any], key_hook: Hook, value_hook: Hook
) -> Callable[[str], tuple[str, Any]]:
    def structure(key: str) -> tuple[str, Any]:
        return key_hook(key, None), value_hook(entries[key], None)

    return structure


def _structure_items(items: Any, hook: Callable[[Any], Any]) -> tuple[Any, ...]:
    """Structure all items.

    Raises:
        IterableValidationError: With the errors of all invalid items.
    """
    structured, errors = [], []
    for position, item in enumerate(items):
        index = item if isinstance(items, dict) else position
        try:
            structured.append(hook(item))
        except (TypeError, ValueError) as error:
            error.add_note(IterableValidationNote(f"at {index!r}", index, Any))
            errors.append(error)
    if errors:
        raise IterableValidationError("invalid items", errors, tuple)
    return tuple(structured)
