"""What operators send to control hosts and get back from them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from galenadrum._internal.models.resources import ResourceKey


class ChangeAction(StrEnum):
    """What a change does with its resource."""

    PUT = "put"
    DELETE = "delete"


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one resource.

    Attributes:
        spec: The specification as JSON values; None for a deletion.
        base_revision: Revision that the resource was read at, 0 when it must
            not exist, None when nothing is compared.
    """

    action: ChangeAction
    key: ResourceKey
    spec: dict[str, Any] | None = None
    base_revision: int | None = None


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """Changes that are accepted together or not at all.

    Attributes:
        change_id: Idempotency key: sent again, the first outcome comes back.
    """

    change_id: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """What became of one change of an accepted set.

    Attributes:
        outcome: ``created``, ``changed``, ``unchanged`` or ``deleted``.
    """

    key: ResourceKey
    outcome: str
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeSetOutcome:
    """The answer to a change set that was accepted, or would be.

    Attributes:
        revision: Revision of the whole state after the change set.
        repeated: Whether this is the outcome of an earlier, equal call.
    """

    revision: int
    results: tuple[ChangeOutcome, ...]
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class ResourceState:
    """A resource as a control host shows it.

    Attributes:
        spec: The specification as JSON values.
        status: What the system reports, such as where it is in force.
    """

    key: ResourceKey
    owner: str
    revision: int
    generation: int
    spec: dict[str, Any]
    status: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ResourceList:
    """Resources as they stood together at one revision."""

    revision: int
    resources: tuple[ResourceState, ...]


@dataclass(frozen=True, slots=True)
class ResourceEvent:
    """Everything that happened after one revision, up to another.

    Attributes:
        snapshot: Whether ``changed`` replaces all that the watcher holds.
    """

    from_revision: int
    revision: int
    snapshot: bool
    changed: tuple[ResourceState, ...]
    deleted: tuple[ResourceKey, ...]
