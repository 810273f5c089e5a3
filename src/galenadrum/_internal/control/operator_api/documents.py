"""Resources and events as the JSON documents that operators read."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from galenadrum._internal.control.orders.status import ModelStatus
from galenadrum._internal.control.state.in_force import HostStatus, InForceStatus
from galenadrum._internal.declarations.references import references_of
from galenadrum._internal.declarations.specs import unstructure_spec
from galenadrum._internal.models.resources import Resource
from galenadrum._internal.protocol.commands_pb2 import ChangeResult
from galenadrum._internal.protocol.declarations_pb2 import ResourceRecord, WatchEvent

_MAX_LISTED_HOSTS = 50
_MAX_LISTED_ENGINES = 200


def resource_document(
    resource: Resource, status: InForceStatus, model: ModelStatus | None = None
) -> dict[str, Any]:
    """Return a resource with the place where it is in force.

    A model also shows what the engines have loaded, once the leader knows.
    """
    shown = status_document(status)
    if model is not None:
        shown |= model_status_document(model)
    return {
        "kind": resource.key.kind.value,
        "name": resource.key.name,
        "owner": resource.owner,
        "revision": resource.revision,
        "generation": resource.generation,
        "spec": unstructure_spec(resource.spec),
        "status": shown,
    }


def model_status_document(status: ModelStatus) -> dict[str, Any]:
    """Return what the engines hold of a model; a long list of them is cut."""
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


def status_document(status: InForceStatus) -> dict[str, Any]:
    """Return where a revision is in force; long lists of hosts are cut."""
    return {
        "in_force": status.is_in_force,
        "live_hosts": status.live_count,
        "missing_count": len(status.missing),
        "missing": [host.host_id for host in status.missing[:_MAX_LISTED_HOSTS]],
        "silent_count": len(status.silent),
        "silent": [host.host_id for host in status.silent[:_MAX_LISTED_HOSTS]],
    }


def host_document(host: HostStatus) -> dict[str, Any]:
    """Return what an entry host last confirmed."""
    return {
        "host_id": host.host_id,
        "zone": host.zone,
        "revision": host.revision,
        "age_s": round(host.age_s, 3),
    }


def record_document(record: ResourceRecord) -> dict[str, Any]:
    """Return a resource as it stands, without its status."""
    return {
        "kind": record.kind,
        "name": record.name,
        "owner": record.owner,
        "revision": record.revision,
        "generation": record.generation,
        "spec": json.loads(record.spec_json),
    }


def event_document(event: WatchEvent) -> dict[str, Any]:
    """Return one line of a watch."""
    return {
        "from_revision": event.from_revision,
        "revision": event.revision,
        "snapshot": event.snapshot,
        "changed": [record_document(record) for record in event.changed],
        "deleted": [{"kind": row.kind, "name": row.name} for row in event.deleted],
    }


def accepted_document(result: ChangeResult) -> dict[str, Any]:
    """Return the answer to an accepted change."""
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


def export_document(resources: Iterable[Resource]) -> dict[str, Any]:
    """Return the declarations of one owner.

    ``references_elsewhere`` names what they refer to but the export doesn't
    hold, as it belongs to another owner.
    """
    exported = tuple(resources)
    keys = {resource.key for resource in exported}
    elsewhere = {
        str(reference.target)
        for resource in exported
        for reference in references_of(resource.spec)
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
        "references_elsewhere": sorted(elsewhere),
    }
