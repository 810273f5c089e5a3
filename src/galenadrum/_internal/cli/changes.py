"""Helpers shared by the commands that change resources."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Iterator
from typing import Any

from galenadrum._internal.changes.sending import send_change_set
from galenadrum._internal.cli import output
from galenadrum._internal.cli.options import ChangeOptions, open_pending_changes
from galenadrum._internal.exceptions import (
    CheckFailedError,
    OperatorApiError,
    OutcomeUnknownError,
)
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.operator_api import (
    ChangeSet,
    ChangeSetOutcome,
    ResourceState,
)
from galenadrum._internal.models.resources import ResourceKey
from galenadrum._internal.network.operator_client import OperatorClient
from galenadrum._internal.settings.declarations import DeclarationSet

_CHANGE_PATH_PATTERN = re.compile(r"changes\[(?P<index>[0-9]+)\](?:\.(?P<path>.*))?")


def read_resources_by_key(client: OperatorClient) -> dict[ResourceKey, ResourceState]:
    """Return all current resources by their key."""
    resources = client.list_resources().resources
    return {resource.key: resource for resource in resources}


def submit_and_report(
    client: OperatorClient,
    change_set: ChangeSet,
    options: ChangeOptions,
    declared: DeclarationSet | None = None,
) -> None:
    """Send a change set and print its outcome.

    Args:
        client: Client that sends the change set.
        change_set: Change set to send.
        options: Options for sending it and for printing the outcome.
        declared: Declaration files that the change set was made from, if any.

    Raises:
        GalenadrumError: The change set was not accepted, or its outcome is
            unknown.
    """
    change_id = change_set.change_id
    with (
        _locate_findings_on_error(change_set, declared),
        _explain_unknown_outcome(change_id),
    ):
        if options.dry_run:
            outcome = client.submit(change_set, check_only=True)
        else:
            output.write_to_stderr(f"change id {change_id}")
            pending = open_pending_changes(options.state_folder)
            outcome = send_change_set(client, pending, change_set)
    if options.form == "json":
        output.write_json(_outcome_to_json(outcome, change_id, options.dry_run))
    else:
        _write_outcome(outcome, options.dry_run)


@contextlib.contextmanager
def _locate_findings_on_error(
    change_set: ChangeSet, declared: DeclarationSet | None = None
) -> Iterator[None]:
    """Map findings in errors of the block to files, or to resource keys.

    Args:
        change_set: Change set that was sent; the paths of findings refer to it.
        declared: Declaration files that the change set was made from, if any.

    Raises:
        CheckFailedError: As raised in the block, with located findings.
        OperatorApiError: As raised in the block, with located findings.
    """
    try:
        yield
    except CheckFailedError as error:
        raise CheckFailedError(_locate_findings(error, change_set, declared)) from error
    except OperatorApiError as error:
        error.findings = _locate_findings(error, change_set, declared)
        raise


@contextlib.contextmanager
def _explain_unknown_outcome(change_id: str) -> Iterator[None]:
    """Add to an ``OutcomeUnknownError`` how to find out the outcome.

    Raises:
        OutcomeUnknownError: As raised in the block, with the command to run.
    """
    try:
        yield
    except OutcomeUnknownError as error:
        message = f"{error}\nrun the same command with --change-id {change_id}"
        raise OutcomeUnknownError(message) from error


def _outcome_to_json(
    outcome: ChangeSetOutcome, change_id: str, dry_run: bool
) -> dict[str, Any]:
    results = [
        {
            "kind": result.key.kind,
            "name": result.key.name,
            "outcome": result.outcome,
            "revision": result.revision,
        }
        for result in outcome.results
    ]
    return {
        "change_id": change_id,
        "dry_run": dry_run,
        "revision": outcome.revision,
        "repeated": outcome.repeated,
        "results": results,
    }


def _write_outcome(outcome: ChangeSetOutcome, dry_run: bool) -> None:
    for result in outcome.results:
        output.write_text(f"{result.key} {result.outcome}")
    suffix = " (outcome of an earlier call)" if outcome.repeated else ""
    prefix = "dry run at revision" if dry_run else "revision"
    output.write_text(f"{prefix} {outcome.revision}{suffix}")


def _locate_findings(
    error: CheckFailedError | OperatorApiError,
    change_set: ChangeSet,
    declared: DeclarationSet | None,
) -> tuple[Finding, ...]:
    placed = (
        _locate_finding(finding, change_set, declared) for finding in error.findings
    )
    return tuple(sorted(placed))


def _locate_finding(
    finding: Finding, change_set: ChangeSet, declared: DeclarationSet | None
) -> Finding:
    match = _CHANGE_PATH_PATTERN.fullmatch(finding.path)
    if match is None or int(match["index"]) >= len(change_set.changes):
        return finding
    key = change_set.changes[int(match["index"])].key
    if declared is None:
        return Finding("", 0, 0, str(key), finding.message)
    return declared.build_finding(key, match["path"] or "name", finding.message)
