"""The operators' HTTP messages to and from typed values.

Control hosts may be newer than the client, so that unknown members are left
out; what is missing or of another type makes an answer malformed.
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


class MalformedAnswerError(ValueError):
    """Raised when an answer doesn't have the form of the operators' calls."""


def encode_change_set(change_set: ChangeSet, check_only: bool) -> dict[str, Any]:
    """Return the body of ``POST /v1/changes``."""
    return {
        "change_id": change_set.change_id,
        "changes": [encode_change(change) for change in change_set.changes],
        "check_only": check_only,
    }


def encode_change(change: Change) -> dict[str, Any]:
    """Return one change as JSON values."""
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
    """Read one change back from JSON values."""
    return Change(
        ChangeAction(_member(body, "action", str)),
        _decode_key(body),
        body.get("spec"),
        body.get("base_revision"),
    )


def decode_change_set_outcome(body: Any) -> ChangeSetOutcome:
    """Read the answer to ``POST /v1/changes``."""
    results = tuple(
        ChangeOutcome(
            _decode_key(item),
            _member(item, "outcome", str),
            _member(item, "revision", int),
        )
        for item in _member(body, "results", list)
    )
    repeated = bool(body.get("repeated"))
    return ChangeSetOutcome(_member(body, "revision", int), results, repeated)


def decode_resource_list(body: Any) -> ResourceList:
    """Read the answer to ``GET /v1/resources``."""
    items = _member(body, "resources", list)
    resources = tuple(decode_resource(item) for item in items)
    return ResourceList(_member(body, "revision", int), resources)


def decode_resource(body: Any) -> ResourceState:
    """Read one resource."""
    return ResourceState(
        key=_decode_key(body),
        owner=_member(body, "owner", str),
        revision=_member(body, "revision", int),
        generation=_member(body, "generation", int),
        spec=_member(body, "spec", dict),
        status=body.get("status") or {},
    )


def decode_event(body: Any) -> ResourceEvent:
    """Read one line of ``GET /v1/watch``."""
    changed = body.get("changed") or [] if isinstance(body, dict) else []
    deleted = body.get("deleted") or [] if isinstance(body, dict) else []
    return ResourceEvent(
        from_revision=_member(body, "from_revision", int),
        revision=_member(body, "revision", int),
        snapshot=bool(body.get("snapshot")),
        changed=tuple(decode_resource(item) for item in changed),
        deleted=tuple(_decode_key(item) for item in deleted),
    )


def decode_findings(error: dict[str, Any]) -> tuple[Finding, ...]:
    """Read the findings of a refusal."""
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
        kind = Kind(_member(body, "kind", str))
    except ValueError as error:
        raise MalformedAnswerError(str(error)) from error
    return ResourceKey(kind, _member(body, "name", str))


def _member(body: Any, name: str, expected: type) -> Any:
    value = body.get(name) if isinstance(body, dict) else None
    if not isinstance(value, expected):
        raise MalformedAnswerError(f"{name} is missing or malformed in the answer")
    return value
