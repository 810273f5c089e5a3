"""Leader logic: proposals, the commit index and membership changes."""

from __future__ import annotations

import logging

from galenadrum._internal.control.replication import (
    codec,
    membership,
    rounds,
    snapshot_sender,
)
from galenadrum._internal.control.replication.entries import Entry, EntryKind
from galenadrum._internal.control.replication.membership import Membership
from galenadrum._internal.control.replication.messages import Message, TimeoutNow
from galenadrum._internal.control.replication.state import (
    LeaderState,
    Progress,
    ReplicaState,
    Role,
    SendMode,
)
from galenadrum._internal.exceptions import (
    InvariantError,
    LogBusyError,
    MembershipError,
)

logger = logging.getLogger(__name__)

_CLUSTER_ID_BITS = 64
# Time for which a member that says it leaves gets no vote; a restart takes longer than
# the request, and a member that has restarted answers again.
_LEAVING_S = 2.0


def become_leader(state: ReplicaState, now: float) -> None:
    """Become the leader of the current term and append its first entry.

    The first leader of a cluster appends the founding membership; any other appends
    an empty entry, so that entries of earlier terms can be committed.
    """
    if state.term_leader_id:
        raise InvariantError(f"two leaders in term {state.term}")
    state.role = Role.LEADER
    state.leader_id = state.member_id
    state.term_leader_id = state.member_id
    state.leader = LeaderState(started_at=now, first_index=state.log.last_index + 1)
    if state.membership.is_founding():
        disk_ids_by_member_id = {
            **state.disk_ids_by_voter_id,
            state.member_id: state.disk_id,
        }
        cluster_id = f"{state.rng.getrandbits(_CLUSTER_ID_BITS):016x}"
        founding = membership.record_founding_disks(
            state.membership, disk_ids_by_member_id, cluster_id
        )
        append_membership(state, founding)
    else:
        append_entry(state, EntryKind.TERM_START, b"")
    _sync_progress_with_members(state, now)
    logger.info(
        "member %s leads term %d from entry %d (%s)",
        state.member_id,
        state.term,
        state.leader.first_index,
        state.membership.describe(),
    )
    rounds.start_round(state, now)


def tick(state: ReplicaState, now: float) -> None:
    """Step down if the lease has expired; else start a heartbeat round if due."""
    if now >= rounds.step_down_at(state):
        rounds.step_down_without_quorum(state, now)
        return
    if now >= state.leader.next_round_at:
        rounds.start_round(state, now)


def append_entry(state: ReplicaState, kind: EntryKind, data: bytes) -> int:
    """Append one entry of the current term and return its index."""
    index = state.log.last_index + 1
    state.log.append(Entry(index, state.term, kind, data))
    return index


def propose(state: ReplicaState, command: bytes) -> int:
    """Append a command and return its index.

    Raises:
        LogBusyError: When the command or the uncommitted commands are too large;
            the command was not appended.
    """
    leader = state.leader
    if len(command) > state.options.max_command_bytes:
        raise LogBusyError(
            f"a command of {len(command)} bytes is over the limit of "
            f"{state.options.max_command_bytes}"
        )
    if leader.uncommitted_bytes + len(command) > state.options.max_uncommitted_bytes:
        raise LogBusyError(
            f"{leader.uncommitted_bytes} bytes wait to be committed; try again later"
        )
    index = append_entry(state, EntryKind.COMMAND, command)
    leader.uncommitted.append((index, len(command)))
    leader.uncommitted_bytes += len(command)
    return index


def transfer(state: ReplicaState, now: float) -> str | None:
    """Step down and ask a voter that holds the whole log to start an election.

    The lease ends here: after the request is sent, nothing that relies on the
    lease may happen.

    Returns:
        Id of the successor, or None if no voter qualifies.
    """
    target_ids = [
        member_id
        for member_id in state.peer_voter_ids()
        if _is_transfer_target(state, state.leader.progress_by_id.get(member_id), now)
    ]
    if not target_ids:
        return None
    successor_id = state.rng.choice(target_ids)
    state.become_follower(state.term, now)
    state.send(successor_id, TimeoutNow())
    return successor_id


