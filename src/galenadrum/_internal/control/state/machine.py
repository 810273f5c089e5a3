"""State machine of the replicated log: resources, claims and orders."""

from __future__ import annotations

import io
import logging
from collections.abc import Callable

from google.protobuf.message import DecodeError

from galenadrum._internal.control.state.change_ids import ChangeIdTable
from galenadrum._internal.control.state.changes import (
    CallerKeyIndex,
    Evaluation,
    ParsedChange,
    build_result,
    compute_fingerprint,
    evaluate_change_set,
    get_change_outcome,
)
from galenadrum._internal.control.state.claim_records import (
    PACKED_VERSION,
    split_blocks,
    unpack_claim,
)
from galenadrum._internal.control.state.claims import (
    MAX_CLAIMS,
    MAX_CLAIMS_BYTES,
    ClaimTable,
)
from galenadrum._internal.control.state.orders import OrderTable
from galenadrum._internal.declarations.records import (
    decode_resource,
    parse_resource_key,
)
from galenadrum._internal.declarations.resource_table import (
    MAX_KEPT_DELETIONS,
    ResourceTable,
)
from galenadrum._internal.exceptions import (
    CheckFailedError,
    InvariantError,
    StorageError,
)
from galenadrum._internal.models.resources import Kind, Resource, ResourceKey
from galenadrum._internal.protocol.claims_pb2 import (
    ClaimBatchAnswer,
    ClaimBatchItem,
    ClaimBatchResponse,
    ClaimFailure,
    ClaimResponse,
    RecordOutcomeResponse,
)
from galenadrum._internal.protocol.commands_pb2 import (
    ChangeFinding,
    ChangeOutcome,
    ChangeResult,
    ChangeSet,
    Command,
    CommandError,
    CommandResult,
    DeletionSnapshot,
    StateSnapshot,
)
from galenadrum._internal.protocol.declarations_pb2 import ResourceId, WatchEvent
from galenadrum._internal.protocol.engines_pb2 import OrderResult

logger = logging.getLogger(__name__)

_ResultBody = (
    ChangeResult
    | ClaimResponse
    | ClaimBatchResponse
    | RecordOutcomeResponse
    | CommandError
    | OrderResult
)


