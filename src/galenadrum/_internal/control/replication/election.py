"""Pre-votes and leader elections."""

from __future__ import annotations

import logging

from galenadrum._internal.control.replication import leader
from galenadrum._internal.control.replication.messages import (
    Message,
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
)
from galenadrum._internal.control.replication.state import ReplicaState, Role

logger = logging.getLogger(__name__)


def tick(state: ReplicaState, now: float) -> None:
    """Start a pre-vote when the election deadline has passed.

    The only voter of a cluster starts an election immediately.
    """
    if not state.membership.is_voter(state.member_id):
        return
    if state.membership.voter_ids() == {state.member_id}:
        # There is no other voter, so no lease of another leader can be violated.
        if state.role is Role.FOLLOWER:
            _start_election(state, now)
        return
    if now >= state.election_deadline:
        _start_pre_vote(state, now)


def _start_pre_vote(state: ReplicaState, now: float) -> None:
    state.role = Role.PRE_CANDIDATE
    state.leader_id = ""
    state.votes = {state.member_id}
    state.reset_election_deadline(now)
    logger.info(
        "member %s hears no leader and asks for pre-votes for term %d "
        "(last entry %d of term %d; %s)",
        state.member_id,
        state.term + 1,
        state.log.last_index,
        state.log.last_term,
        state.membership.describe(),
    )
    request = PreVoteRequest(state.term + 1, state.log.last_index, state.log.last_term)
    for member_id in state.peer_voter_ids():
        state.send(member_id, request)


def handle_timeout_now(state: ReplicaState, message: Message, now: float) -> None:
    """Start an election at the request of the leader, which has stepped down."""
    is_follower = state.role is Role.FOLLOWER and message.term == state.term
    if not is_follower or message.sender_id != state.term_leader_id:
        return
    if state.membership.is_voter(state.member_id):
        _start_election(state, now, leader_stepped_down=True)


def _start_election(
    state: ReplicaState, now: float, leader_stepped_down: bool = False
) -> None:
    state.set_hard_state(state.term + 1, state.member_id)
    state.role = Role.CANDIDATE
    state.votes = set()
    state.disk_ids_by_voter_id = {}
    state.reset_election_deadline(now)
    logger.info(
        "member %s asks for votes for term %d (last entry %d of term %d; %s)",
        state.member_id,
        state.term,
        state.log.last_index,
        state.log.last_term,
        state.membership.describe(),
    )
    request = VoteRequest(
        state.log.last_index, state.log.last_term, leader_stepped_down
    )
    for member_id in state.peer_voter_ids():
        state.send_after_sync(member_id, request)


def handle_pre_vote_request(state: ReplicaState, message: Message, now: float) -> None:
    """Answer whether a vote would be granted, without granting one."""
    body = message.body
    reason = ""
    if state.has_active_leader(now):
        reason = f"leader {state.leader_id or 'before its restart'} may hold a lease"
    elif body.next_term <= state.term:
        reason = f"this member is in term {state.term}"
    elif not _is_up_to_date(state, body.last_index, body.last_term):
        reason = _describe_missing_entries(state, body.last_index, body.last_term)
    _log_vote(state, "pre-vote", message.sender_id, body.next_term, reason)
    state.send(message.sender_id, PreVoteResponse(body.next_term, not reason))


def handle_pre_vote_response(state: ReplicaState, message: Message, now: float) -> None:
    """Count a pre-vote and start an election once a quorum has granted one."""
    body = message.body
    if state.role is not Role.PRE_CANDIDATE or body.next_term != state.term + 1:
        return
    if not body.granted:
        return
    state.votes.add(message.sender_id)
    if state.membership.is_quorum(state.votes):
        _start_election(state, now)


def handle_vote_request(state: ReplicaState, message: Message, now: float) -> None:
    """Grant at most one vote per term, and none while a leader may hold a lease.

    If the leader stepped down in favour of the sender, neither that leader nor any
    earlier one holds a lease that a vote could violate.
    """
    body = message.body
    has_active_leader = state.has_active_leader(now) and not body.leader_stepped_down
    if has_active_leader or message.term < state.term:
        reason = (
            f"leader {state.leader_id or 'before its restart'} may hold a lease"
            if has_active_leader
            else f"this member is in term {state.term}"
        )
        _log_vote(state, "vote", message.sender_id, message.term, reason)
        state.send(message.sender_id, VoteResponse(granted=False))
        return
    if message.term > state.term:
        state.become_follower(message.term, now)
    reason = ""
    if state.voted_for not in ("", message.sender_id) or state.term_leader_id:
        reason = f"it was given to {state.voted_for or state.term_leader_id}"
    elif not _is_up_to_date(state, body.last_index, body.last_term):
        reason = _describe_missing_entries(state, body.last_index, body.last_term)
    _log_vote(state, "vote", message.sender_id, message.term, reason)
    granted = not reason
    if granted:
        state.become_follower(message.term, now)
        state.set_hard_state(state.term, message.sender_id)
        state.reset_election_deadline(now)
    state.send_after_sync(message.sender_id, VoteResponse(granted))


def handle_vote_response(state: ReplicaState, message: Message, now: float) -> None:
    """Count a vote of the current term."""
    if state.role is not Role.CANDIDATE or message.term != state.term:
        return
    if not message.body.granted:
        return
    state.votes.add(message.sender_id)
    state.disk_ids_by_voter_id[message.sender_id] = message.sender_disk_id
    become_leader_if_elected(state, now)


def become_leader_if_elected(state: ReplicaState, now: float) -> None:
    """Become the leader once a quorum has voted and the own vote is synced."""
    if state.role is not Role.CANDIDATE or state.synced_term != state.term:
        return
    votes = state.votes | {state.member_id}
    if state.membership.is_quorum(votes):
        leader.become_leader(state, now)


def _log_vote(
    state: ReplicaState, kind: str, candidate_id: str, term: int, reason: str
) -> None:
    outcome = f"denied: {reason}" if reason else "granted"
    logger.info(
        "%s of member %s for %s in term %d %s",
        kind,
        state.member_id,
        candidate_id,
        term,
        outcome,
    )


def _describe_missing_entries(
    state: ReplicaState, last_index: int, last_term: int
) -> str:
    return (
        f"its last entry is {last_index} of term {last_term}, this member's "
        f"{state.log.last_index} of term {state.log.last_term}"
    )


def _is_up_to_date(state: ReplicaState, last_index: int, last_term: int) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (last_term, last_index) >= own