def _is_transfer_target(
    state: ReplicaState, progress: Progress | None, now: float
) -> bool:
    if progress is None or progress.answered_at is None:
        return False
    answers = now - progress.answered_at < state.options.election_timeout_s
    return answers and progress.match_index == state.log.last_index


def append_membership(state: ReplicaState, changed: Membership) -> int:
    """Append a membership; a quorum of it must share members with one of the latest.

    Raises:
        InvariantError: When several voters change without a joint membership.
    """
    before = state.membership
    changed_ids = before.incoming_voter_ids() ^ changed.incoming_voter_ids()
    if len(changed_ids) > 1 and not changed.is_joint:
        raise InvariantError(
            f"voters {','.join(sorted(changed_ids))} would change in one entry"
        )
    index = append_entry(
        state, EntryKind.MEMBERSHIP, codec.membership_to_bytes(changed)
    )
    logger.info(
        "leader %s proposes members at entry %d: %s",
        state.member_id,
        index,
        changed.describe(),
    )
    return index


def change_membership(state: ReplicaState, changed: Membership, now: float) -> int:
    """Append a membership change if the previous one is committed.

    Raises:
        MembershipError: When another change is under way, or the responsive voters
            would not form a quorum after the change.
    """
    if state.membership.is_joint or not _can_change_membership(state):
        raise MembershipError("another change of members is under way; try again")
    if not _has_answering_quorum(state, changed, now):
        raise MembershipError(
            "the voters that answer would be no quorum after this change"
        )
    index = append_membership(state, changed)
    _sync_progress_with_members(state, now)
    return index


def _has_answering_quorum(state: ReplicaState, changed: Membership, now: float) -> bool:
    since = now - state.options.election_timeout_s
    responsive_ids = {
        member_id
        for member_id, progress in state.leader.progress_by_id.items()
        if progress.answered_at is not None and progress.answered_at > since
    }
    return changed.is_quorum(responsive_ids | {state.member_id})


def _can_change_membership(state: ReplicaState) -> bool:
    # An entry of the current term must be committed first. Otherwise a membership
    # that an earlier leader left uncommitted could form a quorum of its own
    # alongside the new one.
    return (
        state.commit_index >= state.leader.first_index
        and state.commit_index >= state.log.membership_index
    )


def _sync_progress_with_members(state: ReplicaState, now: float) -> None:
    """Track the progress of exactly the other members of the latest membership."""
    leader = state.leader
    member_ids = {m.member_id for m in state.membership.members}
    member_ids.discard(state.member_id)
    for member_id in set(leader.progress_by_id) - member_ids:
        del leader.progress_by_id[member_id]
    for member_id in sorted(member_ids - set(leader.progress_by_id)):
        progress = Progress(
            next_index=state.log.last_index + 1, added_at=now, heartbeat_due=True
        )
        leader.progress_by_id[member_id] = progress


def handle_append_response(state: ReplicaState, message: Message, now: float) -> None:
    """Update a member's progress from its response and advance the commit index."""
    progress = rounds.record_response(state, message, now)
    if progress is None:
        return
    body = message.body
    if body.accepted:
        _record_match(state, message.sender_id, progress, body.match_index)
        advance_commit(state, now)
        return
    if progress.mode is SendMode.SNAPSHOT:
        return
    if body.rejected_index <= progress.match_index:
        return
    # A duplicate or delayed rejection only causes some entries to be sent twice.
    progress.next_index = max(
        progress.match_index + 1, min(body.hint_index + 1, body.rejected_index)
    )
    progress.mode = SendMode.PROBE
    progress.probe_sent = False
    progress.in_flight.clear()


def handle_snapshot_response(state: ReplicaState, message: Message, now: float) -> None:
    """Continue a snapshot transfer after the bytes that the member received."""
    progress = rounds.record_response(state, message, now)
    if progress is not None:
        snapshot_sender.record_received(progress, message.body)


