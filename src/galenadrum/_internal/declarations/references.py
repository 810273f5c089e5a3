"""Checks of references between resources and of shared caller keys."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.resources import (
    Declaration,
    Kind,
    OrganisationSpec,
    PipelineSpec,
    Resource,
    ResourceKey,
    Spec,
    StageSpec,
)

FindingBuilder = Callable[[ResourceKey, str, str], Finding]
"""Builds a finding from a resource's key, a path inside it and a message."""


@dataclass(frozen=True, slots=True)
class Reference:
    """A reference from one resource to another.

    Attributes:
        path: Path of the reference inside the resource, such as
            ``spec.stages[1]``.
        target: Key of the referenced resource, which must be declared.
    """

    path: str
    target: ResourceKey


def list_references(spec: Spec) -> Iterator[Reference]:
    """Yield the references from a specification to other resources."""
    if isinstance(spec, PipelineSpec):
        yield from _build_references("spec.stages", Kind.STAGE, spec.stages)
    elif isinstance(spec, OrganisationSpec):
        yield from _build_references("spec.pipelines", Kind.PIPELINE, spec.pipelines)
    elif isinstance(spec, StageSpec) and spec.model is not None:
        yield Reference("spec.model", ResourceKey(Kind.MODEL, spec.model))


def build_finding_at_key(key: ResourceKey, path: str, message: str) -> Finding:
    """Build a finding whose path starts with the key of the resource."""
    return Finding("", 0, 0, f"{key}: {path}", message)


def check_references(
    resources: Iterable[Declaration | Resource],
    place: FindingBuilder = build_finding_at_key,
) -> tuple[Finding, ...]:
    """Check references, duplicates and caller keys in a complete set.

    Args:
        resources: All declared resources.
        place: Builds each finding; callers that read files use it to add the
            file, line and column.

    Returns:
        One finding for each duplicate declaration, each reference to an
        undeclared resource and each key that two organisations share.
    """
    findings: list[Finding] = []
    spec_by_key: dict[ResourceKey, Spec] = {}
    for resource in resources:
        if resource.key in spec_by_key:
            findings.append(place(resource.key, "name", "declared twice"))
        spec_by_key[resource.key] = resource.spec
    holder_by_digest: dict[str, ResourceKey] = {}
    for key, spec in spec_by_key.items():
        findings += check_reference_targets(key, spec, spec_by_key.__contains__, place)
        findings += check_key_digests(key, spec, holder_by_digest.get, place)
        for digest in list_key_digests(spec):
            holder_by_digest.setdefault(digest, key)
    return tuple(findings)


def check_reference_targets(
    key: ResourceKey,
    spec: Spec,
    is_declared: Callable[[ResourceKey], bool],
    place: FindingBuilder = build_finding_at_key,
) -> list[Finding]:
    """Return a finding for each reference whose target isn't declared."""
    return [
        place(key, reference.path, f"{reference.target} is not declared")
        for reference in list_references(spec)
        if not is_declared(reference.target)
    ]


def check_key_digests(
    key: ResourceKey,
    spec: Spec,
    holder_of: Callable[[str], ResourceKey | None],
    place: FindingBuilder = build_finding_at_key,
) -> list[Finding]:
    """Return a finding for each caller key that another organisation holds.

    Args:
        key: Key of the checked resource.
        spec: Its specification.
        holder_of: Returns the resource that holds a digest, or None.
        place: Builds each finding.
    """
    findings = []
    for position, digest in enumerate(list_key_digests(spec)):
        holder = holder_of(digest)
        if holder is not None and holder != key:
            path = f"spec.key_sha256[{position}]"
            findings.append(place(key, path, f"{holder} has the same key"))
    return findings


def list_key_digests(spec: Spec) -> tuple[str, ...]:
    """Return the digests of an organisation's caller keys, else nothing."""
    return spec.key_sha256 if isinstance(spec, OrganisationSpec) else ()


def _build_references(
    path: str, kind: Kind, names: tuple[str, ...]
) -> Iterator[Reference]:
    for position, name in enumerate(names):
        yield Reference(f"{path}[{position}]", ResourceKey(kind, name))
