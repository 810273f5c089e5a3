"""Consensus logic of one member of the replicated log (Raft), without I/O.

The caller passes events to `ReplicaCore` together with the event loop's time and
runs the actions that `ReplicaCore.collect_actions` returns. The core opens no sockets
or files and reads no clock.
"""

from __future__ import annotations

import logging
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
    RefusedByCluster,
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

logger = logging.getLogger(__name__)

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
    """Replication progress of one member.

    Attributes:
        match_index: Last index that the member has synced; None if unknown to
            this member.
    """

    member: Member
    match_index: int | None


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """State of one member's log at one moment.

    Attributes:
        lease_until: Loop time in seconds at which the leader lease expires; None
            if this member is not a leader with a lease.
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
    """State machine of one member.

    After each event, the caller calls `collect_actions` and runs the returned actions.

    Args:
        member_id: Id of this member.
        stored: Contents of its data folder.
        founders: Initial members of a new cluster; empty if this member joins
            an existing cluster.
        options: Intervals and limits.
        rng: Source of election timeouts, the cluster id and the choice of a
            successor.
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
        """Whether this member is the leader.

        Reading the property doesn't check whether the lease has expired. The value
        is current only right after an event with the current time.
        """
        return self._state.role is Role.LEADER

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def commit_index(self) -> int:
        """Last index known to be committed."""
        return self._state.commit_index

    @property
    def membership(self) -> Membership:
        """The latest membership, committed or not."""
        return self._state.membership

    def receive(self, message: Message, now: float) -> None:
        """Process a message from another member.

        A message from a removed member or from an unexpected data folder is
        answered with a `MemberRefusal`.
        """
        state = self._state
        if state.refusal or message.recipient_id != state.member_id:
            return
        self.expire_lease(now)
        if isinstance(message.body, MemberRefusal):
            self._enter_refused_state(message.body.reason)
            return
        if message.recipient_disk_id not in ("", state.disk_id):
            self._enter_refused_state(
                f"member {state.member_id} is registered in the cluster with data "
                f"folder {message.recipient_disk_id}, but its data folder is "
                f"{state.disk_id}: start it under a new member_id"
            )
            return
        reason = self._rejection_reason(message)
        if reason:
            logger.warning(
                "member %s refuses messages of %s: %s",
                state.member_id,
                message.sender_id,
                reason,
            )
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
        state.outbox.append(RefusedByCluster(reason))

    def tick(self, now: float) -> None:
        """Run the timers that are due at ``now``; call at `next_wakeup`."""
        state = self._state
        if state.refusal:
            return
        if state.role is Role.LEADER:
            leader.tick(state, now)
        if state.role is not Role.LEADER:
            election.tick(state, now)

    def next_wakeup(self) -> float | None:
        """Return the loop time in seconds at which `tick` is due.

        None if no timer is running.
        """
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
            NotLeaderError: When this member is not the leader.
            LogBusyError: When the command or the uncommitted commands are too
                large.
        """
        self._require_leadership(now)
        return leader.propose(self._state, command), self._state.term

    def add_member(self, member: Member, now: float) -> tuple[int, int]:
        """Append a membership change that adds a learner.

        The learner is promoted to voter once it has caught up.

        Returns:
            Index and term of the entry.

        Raises:
            NotLeaderError: When this member is not the leader.
            MembershipError: When the member can't be added, or can't be added yet.
        """
        self._require_leadership(now)
        changed = membership.add_learner(self._state.membership, member)
        return leader.change_membership(self._state, changed, now), self._state.term

    def remove_member(self, member_id: str, now: float) -> tuple[int, int]:
        """Append a membership change that removes a member permanently.

        Returns:
            Index and term of the entry.

        Raises:
            NotLeaderError: When this member is not the leader.
            MembershipError: When the member can't be removed, or can't be removed
                yet.
        """
        self._require_leadership(now)
        changed = membership.remove_member(self._state.membership, member_id)
        return leader.change_membership(self._state, changed, now), self._state.term

    def is_removed(self, member_id: str) -> bool:
        """Return whether a committed change removed the member permanently."""
        committed = self._state.log.membership_at(self._state.commit_index)
        return member_id in committed.removed_ids

    def has_joined(self) -> bool:
        """Return whether a committed membership includes this member.

        An uncommitted one may be replaced by the next leader's, which doesn't.
        """
        committed = self._state.log.membership_at(self._state.commit_index)
        return committed.get(self._state.member_id) is not None

    def silences_by_id(self, now: float) -> dict[str, float]:
        """Return the seconds since the last response of each other member.

        Empty if this member is not the leader. A member that has not responded
        is counted from the start of this leadership or its own addition.
        """
        leader_state = self._state.leader
        if leader_state is None:
            return {}
        return {
            member_id: rounds.silence_s(progress, now)
            for member_id, progress in leader_state.progress_by_id.items()
        }

    def record_leaving(self, member_id: str, now: float) -> bool:
        """Let a standby vote in place of a member that is about to stop.

        Returns:
            Whether the member is, or is about to be, no voter any more.

        Raises:
            NotLeaderError: When this member is not the leader.
        """
        self._require_leadership(now)
        return leader.record_leaving(self._state, member_id, now)

    def is_settled(self, now: float) -> bool:
        """Return whether a committed change may be acknowledged now.

        Raises:
            NotLeaderError: When this member is not the leader.
        """
        self._require_leadership(now)
        return leader.is_settled(self._state, now)

    def leaderless_s(self, now: float) -> float:
        """Return the seconds for which this member has known no leader, or 0."""
        state = self._state
        if state.role is Role.LEADER or state.has_active_leader(now):
            return 0.0
        return max(0.0, now - (state.last_leader_contact or state.started_at))

    def transfer_leadership(self, now: float) -> str | None:
        """Step down and ask a voter that holds the whole log to take over.

        Returns:
            Id of the successor; None if no other voter qualifies, in which case
            this member stays the leader.

        Raises:
            NotLeaderError: When this member is not the leader.
        """
        self._require_leadership(now)
        return leader.transfer(self._state, now)

    def request_read(self, token: int, now: float) -> None:
        """Request a linearizable read, answered by `ReadReady` or `ReadFailed`.

        Args:
            token: Identifies the read in the answer.
            now: Loop time in seconds.

        Raises:
            NotLeaderError: When this member is not the leader.
            LogBusyError: When too many reads are waiting.
        """
        self._require_leadership(now)
        rounds.add_read(self._state, token)

    def _require_leadership(self, now: float) -> None:
        self.expire_lease(now)
        if self._state.role is not Role.LEADER:
            raise NotLeaderError(self.leader_address())

    def expire_lease(self, now: float) -> None:
        """Step down if the leader lease has expired.

        The methods that handle events check the lease themselves.
        """
        state = self._state
        if state.role is Role.LEADER and now >= rounds.step_down_at(state):
            rounds.step_down_without_quorum(state, now)

    def lease_until(self, now: float) -> float | None:
        """Return the loop time in seconds until which no other leader can exist.

        None if this member is not the leader or holds no lease.
        """
        self.expire_lease(now)
        if self._state.role is not Role.LEADER:
            return None
        until = rounds.lease_until(self._state)
        return until if until is not None and until > now else None

    def leader_address(self) -> str | None:
        """Return the peer address of the leader, or None if it is unknown."""
        member = self._state.membership.get(self._state.leader_id)
        return member.address if member else None

    def record_synced(self, sequence: int, now: float) -> None:
        """Record that the `Persist` actions up to ``sequence`` are synced."""
        state = self._state
        if not state.synced_sequence < sequence <= state.sequence:
            raise InvariantError(
                f"sequence {sequence} was reported as synced, but is not pending"
            )
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

    def record_snapshot(self, index: int, data: bytes) -> None:
        """Record a snapshot of the state machine and compact the log.

        A number of entries before the snapshot is retained for slow members.

        Args:
            index: Last index that the snapshot includes; it must be applied.
            data: Return value of `StateMachine.snapshot`.

        Raises:
            InvariantError: When the entry at ``index`` is not applied.
        """
        state = self._state
        if state.snapshot is not None and index <= state.snapshot.index:
            return
        if index > state.applied_index:
            raise InvariantError(f"snapshot at index {index}, which is not applied")
        state.snapshot = Snapshot(
            index, state.log.term_at(index), state.log.membership_at(index), data
        )
        state.unsaved_snapshot = state.snapshot
        first_retained = state.log.first_index_within(
            index, state.options.retained_entries, state.options.retained_bytes
        )
        state.log.compact(min(first_retained, state.unsaved_index) - 1)

    def collect_actions(self, now: float) -> tuple[Action, ...]:
        """Return the actions that are due after the events so far, in order."""
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
        """Whether committed entries remain for the next call of `collect_actions`."""
        return self._state.applied_index < self._state.commit_index

    def status(self) -> ReplicaStatus:
        """Return the current state of this member's log."""
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
