"""Bodies of ``POST /v1/changes``, checked and turned into change sets."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from galenadrum._internal.control.operator_api.responses import ErrorCode, refuse
from galenadrum._internal.declarations.fields import type_name
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.protocol.commands_pb2 import Change, ChangeSet

MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_REVISION = 2**63 - 1
_MAX_FINDINGS = 1_000
_ACTION_BY_WORD = {"put": Change.PUT, "delete": Change.DELETE}
_REQUIRED_TYPES = {"action": str, "kind": str, "name": str}
_CHANGE_KEYS = frozenset((*_REQUIRED_TYPES, "spec", "base_revision"))
_BODY_KEYS = frozenset(("change_id", "changes", "check_only"))


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """An operator's change.

    Attributes:
        check_only: Whether only to say what would become of it.
    """

    change_set: ChangeSet
    check_only: bool


def read_body(environ: dict[str, Any]) -> bytes:
    """Read the body of a request, within its bound.

    Raises:
        ApiRefusedError: It has no stated length, is too large or was cut short.
    """
    try:
        length = int(environ.get("CONTENT_LENGTH") or "")
    except ValueError:
        raise refuse(ErrorCode.BAD_REQUEST, "Content-Length is missing") from None
    if not 0 <= length <= MAX_BODY_BYTES:
        message = f"the body is larger than {MAX_BODY_BYTES} bytes"
        raise refuse(ErrorCode.TOO_LARGE, message)
    body = environ["wsgi.input"].read(length)
    if len(body) != length:
        raise refuse(ErrorCode.BAD_REQUEST, "the body was cut short")
    return body


def parse_change_request(body: bytes, operator_name: str) -> ChangeRequest:
    """Check the form of a change; what it declares is checked later.

    Raises:
        ApiRefusedError: With all findings on its form.
    """
    document = _parse_json(body)
    findings = _check_body(document)
    changes: list[Change] = []
    if isinstance(document.get("changes"), list):
        for position, item in enumerate(document["changes"]):
            path = f"changes[{position}]"
            found = _check_change(item, path)
            findings += found
            if not found:
                changes.append(_change_of(item))
            if len(findings) >= _MAX_FINDINGS:
                break
    if findings:
        raise refuse(ErrorCode.BAD_REQUEST, "the change can't be read", findings)
    change_set = ChangeSet(
        operator_name=operator_name, change_id=document["change_id"], changes=changes
    )
    return ChangeRequest(change_set, document.get("check_only", False))


def _parse_json(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise refuse(ErrorCode.BAD_REQUEST, f"not JSON: {error}") from None
    if not isinstance(document, dict):
        message = f"expected an object, found {type_name(document)}"
        raise refuse(ErrorCode.BAD_REQUEST, message)
    return document


def _check_body(document: dict[str, Any]) -> list[Finding]:
    findings = _check_unknown(document, _BODY_KEYS, "")
    findings += _check_type(document, "change_id", str, "", required=True)
    findings += _check_type(document, "changes", list, "", required=True)
    findings += _check_type(document, "check_only", bool, "", required=False)
    return findings


def _check_change(item: Any, path: str) -> list[Finding]:
    if not isinstance(item, dict):
        return [_finding(path, f"expected an object, found {type_name(item)}")]
    findings = _check_unknown(item, _CHANGE_KEYS, f"{path}.")
    for key, expected in _REQUIRED_TYPES.items():
        findings += _check_type(item, key, expected, f"{path}.", required=True)
    word = item.get("action")
    if isinstance(word, str) and word not in _ACTION_BY_WORD:
        findings.append(_finding(f"{path}.action", "expected 'put' or 'delete'"))
    if word == "put":
        findings += _check_type(item, "spec", dict, f"{path}.", required=True)
    elif "spec" in item:
        findings.append(_finding(f"{path}.spec", "only a put has a specification"))
    return findings + _check_base(item, path)


def _check_base(item: dict[str, Any], path: str) -> list[Finding]:
    base = item.get("base_revision")
    if base is None:
        return []
    if isinstance(base, bool) or not isinstance(base, int):
        message = f"expected a whole number, found {type_name(base)}"
        return [_finding(f"{path}.base_revision", message)]
    if not 0 <= base <= _MAX_REVISION:
        return [_finding(f"{path}.base_revision", "expected 0 or more")]
    return []


def _check_unknown(
    document: dict[str, Any], known: frozenset[str], prefix: str
) -> list[Finding]:
    return [
        _finding(f"{prefix}{key}", "unknown field")
        for key in document
        if key not in known
    ]


def _check_type(
    document: dict[str, Any], key: str, expected: type, prefix: str, required: bool
) -> list[Finding]:
    if key not in document:
        missing = _finding(f"{prefix}{key}", "required field missing")
        return [missing] if required else []
    value = document[key]
    if isinstance(value, str) and not value.isprintable():
        return [_finding(f"{prefix}{key}", "not printable")]
    if isinstance(value, expected):
        return []
    message = f"expected {type_name(expected())}, found {type_name(document[key])}"
    return [_finding(f"{prefix}{key}", message)]


def _change_of(item: dict[str, Any]) -> Change:
    change = Change(
        action=_ACTION_BY_WORD[item["action"]],
        kind=item["kind"],
        name=item["name"],
        base_revision=item.get("base_revision"),
    )
    if "spec" in item:
        change.spec_json = _encode_spec(item["spec"])
    return change


def _encode_spec(spec: dict[str, Any]) -> bytes:
    """Return the specification with sorted keys.

    The same change then has the same bytes, and so the same fingerprint.
    """
    try:
        return json.dumps(spec, sort_keys=True).encode()
    except RecursionError:
        raise refuse(ErrorCode.BAD_REQUEST, "a spec is nested too deeply") from None


def _finding(path: str, message: str) -> Finding:
    return Finding("", 0, 0, path, message)
