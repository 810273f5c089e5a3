"""Encoding and decoding of the messages of the operators' HTTP API.

Unknown fields are ignored, since control hosts may be newer than the client. A
missing field or one of another type makes a response malformed.
"""

from __future__ import annotations

from typing import Any

from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.operator_api import (
    Change,
    ChangeAction,
    ChangeOutcome,
    ChangeSet,
    ChangeSetOutcome,
    ResourceEvent,
    ResourceList,
    ResourceState,
)
from galenadrum._internal.models.resources import Kind, ResourceKey


class MalformedResponseError(ValueError):
    """Raised when a response doesn't conform to the operators' HTTP API."""


def encode_change_set(change_set: ChangeSet, check_only: bool) -> dict[str, Any]:
    """Encode the body of ``POST /v1/changes``."""
    return {
        "change_id": change_set.change_id,
        "changes": [encode_change(change) for change in change_set.changes],
        "check_only": check_only,
    }


def encode_change(change: Change) -> dict[str, Any]:
    """Encode a change as a JSON object."""
    body: dict[str, Any] = {
        "action": str(change.action),
        "kind": str(change.key.kind),
        "name": change.key.name,
    }
    if change.spec is not None:
        body["spec"] = change.spec
    if change.base_revision is not None:
        body["base_revision"] = change.base_revision
    return body


def decode_change(body: Any) -> Change:
    """Decode a change from a JSON object."""
    return Change(
        ChangeAction(_get_field(body, "action", str)),
        _decode_key(body),
        body.get("spec"),
        body.get("base_revision"),
    )


def decode_change_set_outcome(body: Any) -> ChangeSetOutcome:
    """Decode the response to ``POST /v1/changes``."""
    results = tuple(
        ChangeOutcome(
            _decode_key(item),
            _get_field(item, "outcome", str),
            _get_field(item, "revision", int),
        )
        for item in _get_field(body, "results", list)
    )
    repeated = bool(body.get("repeated"))
    return ChangeSetOutcome(_get_field(body, "revision", int), results, repeated)


def decode_resource_list(body: Any) -> ResourceList:
    """Decode the response to ``GET /v1/resources``."""
    items = _get_field(body, "resources", list)
    resources = tuple(decode_resource(item) for item in items)
    return ResourceList(_get_field(body, "revision", int), resources)


def decode_resource(body: Any) -> ResourceState:
    """Decode a resource from a JSON object."""
    return ResourceState(
        key=_decode_key(body),
        owner=_get_field(body, "owner", str),
        revision=_get_field(body, "revision", int),
        generation=_get_field(body, "generation", int),
        spec=_get_field(body, "spec", dict),
        status=body.get("status") or {},
    )


def decode_event(body: Any) -> ResourceEvent:
    """Decode a line of the response to ``GET /v1/watch``."""
    changed = body.get("changed") or [] if isinstance(body, dict) else []
    deleted = body.get("deleted") or [] if isinstance(body, dict) else []
    return ResourceEvent(
        from_revision=_get_field(body, "from_revision", int),
        revision=_get_field(body, "revision", int),
        snapshot=bool(body.get("snapshot")),
        changed=tuple(decode_resource(item) for item in changed),
        deleted=tuple(_decode_key(item) for item in deleted),
    )


def decode_findings(error: dict[str, Any]) -> tuple[Finding, ...]:
    """Decode the findings of an error response."""
    return tuple(
        Finding(
            str(item.get("file", "")),
            int(item.get("line", 0)),
            int(item.get("column", 0)),
            str(item.get("path", "")),
            str(item.get("message", "")),
        )
        for item in error.get("findings") or []
        if isinstance(item, dict)
    )


def _decode_key(body: Any) -> ResourceKey:
    try:
        kind = Kind(_get_field(body, "kind", str))
    except ValueError as error:
        raise MalformedResponseError(str(error)) from error
    return ResourceKey(kind, _get_field(body, "name", str))


def _get_field(body: Any, name: str, expected: type) -> Any:
    value = body.get(name) if isinstance(body, dict) else None
    if not isinstance(value, expected):
        raise MalformedResponseError(f"field {name} is missing or has the wrong type")
    return value
