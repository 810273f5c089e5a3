"""The decisions of one member of the replicated log.

Events come in with the loop's time; `ReplicaCore.collect` returns the actions
that they call for. The core opens no socket and no file and reads no clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from galenadrum._internal.control.replication import (
    append_sender,
    election,
    follower,
    leader,
    membership,
    rounds,
)
from galenadrum._internal.control.replication.entries import Snapshot, StoredState
from galenadrum._internal.control.replication.membership import Member, Membership
from galenadrum._internal.control.replication.messages import (
    Action,
    AppendRequest,
    AppendResponse,
    Apply,
    MemberRefusal,
    Message,
    Persist,
    PreVoteRequest,
    PreVoteResponse,
    Refused,
    SnapshotChunk,
    SnapshotResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from galenadrum._internal.control.replication.state import (
    ReplicaOptions,
    ReplicaState,
    Role,
)
from galenadrum._internal.exceptions import InvariantError, NotLeaderError

_HANDLER_BY_CLASS = {
    PreVoteRequest: election.handle_pre_vote_request,
    PreVoteResponse: election.handle_pre_vote_response,
    VoteRequest: election.handle_vote_request,
    VoteResponse: election.handle_vote_response,
    TimeoutNow: election.handle_timeout_now,
    AppendRequest: follower.handle_append_request,
    SnapshotChunk: follower.handle_snapshot_chunk,
    AppendResponse: leader.handle_append_response,
    SnapshotResponse: leader.handle_snapshot_response,
}
_RESPONSES = (PreVoteResponse, VoteResponse, AppendResponse, SnapshotResponse)


@dataclass(frozen=True, slots=True)
class MemberProgress:
    """A member as the leader sees it.

    Attributes:
        match_index: Last index it has synced; None where it isn't known.
    """

    member: Member
    match_index: int | None


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """A member's view of the log at one moment.

    Attributes:
        lease_until: Loop time in seconds; None when this is not a leader
            with a lease.
    """

    member_id: str
    disk_id: str
    cluster_id: str
    role: Role
    term: int
    leader_id: str
    leader_address: str
    last_index: int
    stable_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    lease_until: float | None
    members: tuple[MemberProgress, ...]


class ReplicaCore:
    """One member: hand in events, then call `collect` and do what it returns.

    Args:
        member_id: This member.
        stored: What its data folder holds.
        founders: The members that start the cluster; empty for a member that
            joins a running one.
        options: Intervals and limits.
        rng: Draws election timeouts and the cluster id.
        now: Loop time in seconds.
    """

    def __init__(
        self,
        member_id: str,
        stored: StoredState,
        founders: Membership,
        options: ReplicaOptions,
        rng: random.Random,
        now: float,
    ) -> None:
        self._state = ReplicaState(member_id, stored, founders, options, rng, now)

    @property
    def is_leader(self) -> bool:
        """Whether this member leads; ask only after an event with the time."""
        return self._state.role is Role.LEADER

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def commit_index(self) -> int:
        """Last index that is known to be committed."""
        return self._state.commit_index

    @property
    def membership(self) -> Membership:
        """The latest membership, committed or not."""
        return self._state.membership

    def receive(self, message: Message, now: float) -> None:
        """Take a message of another member."""
        state = self._state
        if state.refusal or message.recipient_id != state.member_id:
            return
        self.expire_lease(now)
        if isinstance(message.body, MemberRefusal):
            self._enter_refused_state(message.body.reason)
            return
        if message.recipient_disk_id not in ("", state.disk_id):
            self._enter_refused_state(
                f"the cluster knows member {state.member_id} with the data folder "
                f"{message.recipient_disk_id}, and this one is {state.disk_id}: "
                "start it under a new member_id"
            )
            return
        reason = self._rejection_reason(message)
        if reason:
            state.send(message.sender_id, MemberRefusal(reason))
            return
        if message.term > state.term and isinstance(message.body, _RESPONSES):
            state.become_follower(message.term, now)
        _HANDLER_BY_CLASS[type(message.body)](state, message, now)

    def _rejection_reason(self, message: Message) -> str:
        state = self._state
        if self.is_removed(message.sender_id):
            return f"member {message.sender_id} was removed from the cluster"
        if not state.membership.accepts_disk(message.sender_id, message.sender_disk_id):
            return (
                f"member {message.sender_id} came back with another data folder "
                f"({message.sender_disk_id}): start it under a new member_id"
            )
        return ""

    def _enter_refused_state(self, reason: str) -> None:
        state = self._state
        if state.refusal:
            return
        state.refusal = reason
        state.become_follower(state.term, state.election_deadline)
        state.outbox.append(Refused(reason))

    def tick(self, now: float) -> None:
        """Do what is due at ``now``; call it at `next_wakeup`."""
        state = self._state
        if state.refusal:
            return
        if state.role is Role.LEADER:
            leader.tick(state, now)
        if state.role is not Role.LEADER:
            election.tick(state, now)

    def next_wakeup(self) -> float | None:
        """Return the loop time in seconds at which `tick` is due."""
        state = self._state
        if state.refusal:
            return None
        if state.role is Role.LEADER:
            if not state.leader.progress_by_id:
                return None
            return min(state.leader.next_round_at, rounds.step_down_at(state))
        if not state.membership.is_voter(state.member_id):
            return None
        return state.election_deadline

    def propose(self, command: bytes, now: float) -> tuple[int, int]:
        """Append a command and return its index and term.

        Raises:
            NotLeaderError: When this member doesn't lead.
            LogBusyError: When the command is too large or too many wait.
        """
        self._require_leadership(now)
        return leader.propose(self._state, command), self._state.term

    def add_member(self, member: Member, now: float) -> tuple[int, int]:
        """Add a learner, which becomes a voter once it has caught up.

        Raises:
            NotLeaderError: When this member doesn't lead.
            MembershipError: When it can't be added, or not now.
        """
        self._require_leadership(now)
        changed = membership.add_learner(self._state.membership, member)
        return leader.change_membership(self._state, changed, now), self._state.term

    def remove_member(self, member_id: str, now: float) -> tuple[int, int]:
        """Remove a member for good.

        Raises:
            NotLeaderError: When this member doesn't lead.
            MembershipError: When it can't be removed, or not now.
        """
        self._require_leadership(now)
        changed = membership.remove_member(self._state.membership, member_id)
        return leader.change_membership(self._state, changed, now), self._state.term

    def is_removed(self, member_id: str) -> bool:
        """Return whether a member is known to be removed for good."""
        committed = self._state.log.membership_at(self._state.commit_index)
        return member_id in committed.removed_ids

    def silences_by_id(self, now: float) -> dict[str, float]:
        """Return how long each other member has not answered, in seconds.

        Empty where this member doesn't lead. One that never answered counts
        from the start of the leadership.
        """
        leader_state = self._state.leader
        if leader_state is None:
            return {}
        return {
            member_id: now - max(progress.answered_at or 0.0, leader_state.started_at)
            for member_id, progress in leader_state.progress_by_id.items()
        }

    def transfer_leadership(self, now: float) -> str | None:
        """Step down and let the member that is furthest along take the lead.

        Returns:
            The member asked to lead; None when no other could, and this member
            goes on.

        Raises:
            NotLeaderError: When this member doesn't lead.
        """
        self._require_leadership(now)
        return leader.transfer(self._state, now)

    def request_read(self, token: int, now: float) -> None:
        """Ask for `ReadReady` or `ReadFailed` with this token.

        Raises:
            NotLeaderError: When this member doesn't lead.
            LogBusyError: When too many reads wait.
        """
        self._require_leadership(now)
        rounds.add_read(self._state, token)

    def _require_leadership(self, now: float) -> None:
        self.expire_lease(now)
        if self._state.role is not Role.LEADER:
            raise NotLeaderError(self.leader_address())

    def expire_lease(self, now: float) -> None:
        """Step down if the lease has passed; other events do so by themselves."""
        state = self._state
        if state.role is Role.LEADER and now >= rounds.step_down_at(state):
            state.become_follower(state.term, now)

    def lease_until(self, now: float) -> float | None:
        """Return until when no other leader can exist; None if not the leader."""
        self.expire_lease(now)
        if self._state.role is not Role.LEADER:
            return None
        until = rounds.lease_until(self._state)
        return until if until is not None and until > now else None

    def leader_address(self) -> str | None:
        """Return the peer address of the leader, when it is known."""
        member = self._state.membership.get(self._state.leader_id)
        return member.address if member else None

    def persisted(self, sequence: int, now: float) -> None:
        """Note that the `Persist` actions up to ``sequence`` are synced."""
        state = self._state
        if not state.synced_sequence < sequence <= state.sequence:
            raise InvariantError(f"sequence {sequence} can't be synced now")
        self.expire_lease(now)
        state.synced_sequence = sequence
        state.log.record_sync(sequence)
        while state.term_by_sequence and state.term_by_sequence[0][0] <= sequence:
            state.synced_term = state.term_by_sequence.popleft()[1]
        while state.held and state.held[0][0] <= sequence:
            state.outbox.append(state.held.popleft()[1])
        if state.role is Role.LEADER:
            leader.advance_commit(state, now)
        election.become_leader_if_elected(state, now)
        follower.acknowledge_synced(state)

    def snapshot_taken(self, index: int, data: bytes) -> None:
        """Keep a snapshot of the state machine and drop entries before it.

        Args:
            index: Last index that the snapshot contains; it was applied.
            data: As `StateMachine.snapshot` returned it.
        """
        state = self._state
        if state.snapshot is not None and index <= state.snapshot.index:
            return
        if index > state.applied_index:
            raise InvariantError(f"snapshot at {index}, which is not applied")
        state.snapshot = Snapshot(
            index, state.log.term_at(index), state.log.membership_at(index), data
        )
        state.unsaved_snapshot = state.snapshot
        first_retained = state.log.first_index_within(
            index, state.options.retained_entries, state.options.retained_bytes
        )
        state.log.compact(min(first_retained, state.unsaved_index) - 1)

    def collect(self, now: float) -> tuple[Action, ...]:
        """Return the actions that the events so far call for, in order."""
        state = self._state
        self.expire_lease(now)
        if state.role is Role.LEADER:
            leader.advance_membership_change(state, now)
            rounds.advance_reads(state, now)
            append_sender.send_appends(state)
        if state.has_unsaved():
            state.outbox.append(self._build_persist())
        self._apply_committed()
        actions = tuple(state.outbox)
        state.outbox.clear()
        return actions

    def _build_persist(self) -> Persist:
        state = self._state
        state.sequence += 1
        persist = Persist(
            sequence=state.sequence,
            hard_state=state.hard_state(),
            entries=state.log.entries_from(state.unsaved_index),
            snapshot=state.unsaved_snapshot,
            reset=state.unsaved_reset,
            discard_before=state.log.start_index + 1,
        )
        state.log.record_write(state.sequence)
        state.term_by_sequence.append((state.sequence, state.term))
        state.hard_state_dirty = False
        state.unsaved_index = state.log.last_index + 1
        state.unsaved_snapshot = None
        state.unsaved_reset = False
        return persist

    def _apply_committed(self) -> None:
        state = self._state
        if state.applied_index >= state.commit_index:
            return
        count = min(
            state.commit_index - state.applied_index, state.options.max_apply_entries
        )
        entries = state.log.slice(
            state.applied_index + 1, count, state.options.max_append_bytes
        )
        state.applied_index = entries[-1].index
        state.outbox.append(Apply(entries))
        committed = state.log.membership_at(state.applied_index)
        if state.member_id in committed.removed_ids:
            self._enter_refused_state(
                f"member {state.member_id} was removed from the cluster"
            )

    @property
    def has_more_to_apply(self) -> bool:
        """Whether `collect` should be called again for committed entries."""
        return self._state.applied_index < self._state.commit_index

    def status(self) -> ReplicaStatus:
        """Return this member's view of the log."""
        state = self._state
        leads = state.role is Role.LEADER
        return ReplicaStatus(
            member_id=state.member_id,
            disk_id=state.disk_id,
            cluster_id=state.membership.cluster_id,
            role=state.role,
            term=state.term,
            leader_id=state.leader_id,
            leader_address=self.leader_address() or "",
            last_index=state.log.last_index,
            stable_index=state.log.stable_index,
            commit_index=state.commit_index,
            applied_index=state.applied_index,
            snapshot_index=state.snapshot.index if state.snapshot else 0,
            lease_until=rounds.lease_until(state) if leads else None,
            members=tuple(
                self._get_member_progress(m) for m in state.membership.members
            ),
        )

    def _get_member_progress(self, member: Member) -> MemberProgress:
        state = self._state
        if member.member_id == state.member_id:
            return MemberProgress(member, state.log.stable_index)
        if state.leader is None:
            return MemberProgress(member, None)
        progress = state.leader.progress_by_id.get(member.member_id)
        return MemberProgress(member, progress.match_index if progress else None)
