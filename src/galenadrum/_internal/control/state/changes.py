"""Change sets: what is wrong with them, and what they would change."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from galenadrum._internal.declarations.records import decode_spec, key_of, record_of
from galenadrum._internal.declarations.references import (
    check_digests,
    check_targets,
    digests_of,
    references_of,
)
from galenadrum._internal.declarations.table import ResourceTable
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
MAX_REPORTED = 1_000
_TEXT_MAX_CHARACTERS = 300
_CHANGE_ID_MAX_CHARACTERS = 128
_REFERENCED_KINDS = frozenset((Kind.STAGE, Kind.PIPELINE, Kind.MODEL))


@dataclass(frozen=True, slots=True)
class ParsedChange:
    """One change whose names and specification are valid.

    Attributes:
        position: Place in its change set, from 0.
        spec: The new specification, or None for a deletion.
        base_revision: Revision that it was made from; 0 for a resource that
            must not exist, None for no comparison.
    """

    position: int
    key: ResourceKey
    spec: Spec | None
    base_revision: int | None


@dataclass(slots=True)
class Evaluation:
    """What a change set would do at one revision.

    Attributes:
        changes: The changes that could be parsed.
        findings: Everything that makes the set invalid.
        not_owned: One finding for each resource of another owner.
        conflicts: One finding for each base revision that isn't current.
        current: The resources of ``conflicts`` as they stand.
    """

    changes: list[ParsedChange] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    not_owned: list[Finding] = field(default_factory=list)
    conflicts: list[Finding] = field(default_factory=list)
    current: list[Resource] = field(default_factory=list)

    @property
    def status(self) -> ChangeResult.Status:
        """The outcome; a set that is wrong in many ways is invalid first."""
        if self.findings:
            return ChangeResult.INVALID
        if self.not_owned:
            return ChangeResult.NOT_OWNER
        if self.conflicts:
            return ChangeResult.CONFLICT
        return ChangeResult.ACCEPTED


class KeyHolders:
    """Which organisation holds each caller's key, by the key's digest."""

    def __init__(self) -> None:
        self._key_by_digest: dict[str, ResourceKey] = {}

    def get(self, digest: str) -> ResourceKey | None:
        """Return the organisation that holds the key, if any does."""
        return self._key_by_digest.get(digest)

    def replace(self, key: ResourceKey, before: Spec | None, after: Spec | None):
        """Move on from one specification of an organisation to the next."""
        for digest in digests_of(before) if before else ():
            if self._key_by_digest.get(digest) == key:
                del self._key_by_digest[digest]
        for digest in digests_of(after) if after else ():
            self._key_by_digest[digest] = key


def fingerprint_of(change_set: ChangeSet) -> bytes:
    """Return the SHA-256 of the changes alone."""
    digest = hashlib.sha256()
    for change in change_set.changes:
        payload = change.SerializeToString(deterministic=True)
        digest.update(len(payload).to_bytes(8, "big"))
        digest.update(payload)
    return digest.digest()


def check_identity(change_set: ChangeSet) -> list[Finding]:
    """Check that a change set names its operator and itself."""
    findings = []
    if not change_set.operator_name:
        findings.append(Finding("", 0, 0, "operator", "missing"))
    if not 1 <= len(change_set.change_id) <= _CHANGE_ID_MAX_CHARACTERS:
        message = f"expected 1 to {_CHANGE_ID_MAX_CHARACTERS} characters"
        findings.append(Finding("", 0, 0, "change_id", message))
    return findings


def evaluate(
    change_set: ChangeSet, table: ResourceTable, holders: KeyHolders
) -> Evaluation:
    """Check a change set as a whole against the table; change nothing."""
    evaluation = Evaluation(findings=check_identity(change_set))
    if not 1 <= len(change_set.changes) <= MAX_CHANGES:
        message = f"expected 1 to {MAX_CHANGES} changes"
        evaluation.findings.append(Finding("", 0, 0, "changes", message))
        return evaluation
    _parse_changes(change_set.changes, evaluation)
    for change in evaluation.changes:
        _compare(change, change_set.operator_name, table, evaluation)
    evaluation.findings += _check_whole(evaluation.changes, table, holders)
    evaluation.findings += _check_policies(
        evaluation.changes, change_set.operator_name, table
    )
    return evaluation


def result_of(
    evaluation: Evaluation, outcomes: list[ChangeOutcome], revision: int
) -> ChangeResult:
    """Return the answer to a change set; long lists are cut."""
    found = evaluation.findings + evaluation.not_owned + evaluation.conflicts
    return ChangeResult(
        status=evaluation.status,
        revision=revision,
        results=outcomes,
        findings=[
            ChangeFinding(path=_clean(finding.path), message=_clean(finding.message))
            for finding in found[:MAX_REPORTED]
        ],
        current=[record_of(item) for item in evaluation.current[:MAX_REPORTED]],
    )


def outcome_word(change: ParsedChange, before: Resource | None) -> str:
    """Return what an accepted change does to the resource that stands."""
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
                _place(position, finding.path, finding.message)
                for finding in error.findings
            ]
            continue
        if parsed.key in seen:
            message = f"{parsed.key} stands in the change twice"
            evaluation.findings.append(_place(position, "name", message))
            continue
        seen.add(parsed.key)
        evaluation.changes.append(parsed)


def _parse_change(position: int, change: Change) -> ParsedChange:
    key = key_of(change.kind, change.name)
    base = change.base_revision if change.HasField("base_revision") else None
    if change.action == Change.DELETE:
        return ParsedChange(position, key, None, base)
    if change.action != Change.PUT:
        finding = Finding("", 0, 0, "action", "expected put or delete")
        raise CheckFailedError((finding,))
    return ParsedChange(position, key, decode_spec(key.kind, change.spec_json), base)


def _compare(
    change: ParsedChange,
    operator_name: str,
    table: ResourceTable,
    evaluation: Evaluation,
) -> None:
    """Compare owner and base revision with the resource that stands."""
    before = table.get(change.key)
    if before is not None and before.owner != operator_name:
        message = f"{change.key} belongs to {before.owner}"
        evaluation.not_owned.append(_place(change.position, "name", message))
    if change.base_revision is None:
        return
    current_revision = before.revision if before else 0
    if change.base_revision == current_revision:
        return
    found = f"it is at {current_revision}" if before else "it does not exist"
    message = f"made from revision {change.base_revision}, but {found}"
    evaluation.conflicts.append(_place(change.position, "base_revision", message))
    if before is not None:
        evaluation.current.append(before)


def _check_whole(
    changes: list[ParsedChange], table: ResourceTable, holders: KeyHolders
) -> list[Finding]:
    """Check references and keys as they would stand after all changes."""
    change_by_key = {change.key: change for change in changes}

    def is_declared(key: ResourceKey) -> bool:
        change = change_by_key.get(key)
        return key in table if change is None else change.spec is not None

    def place(key: ResourceKey, path: str, message: str) -> Finding:
        return _place(change_by_key[key].position, path, message)

    new_holder_by_digest: dict[str, ResourceKey] = {}

    def holder_of(digest: str) -> ResourceKey | None:
        standing = holders.get(digest)
        if standing is not None and standing not in change_by_key:
            return standing
        return new_holder_by_digest.get(digest)

    findings: list[Finding] = []
    for change in changes:
        if change.spec is None:
            continue
        findings += check_targets(change.key, change.spec, is_declared, place)
        findings += check_digests(change.key, change.spec, holder_of, place)
        for digest in digests_of(change.spec):
            new_holder_by_digest.setdefault(digest, change.key)
    return findings + _check_deletions(change_by_key, table)


def _check_policies(
    changes: list[ParsedChange], operator_name: str, table: ResourceTable
) -> list[Finding]:
    """Return a finding for each policy beyond the one an operator may have."""
    written = [c for c in changes if c.key.kind is Kind.POLICY]
    added = [change for change in written if change.spec is not None]
    if not added:
        return []
    written_keys = {change.key for change in written}
    standing = [
        resource.key
        for resource in table
        if resource.key.kind is Kind.POLICY
        and resource.owner == operator_name
        and resource.key not in written_keys
    ]
    first, *others = [*standing, *(change.key for change in added)]
    return [
        _place(
            change.position,
            "name",
            f"{operator_name} has {first} already; an operator has one policy",
        )
        for change in added
        if change.key in others
    ]


def _check_deletions(
    change_by_key: dict[ResourceKey, ParsedChange], table: ResourceTable
) -> list[Finding]:
    """Return a finding for each resource that would lose what it refers to."""
    deleted = {
        key
        for key, change in change_by_key.items()
        if change.spec is None and key.kind in _REFERENCED_KINDS
    }
    if not deleted:
        return []
    return [
        _place(
            change_by_key[reference.target].position,
            "name",
            f"{resource.key} refers to {reference.target}",
        )
        for resource in table
        if resource.key not in change_by_key
        for reference in references_of(resource.spec)
        if reference.target in deleted
    ]


def _clean(text: str) -> str:
    """Return text that a message can hold, whatever an operator sent."""
    cut = text[:_TEXT_MAX_CHARACTERS]
    return cut.encode("utf-8", "backslashreplace").decode()


def _place(position: int, path: str, message: str) -> Finding:
    return Finding("", 0, 0, f"changes[{position}].{path}", message)
