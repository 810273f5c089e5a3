"""Declaration files: resources as operators write them, with their places."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from galenadrum._internal.declarations.references import (
    check_digests,
    check_targets,
    digests_of,
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
    Place,
    read_document,
)
from galenadrum._internal.settings.units import (
    describe_unit_error,
    describe_unknown_key,
)

_SUFFIXES = frozenset({".json", ".jsonc"})
_MAX_FILES = 20_000
_MEMBERS = ("kind", "name", "spec")


@dataclass(frozen=True, slots=True)
class DeclarationPlace:
    """The document that declares a resource, and the path of its object."""

    document: Document
    path: DocumentPath

    def find(self, text_path: str, message: str) -> Finding:
        """Build a finding at a path inside the declaration."""
        return self.document.find_at_text_path(self.path, text_path, message)


@dataclass(frozen=True, slots=True)
class DeclarationSet:
    """All declarations of the files that were read together.

    Attributes:
        declarations: Those without findings, in the order of the files.
        places_by_key: Where each resource is declared first, also those with
            findings.
        faulty_specs_by_key: What can be read of specifications with findings;
            good for nothing but the references they hold.
        findings: Of the files, and of each declaration taken alone.
    """

    declarations: tuple[Declaration, ...]
    places_by_key: dict[ResourceKey, DeclarationPlace]
    faulty_specs_by_key: dict[ResourceKey, Spec]
    findings: tuple[Finding, ...]

    def find(self, key: ResourceKey, path: str, message: str) -> Finding:
        """Build a finding at a path inside the declaration of ``key``."""
        place = self.places_by_key.get(key)
        if place is None:
            return Finding("", 0, 0, f"{key}: {path}", message)
        return place.find(path, message)


def list_files(paths: Iterable[Path]) -> list[Path]:
    """Return the files named, and those below the folders named, in order.

    Raises:
        CheckFailedError: There are too many files, or none.
    """
    files: list[Path] = []
    for path in paths:
        if not path.is_dir():
            files.append(path)
            continue
        found = sorted(p for p in path.rglob("*") if p.suffix in _SUFFIXES)
        if not found:
            message = "the folder holds no .json or .jsonc file"
            raise CheckFailedError((Finding(str(path), 1, 1, "$", message),))
        files += found
        if len(files) > _MAX_FILES:
            message = f"more than {_MAX_FILES} files"
            raise CheckFailedError((Finding(str(path), 1, 1, "$", message),))
    return list(dict.fromkeys(files))


def read_declarations(paths: Iterable[Path]) -> DeclarationSet:
    """Read declarations from files and folders; settings files are left out.

    References aren't checked here, since a resource may refer to one that is
    declared already.

    Raises:
        CheckFailedError: With all findings.
    """
    documents = [read_document(path) for path in list_files(paths)]
    declared = collect_declarations(
        document for document in documents if not is_settings_document(document)
    )
    if declared.findings:
        raise CheckFailedError(declared.findings)
    return declared


def collect_declarations(documents: Iterable[Document]) -> DeclarationSet:
    """Structure the declarations of documents and collect the findings."""
    declarations: list[Declaration] = []
    places_by_key: dict[ResourceKey, DeclarationPlace] = {}
    faulty_specs_by_key: dict[ResourceKey, Spec] = {}
    findings: list[Finding] = []
    for document in documents:
        findings += document.findings
        for place in _declaration_places(document):
            declaration, found = _structure(place)
            findings += found
            if declaration is None:
                continue
            key = declaration.key
            first = places_by_key.setdefault(key, place)
            if first is not place:
                findings.append(_declared_twice(key, place, first))
            elif found:
                faulty_specs_by_key[key] = declaration.spec
            else:
                declarations.append(declaration)
    return DeclarationSet(
        tuple(declarations),
        places_by_key,
        faulty_specs_by_key,
        tuple(sorted(set(findings))),
    )


def check_declared_references(declared: DeclarationSet) -> tuple[Finding, ...]:
    """Return references to what the set doesn't declare, and shared keys."""
    findings: list[Finding] = []
    holder_by_digest: dict[str, ResourceKey] = {}
    specs_by_key = {d.key: d.spec for d in declared.declarations}
    specs_by_key |= declared.faulty_specs_by_key
    for key, spec in specs_by_key.items():
        is_declared = declared.places_by_key.__contains__
        findings += check_targets(key, spec, is_declared, declared.find)
        findings += check_digests(key, spec, holder_by_digest.get, declared.find)
        for digest in digests_of(spec):
            holder_by_digest.setdefault(digest, key)
    return tuple(sorted(findings + _find_second_policies(declared)))


