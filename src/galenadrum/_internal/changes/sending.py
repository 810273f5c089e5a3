"""Sending of change sets, with a resend that finds the first outcome."""

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
    """Send a change set, or the pending one of the same id once more.

    Args:
        client: Where to send it.
        pending: Where it is kept until its outcome is known.
        prepared: Made from the resources as they stand. A pending change set
            of its id differs at most in its base revisions and goes before it.

    Raises:
        ChangeIdReusedError: The id is pending for other changes.
        OutcomeUnknownError: The outcome isn't known; the change set stays
            pending.
        GalenadrumError: As of ``OperatorClient.submit``.
    """
    change_id = prepared.change_id
    earlier = pending.load(change_id)
    if earlier is None:
        pending.keep(prepared)
    elif _without_bases(earlier) != _without_bases(prepared):
        raise ChangeIdReusedError(change_id)
    try:
        outcome = client.submit(earlier or prepared)
    except (CheckFailedError, ConflictError):
        pending.forget(change_id)
        raise
    except OutcomeUnknownError:
        raise
    except GalenadrumError:
        # It tells nothing of a call that was made before.
        if earlier is None:
            pending.forget(change_id)
        raise
    pending.forget(change_id)
    return outcome


def _without_bases(change_set: ChangeSet) -> str:
    """Return what the changes do, in a form that survives being stored."""
    bodies = [encode_change(change) for change in change_set.changes]
    for body in bodies:
        body.pop("base_revision", None)
    return json.dumps(bodies, sort_keys=True)
