"""Heartbeat rounds of a leader, which extend its lease and confirm reads."""

from __future__ import annotations

import logging

from galenadrum._internal.control.replication.messages import (
    LeadershipChanged,
    Message,
    ReadReady,
)
from galenadrum._internal.control.replication.state import (
    Progress,
    ReplicaState,
    Role,
)
from galenadrum._internal.exceptions import InvariantError, LogBusyError

logger = logging.getLogger(__name__)


def step_down_at(state: ReplicaState) -> float:
    """Return the loop time in seconds at which the leader must step down.

    Counted from the start of the latest round that a quorum answered, or from the
    start of the leadership.
    """
    if is_only_voter(state):
        return float("inf")
    started = state.leader.quorum_round_started_at
    since = state.leader.started_at if started is None else started
    return since + state.options.lease_s


def step_down_without_quorum(state: ReplicaState, now: float) -> None:
    """End the leadership because no quorum has answered in time."""
    silent = [
        f"{member_id} for {silence_s(progress, now):.1f} s"
        for member_id, progress in sorted(state.leader.progress_by_id.items())
        if state.membership.is_voter(member_id)
        and silence_s(progress, now) > state.options.heartbeat_s
    ]
    logger.warning(
        "leader %s has lost its quorum and steps down in term %d (silent voters: %s)",
        state.member_id,
        state.term,
        ", ".join(silent) or "none",
    )
    state.become_follower(state.term, now)


def silence_s(progress: Progress, now: float) -> float:
    """Return the seconds since a member last answered this leader.

    A member that has not answered is counted from the time at which the leader began to
    replicate to it.
    """
    return now - max(progress.answered_at or 0.0, progress.added_at)


def lease_until(state: ReplicaState) -> float | None:
    """Return the loop time in seconds until which no other leader can exist.

    None until a quorum has answered a round and an entry of the current term is
    committed.
    """
    leader = state.leader
    if state.commit_index < leader.first_index:
        return None
    if is_only_voter(state):
        return float("inf")
    if leader.quorum_round_started_at is None:
        return None
    return leader.quorum_round_started_at + state.options.lease_s


def is_only_voter(state: ReplicaState) -> bool:
    """Return whether this member is the only voter."""
    return state.membership.voter_ids() == {state.member_id}


def start_round(state: ReplicaState, now: float) -> None:
    """Start a heartbeat round; answers of a quorum extend the lease."""
    leader = state.leader
    leader.round += 1
    leader.started_at_by_round[leader.round] = now
    leader.next_round_at = now + state.options.heartbeat_s
    for progress in leader.progress_by_id.values():
        progress.heartbeat_due = True
        progress.probe_sent = False


def record_response(
    state: ReplicaState, message: Message, now: float
) -> Progress | None:
    """Count a response for its round and return the sender's progress.

    Returns None if the response is not for this leadership or the sender is no
    longer a member.

    Raises:
        InvariantError: When the response names a round that has not started.
    """
    if state.role is not Role.LEADER or message.term != state.term:
        return None
    progress = state.leader.progress_by_id.get(message.sender_id)
    if progress is None:
        return None
    if progress.disk_id != message.sender_disk_id:
        # A learner that lost its data folder before its disk id was recorded is
        # replicated to from the beginning.
        progress.disk_id = message.sender_disk_id
        progress.match_index = 0
    if message.body.round > state.leader.round:
        raise InvariantError(
            f"response to round {message.body.round}, which has not started"
        )
    progress.answered_at = now
    if message.body.round > progress.acked_round:
        progress.acked_round = message.body.round
        _advance_quorum_round(state)
    return progress


def _advance_quorum_round(state: ReplicaState) -> None:
    leader = state.leader
    acked = {
        member_id: progress.acked_round
        for member_id, progress in leader.progress_by_id.items()
    }
    acked[state.member_id] = leader.round
    quorum_round = state.membership.quorum_value(acked)
    if quorum_round <= leader.quorum_round:
        return
    leader.quorum_round = quorum_round
    leader.quorum_round_started_at = leader.started_at_by_round[quorum_round]
    for old in [r for r in leader.started_at_by_round if r < quorum_round]:
        del leader.started_at_by_round[old]
    announce_lease(state)


def announce_lease(state: ReplicaState) -> None:
    """Report the lease expiry to the driver, if this member holds a lease."""
    until = lease_until(state)
    if until is not None:
        state.outbox.append(LeadershipChanged(state.term, until))


def add_read(state: ReplicaState, token: int) -> None:
    """Queue a read to be confirmed by the next round.

    Raises:
        LogBusyError: When too many reads are waiting.
    """
    leader = state.leader
    if len(leader.waiting_reads) >= state.options.max_waiting_reads:
        raise LogBusyError(f"{len(leader.waiting_reads)} reads are waiting")
    leader.waiting_reads.append(token)


def advance_reads(state: ReplicaState, now: float) -> None:
    """Confirm reads with a round that started after they were requested."""
    leader = state.leader
    if state.commit_index < leader.first_index:
        return
    if is_only_voter(state):
        _confirm_reads(state, leader.confirming_reads)
        _confirm_reads(state, leader.waiting_reads)
        return
    if leader.confirming_reads and leader.quorum_round >= leader.reads_round:
        _confirm_reads(state, leader.confirming_reads)
    if leader.waiting_reads and not leader.confirming_reads:
        leader.confirming_reads, leader.waiting_reads = leader.waiting_reads, []
        start_round(state, now)
        leader.reads_round = leader.round


def _confirm_reads(state: ReplicaState, tokens: list[int]) -> None:
    for token in tokens:
        state.outbox.append(ReadReady(token, state.commit_index))
    tokens.clear()
