"""Validation of ``POST /v1/changes`` bodies and conversion to change sets."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from galenadrum._internal.control.operator_api.responses import ErrorCode, build_refusal
from galenadrum._internal.declarations.fields import type_name
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.protocol.commands_pb2 import Change, ChangeSet

MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_REVISION = 2**63 - 1
_MAX_FINDINGS = 1_000
_ACTION_BY_NAME = {"put": Change.PUT, "delete": Change.DELETE}
_REQUIRED_TYPE_BY_FIELD = {"action": str, "kind": str, "name": str}
_CHANGE_FIELDS = frozenset((*_REQUIRED_TYPE_BY_FIELD, "spec", "base_revision"))
_BODY_FIELDS = frozenset(("change_id", "changes", "check_only"))


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Change set that an operator submits.

    Attributes:
        change_set: Changes, as they are proposed to the replicated log.
        check_only: True if the changes are validated but not applied.
    """

    change_set: ChangeSet
    check_only: bool


def read_request_body(environ: dict[str, Any]) -> bytes:
    """Read the body of a request, of at most `MAX_BODY_BYTES` bytes.

    Raises:
        ApiRefusedError: The body has no Content-Length, is too large or is shorter
            than its Content-Length.
    """
    try:
        length = int(environ.get("CONTENT_LENGTH") or "")
    except ValueError:
        raise build_refusal(
            ErrorCode.BAD_REQUEST, "Content-Length is missing"
        ) from None
    if not 0 <= length <= MAX_BODY_BYTES:
        message = f"the body is larger than {MAX_BODY_BYTES} bytes"
        raise build_refusal(ErrorCode.TOO_LARGE, message)
    body = environ["wsgi.input"].read(length)
    if len(body) != length:
        raise build_refusal(ErrorCode.BAD_REQUEST, "the body was cut short")
    return body


def parse_change_request(body: bytes, operator_name: str) -> ChangeRequest:
    """Parse the body of a change request and check its field names and types.

    The specifications in it are validated later.

    Raises:
        ApiRefusedError: The body is malformed; the error lists the findings.
    """
    document = _parse_json(body)
    findings = _check_body(document)
    changes: list[Change] = []
    if isinstance(document.get("changes"), list):
        for position, item in enumerate(document["changes"]):
            path = f"changes[{position}]"
            change_findings = _check_change(item, path)
            findings += change_findings
            if not change_findings:
                changes.append(_build_change(item))
            if len(findings) >= _MAX_FINDINGS:
                break
    if findings:
        raise build_refusal(ErrorCode.BAD_REQUEST, "the change can't be read", findings)
    change_set = ChangeSet(
        operator_name=operator_name, change_id=document["change_id"], changes=changes
    )
    return ChangeRequest(change_set, document.get("check_only", False))


def _parse_json(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise build_refusal(ErrorCode.BAD_REQUEST, f"not JSON: {error}") from None
    if not isinstance(document, dict):
        message = f"expected an object, found {type_name(document)}"
        raise build_refusal(ErrorCode.BAD_REQUEST, message)
    return document


def _check_body(document: dict[str, Any]) -> list[Finding]:
    findings = _check_unknown_fields(document, _BODY_FIELDS, "")
    findings += _check_field_type(document, "change_id", str, "", required=True)
    findings += _check_field_type(document, "changes", list, "", required=True)
    findings += _check_field_type(document, "check_only", bool, "", required=False)
    return findings


def _check_change(item: Any, path: str) -> list[Finding]:
    if not isinstance(item, dict):
        return [_build_finding(path, f"expected an object, found {type_name(item)}")]
    findings = _check_unknown_fields(item, _CHANGE_FIELDS, f"{path}.")
    for key, expected in _REQUIRED_TYPE_BY_FIELD.items():
        findings += _check_field_type(item, key, expected, f"{path}.", required=True)
    action_name = item.get("action")
    if isinstance(action_name, str) and action_name not in _ACTION_BY_NAME:
        findings.append(_build_finding(f"{path}.action", "expected 'put' or 'delete'"))
    if action_name == "put":
        findings += _check_field_type(item, "spec", dict, f"{path}.", required=True)
    elif "spec" in item:
        findings.append(
            _build_finding(f"{path}.spec", "only a put has a specification")
        )
    return findings + _check_base_revision(item, path)


def _check_base_revision(item: dict[str, Any], path: str) -> list[Finding]:
    base_revision = item.get("base_revision")
    if base_revision is None:
        return []
    if isinstance(base_revision, bool) or not isinstance(base_revision, int):
        message = f"expected a whole number, found {type_name(base_revision)}"
        return [_build_finding(f"{path}.base_revision", message)]
    if not 0 <= base_revision <= _MAX_REVISION:
        return [_build_finding(f"{path}.base_revision", "expected 0 or more")]
    return []


def _check_unknown_fields(
    document: dict[str, Any], allowed_keys: frozenset[str], prefix: str
) -> list[Finding]:
    return [
        _build_finding(f"{prefix}{key}", "unknown field")
        for key in document
        if key not in allowed_keys
    ]


def _check_field_type(
    document: dict[str, Any], key: str, expected: type, prefix: str, required: bool
) -> list[Finding]:
    if key not in document:
        missing = _build_finding(f"{prefix}{key}", "required field missing")
        return [missing] if required else []
    value = document[key]
    if isinstance(value, str) and not value.isprintable():
        return [_build_finding(f"{prefix}{key}", "not printable")]
    if isinstance(value, expected):
        return []
    message = f"expected {type_name(expected())}, found {type_name(document[key])}"
    return [_build_finding(f"{prefix}{key}", message)]


def _build_change(item: dict[str, Any]) -> Change:
    change = Change(
        action=_ACTION_BY_NAME[item["action"]],
        kind=item["kind"],
        name=item["name"],
        base_revision=item.get("base_revision"),
    )
    if "spec" in item:
        change.spec_json = _encode_spec(item["spec"])
    return change


def _encode_spec(spec: dict[str, Any]) -> bytes:
    """Encode a specification as JSON with sorted keys.

    Equal changes then have equal bytes, and so the same fingerprint.
    """
    try:
        return json.dumps(spec, sort_keys=True).encode()
    except RecursionError:
        raise build_refusal(
            ErrorCode.BAD_REQUEST, "a spec is nested too deeply"
        ) from None


def _build_finding(path: str, message: str) -> Finding:
    return Finding("", 0, 0, path, message)
