"""Sending of change sets; a resend returns the outcome of the first call."""

from __future__ import annotations

import json

from galenadrum._internal.changes.pending import PendingChanges
from galenadrum._internal.exceptions import (
    ChangeIdReusedError,
    CheckFailedError,
    ConflictError,
    GalenadrumError,
    OutcomeUnknownError,
)
from galenadrum._internal.models.operator_api import ChangeSet, ChangeSetOutcome
from galenadrum._internal.network.operator_client import OperatorClient
from galenadrum._internal.network.operator_messages import encode_change


def send_change_set(
    client: OperatorClient, pending: PendingChanges, prepared: ChangeSet
) -> ChangeSetOutcome:
    """Send a change set, or resend the pending one with the same id.

    Args:
        client: Client that sends the change set.
        pending: Store that holds the change set until its outcome is known.
        prepared: Change set made from the current resources. A pending change
            set with the same id is sent in its place; the two may differ only
            in their base revisions.

    Raises:
        ChangeIdReusedError: The pending change set with the id has other changes.
        OutcomeUnknownError: The outcome is unknown; the change set stays
            pending.
        GalenadrumError: Any other error of ``OperatorClient.submit``.
    """
    change_id = prepared.change_id
    pending_set = pending.load(change_id)
    if pending_set is None:
        pending.save(prepared)
    elif _encode_without_revisions(pending_set) != _encode_without_revisions(prepared):
        raise ChangeIdReusedError(change_id)
    try:
        outcome = client.submit(pending_set or prepared)
    except (CheckFailedError, ConflictError):
        pending.remove(change_id)
        raise
    except OutcomeUnknownError:
        raise
    except GalenadrumError:
        # This error leaves the outcome of an earlier call unknown, so a change set
        # that was pending before stays pending.
        if pending_set is None:
            pending.remove(change_id)
        raise
    pending.remove(change_id)
    return outcome


def _encode_without_revisions(change_set: ChangeSet) -> str:
    """Return the changes as JSON, which is the same before and after storage."""
    bodies = [encode_change(change) for change in change_set.changes]
    for body in bodies:
        body.pop("base_revision", None)
    return json.dumps(bodies, sort_keys=True)
