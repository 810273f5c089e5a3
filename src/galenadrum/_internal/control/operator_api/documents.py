"""JSON documents of resources, statuses and events for operators."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from galenadrum._internal.control.orders.status import ModelStatus
from galenadrum._internal.control.state.revision_confirmations import (
    HostConfirmation,
    RolloutStatus,
)
from galenadrum._internal.declarations.references import list_references
from galenadrum._internal.declarations.specs import unstructure_spec
from galenadrum._internal.models.resources import Resource
from galenadrum._internal.protocol.commands_pb2 import ChangeResult
from galenadrum._internal.protocol.declarations_pb2 import ResourceRecord, WatchEvent

_MAX_LISTED_HOSTS = 50
_MAX_LISTED_ENGINES = 200


def build_resource_document(
    resource: Resource, status: RolloutStatus, model: ModelStatus | None = None
) -> dict[str, Any]:
    """Return the document of a resource with its rollout status.

    The status of a model also lists the engines that have loaded it, once the
    leader knows them.
    """
    status_fields = build_status_document(status)
    if model is not None:
        status_fields |= build_model_status_document(model)
    return {
        "kind": resource.key.kind.value,
        "name": resource.key.name,
        "owner": resource.owner,
        "revision": resource.revision,
        "generation": resource.generation,
        "spec": unstructure_spec(resource.spec),
        "status": status_fields,
    }


def build_model_status_document(status: ModelStatus) -> dict[str, Any]:
    """Return the status of a model on the engines; long lists are truncated."""
    failure = status.failure
    return {
        "loaded_by_zone": status.replicas_by_zone,
        "engine_count": len(status.engines),
        "engines": [
            {
                "engine_id": engine.engine_id,
                "zone": engine.zone,
                "version": engine.version,
                "adapters": list(engine.adapters),
                "role": engine.role,
                "order": engine.order,
                "waits_for": engine.waits_for,
                "fencing": engine.fencing,
                "announces_fencing": engine.announces_fencing,
                "declared_fencing": engine.declared_fencing,
            }
            for engine in status.engines[:_MAX_LISTED_ENGINES]
        ],
        "failure": None
        if failure is None
        else {
            "engine_id": failure.engine_id,
            "message": failure.message,
            "count": failure.count,
            "retry_in_s": failure.retry_in_s,
        },
    }


def build_status_document(status: RolloutStatus) -> dict[str, Any]:
    """Return the rollout status of a revision; long host lists are truncated."""
    return {
        "in_force": status.is_in_force,
        "live_hosts": status.live_count,
        "missing_count": len(status.missing),
        "missing": [host.host_id for host in status.missing[:_MAX_LISTED_HOSTS]],
        "silent_count": len(status.silent),
        "silent": [host.host_id for host in status.silent[:_MAX_LISTED_HOSTS]],
    }


def build_host_document(host: HostConfirmation) -> dict[str, Any]:
    """Return the latest confirmation of an entry host."""
    return {
        "host_id": host.host_id,
        "zone": host.zone,
        "revision": host.revision,
        "age_s": round(host.age_s, 3),
    }


def build_record_document(record: ResourceRecord) -> dict[str, Any]:
    """Return a stored resource without its status."""
    return {
        "kind": record.kind,
        "name": record.name,
        "owner": record.owner,
        "revision": record.revision,
        "generation": record.generation,
        "spec": json.loads(record.spec_json),
    }


def build_event_document(event: WatchEvent) -> dict[str, Any]:
    """Return the document of one watch event."""
    return {
        "from_revision": event.from_revision,
        "revision": event.revision,
        "snapshot": event.snapshot,
        "changed": [build_record_document(record) for record in event.changed],
        "deleted": [{"kind": row.kind, "name": row.name} for row in event.deleted],
    }


def build_accepted_document(result: ChangeResult) -> dict[str, Any]:
    """Return the response to an accepted change."""
    return {
        "revision": result.revision,
        "results": [
            {
                "kind": row.kind,
                "name": row.name,
                "outcome": row.outcome,
                "revision": row.revision,
            }
            for row in result.results
        ],
        "repeated": result.repeated,
    }


def build_export_document(resources: Iterable[Resource]) -> dict[str, Any]:
    """Return the declarations of one owner.

    ``references_elsewhere`` lists referenced resources that belong to another
    owner and so aren't part of the export.
    """
    exported = tuple(resources)
    keys = {resource.key for resource in exported}
    external_references = {
        str(reference.target)
        for resource in exported
        for reference in list_references(resource.spec)
        if reference.target not in keys
    }
    return {
        "resources": [
            {
                "kind": resource.key.kind.value,
                "name": resource.key.name,
                "spec": unstructure_spec(resource.spec),
            }
            for resource in exported
        ],
        "references_elsewhere": sorted(external_references),
    }
