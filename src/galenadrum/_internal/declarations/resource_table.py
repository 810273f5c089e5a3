"""Table of the declared resources, with the changes since earlier revisions."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from galenadrum._internal.declarations.records import encode_resource, encode_spec
from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.resources import Resource, ResourceKey
from galenadrum._internal.protocol.declarations_pb2 import (
    ResourceId,
    ResourceRecord,
    WatchEvent,
)

MAX_KEPT_DELETIONS = 10_000
EVENT_PART_MAX_BYTES = 256 * 1024


class ResourceTable:
    """Resources by key, in the order of their last change.

    The changes after a revision are read from the end of that order, so the
    cost is proportional to their number. A limited number of deletions is
    kept; ``delta_floor`` is the oldest revision from which a delta can be built.

    Attributes:
        cluster_id: Identity of the cluster that accepted the resources.
        revision: Revision of the last change set.
        delta_floor: Oldest revision from which a delta can be built; watchers at an
            older revision get a snapshot.
    """

    def __init__(self, max_deletions: int = MAX_KEPT_DELETIONS) -> None:
        self.cluster_id = ""
        self.revision = 0
        self.delta_floor = 0
        self._max_deletions = max_deletions
        self._resource_by_key: dict[ResourceKey, Resource] = {}
        self._deletion_revision_by_key: dict[ResourceKey, int] = {}
        # Filled on the first request for a record: most hosts relay no resources,
        # so they never need the encoded form.
        self._spec_json_by_key: dict[ResourceKey, bytes] = {}

    def __len__(self) -> int:
        return len(self._resource_by_key)

    def __iter__(self) -> Iterator[Resource]:
        return iter(self._resource_by_key.values())

    def __contains__(self, key: object) -> bool:
        return key in self._resource_by_key

    def get(self, key: ResourceKey) -> Resource | None:
        """Return the resource with ``key``, or None if it isn't declared."""
        return self._resource_by_key.get(key)

    def deletions(self) -> tuple[tuple[ResourceKey, int], ...]:
        """Return the keys and revisions of the kept deletions, oldest first."""
        return tuple(self._deletion_revision_by_key.items())

    def set_revision(self, revision: int) -> None:
        """Set the revision to which the following changes belong.

        Raises:
            InvariantError: ``revision`` isn't above the current one.
        """
        if revision <= self.revision:
            raise InvariantError(
                f"revision {revision} isn't above the current {self.revision}"
            )
        self.revision = revision

    def put(self, resource: Resource) -> None:
        """Add or replace a resource and move it to the end of the change order.

        Raises:
            InvariantError: The resource is newer than the table's revision.
        """
        if resource.revision > self.revision:
            raise InvariantError(f"{resource.key} has a higher revision than the table")
        self._resource_by_key.pop(resource.key, None)
        self._spec_json_by_key.pop(resource.key, None)
        self._resource_by_key[resource.key] = resource
        self._deletion_revision_by_key.pop(resource.key, None)

    def remove(self, key: ResourceKey, revision: int) -> None:
        """Remove a resource, if present, and record its deletion."""
        self._resource_by_key.pop(key, None)
        self._spec_json_by_key.pop(key, None)
        self._deletion_revision_by_key.pop(key, None)
        self._deletion_revision_by_key[key] = revision
        while len(self._deletion_revision_by_key) > self._max_deletions:
            oldest = next(iter(self._deletion_revision_by_key))
            self.delta_floor = self._deletion_revision_by_key.pop(oldest)

    def replace(
        self, resources: list[Resource], revision: int, delta_floor: int
    ) -> None:
        """Replace the content of the table by that of a snapshot.

        Args:
            resources: All resources, in any order.
            revision: Revision of the snapshot.
            delta_floor: Oldest revision from which deltas can be built after the
                deletions since then have been added with ``remove``.
        """
        self._resource_by_key.clear()
        self._spec_json_by_key.clear()
        self._deletion_revision_by_key.clear()
        self.revision = revision
        self.delta_floor = delta_floor
        for resource in sorted(resources, key=change_sort_key):
            self.put(resource)

    def get_record(self, resource: Resource) -> ResourceRecord:
        """Return the record of a resource of this table; its JSON is cached."""
        spec_json = self._spec_json_by_key.get(resource.key)
        if spec_json is None:
            spec_json = encode_spec(resource.spec)
            self._spec_json_by_key[resource.key] = spec_json
        return encode_resource(resource, spec_json)

    def build_event_after(self, revision: int) -> WatchEvent:
        """Return all changes after ``revision`` as one event.

        The event is an empty heartbeat when ``revision`` isn't below the table's
        revision. Otherwise it is a snapshot when ``revision`` is 0 or below
        ``delta_floor``, or else a delta.
        """
        if revision >= self.revision:
            return self._event(self.revision)
        if revision < self.delta_floor or revision == 0:
            event = self._event(0, snapshot=True)
            event.changed.extend(self.get_record(item) for item in self)
            return event
        event = self._event(revision)
        event.changed.extend(map(self.get_record, self._changed_since(revision)))
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


def change_sort_key(resource: Resource) -> tuple[int, str, str]:
    """Return a sort key: revision of the last change, then kind and name."""
    return resource.revision, resource.key.kind, resource.key.name


def split_event(
    event: WatchEvent, max_bytes: int = EVENT_PART_MAX_BYTES
) -> Iterator[WatchEvent]:
    """Split ``event`` into one or more parts of about ``max_bytes``.

    All parts have the same revisions; the watcher applies them together.
    """
    part = _build_empty_part(event, 0)
    size_bytes = 0
    for append, record in _iterate_records(event):
        if size_bytes + record.ByteSize() > max_bytes and size_bytes:
            part.more = True
            yield part
            part = _build_empty_part(event, part.part + 1)
            size_bytes = 0
        append(part, record)
        size_bytes += record.ByteSize()
    yield part


def _build_empty_part(event: WatchEvent, number: int) -> WatchEvent:
    return WatchEvent(
        from_revision=event.from_revision,
        revision=event.revision,
        snapshot=event.snapshot,
        cluster_id=event.cluster_id,
        source_age_ms=event.source_age_ms,
        part=number,
    )


_AppendRecord = Callable[[WatchEvent, ResourceRecord | ResourceId], None]


def _iterate_records(
    event: WatchEvent,
) -> Iterator[tuple[_AppendRecord, ResourceRecord | ResourceId]]:
    for record in event.changed:
        yield (lambda part, item: part.changed.append(item)), record
    for deletion in event.deleted:
        yield (lambda part, item: part.deleted.append(item)), deletion
