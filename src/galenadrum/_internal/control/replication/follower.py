"""Handling of a leader's requests by a follower."""

from __future__ import annotations

import logging

from galenadrum._internal.control.replication.entries import Entry, Snapshot
from galenadrum._internal.control.replication.messages import (
    AppendRequest,
    AppendResponse,
    Message,
    Restore,
    SnapshotChunk,
    SnapshotResponse,
)
from galenadrum._internal.control.replication.state import (
    IncomingSnapshot,
    ReplicaState,
    Role,
)
from galenadrum._internal.exceptions import InvariantError

logger = logging.getLogger(__name__)


def handle_append_request(state: ReplicaState, message: Message, now: float) -> None:
    """Append the entries that match the own log and answer once they are synced.

    The request is rejected if the log has no entry that matches the one before the
    first new entry.
    """
    if _reject_if_stale(state, message):
        return
    _record_leader_contact(state, message, now)
    body = message.body
    last_new_index = body.previous_index + len(body.entries)
    if not _log_matches(state, body):
        _send_rejection(state, message)
        return
    _append_entries(state, body.entries)
    state.verified_index = max(state.verified_index, last_new_index)
    commit_index = min(body.commit_index, state.verified_index)
    if commit_index > state.commit_index:
        state.advance_commit(commit_index)
    if not body.entries or state.log.stable_index >= last_new_index:
        _send_acknowledgement(state)


def handle_snapshot_chunk(state: ReplicaState, message: Message, now: float) -> None:
    """Append a chunk to the incoming snapshot and install it once complete.

    A snapshot that is not ahead of the commit index is acknowledged and ignored.

    Raises:
        InvariantError: When the snapshot is over the limit.
    """
    if _reject_if_stale(state, message):
        return
    _record_leader_contact(state, message, now)
    body = message.body
    if body.index <= state.commit_index:
        state.verified_index = max(state.verified_index, state.commit_index)
        _send_acknowledgement(state)
        return
    incoming = _get_incoming_snapshot(state, body)
    if body.offset == len(incoming.data):
        incoming.data += body.data
    received = len(incoming.data)
    if received > state.options.max_snapshot_bytes:
        raise InvariantError(
            f"the received snapshot of {received} bytes is over the limit"
        )
    state.send(message.sender_id, SnapshotResponse(body.index, received, body.round))
    if received == incoming.total_bytes:
        _install_snapshot(state, incoming)


def acknowledge_synced(state: ReplicaState) -> None:
    """Acknowledge entries that were synced since the last acknowledgement."""
    if state.role is not Role.FOLLOWER or not state.leader_id:
        return
    if min(state.verified_index, state.log.stable_index) > state.acked_index:
        _send_acknowledgement(state)


def _reject_if_stale(state: ReplicaState, message: Message) -> bool:
    if message.term >= state.term:
        return False
    # The term of the response makes the sender step down. Its round is 0, because
    # the sender may since have become leader in that term, with its own rounds.
    state.send(
        message.sender_id, AppendResponse(accepted=False, match_index=0, round=0)
    )
    return True


def _record_leader_contact(state: ReplicaState, message: Message, now: float) -> None:
    if message.term == state.term and state.role is Role.LEADER:
        raise InvariantError(f"two leaders in term {state.term}")
    if message.term > state.term or state.role is not Role.FOLLOWER:
        state.become_follower(message.term, now)
    if state.term_leader_id not in ("", message.sender_id):
        raise InvariantError(f"two leaders in term {state.term}")
    if state.leader_id != message.sender_id:
        logger.info(
            "member %s follows leader %s in term %d",
            state.member_id,
            message.sender_id,
            state.term,
        )
    state.term_leader_id = message.sender_id
    state.leader_id = message.sender_id
    state.last_leader_contact = now
    state.reset_election_deadline(now)
    state.leader_round = max(state.leader_round, message.body.round)


def _log_matches(state: ReplicaState, body: AppendRequest) -> bool:
    if body.previous_index <= state.commit_index:
        held = state.log.term_at(body.previous_index)
        if held not in (None, body.previous_term):
            raise InvariantError(
                f"the leader's entry {body.previous_index} differs from the committed "
                "one"
            )
        return True
    return state.log.term_at(body.previous_index) == body.previous_term


def _append_entries(state: ReplicaState, entries: tuple[Entry, ...]) -> None:
    for entry in entries:
        held = state.log.term_at(entry.index)
        if held == entry.term:
            continue
        if entry.index <= state.commit_index:
            if held is not None:
                raise InvariantError(
                    f"the leader's entry {entry.index} differs from the committed one"
                )
            continue
        if held is not None:
            if entry.index <= state.verified_index:
                raise InvariantError(f"the leader replaced its own entry {entry.index}")
            state.log.truncate(entry.index)
            state.unsaved_index = min(state.unsaved_index, entry.index)
        state.log.append(entry)


def _send_rejection(state: ReplicaState, message: Message) -> None:
    body = message.body
    hint = state.log.last_index
    if body.previous_index <= hint:
        hint = state.log.first_index_of_term(body.previous_index) - 1
    hint = max(hint, state.commit_index)
    response = AppendResponse(
        accepted=False,
        match_index=0,
        round=body.round,
        rejected_index=body.previous_index,
        hint_index=hint,
    )
    state.send(message.sender_id, response)


def _send_acknowledgement(state: ReplicaState) -> None:
    match_index = min(state.verified_index, state.log.stable_index)
    response = AppendResponse(
        accepted=True, match_index=match_index, round=state.leader_round
    )
    state.acked_index = max(state.acked_index, match_index)
    if state.synced_term == state.term:
        state.send(state.leader_id, response)
        return
    state.send_after_sync(state.leader_id, response)


def _get_incoming_snapshot(
    state: ReplicaState, body: SnapshotChunk
) -> IncomingSnapshot:
    incoming = state.incoming_snapshot
    if incoming is None or (incoming.index, incoming.term) != (
        body.index,
        body.snapshot_term,
    ):
        incoming = IncomingSnapshot(
            body.index, body.snapshot_term, body.membership, body.total_bytes
        )
        state.incoming_snapshot = incoming
    return incoming


def _install_snapshot(state: ReplicaState, incoming: IncomingSnapshot) -> None:
    snapshot = Snapshot(
        incoming.index, incoming.term, incoming.membership, bytes(incoming.data)
    )
    state.incoming_snapshot = None
    state.log.reset(snapshot.index, snapshot.term, snapshot.membership)
    state.snapshot = snapshot
    state.unsaved_snapshot = snapshot
    state.unsaved_reset = True
    state.unsaved_index = snapshot.index + 1
    state.advance_commit(snapshot.index)
    state.applied_index = snapshot.index
    state.verified_index = max(state.verified_index, snapshot.index)
    logger.info(
        "member %s installed the snapshot at entry %d (%d bytes)",
        state.member_id,
        snapshot.index,
        len(snapshot.data),
    )
    state.outbox.append(Restore(snapshot))
