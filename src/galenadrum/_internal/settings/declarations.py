"""Declaration files of operators, with the source location of each resource."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from galenadrum._internal.declarations.references import (
    check_key_digests,
    check_reference_targets,
    list_key_digests,
)
from galenadrum._internal.declarations.specs import check_name, structure_spec
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.resources import (
    SPEC_CLASS_BY_KIND,
    Declaration,
    Kind,
    ResourceKey,
    Spec,
)
from galenadrum._internal.settings.daemons import is_settings_document
from galenadrum._internal.settings.reader import (
    Document,
    DocumentPath,
    SourceLocation,
    read_document,
)
from galenadrum._internal.settings.units import (
    describe_unit_error,
    describe_unknown_key,
)

_FILE_SUFFIXES = frozenset({".json", ".jsonc"})
_MAX_FILES = 20_000
_REQUIRED_MEMBERS = ("kind", "name", "spec")


@dataclass(frozen=True, slots=True)
class DeclarationLocation:
    """Document that declares a resource, and the path of the declaration in it."""

    document: Document
    path: DocumentPath

    def build_finding(self, text_path: str, message: str) -> Finding:
        """Build a finding at a path inside the declaration."""
        return self.document.build_finding_at_text_path(self.path, text_path, message)


@dataclass(frozen=True, slots=True)
class DeclarationSet:
    """All declarations of the files that were read together.

    Attributes:
        declarations: Declarations without findings, in the order of the files.
        locations_by_key: Location of the first declaration of each resource,
            including declarations with findings.
        partial_specs_by_key: Partial specifications of declarations with
            findings; only their references and key digests may be used.
        findings: Findings of the files and of single declarations; references
            aren't checked.
    """

    declarations: tuple[Declaration, ...]
    locations_by_key: dict[ResourceKey, DeclarationLocation]
    partial_specs_by_key: dict[ResourceKey, Spec]
    findings: tuple[Finding, ...]

    def build_finding(self, key: ResourceKey, path: str, message: str) -> Finding:
        """Build a finding at a path inside the declaration of ``key``."""
        place = self.locations_by_key.get(key)
        if place is None:
            return Finding("", 0, 0, f"{key}: {path}", message)
        return place.build_finding(path, message)


def list_files(paths: Iterable[Path]) -> list[Path]:
    """Return the given files, and the declaration files below given folders.

    Raises:
        CheckFailedError: There are too many files, or a folder holds none.
    """
    files: list[Path] = []
    for path in paths:
        if not path.is_dir():
            files.append(path)
            continue
        found = sorted(p for p in path.rglob("*") if p.suffix in _FILE_SUFFIXES)
        if not found:
            message = "the folder holds no .json or .jsonc file"
            raise CheckFailedError((Finding(str(path), 1, 1, "$", message),))
        files += found
        if len(files) > _MAX_FILES:
            message = f"more than {_MAX_FILES} files"
            raise CheckFailedError((Finding(str(path), 1, 1, "$", message),))
    return list(dict.fromkeys(files))


def read_declarations(paths: Iterable[Path]) -> DeclarationSet:
    """Read declarations from files and folders; settings files are skipped.

    References aren't checked here, because a resource may refer to one that
    has already been declared at the control hosts.

    Raises:
        CheckFailedError: The files have findings; holds all of them.
    """
    documents = [read_document(path) for path in list_files(paths)]
    declared = collect_declarations(
        document for document in documents if not is_settings_document(document)
    )
    if declared.findings:
        raise CheckFailedError(declared.findings)
    return declared


def collect_declarations(documents: Iterable[Document]) -> DeclarationSet:
    """Structure the declarations of all documents and collect their findings."""
    declarations: list[Declaration] = []
    locations_by_key: dict[ResourceKey, DeclarationLocation] = {}
    partial_specs_by_key: dict[ResourceKey, Spec] = {}
    findings: list[Finding] = []
    for document in documents:
        findings += document.findings
        for place in _list_declaration_locations(document):
            declaration, new_findings = _structure_declaration(place)
            findings += new_findings
            if declaration is None:
                continue
            key = declaration.key
            first_place = locations_by_key.setdefault(key, place)
            if first_place is not place:
                findings.append(_build_duplicate_finding(key, place, first_place))
            elif new_findings:
                partial_specs_by_key[key] = declaration.spec
            else:
                declarations.append(declaration)
    return DeclarationSet(
        tuple(declarations),
        locations_by_key,
        partial_specs_by_key,
        tuple(sorted(set(findings))),
    )


def check_declared_references(declared: DeclarationSet) -> tuple[Finding, ...]:
    """Check references, shared caller keys and the number of policies.

    Returns:
        All findings, sorted by file, line and column.
    """
    findings: list[Finding] = []
    holder_by_digest: dict[str, ResourceKey] = {}
    specs_by_key = {d.key: d.spec for d in declared.declarations}
    specs_by_key |= declared.partial_specs_by_key
    for key, spec in specs_by_key.items():
        is_declared = declared.locations_by_key.__contains__
        findings += check_reference_targets(
            key, spec, is_declared, declared.build_finding
        )
        findings += check_key_digests(
            key, spec, holder_by_digest.get, declared.build_finding
        )
        for digest in list_key_digests(spec):
            holder_by_digest.setdefault(digest, key)
    return tuple(sorted(findings + _find_additional_policies(declared)))


def _find_additional_policies(declared: DeclarationSet) -> list[Finding]:
    policies = [key for key in declared.locations_by_key if key.kind is Kind.POLICY]
    return [
        declared.build_finding(
            key, "name", f"{policies[0]} is declared; one policy is expected"
        )
        for key in policies[1:]
    ]


def _list_declaration_locations(document: Document) -> Iterator[DeclarationLocation]:
    if document.value is None and document.findings:
        return
    if isinstance(document.value, list):
        for index in range(len(document.value)):
            yield DeclarationLocation(document, (index,))
    else:
        yield DeclarationLocation(document, ())


def _structure_declaration(
    place: DeclarationLocation,
) -> tuple[Declaration | None, list[Finding]]:
    """Return the declaration, or None if its key is invalid, and all findings."""
    document = place.document
    value = document.value[place.path[0]] if place.path else document.value
    if not isinstance(value, dict):
        message = "expected an object with kind, name and spec"
        return None, [document.build_finding_at_value(place.path, message)]
    findings = list(_find_unknown_keys(place, (), value, _REQUIRED_MEMBERS))
    for name in _REQUIRED_MEMBERS:
        if name not in value:
            path = (*place.path, name)
            findings.append(document.build_finding_at_value(path, "missing"))
    kind = _read_kind(place, value, findings)
    if kind is None:
        return None, findings
    key = _read_key(place, kind, value, findings)
    spec = _read_spec(place, kind, value, findings)
    return (None if key is None else Declaration(key, spec)), findings


def _read_kind(
    place: DeclarationLocation, value: dict[str, Any], findings: list[Finding]
) -> Kind | None:
    if "kind" not in value:
        return None
    try:
        return Kind(value["kind"])
    except ValueError:
        kinds = ", ".join(f'"{kind}"' for kind in Kind)
        findings.append(place.build_finding("kind", f"expected one of {kinds}"))
        return None


def _read_key(
    place: DeclarationLocation,
    kind: Kind,
    value: dict[str, Any],
    findings: list[Finding],
) -> ResourceKey | None:
    if "name" not in value:
        return None
    found = check_name(kind, value["name"])
    findings += [
        place.build_finding(finding.path, finding.message) for finding in found
    ]
    return None if found else ResourceKey(kind, value["name"])


def _read_spec(
    place: DeclarationLocation,
    kind: Kind,
    value: dict[str, Any],
    findings: list[Finding],
) -> Spec:
    """Return the specification, or a partial one if it has findings."""
    if "spec" not in value:
        return _build_partial_spec(kind, {})
    raw = value["spec"]
    if isinstance(raw, dict):
        known = [field.name for field in dataclasses.fields(SPEC_CLASS_BY_KIND[kind])]
        findings += _find_unknown_keys(place, ("spec",), raw, known)
        raw = {name: raw[name] for name in raw if name in known}
    spec = structure_spec(kind, raw)
    if not isinstance(spec, tuple):
        return spec
    for finding in spec:
        name = finding.path.rpartition(".")[2]
        raw_value = raw.get(name) if isinstance(raw, dict) else None
        message = describe_unit_error(name, raw_value) or finding.message
        findings.append(place.build_finding(finding.path, message))
    return _build_partial_spec(kind, raw if isinstance(raw, dict) else {})


def _build_partial_spec(kind: Kind, raw: dict[str, Any]) -> Spec:
    """Build a partial specification from the lists of names in ``raw``.

    A stage's model is kept as well. Other fields hold an empty tuple, so only
    the references and key digests of the result may be used.
    """
    cls = SPEC_CLASS_BY_KIND[kind]
    values: dict[str, Any] = {field.name: () for field in dataclasses.fields(cls)}
    if kind is Kind.STAGE:
        model = raw.get("model")
        values["model"] = model if isinstance(model, str) else None
    for name, value in raw.items():
        if isinstance(value, list) and all(isinstance(v, str) for v in value):
            values[name] = tuple(value)
    return cls(**values)


def _find_unknown_keys(
    place: DeclarationLocation,
    path: DocumentPath,
    value: dict[str, Any],
    known: Iterable[str],
) -> Iterator[Finding]:
    names = tuple(known)
    for key in value:
        if key not in names:
            message = describe_unknown_key(key, names)
            full = (*place.path, *path, key)
            yield place.document.build_finding_at_key(full, message)


def _build_duplicate_finding(
    key: ResourceKey, place: DeclarationLocation, first_place: DeclarationLocation
) -> Finding:
    name_location = first_place.document.locations_by_path.get(
        (*first_place.path, "name")
    )
    line = name_location.value.line if name_location else SourceLocation(1, 1).line
    message = f"{key} is already declared at {first_place.document.file}:{line}"
    return place.build_finding("name", message)
