"""Append requests and heartbeats of a leader to the other members."""

from __future__ import annotations

from galenadrum._internal.control.replication import snapshot_sender
from galenadrum._internal.control.replication.messages import AppendRequest
from galenadrum._internal.control.replication.state import (
    Progress,
    ReplicaState,
    SendMode,
)


def send_appends(state: ReplicaState) -> None:
    """Send missing entries, within the limits, and due heartbeats to each member.

    A member whose missing entries were compacted gets a snapshot instead.
    """
    for member_id, progress in state.leader.progress_by_id.items():
        if progress.mode is SendMode.SNAPSHOT:
            snapshot_sender.send_chunk(state, member_id, progress)
            continue
        _send_appends_to(state, member_id, progress)


def _send_appends_to(state: ReplicaState, member_id: str, progress: Progress) -> None:
    if state.log.term_at(progress.next_index - 1) is None:
        snapshot_sender.start_snapshot(state, member_id, progress)
        snapshot_sender.send_chunk(state, member_id, progress)
        return
    while _can_send_entries(state, progress):
        _send_append(state, member_id, progress, with_entries=True)
    if progress.heartbeat_due:
        _send_append(state, member_id, progress, with_entries=False)


def _can_send_entries(state: ReplicaState, progress: Progress) -> bool:
    if progress.next_index > state.log.last_index:
        return False
    if progress.mode is SendMode.PROBE:
        return not progress.probe_sent
    return len(progress.in_flight) < state.options.max_in_flight


def _send_append(
    state: ReplicaState, member_id: str, progress: Progress, with_entries: bool
) -> None:
    previous_index = progress.next_index - 1
    entries = ()
    if with_entries:
        entries = state.log.slice(
            progress.next_index,
            state.options.max_append_entries,
            state.options.max_append_bytes,
        )
        progress.next_index = entries[-1].index + 1
        progress.in_flight.append(entries[-1].index)
    progress.probe_sent = True
    progress.heartbeat_due = False
    request = AppendRequest(
        previous_index,
        state.log.term_at(previous_index),
        entries,
        state.commit_index,
        state.leader.round,
    )
    state.send(member_id, request)
