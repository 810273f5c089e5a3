"""Validation of settings files and declaration files."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.settings.daemons import (
    check_settings_document,
    is_settings_document,
)
from galenadrum._internal.settings.declarations import (
    check_declared_references,
    collect_declarations,
    list_files,
)
from galenadrum._internal.settings.reader import Document, read_document


def check_files(paths: Iterable[Path]) -> tuple[Finding, ...]:
    """Check settings and declarations in files and folders.

    All declarations are checked as one set; each settings file is checked on
    its own.

    Returns:
        All findings, sorted by file, line and column.
    """
    try:
        documents = [read_document(path) for path in list_files(paths)]
    except CheckFailedError as error:
        return error.findings
    findings: list[Finding] = []
    declaration_documents: list[Document] = []
    for document in documents:
        if is_settings_document(document):
            findings += check_settings_document(document)
        else:
            declaration_documents.append(document)
    declared = collect_declarations(declaration_documents)
    findings += declared.findings
    findings += check_declared_references(declared)
    return tuple(sorted(set(findings)))
