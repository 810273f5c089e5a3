"""Differences between declarations and the current resources."""

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
        path: Path of the field, such as ``spec.deadline_ms``.
        before: Current JSON value, or None if the field has none.
        after: Declared JSON value.
    """

    path: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class ResourceDifference:
    """The effect that applying a declaration would have on its resource.

    Attributes:
        outcome: ``created`` or ``changed``.
    """

    key: ResourceKey
    outcome: str
    fields: tuple[FieldDifference, ...]


def find_differences(
    declarations: Iterable[Declaration],
    current_by_key: dict[ResourceKey, ResourceState],
) -> tuple[ResourceDifference, ...]:
    """Return a difference for each declaration whose resource is missing or differs."""
    differences: list[ResourceDifference] = []
    for declaration in declarations:
        current = current_by_key.get(declaration.key)
        before = {} if current is None else _fill_in_defaults(current)
        after = unstructure_spec(declaration.spec)
        fields = tuple(_compare_fields(before, after))
        if current is None or fields:
            outcome = "created" if current is None else "changed"
            differences.append(ResourceDifference(declaration.key, outcome, fields))
    return tuple(differences)


def _fill_in_defaults(current: ResourceState) -> dict[str, Any]:
    """Return the current specification with defaults, as a declared one has them.

    A specification that this version can't parse is returned unchanged.
    """
    spec = structure_spec(current.key.kind, current.spec)
    return current.spec if isinstance(spec, tuple) else unstructure_spec(spec)


def _compare_fields(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[FieldDifference]:
    for name in dict.fromkeys((*before, *after)):
        old, new = _tuple_to_list(before.get(name)), _tuple_to_list(after.get(name))
        if old != new:
            yield FieldDifference(f"spec.{name}", old, new)


def _tuple_to_list(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value