def _find_second_policies(declared: DeclarationSet) -> list[Finding]:
    policies = [key for key in declared.places_by_key if key.kind is Kind.POLICY]
    return [
        declared.find(key, "name", f"{policies[0]} is declared; one policy is expected")
        for key in policies[1:]
    ]


def _declaration_places(document: Document) -> Iterator[DeclarationPlace]:
    if document.value is None and document.findings:
        return
    if isinstance(document.value, list):
        for index in range(len(document.value)):
            yield DeclarationPlace(document, (index,))
    else:
        yield DeclarationPlace(document, ())


def _structure(
    place: DeclarationPlace,
) -> tuple[Declaration | None, list[Finding]]:
    """Return the declaration when its key is sound, and all findings."""
    document = place.document
    value = document.value[place.path[0]] if place.path else document.value
    if not isinstance(value, dict):
        message = "expected an object with kind, name and spec"
        return None, [document.find_at_value(place.path, message)]
    findings = list(_find_unknown(place, (), value, _MEMBERS))
    for name in _MEMBERS:
        if name not in value:
            path = (*place.path, name)
            findings.append(document.find_at_value(path, "missing"))
    kind = _read_kind(place, value, findings)
    if kind is None:
        return None, findings
    key = _read_key(place, kind, value, findings)
    spec = _read_spec(place, kind, value, findings)
    return (None if key is None else Declaration(key, spec)), findings


def _read_kind(
    place: DeclarationPlace, value: dict[str, Any], findings: list[Finding]
) -> Kind | None:
    if "kind" not in value:
        return None
    try:
        return Kind(value["kind"])
    except ValueError:
        kinds = ", ".join(f'"{kind}"' for kind in Kind)
        findings.append(place.find("kind", f"expected one of {kinds}"))
        return None


def _read_key(
    place: DeclarationPlace,
    kind: Kind,
    value: dict[str, Any],
    findings: list[Finding],
) -> ResourceKey | None:
    if "name" not in value:
        return None
    found = check_name(kind, value["name"])
    findings += [place.find(finding.path, finding.message) for finding in found]
    return None if found else ResourceKey(kind, value["name"])


def _read_spec(
    place: DeclarationPlace,
    kind: Kind,
    value: dict[str, Any],
    findings: list[Finding],
) -> Spec:
    """Return the specification, or what can be read of a faulty one."""
    if "spec" not in value:
        return _read_loosely(kind, {})
    raw = value["spec"]
    if isinstance(raw, dict):
        known = [field.name for field in dataclasses.fields(SPEC_CLASS_BY_KIND[kind])]
        findings += _find_unknown(place, ("spec",), raw, known)
        raw = {name: raw[name] for name in raw if name in known}
    spec = structure_spec(kind, raw)
    if not isinstance(spec, tuple):
        return spec
    for finding in spec:
        name = finding.path.rpartition(".")[2]
        written = raw.get(name) if isinstance(raw, dict) else None
        message = describe_unit_error(name, written) or finding.message
        findings.append(place.find(finding.path, message))
    return _read_loosely(kind, raw if isinstance(raw, dict) else {})


def _read_loosely(kind: Kind, raw: dict[str, Any]) -> Spec:
    """Build a specification of the names in ``raw``, leaving out the rest."""
    cls = SPEC_CLASS_BY_KIND[kind]
    values: dict[str, Any] = {field.name: () for field in dataclasses.fields(cls)}
    if kind is Kind.STAGE:
        model = raw.get("model")
        values["model"] = model if isinstance(model, str) else None
    for name, value in raw.items():
        if isinstance(value, list) and all(isinstance(v, str) for v in value):
            values[name] = tuple(value)
    return cls(**values)


def _find_unknown(
    place: DeclarationPlace,
    path: DocumentPath,
    value: dict[str, Any],
    known: Iterable[str],
) -> Iterator[Finding]:
    names = tuple(known)
    for key in value:
        if key not in names:
            message = describe_unknown_key(key, names)
            full = (*place.path, *path, key)
            yield place.document.find_at_key(full, message)


def _declared_twice(
    key: ResourceKey, place: DeclarationPlace, first: DeclarationPlace
) -> Finding:
    where = first.document.places_by_path.get((*first.path, "name"))
    line = where.value.line if where else Place(1, 1).line
    message = f"{key} is already declared at {first.document.file}:{line}"
    return place.find("name", message)
