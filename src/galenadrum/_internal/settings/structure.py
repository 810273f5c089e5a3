"""Structuring of settings, with a check per field by its name and type."""

from __future__ import annotations

import dataclasses
import logging
import typing
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import cattrs
from cattrs.gen import make_dict_structure_fn, override

from galenadrum._internal.declarations import fields
from galenadrum._internal.models.settings import (
    CallerLimits,
    ControlMember,
    ControlSettings,
    EntrySettings,
    LogFormat,
    ObservabilitySettings,
    Operator,
)
from galenadrum._internal.utils.addresses import format_address, parse_address

_MAX_LIST_ITEMS = 1_024
_MAX_PATH_CHARACTERS = 4_096
_MAX_DURATION_MS = 86_400_000
_MAX_DURATION_S = 31_536_000
_MAX_SIZE_BYTES = 1_073_741_824
_MAX_WORKERS = 4_096
_LOG_LEVELS = tuple(logging.getLevelNamesMapping())

Hook = fields.Hook


def build_converter(base_folder: Path) -> cattrs.Converter:
    """Return a converter for settings.

    It ignores unknown keys; the caller has to check for them.

    Args:
        base_folder: Folder from which relative paths are resolved.
    """
    converter = cattrs.Converter(detailed_validation=True)
    for cls in _list_classes_inner_first():
        overrides = {
            name: override(
                struct_hook=_make_field_hook(converter, name, expected, base_folder)
            )
            for name, expected in typing.get_type_hints(cls).items()
        }
        hook = make_dict_structure_fn(cls, converter, **overrides)
        converter.register_structure_hook(cls, _require_object(hook))
    return converter


def nested_class(expected: Any) -> type | None:
    """Return the data class of a field or of its items, or None."""
    for candidate in (expected, *typing.get_args(expected)):
        if dataclasses.is_dataclass(candidate):
            return candidate
    return None


def _list_classes_inner_first() -> Iterator[type]:
    yield from (ObservabilitySettings, CallerLimits, Operator, ControlMember)
    yield from (EntrySettings, ControlSettings)


def _require_object(hook: Callable[[Any, Any], Any]) -> Hook:
    def structure(value: Any, expected: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError(f"expected an object, found {fields.type_name(value)}")
        return hook(value, expected)

    return structure


def _make_field_hook(
    converter: cattrs.Converter, name: str, expected: Any, base_folder: Path
) -> Hook:
    if dataclasses.is_dataclass(expected):
        return converter.get_structure_hook(expected)
    if nested_class(expected) is not None:
        return _require_list(converter.get_structure_hook(expected))
    return _choose_hook(name, expected, base_folder)


def _require_list(hook: Callable[[Any, Any], Any]) -> Hook:
    def structure(value: Any, expected: Any) -> Any:
        if not isinstance(value, list):
            raise TypeError(f"expected a list, found {fields.type_name(value)}")
        if len(value) > _MAX_LIST_ITEMS:
            raise ValueError(f"expected at most {_MAX_LIST_ITEMS} items")
        return hook(value, expected)

    return structure


def _choose_hook(name: str, expected: Any, base_folder: Path) -> Hook:
    """Return the hook of one field, by its name, name suffix or type."""
    if name in _HOOK_BY_NAME:
        return _HOOK_BY_NAME[name]
    if Path in (expected, *typing.get_args(expected)):
        hook = _make_path_hook(base_folder)
        return hook if expected is Path else fields.optional(hook)
    for suffix, hook in _HOOK_BY_SUFFIX.items():
        if name.endswith(suffix):
            return hook
    return _HOOK_BY_TYPE[expected]


def _address(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        found = fields.type_name(value)
        raise TypeError(f"expected an address as 10.0.0.7:9000, found {found}")
    ip, port = parse_address(value)
    if port == 0:
        raise ValueError("port 0 is not a port that other hosts can connect to")
    return format_address(ip, port)


def _make_path_hook(base_folder: Path) -> Hook:
    def structure(value: Any, _: Any) -> Path:
        if not isinstance(value, str):
            raise TypeError(f"expected a path, found {fields.type_name(value)}")
        if not 1 <= len(value) <= _MAX_PATH_CHARACTERS or "\0" in value:
            raise ValueError(f"expected 1 to {_MAX_PATH_CHARACTERS} characters")
        return base_folder / value

    return structure


def _log_level(value: Any, _: Any) -> str:
    if value not in _LOG_LEVELS:
        raise ValueError(f"expected one of {', '.join(_LOG_LEVELS)}")
    return value


_HOOK_BY_NAME: dict[str, Hook] = {
    "log_level": _log_level,
    "log_format": fields.one_of(LogFormat),
    "workers": fields.integer_between(1, _MAX_WORKERS),
}
_HOOK_BY_SUFFIX: dict[str, Hook] = {
    "_address": _address,
    "_addresses": fields.distinct_list(_address, 0, _MAX_LIST_ITEMS),
    "_sha256": fields.text_matching(
        "[0-9a-f]{64}",
        "expected 64 lower-case hex digits; galenadrum digest prints them",
    ),
    "_ms": fields.integer_between(1, _MAX_DURATION_MS),
    "_s": fields.integer_between(1, _MAX_DURATION_S),
    "_percent": fields.integer_between(0, 100),
    "_bytes": fields.integer_between(1, _MAX_SIZE_BYTES),
}
_HOOK_BY_TYPE: dict[Any, Hook] = {
    str: fields.name,
    str | None: fields.optional(fields.name),
    bool: fields.boolean,
    int: fields.integer_between(0, 2**63 - 1),
    float: fields.number_above(0, float(2**63)),
}
