"""Validation of change sets against the declared resources."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from galenadrum._internal.declarations.records import (
    decode_spec,
    encode_resource,
    parse_resource_key,
)
from galenadrum._internal.declarations.references import (
    check_key_digests,
    check_reference_targets,
    list_key_digests,
    list_references,
)
from galenadrum._internal.declarations.resource_table import ResourceTable
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.resources import Kind, Resource, ResourceKey, Spec
from galenadrum._internal.protocol.commands_pb2 import (
    Change,
    ChangeFinding,
    ChangeOutcome,
    ChangeResult,
    ChangeSet,
)

MAX_CHANGES = 20_000
MAX_REPORTED_ITEMS = 1_000
_FINDING_TEXT_MAX_CHARACTERS = 300
_CHANGE_ID_MAX_CHARACTERS = 128
_REFERENCED_KINDS = frozenset((Kind.STAGE, Kind.PIPELINE, Kind.MODEL))


@dataclass(frozen=True, slots=True)
class ParsedChange:
    """One change whose names and specification are valid.

    Attributes:
        position: Index in its change set, from 0.
        key: Key of the resource that is changed.
        spec: The new specification, or None for a deletion.
        base_revision: Expected revision of the resource; 0 if the resource
            must not exist, None to skip the comparison.
    """

    position: int
    key: ResourceKey
    spec: Spec | None
    base_revision: int | None


@dataclass(slots=True)
class Evaluation:
    """Result of checking a change set at one revision.

    Attributes:
        changes: The changes that could be parsed.
        findings: Validation errors; any of them makes the change set invalid.
        not_owned: One finding for each resource of another owner.
        conflicts: One finding for each base revision that isn't current.
        current: Current state of the existing resources in ``conflicts``.
    """

    changes: list[ParsedChange] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    not_owned: list[Finding] = field(default_factory=list)
    conflicts: list[Finding] = field(default_factory=list)
    current: list[Resource] = field(default_factory=list)

    @property
    def status(self) -> ChangeResult.Status:
        """Status of the set; invalid takes precedence over not owner over conflict."""
        if self.findings:
            return ChangeResult.INVALID
        if self.not_owned:
            return ChangeResult.NOT_OWNER
        if self.conflicts:
            return ChangeResult.CONFLICT
        return ChangeResult.ACCEPTED


class CallerKeyIndex:
    """Index of the organisations' caller keys by key digest."""

    def __init__(self) -> None:
        self._organisation_by_digest: dict[str, ResourceKey] = {}

    def get(self, digest: str) -> ResourceKey | None:
        """Return the organisation that declares the key, or None."""
        return self._organisation_by_digest.get(digest)

    def replace(self, key: ResourceKey, before: Spec | None, after: Spec | None):
        """Replace the keys of an organisation's old specification by the new one's.

        Args:
            key: The organisation's resource key.
            before: The old specification, or None if it is created.
            after: The new specification, or None if it is deleted.
        """
        for digest in list_key_digests(before) if before else ():
            if self._organisation_by_digest.get(digest) == key:
                del self._organisation_by_digest[digest]
        for digest in list_key_digests(after) if after else ():
            self._organisation_by_digest[digest] = key


def compute_fingerprint(change_set: ChangeSet) -> bytes:
    """Return the SHA-256 of the changes, without operator name and change id."""
    digest = hashlib.sha256()
    for change in change_set.changes:
        payload = change.SerializeToString(deterministic=True)
        digest.update(len(payload).to_bytes(8, "big"))
        digest.update(payload)
    return digest.digest()


def check_identity_fields(change_set: ChangeSet) -> list[Finding]:
    """Check that a change set has an operator name and a valid change id."""
    findings = []
    if not change_set.operator_name:
        findings.append(Finding("", 0, 0, "operator", "missing"))
    if not 1 <= len(change_set.change_id) <= _CHANGE_ID_MAX_CHARACTERS:
        message = f"expected 1 to {_CHANGE_ID_MAX_CHARACTERS} characters"
        findings.append(Finding("", 0, 0, "change_id", message))
    return findings


def evaluate_change_set(
    change_set: ChangeSet, table: ResourceTable, key_index: CallerKeyIndex
) -> Evaluation:
    """Check a whole change set against the table without applying it."""
    evaluation = Evaluation(findings=check_identity_fields(change_set))
    if not 1 <= len(change_set.changes) <= MAX_CHANGES:
        message = f"expected 1 to {MAX_CHANGES} changes"
        evaluation.findings.append(Finding("", 0, 0, "changes", message))
        return evaluation
    _parse_changes(change_set.changes, evaluation)
    for change in evaluation.changes:
        _check_owner_and_revision(change, change_set.operator_name, table, evaluation)
    evaluation.findings += _check_references_and_keys(
        evaluation.changes, table, key_index
    )
    evaluation.findings += _check_policies(
        evaluation.changes, change_set.operator_name, table
    )
    return evaluation


def build_result(
    evaluation: Evaluation, outcomes: list[ChangeOutcome], revision: int
) -> ChangeResult:
    """Build the result of a change set; findings and resources are truncated."""
    reported = evaluation.findings + evaluation.not_owned + evaluation.conflicts
    return ChangeResult(
        status=evaluation.status,
        revision=revision,
        results=outcomes,
        findings=[
            ChangeFinding(
                path=_sanitise_text(finding.path),
                message=_sanitise_text(finding.message),
            )
            for finding in reported[:MAX_REPORTED_ITEMS]
        ],
        current=[
            encode_resource(item) for item in evaluation.current[:MAX_REPORTED_ITEMS]
        ],
    )


