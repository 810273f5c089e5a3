"""Settings files of the daemons, validated completely before a daemon starts."""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any, TypeVar

from cattrs import BaseValidationError

from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.settings import ControlSettings, EntrySettings
from galenadrum._internal.settings.reader import (
    Document,
    DocumentPath,
    read_document,
)
from galenadrum._internal.settings.rules import CONTROL_RULES, ENTRY_RULES, Rule
from galenadrum._internal.settings.structure import build_converter, nested_class
from galenadrum._internal.settings.units import (
    describe_unit_error,
    describe_unknown_key,
)
from galenadrum._internal.utils.validation_errors import flatten_errors

ROLE_KEY = "role"

DaemonSettings = TypeVar("DaemonSettings", EntrySettings, ControlSettings)


class Role(StrEnum):
    """Daemon that a settings file configures; the value of its ``role`` member."""

    ENTRY = "entry"
    CONTROL = "control"


_CLASS_BY_ROLE: dict[Role, type] = {
    Role.ENTRY: EntrySettings,
    Role.CONTROL: ControlSettings,
}
_RULES_BY_ROLE: dict[Role, tuple[Rule, ...]] = {
    Role.ENTRY: ENTRY_RULES,
    Role.CONTROL: CONTROL_RULES,
}


def read_entry_settings(path: Path) -> EntrySettings:
    """Read the settings of ``galenadrum entry``.

    Args:
        path: The file; relative paths in it are resolved from its folder.

    Raises:
        CheckFailedError: The file has findings; holds all of them.
    """
    return _read_settings(path, Role.ENTRY, EntrySettings)


def read_control_settings(path: Path) -> ControlSettings:
    """Read the settings of ``galenadrum control``.

    Args:
        path: The file; relative paths in it are resolved from its folder.

    Raises:
        CheckFailedError: The file has findings; holds all of them.
    """
    return _read_settings(path, Role.CONTROL, ControlSettings)


def is_settings_document(document: Document) -> bool:
    """Return whether a document is a settings file rather than a declaration."""
    return isinstance(document.value, dict) and ROLE_KEY in document.value


def check_settings_document(document: Document) -> tuple[Finding, ...]:
    """Check a settings file of either role and return all findings."""
    role = document.value[ROLE_KEY]
    if role not in tuple(Role):
        roles = " or ".join(f'"{known}"' for known in Role)
        return (document.build_finding_at_value((ROLE_KEY,), f"expected {roles}"),)
    _, findings = _structure_document(document, Role(role), _CLASS_BY_ROLE[role])
    return findings


def _read_settings(path: Path, role: Role, cls: type[DaemonSettings]) -> DaemonSettings:
    document = read_document(path)
    if document.value is None and document.findings:
        raise CheckFailedError(document.findings)
    if not isinstance(document.value, dict):
        finding = document.build_finding_at_value(
            (), "expected an object with settings"
        )
        raise CheckFailedError((finding,))
    if document.value.get(ROLE_KEY) != role:
        finding = document.build_finding_at_value(
            (ROLE_KEY,), f'expected "role": "{role}"'
        )
        raise CheckFailedError((finding,))
    settings, findings = _structure_document(document, role, cls)
    if settings is None:
        raise CheckFailedError(findings)
    return settings


def _structure_document(
    document: Document, role: Role, cls: type[DaemonSettings]
) -> tuple[DaemonSettings | None, tuple[Finding, ...]]:
    """Return the settings and no findings, or None and all findings."""
    members = {k: v for k, v in document.value.items() if k != ROLE_KEY}
    findings = list(document.findings)
    findings += _find_unknown_keys(document, (), members, cls)
    for rule in _RULES_BY_ROLE[role]:
        findings += rule(document)
    settings = None
    try:
        base = Path(document.file).parent
        settings = build_converter(base).structure(members, cls)
    except (BaseValidationError, TypeError) as error:
        findings += _build_findings(document, error)
    if findings:
        return None, tuple(sorted(set(findings)))
    return settings, ()


def _find_unknown_keys(
    document: Document, path: DocumentPath, value: Any, cls: type
) -> Iterator[Finding]:
    if isinstance(value, list):
        for index, item in enumerate(value):
            yield from _find_unknown_keys(document, (*path, index), item, cls)
    if not isinstance(value, dict):
        return
    names = [field.name for field in dataclasses.fields(cls)]
    hints = typing.get_type_hints(cls)
    for key, member in value.items():
        if key not in names:
            message = describe_unknown_key(key, names)
            yield document.build_finding_at_key((*path, key), message)
            continue
        nested = nested_class(hints[key])
        if nested is not None:
            yield from _find_unknown_keys(document, (*path, key), member, nested)


def _build_findings(document: Document, error: Exception) -> Iterator[Finding]:
    for path, inner in flatten_errors(error):
        if isinstance(inner, KeyError):
            yield document.build_finding_at_value(path, "missing")
            continue
        value = _get_value(document, path)
        names = [part for part in path if isinstance(part, str)]
        hint = describe_unit_error(names[-1], value) if names else None
        yield document.build_finding_at_value(path, hint or str(inner))


def _get_value(document: Document, path: DocumentPath) -> Any:
    value = document.value
    for part in path:
        value = value[part]
    return value
