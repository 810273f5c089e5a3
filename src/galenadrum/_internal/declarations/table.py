"""All declared resources at one revision, and what changed since another."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from galenadrum._internal.declarations.records import encode_spec, record_of
from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.resources import Resource, ResourceKey
from galenadrum._internal.protocol.declarations_pb2 import (
    ResourceId,
    ResourceRecord,
    WatchEvent,
)

MAX_DELETIONS = 10_000
PART_MAX_BYTES = 256 * 1024


class ResourceTable:
    """Resources by key, in the order of their last change.

    What changed after a revision is found from the end of that order, so that
    it costs as much as it returns. Deletions are remembered up to a bound;
    ``floor`` is the oldest revision from which a delta can be made.

    Attributes:
        cluster_id: Identity of the cluster that accepted the resources.
        revision: Revision of the last change set.
        floor: A watcher behind it needs a snapshot.
    """

    def __init__(self, max_deletions: int = MAX_DELETIONS) -> None:
        self.cluster_id = ""
        self.revision = 0
        self.floor = 0
        self._max_deletions = max_deletions
        self._resource_by_key: dict[ResourceKey, Resource] = {}
        self._deletion_revision_by_key: dict[ResourceKey, int] = {}
        # Filled when a record is first asked for, as most hosts relay nothing.
        self._spec_json_by_key: dict[ResourceKey, bytes] = {}

    def __len__(self) -> int:
        return len(self._resource_by_key)

    def __iter__(self) -> Iterator[Resource]:
        return iter(self._resource_by_key.values())

    def __contains__(self, key: object) -> bool:
        return key in self._resource_by_key

    def get(self, key: ResourceKey) -> Resource | None:
        """Return the resource with that key, if it is declared."""
        return self._resource_by_key.get(key)

    def deletions(self) -> tuple[tuple[ResourceKey, int], ...]:
        """Return the remembered deletions with their revisions, oldest first."""
        return tuple(self._deletion_revision_by_key.items())

    def advance(self, revision: int) -> None:
        """Move on to ``revision``; changes made from here on belong to it."""
        if revision <= self.revision:
            raise InvariantError(f"revision {revision} after {self.revision}")
        self.revision = revision

    def put(self, resource: Resource) -> None:
        """Add or replace a resource; the latest change comes last."""
        if resource.revision > self.revision:
            raise InvariantError(f"{resource.key} is ahead of the table")
        self._resource_by_key.pop(resource.key, None)
        self._spec_json_by_key.pop(resource.key, None)
        self._resource_by_key[resource.key] = resource
        self._deletion_revision_by_key.pop(resource.key, None)

    def remove(self, key: ResourceKey, revision: int) -> None:
        """Remove a resource if it is there, and remember the deletion."""
        self._resource_by_key.pop(key, None)
        self._spec_json_by_key.pop(key, None)
        self._deletion_revision_by_key.pop(key, None)
        self._deletion_revision_by_key[key] = revision
        while len(self._deletion_revision_by_key) > self._max_deletions:
            oldest = next(iter(self._deletion_revision_by_key))
            self.floor = self._deletion_revision_by_key.pop(oldest)

    def replace(self, resources: list[Resource], revision: int, floor: int) -> None:
        """Take over everything from a snapshot.

        Args:
            resources: All resources, in any order.
            revision: The revision at which they stand.
            floor: The oldest revision from which deltas can be made, once the
                deletions since then were added with ``remove``.
        """
        self._resource_by_key.clear()
        self._spec_json_by_key.clear()
        self._deletion_revision_by_key.clear()
        self.revision = revision
        self.floor = floor
        for resource in sorted(resources, key=change_order):
            self.put(resource)

    def record_of(self, resource: Resource) -> ResourceRecord:
        """Return the record of a resource of this table."""
        spec_json = self._spec_json_by_key.get(resource.key)
        if spec_json is None:
            spec_json = encode_spec(resource.spec)
            self._spec_json_by_key[resource.key] = spec_json
        return record_of(resource, spec_json)

    def events_after(self, revision: int) -> WatchEvent:
        """Return all that happened after ``revision`` as one event.

        A watcher without a revision, or one behind the floor, gets a
        snapshot; one that is not behind gets a heartbeat.
        """
        if revision >= self.revision:
            return self._event(self.revision)
        if revision < self.floor or revision == 0:
            event = self._event(0, snapshot=True)
            event.changed.extend(self.record_of(item) for item in self)
            return event
        event = self._event(revision)
        event.changed.extend(map(self.record_of, self._changed_since(revision)))
        event.deleted.extend(self._deleted_since(revision))
        return event

    def _event(self, from_revision: int, snapshot: bool = False) -> WatchEvent:
        return WatchEvent(
            from_revision=from_revision,
            revision=self.revision,
            snapshot=snapshot,
            cluster_id=self.cluster_id,
        )

    def _changed_since(self, revision: int) -> Iterator[Resource]:
        for resource in reversed(self._resource_by_key.values()):
            if resource.revision <= revision:
                return
            yield resource

    def _deleted_since(self, revision: int) -> Iterator[ResourceId]:
        for key, deleted_at in reversed(self._deletion_revision_by_key.items()):
            if deleted_at <= revision:
                return
            yield ResourceId(kind=key.kind, name=key.name)


def change_order(resource: Resource) -> tuple[int, str, str]:
    """Order resources by their last change, and alike changes by name."""
    return resource.revision, resource.key.kind, resource.key.name


def split_event(
    event: WatchEvent, max_bytes: int = PART_MAX_BYTES
) -> Iterator[WatchEvent]:
    """Yield ``event`` in parts of about ``max_bytes``, at least one.

    The parts hold the same revisions; the watcher applies them together.
    """
    part = _empty_part(event, 0)
    size_bytes = 0
    for append, record in _records_of(event):
        if size_bytes + record.ByteSize() > max_bytes and size_bytes:
            part.more = True
            yield part
            part = _empty_part(event, part.part + 1)
            size_bytes = 0
        append(part, record)
        size_bytes += record.ByteSize()
    yield part


def _empty_part(event: WatchEvent, number: int) -> WatchEvent:
    return WatchEvent(
        from_revision=event.from_revision,
        revision=event.revision,
        snapshot=event.snapshot,
        cluster_id=event.cluster_id,
        source_age_ms=event.source_age_ms,
        part=number,
    )


_Append = Callable[[WatchEvent, ResourceRecord | ResourceId], None]


def _records_of(
    event: WatchEvent,
) -> Iterator[tuple[_Append, ResourceRecord | ResourceId]]:
    for record in event.changed:
        yield (lambda part, item: part.changed.append(item)), record
    for deletion in event.deleted:
        yield (lambda part, item: part.deleted.append(item)), deletion
