"""Sending of a snapshot to a member that is too far behind."""

from __future__ import annotations

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


def start_snapshot(state: ReplicaState, progress: Progress) -> None:
    """Turn to the latest snapshot for a member whose entries are gone."""
    if state.snapshot is None:
        raise InvariantError("entries were dropped without a snapshot")
    progress.mode = SendMode.SNAPSHOT
    progress.snapshot = state.snapshot
    progress.snapshot_offset = 0
    progress.chunk_sent = False
    progress.in_flight.clear()


def send_chunk(state: ReplicaState, member_id: str, progress: Progress) -> None:
    """Send the next chunk, or an empty one as a heartbeat."""
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
    """Go on after the bytes that the member holds."""
    snapshot = progress.snapshot
    if progress.mode is not SendMode.SNAPSHOT or body.index != snapshot.index:
        return
    # An answer without progress follows a lost chunk: it is sent again.
    progress.snapshot_offset = min(body.received_bytes, len(snapshot.data))
    progress.chunk_sent = False
