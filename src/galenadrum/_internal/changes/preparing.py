"""Preparation of change sets from declarations and the current resources."""

from __future__ import annotations

from collections.abc import Iterable

from galenadrum._internal.declarations.specs import unstructure_spec
from galenadrum._internal.models.operator_api import (
    Change,
    ChangeAction,
    ChangeSet,
    ResourceState,
)
from galenadrum._internal.models.resources import Declaration, ResourceKey

_MISSING_RESOURCE_REVISION = 0


def prepare_puts(
    change_id: str,
    declarations: Iterable[Declaration],
    current_by_key: dict[ResourceKey, ResourceState],
) -> ChangeSet:
    """Return a change set that puts every declaration.

    Each change carries the revision at which its resource was read. Unchanged
    declarations are included, so that a change by another operator between the
    read and the send is a conflict.
    """
    changes = tuple(
        Change(
            ChangeAction.PUT,
            declaration.key,
            unstructure_spec(declaration.spec),
            _get_base_revision(declaration.key, current_by_key),
        )
        for declaration in declarations
    )
    return ChangeSet(change_id, changes)


def prepare_deletions(
    change_id: str,
    keys: Iterable[ResourceKey],
    current_by_key: dict[ResourceKey, ResourceState],
) -> ChangeSet:
    """Return a change set that deletes resources at the revisions that were read."""
    changes = tuple(
        Change(ChangeAction.DELETE, key, None, _get_base_revision(key, current_by_key))
        for key in keys
    )
    return ChangeSet(change_id, changes)


def _get_base_revision(
    key: ResourceKey, current_by_key: dict[ResourceKey, ResourceState]
) -> int:
    current = current_by_key.get(key)
    return _MISSING_RESOURCE_REVISION if current is None else current.revision