def _record_match(
    state: ReplicaState, member_id: str, progress: Progress, match_index: int
) -> None:
    if match_index > state.log.last_index:
        raise InvariantError(
            f"{member_id} acknowledged index {match_index}, but the last entry is "
            f"{state.log.last_index}"
        )
    progress.match_index = max(progress.match_index, match_index)
    if progress.mode is SendMode.SNAPSHOT:
        if progress.match_index < progress.snapshot.index:
            return
        progress.snapshot = None
        progress.next_index = progress.match_index + 1
    while progress.in_flight and progress.in_flight[0] <= progress.match_index:
        progress.in_flight.popleft()
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    progress.mode = SendMode.STREAM


def advance_commit(state: ReplicaState, now: float) -> None:
    """Commit the entries that a quorum of voters has synced.

    Only an entry of the current term is committed by count; earlier entries are
    committed with it.
    """
    leader = state.leader
    synced = {
        member_id: progress.match_index
        for member_id, progress in leader.progress_by_id.items()
    }
    synced[state.member_id] = state.log.stable_index
    index = state.membership.quorum_value(synced)
    if index <= state.commit_index or state.log.term_at(index) != state.term:
        return
    is_first_of_term = state.commit_index < leader.first_index
    state.advance_commit(index)
    while leader.uncommitted and leader.uncommitted[0][0] <= index:
        leader.uncommitted_bytes -= leader.uncommitted.popleft()[1]
    if is_first_of_term:
        rounds.announce_lease(state)
    committed = state.log.membership_at(index)
    if committed == state.membership and not committed.is_voter(state.member_id):
        state.become_follower(state.term, now)


def advance_membership_change(state: ReplicaState, now: float) -> None:
    """Append the next pending promotion or replacement, if one is possible."""
    if not _can_change_membership(state):
        return
    changed = _find_next_change(state, now)
    if changed is None:
        return
    # An open change is completed in any case; nothing else can end it.
    if state.membership.is_joint or _has_answering_quorum(state, changed, now):
        append_membership(state, changed)
        _sync_progress_with_members(state, now)


def _find_next_change(state: ReplicaState, now: float) -> Membership | None:
    caught_up = {
        member_id: progress.disk_id
        for member_id, progress in state.leader.progress_by_id.items()
        if progress.match_index >= state.commit_index
    }
    return membership.next_change(
        state.membership, caught_up, _find_lost_members(state, now)
    )


def _find_lost_members(state: ReplicaState, now: float) -> set[str]:
    """Return the ids of members that don't answer or have said that they leave."""
    return {
        member_id
        for member_id, progress in state.leader.progress_by_id.items()
        if now < progress.leaving_until
        or rounds.silence_s(progress, now) > state.options.election_timeout_s
    }


def record_leaving(state: ReplicaState, member_id: str, now: float) -> bool:
    """Record that a voter is about to stop; return whether a standby replaces it."""
    progress = state.leader.progress_by_id.get(member_id)
    if progress is not None:
        progress.leaving_until = now + _LEAVING_S
    if not state.membership.is_voter(member_id):
        return True
    changed = _find_next_change(state, now)
    return changed is not None and member_id not in changed.incoming_voter_ids()


def is_settled(state: ReplicaState, now: float) -> bool:
    """Return whether a change may be acknowledged now.

    It may not while a standby could take the place of a lost voter: the group would
    not survive the loss of one more member, though it soon will. A new leader waits
    until a silent voter is known to be lost, and for newcomers to ask it to join.
    """
    if state.membership.is_joint or not _can_change_membership(state):
        return False
    if _find_next_change(state, now) is not None:
        return False
    options = state.options
    leader = state.leader
    judged_at = leader.started_at + options.election_timeout_s + options.newcomer_wait_s
    progress_by_voter_id = {
        voter_id: leader.progress_by_id[voter_id] for voter_id in state.peer_voter_ids()
    }
    if now < judged_at and any(
        progress.answered_at is None for progress in progress_by_voter_id.values()
    ):
        return not options.newcomer_wait_s and not _has_learners(state)
    lost_ids = _find_lost_members(state, now)
    return not lost_ids.intersection(progress_by_voter_id) or not any(
        now < progress.added_at + options.newcomer_wait_s
        for member_id, progress in leader.progress_by_id.items()
        if member_id not in progress_by_voter_id and member_id not in lost_ids
    )


def _has_learners(state: ReplicaState) -> bool:
    return any(not member.voter for member in state.membership.members)