def get_change_outcome(change: ParsedChange, before: Resource | None) -> str:
    """Return the effect of an accepted change on the existing resource."""
    if change.spec is None:
        return "unchanged" if before is None else "deleted"
    if before is None:
        return "created"
    return "unchanged" if before.spec == change.spec else "changed"


def _parse_changes(changes: Iterable[Change], evaluation: Evaluation) -> None:
    seen: set[ResourceKey] = set()
    for position, change in enumerate(changes):
        try:
            parsed = _parse_change(position, change)
        except CheckFailedError as error:
            evaluation.findings += [
                _build_finding(position, finding.path, finding.message)
                for finding in error.findings
            ]
            continue
        if parsed.key in seen:
            message = f"{parsed.key} stands in the change twice"
            evaluation.findings.append(_build_finding(position, "name", message))
            continue
        seen.add(parsed.key)
        evaluation.changes.append(parsed)


def _parse_change(position: int, change: Change) -> ParsedChange:
    key = parse_resource_key(change.kind, change.name)
    base = change.base_revision if change.HasField("base_revision") else None
    if change.action == Change.DELETE:
        return ParsedChange(position, key, None, base)
    if change.action != Change.PUT:
        finding = Finding("", 0, 0, "action", "expected put or delete")
        raise CheckFailedError((finding,))
    return ParsedChange(position, key, decode_spec(key.kind, change.spec_json), base)


def _check_owner_and_revision(
    change: ParsedChange,
    operator_name: str,
    table: ResourceTable,
    evaluation: Evaluation,
) -> None:
    """Check owner and base revision against the existing resource."""
    before = table.get(change.key)
    if before is not None and before.owner != operator_name:
        message = f"{change.key} belongs to {before.owner}"
        evaluation.not_owned.append(_build_finding(change.position, "name", message))
    if change.base_revision is None:
        return
    current_revision = before.revision if before else 0
    if change.base_revision == current_revision:
        return
    current_state = f"it is at {current_revision}" if before else "it does not exist"
    message = f"made from revision {change.base_revision}, but {current_state}"
    evaluation.conflicts.append(
        _build_finding(change.position, "base_revision", message)
    )
    if before is not None:
        evaluation.current.append(before)


def _check_references_and_keys(
    changes: list[ParsedChange], table: ResourceTable, key_index: CallerKeyIndex
) -> list[Finding]:
    """Check references and caller keys as if all changes were applied."""
    change_by_key = {change.key: change for change in changes}

    def is_declared(key: ResourceKey) -> bool:
        change = change_by_key.get(key)
        return key in table if change is None else change.spec is not None

    def place(key: ResourceKey, path: str, message: str) -> Finding:
        return _build_finding(change_by_key[key].position, path, message)

    new_organisation_by_digest: dict[str, ResourceKey] = {}

    def find_organisation(digest: str) -> ResourceKey | None:
        existing = key_index.get(digest)
        if existing is not None and existing not in change_by_key:
            return existing
        return new_organisation_by_digest.get(digest)

    findings: list[Finding] = []
    for change in changes:
        if change.spec is None:
            continue
        findings += check_reference_targets(change.key, change.spec, is_declared, place)
        findings += check_key_digests(change.key, change.spec, find_organisation, place)
        for digest in list_key_digests(change.spec):
            new_organisation_by_digest.setdefault(digest, change.key)
    return findings + _check_deletions(change_by_key, table)


def _check_policies(
    changes: list[ParsedChange], operator_name: str, table: ResourceTable
) -> list[Finding]:
    """Return a finding for each added policy beyond the operator's limit of one."""
    policy_changes = [c for c in changes if c.key.kind is Kind.POLICY]
    added_changes = [change for change in policy_changes if change.spec is not None]
    if not added_changes:
        return []
    changed_keys = {change.key for change in policy_changes}
    existing_keys = [
        resource.key
        for resource in table
        if resource.key.kind is Kind.POLICY
        and resource.owner == operator_name
        and resource.key not in changed_keys
    ]
    first, *others = [*existing_keys, *(change.key for change in added_changes)]
    return [
        _build_finding(
            change.position,
            "name",
            f"{operator_name} has {first} already; an operator has one policy",
        )
        for change in added_changes
        if change.key in others
    ]


def _check_deletions(
    change_by_key: dict[ResourceKey, ParsedChange], table: ResourceTable
) -> list[Finding]:
    """Return a finding for each reference to a resource that is deleted."""
    deleted = {
        key
        for key, change in change_by_key.items()
        if change.spec is None and key.kind in _REFERENCED_KINDS
    }
    if not deleted:
        return []
    return [
        _build_finding(
            change_by_key[reference.target].position,
            "name",
            f"{resource.key} refers to {reference.target}",
        )
        for resource in table
        if resource.key not in change_by_key
        for reference in list_references(resource.spec)
        if reference.target in deleted
    ]


def _sanitise_text(text: str) -> str:
    """Truncate text and escape what UTF-8 can't encode, such as lone surrogates."""
    cut = text[:_FINDING_TEXT_MAX_CHARACTERS]
    return cut.encode("utf-8", "backslashreplace").decode()


def _build_finding(position: int, path: str, message: str) -> Finding:
    return Finding("", 0, 0, f"changes[{position}].{path}", message)
