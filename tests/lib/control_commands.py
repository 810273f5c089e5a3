"""Builders for commands of the replicated control state, and a replica."""

import json

from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.protocol.claims_pb2 import (
    ClaimBatchItem,
    ClaimBatchRequest,
    ClaimRequest,
    RecordOutcomeRequest,
)
from galenadrum._internal.protocol.commands_pb2 import (
    Change,
    ChangeSet,
    Command,
    CommandResult,
)

RETENTION_MS = 60_000
PUT = Change.PUT
DELETE = Change.DELETE
KEY_DIGESTS = tuple(f"{number:064x}" for number in range(8))
STAGE_SPEC = {"expected_service_ms": 5}


def put(kind, name, spec, base_revision=None):
    spec_json = json.dumps(spec).encode()
    return Change(
        action=PUT,
        kind=kind,
        name=name,
        spec_json=spec_json,
        base_revision=base_revision,
    )


def delete(kind, name, base_revision=None):
    return Change(action=DELETE, kind=kind, name=name, base_revision=base_revision)


def change_set(operator, change_id, *changes):
    return ChangeSet(operator_name=operator, change_id=change_id, changes=changes)


def claim(
    request_id,
    key="key",
    fingerprint=b"f" * 32,
    deadline_ms=1_000,
    retention_s=0,
    organisation="suva",
):
    return ClaimRequest(
        organisation=organisation,
        idempotency_key=key,
        fingerprint=fingerprint,
        request_id=request_id,
        host_id="e1",
        deadline_in_ms=deadline_ms,
        retention_s=retention_s,
    )


def outcome(request_id, state, answer=b"", key="key", organisation="suva"):
    return RecordOutcomeRequest(
        organisation=organisation,
        idempotency_key=key,
        request_id=request_id,
        state=state,
        outcome=answer,
    )


def batch(*bodies):
    items = [
        ClaimBatchItem(claim=body)
        if isinstance(body, ClaimRequest)
        else ClaimBatchItem(record_outcome=body)
        for body in bodies
    ]
    return ClaimBatchRequest(items=items)


def serialise_command(body, time_ms=0):
    fields = {
        ChangeSet: "change_set",
        ClaimRequest: "claim",
        RecordOutcomeRequest: "record_outcome",
        ClaimBatchRequest: "claim_batch",
    }
    return Command(
        time_ms=time_ms,
        cluster_id="cluster",
        change_id_retention_ms=RETENTION_MS,
        claim_retention_ms=RETENTION_MS,
        **{fields[type(body)]: body},
    ).SerializeToString()


class Replica:
    """A control state that assigns the next log index to each command."""

    def __init__(self, **limits):
        self._limits = limits
        self.state = ControlState(**limits)

    def send(self, body, time_ms=0):
        index = self.state.applied_index + 1
        result = CommandResult.FromString(
            self.state.apply(index, serialise_command(body, time_ms))
        )
        return getattr(result, result.WhichOneof("body"))

    def restore_copy(self):
        """Return a new replica restored from a snapshot of this one."""
        copy = Replica(**self._limits)
        copy.state.restore(self.state.snapshot())
        assert copy.state.snapshot() == self.state.snapshot()
        return copy
