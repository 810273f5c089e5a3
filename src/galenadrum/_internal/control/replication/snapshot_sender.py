"""Transfer of a snapshot to a member whose missing entries were compacted."""

from __future__ import annotations

import logging

from galenadrum._internal.control.replication.messages import (
    SnapshotChunk,
    SnapshotResponse,
)
from galenadrum._internal.control.replication.state import (
    Progress,
    ReplicaState,
    SendMode,
)
from galenadrum._internal.exceptions import InvariantError

logger = logging.getLogger(__name__)


def start_snapshot(state: ReplicaState, member_id: str, progress: Progress) -> None:
    """Start sending the latest snapshot to a member.

    Raises:
        InvariantError: When there is no snapshot.
    """
    if state.snapshot is None:
        raise InvariantError("log entries were compacted without a snapshot")
    logger.info(
        "leader %s sends %s the snapshot at entry %d (%d bytes)",
        state.member_id,
        member_id,
        state.snapshot.index,
        len(state.snapshot.data),
    )
    progress.mode = SendMode.SNAPSHOT
    progress.snapshot = state.snapshot
    progress.snapshot_offset = 0
    progress.chunk_sent = False
    progress.in_flight.clear()


def send_chunk(state: ReplicaState, member_id: str, progress: Progress) -> None:
    """Send the next chunk, or an empty chunk if a heartbeat is due."""
    snapshot = progress.snapshot
    start = progress.snapshot_offset
    data = b""
    if not progress.chunk_sent:
        data = snapshot.data[start : start + state.options.snapshot_chunk_bytes]
    if not data and not progress.heartbeat_due:
        return
    progress.chunk_sent = True
    progress.heartbeat_due = False
    chunk = SnapshotChunk(
        index=snapshot.index,
        snapshot_term=snapshot.term,
        membership=snapshot.membership,
        offset=start,
        total_bytes=len(snapshot.data),
        data=data,
        round=state.leader.round,
    )
    state.send(member_id, chunk)


def record_received(progress: Progress, body: SnapshotResponse) -> None:
    """Continue the transfer after the bytes that the member has received."""
    snapshot = progress.snapshot
    if progress.mode is not SendMode.SNAPSHOT or body.index != snapshot.index:
        return
    # If a chunk was lost, the response reports no progress and the chunk is sent
    # again.
    progress.snapshot_offset = min(body.received_bytes, len(snapshot.data))
    progress.chunk_sent = False
