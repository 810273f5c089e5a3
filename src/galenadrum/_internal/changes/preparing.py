"""Change sets made from declarations and the resources as they stand."""

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

_MISSING_REVISION = 0


def prepare_puts(
    change_id: str,
    declarations: Iterable[Declaration],
    current_by_key: dict[ResourceKey, ResourceState],
) -> ChangeSet:
    """Put every declaration, compared with the revision it was read at.

    Unchanged ones are sent as well, so that a change by somebody else between
    the reading and the sending is a conflict.
    """
    changes = tuple(
        Change(
            ChangeAction.PUT,
            declaration.key,
            unstructure_spec(declaration.spec),
            _base_revision(declaration.key, current_by_key),
        )
        for declaration in declarations
    )
    return ChangeSet(change_id, changes)


def prepare_deletions(
    change_id: str,
    keys: Iterable[ResourceKey],
    current_by_key: dict[ResourceKey, ResourceState],
) -> ChangeSet:
    """Delete resources, compared with the revisions they were read at."""
    changes = tuple(
        Change(ChangeAction.DELETE, key, None, _base_revision(key, current_by_key))
        for key in keys
    )
    return ChangeSet(change_id, changes)


def _base_revision(
    key: ResourceKey, current_by_key: dict[ResourceKey, ResourceState]
) -> int:
    current = current_by_key.get(key)
    return _MISSING_REVISION if current is None else current.revision
