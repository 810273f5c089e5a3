"""Conversion between resources and the records that are sent and stored."""

from __future__ import annotations

import json
from typing import Any

from galenadrum._internal.declarations.specs import (
    check_name,
    structure_spec,
    unstructure_spec,
)
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.resources import Kind, Resource, ResourceKey, Spec
from galenadrum._internal.protocol.declarations_pb2 import ResourceRecord

SPEC_MAX_BYTES = 64 * 1024
_MAX_OPENING_BRACKETS = 64


def encode_spec(spec: Spec) -> bytes:
    """Return the canonical JSON of ``spec``: sorted keys, no white space."""
    document = unstructure_spec(spec)
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def decode_spec(kind: Kind, spec_json: bytes) -> Spec:
    """Parse and check a specification.

    Raises:
        CheckFailedError: The specification is invalid; holds all findings.
    """
    result = structure_spec(kind, _parse_json(spec_json))
    if isinstance(result, tuple):
        raise CheckFailedError(result)
    return result


def encode_resource(
    resource: Resource, spec_json: bytes | None = None
) -> ResourceRecord:
    """Encode ``resource`` as a record.

    Args:
        resource: The resource to encode.
        spec_json: Its encoded specification, or None to encode it here.
    """
    return ResourceRecord(
        kind=resource.key.kind,
        name=resource.key.name,
        owner=resource.owner,
        revision=resource.revision,
        generation=resource.generation,
        spec_json=encode_spec(resource.spec) if spec_json is None else spec_json,
    )


def decode_resource(record: ResourceRecord) -> Resource:
    """Decode the resource of ``record``.

    Raises:
        CheckFailedError: The kind, name or specification isn't valid in this
            version of the software.
    """
    key = parse_resource_key(record.kind, record.name)
    return Resource(
        key=key,
        owner=record.owner,
        revision=record.revision,
        generation=record.generation,
        spec=decode_spec(key.kind, record.spec_json),
    )


def parse_resource_key(kind: str, name: str) -> ResourceKey:
    """Return the resource key of ``kind`` and ``name``.

    Raises:
        CheckFailedError: The kind is unknown, or the name is invalid.
    """
    try:
        known_kind = Kind(kind)
    except ValueError:
        allowed = ", ".join(repr(str(member)) for member in Kind)
        finding = Finding(
            "", 0, 0, "kind", f"expected one of {allowed}, found {kind!r}"
        )
        raise CheckFailedError((finding,)) from None
    findings = check_name(known_kind, name)
    if findings:
        raise CheckFailedError(findings)
    return ResourceKey(known_kind, name)


def _parse_json(spec_json: bytes) -> Any:
    if len(spec_json) > SPEC_MAX_BYTES:
        message = f"longer than {SPEC_MAX_BYTES} bytes"
        raise CheckFailedError((Finding("", 0, 0, "spec", message),))
    # The nesting depth at which the JSON parser fails depends on the caller's
    # stack. All members must reject the same documents, so the number of opening
    # brackets is limited to well below that depth.
    if spec_json.count(b"[") + spec_json.count(b"{") > _MAX_OPENING_BRACKETS:
        message = f"more than {_MAX_OPENING_BRACKETS} lists and objects"
        raise CheckFailedError((Finding("", 0, 0, "spec", message),))
    try:
        return json.loads(spec_json)
    except ValueError as error:
        finding = Finding("", 0, 0, "spec", f"not JSON: {error}")
        raise CheckFailedError((finding,)) from None
