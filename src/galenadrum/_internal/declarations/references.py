"""References between resources: whatever one names must be declared."""

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

Place = Callable[[ResourceKey, str, str], Finding]
"""Makes a finding from a resource's key, a path inside it and a message."""


@dataclass(frozen=True, slots=True)
class Reference:
    """One resource's mention of another.

    Attributes:
        path: Path inside the resource, such as ``spec.stages[1]``.
        target: The resource that must be declared.
    """

    path: str
    target: ResourceKey


def references_of(spec: Spec) -> Iterator[Reference]:
    """Yield the references that a specification holds."""
    if isinstance(spec, PipelineSpec):
        yield from _references("spec.stages", Kind.STAGE, spec.stages)
    elif isinstance(spec, OrganisationSpec):
        yield from _references("spec.pipelines", Kind.PIPELINE, spec.pipelines)
    elif isinstance(spec, StageSpec) and spec.model is not None:
        yield Reference("spec.model", ResourceKey(Kind.MODEL, spec.model))


def place_by_key(key: ResourceKey, path: str, message: str) -> Finding:
    """Make a finding whose path begins with the key of the resource."""
    return Finding("", 0, 0, f"{key}: {path}", message)


def check_references(
    resources: Iterable[Declaration | Resource], place: Place = place_by_key
) -> tuple[Finding, ...]:
    """Check a whole set of declarations against itself.

    Args:
        resources: Everything that would stand declared.
        place: Makes each finding; a caller that read files gives the line.

    Returns:
        One finding for each resource declared twice, each reference to what
        isn't declared and each key that two organisations share.
    """
    findings: list[Finding] = []
    spec_by_key: dict[ResourceKey, Spec] = {}
    for resource in resources:
        if resource.key in spec_by_key:
            findings.append(place(resource.key, "name", "declared twice"))
        spec_by_key[resource.key] = resource.spec
    holder_by_digest: dict[str, ResourceKey] = {}
    for key, spec in spec_by_key.items():
        findings += check_targets(key, spec, spec_by_key.__contains__, place)
        findings += check_digests(key, spec, holder_by_digest.get, place)
        for digest in digests_of(spec):
            holder_by_digest.setdefault(digest, key)
    return tuple(findings)


def check_targets(
    key: ResourceKey,
    spec: Spec,
    is_declared: Callable[[ResourceKey], bool],
    place: Place = place_by_key,
) -> list[Finding]:
    """Return a finding for each reference whose target isn't declared."""
    return [
        place(key, reference.path, f"{reference.target} is not declared")
        for reference in references_of(spec)
        if not is_declared(reference.target)
    ]


def check_digests(
    key: ResourceKey,
    spec: Spec,
    holder_of: Callable[[str], ResourceKey | None],
    place: Place = place_by_key,
) -> list[Finding]:
    """Return a finding for each caller's key that another organisation has."""
    findings = []
    for position, digest in enumerate(digests_of(spec)):
        holder = holder_of(digest)
        if holder is not None and holder != key:
            path = f"spec.key_sha256[{position}]"
            findings.append(place(key, path, f"{holder} has the same key"))
    return findings


def digests_of(spec: Spec) -> tuple[str, ...]:
    """Return the digests of the keys by which callers are told apart."""
    return spec.key_sha256 if isinstance(spec, OrganisationSpec) else ()


def _references(path: str, kind: Kind, names: tuple[str, ...]) -> Iterator[Reference]:
    for position, name in enumerate(names):
        yield Reference(f"{path}[{position}]", ResourceKey(kind, name))
