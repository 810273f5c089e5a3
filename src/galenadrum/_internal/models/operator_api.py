"""Requests and responses of the operator API of control hosts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from galenadrum._internal.models.resources import ResourceKey


class ChangeAction(StrEnum):
    """Effect of a change on its resource."""

    PUT = "put"
    DELETE = "delete"


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one resource.

    Attributes:
        spec: Specification as JSON values, or None for a deletion.
        base_revision: Expected current revision of the resource, 0 if it must
            not exist, or None to skip the comparison.
    """

    action: ChangeAction
    key: ResourceKey
    spec: dict[str, Any] | None = None
    base_revision: int | None = None


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """Changes that are applied atomically.

    Attributes:
        change_id: Idempotency key; a retry returns the outcome of the first call.
    """

    change_id: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Outcome of one change of an accepted change set.

    Attributes:
        outcome: ``created``, ``changed``, ``unchanged`` or ``deleted``.
    """

    key: ResourceKey
    outcome: str
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeSetOutcome:
    """Outcome of a change set that was accepted, or would be in a dry run.

    Attributes:
        revision: Revision of the whole state after the change set.
        repeated: True if this is the stored outcome of an earlier call with the
            same change id.
    """

    revision: int
    results: tuple[ChangeOutcome, ...]
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class ResourceState:
    """A resource as shown by a control host.

    Attributes:
        spec: Specification as JSON values.
        status: Status reported by the system, such as the hosts on which the
            specification is in force.
    """

    key: ResourceKey
    owner: str
    revision: int
    generation: int
    spec: dict[str, Any]
    status: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ResourceList:
    """A consistent list of resources at one revision."""

    revision: int
    resources: tuple[ResourceState, ...]


@dataclass(frozen=True, slots=True)
class ResourceEvent:
    """All changes after ``from_revision``, up to and including ``revision``.

    Attributes:
        snapshot: True if ``changed`` replaces all resources of the watcher.
    """

    from_revision: int
    revision: int
    snapshot: bool
    changed: tuple[ResourceState, ...]
    deleted: tuple[ResourceKey, ...]
