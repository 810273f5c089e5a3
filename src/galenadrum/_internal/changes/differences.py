"""Differences between declarations and the resources as they stand."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from galenadrum._internal.declarations.specs import structure_spec, unstructure_spec
from galenadrum._internal.models.operator_api import ResourceState
from galenadrum._internal.models.resources import Declaration, ResourceKey


@dataclass(frozen=True, slots=True)
class FieldDifference:
    """One field that would change.

    Attributes:
        path: Such as ``spec.deadline_ms``.
        before: The JSON value that stands, None where there is none.
        after: The JSON value that is declared.
    """

    path: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class ResourceDifference:
    """What applying a declaration would do with its resource.

    Attributes:
        outcome: ``created`` or ``changed``.
    """

    key: ResourceKey
    outcome: str
    fields: tuple[FieldDifference, ...]


def compare(
    declarations: Iterable[Declaration],
    current_by_key: dict[ResourceKey, ResourceState],
) -> tuple[ResourceDifference, ...]:
    """Return one difference for each declaration that isn't in place."""
    differences: list[ResourceDifference] = []
    for declaration in declarations:
        current = current_by_key.get(declaration.key)
        before = {} if current is None else _with_defaults(current)
        after = unstructure_spec(declaration.spec)
        fields = tuple(_compare_fields(before, after))
        if current is None or fields:
            outcome = "created" if current is None else "changed"
            differences.append(ResourceDifference(declaration.key, outcome, fields))
    return tuple(differences)


def _with_defaults(current: ResourceState) -> dict[str, Any]:
    """Return a specification in the same form as a declared one.

    A specification that this version can't read is compared as it stands.
    """
    spec = structure_spec(current.key.kind, current.spec)
    return current.spec if isinstance(spec, tuple) else unstructure_spec(spec)


def _compare_fields(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[FieldDifference]:
    for name in dict.fromkeys((*before, *after)):
        old, new = _plain(before.get(name)), _plain(after.get(name))
        if old != new:
            yield FieldDifference(f"spec.{name}", old, new)


def _plain(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value
