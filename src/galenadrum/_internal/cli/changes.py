"""What the commands that change resources have in common."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Iterator

from galenadrum._internal.cli import output
from galenadrum._internal.exceptions import CheckFailedError, OutcomeUnknownError
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.operator_api import ChangeSetOutcome, ResourceState
from galenadrum._internal.models.resources import Kind, ResourceKey
from galenadrum._internal.network.operator_client import OperatorClient
from galenadrum._internal.settings.declarations import DeclarationSet

_PATH_OF_RESOURCE = re.compile(r"(?P<kind>[a-z]+)/(?P<name>\S+): (?P<path>.*)", re.S)


def read_current(client: OperatorClient) -> dict[ResourceKey, ResourceState]:
    """Read all resources as they stand."""
    resources = client.list_resources().resources
    return {resource.key: resource for resource in resources}


@contextlib.contextmanager
def place_findings(declared: DeclarationSet) -> Iterator[None]:
    """Give findings of a control host their place in the files.

    Raises:
        CheckFailedError: As raised in the block, with the places.
    """
    try:
        yield
    except CheckFailedError as error:
        findings = [_place(finding, declared) for finding in error.findings]
        raise CheckFailedError(tuple(sorted(findings))) from error


@contextlib.contextmanager
def explain_unknown_outcome(change_id: str) -> Iterator[None]:
    """Say how to learn the outcome of a change whose answer was lost.

    Raises:
        OutcomeUnknownError: As raised in the block, with the explanation.
    """
    try:
        yield
    except OutcomeUnknownError as error:
        message = f"{error}\nrun the same command with --change-id {change_id}"
        raise OutcomeUnknownError(message) from error


def write_change_set_outcome(
    outcome: ChangeSetOutcome, change_id: str, form: str, dry_run: bool
) -> None:
    """Write what became of each resource, and the revision."""
    if form == "json":
        results = [
            {
                "kind": result.key.kind,
                "name": result.key.name,
                "outcome": result.outcome,
                "revision": result.revision,
            }
            for result in outcome.results
        ]
        output.write_json(
            {
                "change_id": change_id,
                "dry_run": dry_run,
                "revision": outcome.revision,
                "repeated": outcome.repeated,
                "results": results,
            }
        )
        return
    for result in outcome.results:
        output.write_text(f"{result.key} {result.outcome}")
    note = " (outcome of an earlier call)" if outcome.repeated else ""
    prefix = "dry run at revision" if dry_run else "revision"
    output.write_text(f"{prefix} {outcome.revision}{note}")


def _place(finding: Finding, declared: DeclarationSet) -> Finding:
    match = _PATH_OF_RESOURCE.fullmatch(finding.path)
    if finding.file or match is None or match["kind"] not in tuple(Kind):
        return finding
    key = ResourceKey(Kind(match["kind"]), match["name"])
    return declared.find(key, match["path"], finding.message)
