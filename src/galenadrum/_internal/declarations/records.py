"""Resources to and from the records in which they travel and rest."""

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
_MAX_BRACKETS = 64


def encode_spec(spec: Spec) -> bytes:
    """Return the one JSON form of ``spec``: sorted keys, no white space."""
    document = unstructure_spec(spec)
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def decode_spec(kind: Kind, spec_json: bytes) -> Spec:
    """Parse and check a specification.

    Raises:
        CheckFailedError: With all findings, if it isn't a valid specification.
    """
    result = structure_spec(kind, _parse(spec_json))
    if isinstance(result, tuple):
        raise CheckFailedError(result)
    return result


def record_of(resource: Resource, spec_json: bytes | None = None) -> ResourceRecord:
    """Return the record of ``resource``.

    Args:
        resource: What the record is to hold.
        spec_json: Its encoded specification, if that is known already.
    """
    return ResourceRecord(
        kind=resource.key.kind,
        name=resource.key.name,
        owner=resource.owner,
        revision=resource.revision,
        generation=resource.generation,
        spec_json=encode_spec(resource.spec) if spec_json is None else spec_json,
    )


def resource_of(record: ResourceRecord) -> Resource:
    """Return the resource that ``record`` holds.

    Raises:
        CheckFailedError: If this version can't understand the record.
    """
    key = key_of(record.kind, record.name)
    return Resource(
        key=key,
        owner=record.owner,
        revision=record.revision,
        generation=record.generation,
        spec=decode_spec(key.kind, record.spec_json),
    )


def key_of(kind: str, name: str) -> ResourceKey:
    """Return the key with that kind and name.

    Raises:
        CheckFailedError: If there is no such kind, or no resource of it may
            have that name.
    """
    try:
        known = Kind(kind)
    except ValueError:
        words = ", ".join(repr(str(word)) for word in Kind)
        finding = Finding("", 0, 0, "kind", f"expected one of {words}, found {kind!r}")
        raise CheckFailedError((finding,)) from None
    findings = check_name(known, name)
    if findings:
        raise CheckFailedError(findings)
    return ResourceKey(known, name)


def _parse(spec_json: bytes) -> Any:
    if len(spec_json) > SPEC_MAX_BYTES:
        message = f"longer than {SPEC_MAX_BYTES} bytes"
        raise CheckFailedError((Finding("", 0, 0, "spec", message),))
    # How deep a document may be parsed depends on the caller's stack; members
    # must agree on what they refuse, so that depth is bounded well before.
    if spec_json.count(b"[") + spec_json.count(b"{") > _MAX_BRACKETS:
        message = f"more than {_MAX_BRACKETS} lists and objects"
        raise CheckFailedError((Finding("", 0, 0, "spec", message),))
    try:
        return json.loads(spec_json)
    except ValueError as error:
        finding = Finding("", 0, 0, "spec", f"not JSON: {error}")
        raise CheckFailedError((finding,)) from None
