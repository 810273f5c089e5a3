"""What a leader does: proposals, commitment, changes of members."""

from __future__ import annotations

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

_CLUSTER_ID_BITS = 64


def become_leader(state: ReplicaState, now: float) -> None:
    """Take the lead in the current term."""
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
    _sync_progress_with_members(state)
    rounds.start_round(state, now)


def tick(state: ReplicaState, now: float) -> None:
    """Step down without a quorum in the lease; else keep the rounds going."""
    if now >= rounds.step_down_at(state):
        state.become_follower(state.term, now)
        return
    if now >= state.leader.next_round_at:
        rounds.start_round(state, now)


def append_entry(state: ReplicaState, kind: EntryKind, data: bytes) -> int:
    """Append one entry of the own term and return its index."""
    index = state.log.last_index + 1
    state.log.append(Entry(index, state.term, kind, data))
    return index


def propose(state: ReplicaState, command: bytes) -> int:
    """Append a command.

    Raises:
        LogBusyError: When too much is waiting to be committed, or the command
            is too large; it certainly was not accepted.
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
    """Ask a voter that holds the whole log to lead, and follow it.

    The lease ends here: nothing that rests on it may happen after the request
    for an election has left.
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
    """Append a membership that differs from the latest in one member."""
    return append_entry(state, EntryKind.MEMBERSHIP, codec.membership_to_bytes(changed))


def change_membership(state: ReplicaState, changed: Membership, now: float) -> int:
    """Append one change when the one before is committed.

    Raises:
        MembershipError: When another change is under way, or too few voters
            would be left that answer.
    """
    if not _can_change_membership(state):
        raise MembershipError("another change of members is under way; try again")
    if not _has_answering_quorum(state, changed, now):
        raise MembershipError(
            "the voters that answer would be no quorum after this change"
        )
    index = append_membership(state, changed)
    _sync_progress_with_members(state)
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
    # An entry of the own term must be committed before: a membership that an
    # earlier leader left uncommitted could otherwise decide beside this one.
    return (
        state.commit_index >= state.leader.first_index
        and state.commit_index >= state.log.membership_index
    )


def _sync_progress_with_members(state: ReplicaState) -> None:
    """Track exactly the other members of the latest membership."""
    leader = state.leader
    member_ids = {m.member_id for m in state.membership.members}
    member_ids.discard(state.member_id)
    for member_id in set(leader.progress_by_id) - member_ids:
        del leader.progress_by_id[member_id]
    for member_id in sorted(member_ids - set(leader.progress_by_id)):
        progress = Progress(next_index=state.log.last_index + 1, heartbeat_due=True)
        leader.progress_by_id[member_id] = progress


def handle_append_response(state: ReplicaState, message: Message, now: float) -> None:
    """Learn what a member has synced."""
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
    # A repeated or late rejection sends some entries twice, no more.
    progress.next_index = max(
        progress.match_index + 1, min(body.hint_index + 1, body.rejected_index)
    )
    progress.mode = SendMode.PROBE
    progress.probe_sent = False
    progress.in_flight.clear()


def handle_snapshot_response(state: ReplicaState, message: Message, now: float) -> None:
    """Go on with a snapshot after the bytes that were received."""
    progress = rounds.record_response(state, message, now)
    if progress is not None:
        snapshot_sender.record_received(progress, message.body)


def _record_match(
    state: ReplicaState, member_id: str, progress: Progress, match_index: int
) -> None:
    if match_index > state.log.last_index:
        raise InvariantError(
            f"{member_id} acknowledged {match_index}, beyond {state.log.last_index}"
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
    """Commit what a quorum of voters has synced, in the own term."""
    leader = state.leader
    synced = {
        member_id: progress.match_index
        for member_id, progress in leader.progress_by_id.items()
    }
    synced[state.member_id] = state.log.stable_index
    index = rounds.quorum_value(state, synced)
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
    """Take the next change that learners and replacements ask for."""
    if not _can_change_membership(state):
        return
    caught_up = {
        member_id: progress.disk_id
        for member_id, progress in state.leader.progress_by_id.items()
        if progress.match_index >= state.commit_index
    }
    changed = membership.next_change(state.membership, caught_up)
    if changed is not None and _has_answering_quorum(state, changed, now):
        append_membership(state, changed)
        _sync_progress_with_members(state)
