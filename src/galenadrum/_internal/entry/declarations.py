"""An entry host's view of the declared resources."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.declarations.records import (
    decode_resource,
    parse_resource_key,
)
from galenadrum._internal.declarations.resource_table import (
    MAX_KEPT_DELETIONS,
    ResourceTable,
    change_sort_key,
)
from galenadrum._internal.exceptions import CheckFailedError, InvariantError
from galenadrum._internal.models.resources import (
    Kind,
    ModelSpec,
    Objective,
    OrganisationSpec,
    PipelineSpec,
    Resource,
    ResourceKey,
    Spec,
    StageSpec,
)
from galenadrum._internal.protocol.declarations_pb2 import WatchEvent
from galenadrum._internal.routing.objectives import Objectives

MAX_EVENT_PARTS = 256


class IgnoredReason(StrEnum):
    """Reason for ignoring an event."""

    HEARTBEAT = "heartbeat"
    OLDER = "older"
    GAP = "gap"
    OTHER_CLUSTER = "other_cluster"
    INCOMPLETE = "incomplete"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, slots=True)
class Ignored:
    """Result of an event that was ignored."""

    reason: IgnoredReason


@dataclass(frozen=True, slots=True)
class Applied:
    """Result of an event that moved the view to a newer revision.

    Attributes:
        revision: The new revision.
        snapshot: Whether the event replaced all resources.
        changed: Keys of the resources that were added or replaced.
        deleted: Keys of the resources that were removed.
    """

    revision: int
    snapshot: bool
    changed: frozenset[ResourceKey]
    deleted: frozenset[ResourceKey]


class DeclarationsView:
    """Resources received from control hosts or from a relay.

    The revision never decreases: events of a source that is behind, duplicate
    events and events out of order are ignored and counted.

    Attributes:
        ignored_by_reason: Number of ignored events by reason.
    """

    def __init__(self, max_deletions: int = MAX_KEPT_DELETIONS) -> None:
        self._table = ResourceTable(max_deletions)
        self._parts: list[WatchEvent] = []
        self._spec_by_name: dict[Kind, dict[str, Spec]] = {kind: {} for kind in Kind}
        self._organisation_by_digest: dict[str, str] = {}
        self.ignored_by_reason: Counter[IgnoredReason] = Counter()

    @property
    def revision(self) -> int:
        """The revision of the resources; 0 before the first event."""
        return self._table.revision

    @property
    def cluster_id(self) -> str:
        """The cluster of the resources; empty before the first event."""
        return self._table.cluster_id

    @property
    def is_ready(self) -> bool:
        """Whether resources were received, so that the host can serve."""
        return self.revision > 0

    @property
    def stages_by_name(self) -> dict[str, StageSpec]:
        """The declared stages; callers must not modify them."""
        return self._spec_by_name[Kind.STAGE]

    @property
    def pipelines_by_name(self) -> dict[str, PipelineSpec]:
        """The declared pipelines; callers must not modify them."""
        return self._spec_by_name[Kind.PIPELINE]

    @property
    def organisations_by_name(self) -> dict[str, OrganisationSpec]:
        """The declared organisations; callers must not modify them."""
        return self._spec_by_name[Kind.ORGANISATION]

    @property
    def models_by_name(self) -> dict[str, ModelSpec]:
        """The declared models; callers must not modify them."""
        return self._spec_by_name[Kind.MODEL]

    def build_objectives(self) -> Objectives:
        """Return the objective of each pipeline and stage from its owner's policy."""
        policy_by_owner = {
            self._owner_of(Kind.POLICY, name): spec
            for name, spec in self._spec_by_name[Kind.POLICY].items()
        }

        def objective_by_name(kind: Kind) -> dict[str, Objective]:
            return {
                name: policy_by_owner[owner].objective
                for name in self._spec_by_name[kind]
                if (owner := self._owner_of(kind, name)) in policy_by_owner
            }

        return Objectives(
            objective_by_name(Kind.PIPELINE), objective_by_name(Kind.STAGE)
        )

    def organisation_by_key_digest(
        self, digest: str
    ) -> tuple[str, OrganisationSpec] | None:
        """Return the name and specification of the organisation that has a key.

        Args:
            digest: SHA-256 digest of the key, as declared.

        Returns:
            None if no organisation declares the key.
        """
        name = self._organisation_by_digest.get(digest)
        return None if name is None else (name, self.organisations_by_name[name])

    def pipeline_by_name(self, name: str) -> PipelineSpec | None:
        """Return a pipeline, or None if it is not declared."""
        return self.pipelines_by_name.get(name)

    def stage_by_name(self, name: str) -> StageSpec | None:
        """Return a stage, or None if it is not declared."""
        return self.stages_by_name.get(name)

    def build_event_after(self, revision: int) -> WatchEvent:
        """Return an event with all changes after ``revision``, for relaying."""
        return self._table.build_event_after(revision)

    def _owner_of(self, kind: Kind, name: str) -> str:
        return self._table.get(ResourceKey(kind, name)).owner

    def discard_parts(self) -> None:
        """Discard the parts of an incomplete event after its stream ended."""
        self._parts.clear()

    def apply_event(self, event: WatchEvent) -> Applied | Ignored:
        """Apply an event, or one part of it, from any source.

        Raises:
            InvariantError: The applied event did not increase the revision.
        """
        result = self._apply_part(event)
        if isinstance(result, Ignored):
            self.ignored_by_reason[result.reason] += 1
        return result

    def _apply_part(self, event: WatchEvent) -> Applied | Ignored:
        whole = self._assemble(event)
        if whole is None:
            return Ignored(IgnoredReason.INCOMPLETE)
        reason = self._find_reason_to_ignore(whole)
        if reason is not None:
            return Ignored(reason)
        try:
            resources = [decode_resource(record) for record in whole.changed]
            deleted = [parse_resource_key(row.kind, row.name) for row in whole.deleted]
        except CheckFailedError:
            return Ignored(IgnoredReason.UNREADABLE)
        if any(resource.revision > whole.revision for resource in resources):
            return Ignored(IgnoredReason.UNREADABLE)
        before = self.revision
        applied = self._apply_changes(whole, resources, deleted)
        if self.revision <= before:
            raise InvariantError(
                f"revision {self.revision} is not above the previous revision {before}"
            )
        return applied

    def _assemble(self, event: WatchEvent) -> WatchEvent | None:
        """Return the whole event when its last part arrives, else None."""
        if event.part == 0:
            self._parts.clear()
            if not event.more:
                return event
        elif not self._continues_event(event):
            self._parts.clear()
            return None
        self._parts.append(event)
        if event.more:
            return None
        whole = WatchEvent()
        for part in self._parts:
            whole.MergeFrom(part)
        self._parts.clear()
        return whole

    def _continues_event(self, event: WatchEvent) -> bool:
        if event.part != len(self._parts) or event.part >= MAX_EVENT_PARTS:
            return False
        last = self._parts[-1]
        return (
            last.cluster_id == event.cluster_id
            and last.from_revision == event.from_revision
            and last.revision == event.revision
            and last.snapshot == event.snapshot
        )

    def _find_reason_to_ignore(self, event: WatchEvent) -> IgnoredReason | None:
        if self.cluster_id and event.cluster_id not in ("", self.cluster_id):
            return IgnoredReason.OTHER_CLUSTER
        if event.revision < self.revision:
            return IgnoredReason.OLDER
        if event.revision == self.revision:
            return IgnoredReason.HEARTBEAT
        if not event.cluster_id:
            return IgnoredReason.UNREADABLE
        if not event.snapshot and event.from_revision > self.revision:
            return IgnoredReason.GAP
        return None

    def _apply_changes(
        self, event: WatchEvent, resources: list[Resource], deleted: list[ResourceKey]
    ) -> Applied:
        self._table.cluster_id = event.cluster_id
        if event.snapshot:
            return self._apply_snapshot(event, resources)
        # An event may start before the view's revision: resources that the view has
        # already are skipped.
        newer = [item for item in resources if item.revision > self.revision]
        self._table.set_revision(event.revision)
        for resource in sorted(newer, key=change_sort_key):
            self._remove_from_lookups(resource.key)
            self._table.put(resource)
            self._add_to_lookups(resource)
        for key in deleted:
            self._remove_from_lookups(key)
            # The deletion is kept even if the view never held the resource: a
            # watcher of this host may hold it from another source.
            self._table.remove(key, event.revision)
        changed = frozenset(resource.key for resource in newer)
        return Applied(event.revision, False, changed, frozenset(deleted))

    def _apply_snapshot(self, event: WatchEvent, resources: list[Resource]) -> Applied:
        before = {resource.key for resource in self._table}
        self._table.replace(resources, event.revision, event.revision)
        for specs in self._spec_by_name.values():
            specs.clear()
        self._organisation_by_digest.clear()
        for resource in self._table:
            self._add_to_lookups(resource)
        keys = frozenset(resource.key for resource in self._table)
        return Applied(event.revision, True, keys, frozenset(before - keys))

    def _add_to_lookups(self, resource: Resource) -> None:
        kind, name = resource.key.kind, resource.key.name
        self._spec_by_name[kind][name] = resource.spec
        if isinstance(resource.spec, OrganisationSpec):
            for digest in resource.spec.key_sha256:
                self._organisation_by_digest[digest] = name

    def _remove_from_lookups(self, key: ResourceKey) -> None:
        before = self._spec_by_name[key.kind].pop(key.name, None)
        if isinstance(before, OrganisationSpec):
            for digest in before.key_sha256:
                if self._organisation_by_digest.get(digest) == key.name:
                    del self._organisation_by_digest[digest]
