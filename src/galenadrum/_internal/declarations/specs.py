"""Conversion of specifications from and to plain JSON values, with validation."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import cattrs
from cattrs import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from cattrs.gen import make_dict_structure_fn, override
from cattrs.v import format_exception

from galenadrum._internal.declarations import fields
from galenadrum._internal.declarations.names import NAME_RULE, is_valid_name
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.resources import (
    SPEC_CLASS_BY_KIND,
    Fencing,
    Kind,
    ModelSpec,
    Objective,
    OrganisationSpec,
    PipelineSpec,
    PolicySpec,
    Spec,
    StageSpec,
)
from galenadrum._internal.utils.validation_errors import flatten_errors

PIPELINE_MAX_STAGES = 8
DEADLINE_MAX_MS = 600_000
CLAIM_RETENTION_MIN_S = 60
CLAIM_RETENTION_MAX_S = 86_400
_MAX_KEYS_PER_ORGANISATION = 32
_MAX_PIPELINES_PER_ORGANISATION = 256
_MAX_ADAPTERS_PER_MODEL = 256
_MAX_ZONES = 64
_MAX_REPLICAS = 10_000
_MAX_LOADS_PER_MINUTE = 10_000
_MAX_FENCING_OVERRIDES = 512
_ENGINE_ID_MAX_CHARACTERS = 128
_MAX_WEIGHT = 1e6
_MAX_PRIORITY = 9
_VERSION_MAX_CHARACTERS = 128

_DIGEST_HOOK = fields.text_matching(
    "[0-9a-f]{64}", "expected a SHA-256 digest: 64 lower-case hex digits"
)

_HOOKS_BY_CLASS: dict[type, dict[str, fields.Hook]] = {
    OrganisationSpec: {
        "key_sha256": fields.distinct_list(_DIGEST_HOOK, 1, _MAX_KEYS_PER_ORGANISATION),
        "weight": fields.number_above(0, _MAX_WEIGHT),
        "priority": fields.integer_between(0, _MAX_PRIORITY),
        "pipelines": fields.distinct_list(
            fields.name, 0, _MAX_PIPELINES_PER_ORGANISATION
        ),
    },
    StageSpec: {
        "repeatable": fields.boolean,
        "streams": fields.boolean,
        "model": fields.optional(fields.name),
        "adapter": fields.optional(fields.name),
        "expected_service_ms": fields.integer_between(1, DEADLINE_MAX_MS),
        "fencing": fields.optional(fields.one_of(Fencing)),
    },
    PipelineSpec: {
        # A reply identifies its stage by name, so a pipeline can't repeat a stage.
        "stages": fields.distinct_list(fields.name, 1, PIPELINE_MAX_STAGES),
        "deadline_ms": fields.integer_between(1, DEADLINE_MAX_MS),
        "claim_retention_s": fields.integer_between(
            CLAIM_RETENTION_MIN_S, CLAIM_RETENTION_MAX_S
        ),
    },
    ModelSpec: {
        "version": fields.text_up_to(_VERSION_MAX_CHARACTERS),
        "adapters": fields.distinct_list(fields.name, 0, _MAX_ADAPTERS_PER_MODEL),
        "replicas_by_zone": fields.map_of(
            fields.name, fields.integer_between(0, _MAX_REPLICAS), _MAX_ZONES
        ),
        "prefill_replicas": fields.integer_between(0, _MAX_REPLICAS),
        "decode_replicas": fields.integer_between(0, _MAX_REPLICAS),
        "switch_in_place": fields.boolean,
    },
    PolicySpec: {
        "objective": fields.one_of(Objective),
        "loads_per_minute": fields.integer_between(1, _MAX_LOADS_PER_MINUTE),
        "fencing_by_engine": fields.map_of(
            fields.text_up_to(_ENGINE_ID_MAX_CHARACTERS),
            fields.one_of(Fencing),
            _MAX_FENCING_OVERRIDES,
        ),
    },
}


def structure_spec(
    kind: Kind, mapping: Mapping[str, Any], path: str = "spec"
) -> Spec | tuple[Finding, ...]:
    """Validate plain JSON values and build the specification of a resource.

    Args:
        kind: The kind of the resource.
        mapping: The parsed ``spec`` object.
        path: Path of that object, used as the prefix of each finding's path.

    Returns:
        The specification, or all findings in the order of their paths. The
        findings have an empty file; their line and column are 0.
    """
    if not isinstance(mapping, Mapping):
        message = f"expected an object, found {fields.type_name(mapping)}"
        return (Finding("", 0, 0, path, message),)
    try:
        return _CONVERTER.structure(dict(mapping), SPEC_CLASS_BY_KIND[kind])
    except (ClassValidationError, IterableValidationError) as error:
        return tuple(sorted(_build_findings(error, path)))


def unstructure_spec(spec: Spec) -> dict[str, Any]:
    """Return ``spec`` as plain JSON values, including fields with default values."""
    return _CONVERTER.unstructure(spec)


def check_name(kind: Kind, name: str, path: str = "name") -> tuple[Finding, ...]:
    """Check the name of a resource and return its findings.

    All kinds of resource have the same syntax of names.
    """
    if not is_valid_name(name):
        return (Finding("", 0, 0, path, NAME_RULE),)
    return ()


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for enum_class in (Objective, Fencing):
        converter.register_unstructure_hook(enum_class, lambda value: value.value)
    for cls, hook_by_field in _HOOKS_BY_CLASS.items():
        overrides = {
            name: override(struct_hook=hook) for name, hook in hook_by_field.items()
        }
        hook = make_dict_structure_fn(
            cls, converter, _cattrs_forbid_extra_keys=True, **overrides
        )
        converter.register_structure_hook(cls, hook)
    return converter


def _build_findings(error: Exception, path: str) -> list[Finding]:
    """Flatten the grouped errors of cattrs into findings with paths."""
    findings: list[Finding] = []
    for inner_path, inner in flatten_errors(error):
        place = path + "".join(map(_format_path_part, inner_path))
        if isinstance(inner, ForbiddenExtraKeysError):
            findings.extend(
                Finding("", 0, 0, f"{place}.{field}", "unknown field")
                for field in inner.extra_fields
            )
        else:
            findings.append(Finding("", 0, 0, place, _format_error(inner)))
    return findings


def _format_path_part(part: str | int) -> str:
    return f"[{part}]" if isinstance(part, int) else f".{part}"


def _format_error(error: Exception) -> str:
    """Return the message of a hook's error, or cattrs' description of its own."""
    if type(error) in (TypeError, ValueError):
        return str(error)
    return format_exception(error, None)


_CONVERTER = _build_converter()