class ControlState:
    """Declared resources, results of change sets by id, claims and orders.

    ``apply`` is deterministic: it depends on the commands alone, so that
    members that applied the same commands have the same state.

    Args:
        max_claims: Maximum number of claims.
        max_deletions: Maximum number of deletions kept for watchers.
        max_claims_bytes: Maximum estimated memory of the claims, in bytes.

    Attributes:
        orders: Orders to engines.
        revision: Revision of the last accepted change set that changed a
            resource; it never decreases.
    """

    def __init__(
        self,
        max_claims: int = MAX_CLAIMS,
        max_deletions: int = MAX_KEPT_DELETIONS,
        max_claims_bytes: int = MAX_CLAIMS_BYTES,
    ) -> None:
        self._applied_index = 0
        self._time_ms = 0
        self._table = ResourceTable(max_deletions)
        self._key_index = CallerKeyIndex()
        self._change_ids = ChangeIdTable()
        self._claims = ClaimTable(max_claims, max_claims_bytes)
        self.orders = OrderTable()
        self._listeners: list[Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """Current revision of the resources."""
        return self._table.revision

    @property
    def cluster_id(self) -> str:
        """Id of the cluster; empty before the first command with an id."""
        return self._table.cluster_id

    @property
    def time_ms(self) -> int:
        """Latest leader time of any applied command, in milliseconds."""
        return self._time_ms

    @property
    def applied_index(self) -> int:
        """Log index of the last applied command."""
        return self._applied_index

    @property
    def claim_count(self) -> int:
        """Number of stored claims."""
        return len(self._claims)

    @property
    def claims_bytes(self) -> int:
        """Estimated memory of the claims, in bytes."""
        return self._claims.estimated_bytes

    @property
    def change_id_count(self) -> int:
        """Number of change sets whose result is recorded."""
        return len(self._change_ids)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the revision and each restore."""
        self._listeners.append(listener)

    def get(self, key: ResourceKey) -> Resource | None:
        """Return the resource with the key, or None if it is not declared."""
        return self._table.get(key)

    def resources(
        self, kind: Kind | None = None, owner: str | None = None
    ) -> tuple[Resource, ...]:
        """Return resources ordered by kind and name.

        Args:
            kind: Return only resources of this kind.
            owner: Return only resources of this owner.
        """
        matching = [
            resource
            for resource in self._table
            if kind in (None, resource.key.kind) and owner in (None, resource.owner)
        ]
        return tuple(sorted(matching, key=_get_sort_key))

    def build_event_after(self, revision: int) -> WatchEvent:
        """Return all changes after ``revision`` as one event."""
        return self._table.build_event_after(revision)

    def check(self, change_set: ChangeSet) -> ChangeResult:
        """Return the result that a change set would have, without applying it."""
        evaluation = evaluate_change_set(change_set, self._table, self._key_index)
        outcomes = []
        if evaluation.status == ChangeResult.ACCEPTED:
            outcomes = [self._predict_outcome(change) for change in evaluation.changes]
        return build_result(evaluation, outcomes, self.revision)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command.

        Args:
            index: Log index of the command, above that of the previous call.
            command: A serialised ``Command``.

        Returns:
            A serialised ``CommandResult``. A command that can't be parsed
            gives an error result, which is the same on every member.

        Raises:
            InvariantError: If an invariant of the state is violated.
        """
        if index <= self._applied_index:
            raise InvariantError(
                f"log index {index} was applied already;"
                f" expected above {self._applied_index}"
            )
        self._applied_index = index
        try:
            parsed = Command.FromString(command)
        except DecodeError:
            return _serialise_result(
                _build_malformed_error("the command can't be parsed")
            )
        before = self.revision
        self._advance_time(parsed)
        result = _serialise_result(self._dispatch(parsed))
        if self.revision != before:
            self._notify_listeners()
        return result

    def snapshot(self) -> bytes:
        """Serialise the whole state; equal states give equal bytes."""
        table = self._table
        snapshot = StateSnapshot(
            applied_index=self._applied_index,
            time_ms=self._time_ms,
            cluster_id=table.cluster_id,
            revision=table.revision,
            delta_floor=table.delta_floor,
            resources=[table.get_record(resource) for resource in self.resources()],
            deletions=[
                DeletionSnapshot(
                    id=ResourceId(kind=key.kind, name=key.name), revision=revision
                )
                for key, revision in table.deletions()
            ],
            change_ids=self._change_ids.snapshot(),
            change_id_sequence=self._change_ids.sequence,
            claims=self._claims.snapshot(),
            packed_claims_version=PACKED_VERSION,
            orders=self.orders.snapshot(),
        )
        # Concatenated serialised messages parse as one message. Packed claims are
        # appended block by block, so that memory never holds all of them as
        # messages or a second copy next to the output.
        data = io.BytesIO()
        data.write(snapshot.SerializeToString(deterministic=True))
        for block in self._claims.packed_snapshot():
            data.write(StateSnapshot(packed_claims=[block]).SerializeToString())
        return data.getvalue()

    def restore(self, data: bytes) -> None:
        """Replace the whole state with a snapshot.

        Raises:
            StorageError: If the snapshot can't be read; the state is unchanged.
        """
        try:
            snapshot = StateSnapshot.FromString(data)
            _validate_packed_claims(snapshot)
            resources = [decode_resource(record) for record in snapshot.resources]
            deletions = [
                (parse_resource_key(row.id.kind, row.id.name), row.revision)
                for row in snapshot.deletions
            ]
        except (DecodeError, CheckFailedError, ValueError) as error:
            raise StorageError(
                f"can't read snapshot of the control state: {error}"
            ) from error
        self._applied_index = snapshot.applied_index
        self._time_ms = snapshot.time_ms
        self._restore_table(snapshot, resources, deletions)
        self._change_ids.restore(snapshot.change_ids, snapshot.change_id_sequence)
        self._claims.restore(snapshot.claims, snapshot.packed_claims)
        self.orders.restore(snapshot.orders)
        self._notify_listeners()

    def _restore_table(
        self,
        snapshot: StateSnapshot,
        resources: list[Resource],
        deletions: list[tuple[ResourceKey, int]],
    ) -> None:
        self._table.replace(resources, snapshot.revision, snapshot.delta_floor)
        self._table.cluster_id = snapshot.cluster_id
        for key, revision in deletions:
            self._table.remove(key, revision)
        self._key_index = CallerKeyIndex()
        for resource in resources:
            self._key_index.replace(resource.key, None, resource.spec)

    def _advance_time(self, command: Command) -> None:
        self._time_ms = max(self._time_ms, command.time_ms)
        self._table.cluster_id = self._table.cluster_id or command.cluster_id
        self._change_ids.expire(self._time_ms)
        self._claims.expire(self._time_ms)
        self.orders.expire(self._time_ms)

    def _dispatch(self, command: Command) -> _ResultBody:
        body = command.WhichOneof("body")
        retention_ms = command.claim_retention_ms
        if body == "change_set":
            return self._apply_change_set(command)
        if body == "claim":
            return self._claims.claim(command.claim, self._time_ms, retention_ms)
        if body == "record_outcome":
            return self._claims.record_outcome(
                command.record_outcome, self._time_ms, retention_ms
            )
        if body == "claim_batch":
            return ClaimBatchResponse(
                answers=[
                    self._apply_batch_item(item, retention_ms)
                    for item in command.claim_batch.items
                ]
            )
        if body == "record_order":
            return self.orders.record_order(command.record_order, self._time_ms)
        if body == "close_order":
            return self.orders.close_order(command.close_order)
        return _build_malformed_error("the command has no body")

    def _apply_batch_item(
        self, item: ClaimBatchItem, retention_ms: int
    ) -> ClaimBatchAnswer:
        """Apply one item of a batch like a separate command."""
        body = item.WhichOneof("body")
        answer: ClaimResponse | RecordOutcomeResponse | CommandError
        if body == "claim":
            answer = self._claims.claim(item.claim, self._time_ms, retention_ms)
        elif body == "record_outcome":
            answer = self._claims.record_outcome(
                item.record_outcome, self._time_ms, retention_ms
            )
        else:
            answer = _build_malformed_error("the item has no body")
        if isinstance(answer, CommandError):
            failure = ClaimFailure(code=int(answer.code), message=answer.message)
            return ClaimBatchAnswer(failure=failure)
        if isinstance(answer, ClaimResponse):
            return ClaimBatchAnswer(claim=answer)
        return ClaimBatchAnswer(record_outcome=answer)

    def _apply_change_set(self, command: Command) -> ChangeResult:
        change_set = command.change_set
        key = (change_set.operator_name, change_set.change_id)
        fingerprint = compute_fingerprint(change_set)
        first = self._change_ids.get(key)
        if first is not None:
            return _build_repeated_result(
                first.result, first.fingerprint == fingerprint
            )
        evaluation = evaluate_change_set(change_set, self._table, self._key_index)
        outcomes = self._apply_if_accepted(evaluation, change_set.operator_name)
        result = build_result(evaluation, outcomes, self.revision)
        self._change_ids.record_result(
            key,
            fingerprint,
            result.SerializeToString(deterministic=True),
            self._time_ms + command.change_id_retention_ms,
        )
        return result

    def _apply_if_accepted(
        self, evaluation: Evaluation, owner: str
    ) -> list[ChangeOutcome]:
        """Apply a change set under one new revision if its status is accepted."""
        if evaluation.status != ChangeResult.ACCEPTED:
            return []
        changes = evaluation.changes
        if any(
            self._predict_outcome(change).outcome != "unchanged" for change in changes
        ):
            self._table.set_revision(self.revision + 1)
        return [self._apply_change(change, owner) for change in changes]

    def _apply_change(self, change: ParsedChange, owner: str) -> ChangeOutcome:
        outcome = self._predict_outcome(change)
        before = self._table.get(change.key)
        if outcome.outcome == "unchanged":
            return outcome
        if before is not None and before.owner != owner:
            raise InvariantError(
                f"can't change {change.key}: it isn't owned by {owner}"
            )
        self._key_index.replace(change.key, before and before.spec, change.spec)
        if change.spec is None:
            self._table.remove(change.key, self.revision)
        else:
            generation = before.generation + 1 if before else 1
            self._table.put(
                Resource(change.key, owner, self.revision, generation, change.spec)
            )
        outcome.revision = self.revision
        return outcome

    def _predict_outcome(self, change: ParsedChange) -> ChangeOutcome:
        before = self._table.get(change.key)
        return ChangeOutcome(
            kind=change.key.kind,
            name=change.key.name,
            outcome=get_change_outcome(change, before),
            revision=before.revision if before else 0,
        )

    def _notify_listeners(self) -> None:
        for listener in tuple(self._listeners):
            listener()


def _validate_packed_claims(snapshot: StateSnapshot) -> None:
    """Decode all packed claims once, before the current state is replaced.

    Raises:
        ValueError: If the version is not supported or a claim is malformed.
    """
    if snapshot.packed_claims_version > PACKED_VERSION:
        raise ValueError(
            f"unsupported packed claims version {snapshot.packed_claims_version},"
            f" expected at most {PACKED_VERSION}"
        )
    for _, record in split_blocks(snapshot.packed_claims):
        unpack_claim(record)


def _get_sort_key(resource: Resource) -> tuple[str, str]:
    return resource.key.kind, resource.key.name


def _build_repeated_result(first_result: bytes, same_changes: bool) -> ChangeResult:
    if not same_changes:
        finding = ChangeFinding(
            path="change_id", message="used for another change before"
        )
        return ChangeResult(status=ChangeResult.INVALID, findings=[finding])
    result = ChangeResult.FromString(first_result)
    result.repeated = True
    return result


def _build_malformed_error(message: str) -> CommandError:
    return CommandError(code=CommandError.MALFORMED, message=message)


def _serialise_result(body: _ResultBody) -> bytes:
    if isinstance(body, ChangeResult):
        result = CommandResult(change=body)
    elif isinstance(body, ClaimResponse):
        result = CommandResult(claim=body)
    elif isinstance(body, RecordOutcomeResponse):
        result = CommandResult(record_outcome=body)
    elif isinstance(body, ClaimBatchResponse):
        result = CommandResult(claim_batch=body)
    elif isinstance(body, OrderResult):
        result = CommandResult(order=body)
    else:
        result = CommandResult(error=body)
    return result.SerializeToString(deterministic=True)
