"""State of a `ReplicaCore` that the modules of this package share."""

from __future__ import annotations

import logging
import random
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from galenadrum._internal.control.replication.entries import (
    HardState,
    Snapshot,
    StoredState,
)
from galenadrum._internal.control.replication.log import EntryLog
from galenadrum._internal.control.replication.membership import Membership
from galenadrum._internal.control.replication.messages import (
    Action,
    Body,
    LeadershipChanged,
    Message,
    ReadFailed,
    Send,
)
from galenadrum._internal.exceptions import InvariantError

logger = logging.getLogger(__name__)


class Role(StrEnum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class SendMode(StrEnum):
    """Mode in which a leader replicates to one member.

    In `PROBE` the matching index is unknown: the leader sends one append request
    with entries, then waits for the answer or the next heartbeat round. In
    `STREAM` requests are pipelined. In `SNAPSHOT` a snapshot is sent.
    """

    PROBE = "probe"
    STREAM = "stream"
    SNAPSHOT = "snapshot"


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Intervals and limits.

    Attributes:
        heartbeat_s: Interval between a leader's heartbeat rounds.
        election_timeout_s: Time without contact from the leader during which a
            follower grants no votes. After this time plus a random time of up to
            the same length, the follower starts an election.
        lease_s: Duration of the leader lease, counted from the start of the last
            heartbeat round that a quorum answered. It is shorter than the
            election timeout to tolerate clocks that run at different rates.
        newcomer_wait_s: Time for which a new leader that misses a voter acknowledges
            no change, so that a member that replaces it can join first; for members
            that join by themselves.
        max_append_bytes: Limit on the data in one append request.
        max_in_flight: Limit on unanswered append requests to one member.
        max_uncommitted_bytes: Limit on the data of uncommitted proposals.
        max_snapshot_bytes: Limit on the size of a received snapshot.
        retained_entries: Entries before a snapshot that are kept for slow
            members.
        retained_bytes: Limit on the data in the retained entries.
    """

    heartbeat_s: float = 0.15
    election_timeout_s: float = 1.0
    lease_s: float = 0.9
    newcomer_wait_s: float = 0.0
    max_append_entries: int = 512
    max_append_bytes: int = 256 * 1024
    max_in_flight: int = 16
    max_uncommitted_bytes: int = 8 * 1024 * 1024
    max_command_bytes: int = 1024 * 1024
    max_apply_entries: int = 256
    max_waiting_reads: int = 4_096
    snapshot_chunk_bytes: int = 256 * 1024
    max_snapshot_bytes: int = 64 * 1024 * 1024
    retained_entries: int = 1_000
    retained_bytes: int = 2 * 1024 * 1024


@dataclass(slots=True)
class Progress:
    """Replication progress of another member, as tracked by the leader.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Last index that the member has synced.
        in_flight: Last index of each unanswered append request.
        acked_round: Latest heartbeat round that the member has answered.
        answered_at: Loop time in seconds of the latest response.
        added_at: Loop time in seconds since which the leader replicates to the member.
        leaving_until: Loop time in seconds until which the member counts as lost, as
            it has said that it stops.
        disk_id: Disk id of the member in its latest response.
        snapshot_offset: Bytes of ``snapshot`` that the member has received.
    """

    next_index: int
    added_at: float
    match_index: int = 0
    mode: SendMode = SendMode.PROBE
    in_flight: deque[int] = field(default_factory=deque)
    acked_round: int = 0
    answered_at: float | None = None
    leaving_until: float = 0.0
    disk_id: str = ""
    heartbeat_due: bool = False
    probe_sent: bool = False
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    chunk_sent: bool = False


@dataclass(slots=True)
class IncomingSnapshot:
    """A partially received snapshot."""

    index: int
    term: int
    membership: Membership
    total_bytes: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class LeaderState:
    """State that exists only while this member is the leader, for one term.

    Attributes:
        started_at: Loop time in seconds at which the leadership began.
        first_index: Index of the first entry of this term.
        started_at_by_round: Loop time in seconds at which each round started.
        quorum_round: Latest round that a quorum has answered.
        quorum_round_started_at: Loop time in seconds; None before a quorum has
            answered a round.
        waiting_reads: Tokens of reads that the next round will confirm.
        confirming_reads: Tokens of reads that ``reads_round`` will confirm.
        uncommitted: Index and size in bytes of each uncommitted proposal.
    """

    started_at: float
    first_index: int
    progress_by_id: dict[str, Progress] = field(default_factory=dict)
    round: int = 0
    started_at_by_round: dict[int, float] = field(default_factory=dict)
    quorum_round: int = 0
    quorum_round_started_at: float | None = None
    next_round_at: float = 0.0
    waiting_reads: list[int] = field(default_factory=list)
    confirming_reads: list[int] = field(default_factory=list)
    reads_round: int = 0
    uncommitted: deque[tuple[int, int]] = field(default_factory=deque)
    uncommitted_bytes: int = 0


class ReplicaState:
    """Mutable state of one member, changed by the other modules of the package.

    Attributes:
        held: Messages to send once the `Persist` action of the given sequence is
            synced.
        verified_index: Last index known to match the current leader's log.
        acked_index: Last index acknowledged to the current leader.
        leader_round: Latest heartbeat round received from the current leader.
        term_leader_id: Id of the leader of the current term; empty if unknown.
        started_at: Loop time in seconds at which this member started.
        last_leader_contact: Loop time in seconds; None if this member started
            without a stored term and has had no contact with a leader since, so
            that no vote can violate a lease.
        unsaved_index: First index that no `Persist` action includes yet.
        unsaved_reset: Whether the next `Persist` action must void all stored
            entries.
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
        self.member_id = member_id
        self.disk_id = stored.disk_id
        self.options = options
        self.rng = rng
        self.log = EntryLog(stored, founders)
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.term_leader_id = ""
        self.leader: LeaderState | None = None
        self.votes: set[str] = set()
        self.disk_ids_by_voter_id: dict[str, str] = {}
        self.snapshot = stored.snapshot
        self.commit_index = stored.snapshot.index if stored.snapshot else 0
        self.applied_index = self.commit_index
        self.verified_index = 0
        self.acked_index = 0
        self.leader_round = 0
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.refusal = ""
        self.outbox: list[Action] = []
        self.held: deque[tuple[int, Send]] = deque()
        self.sequence = 0
        self.synced_sequence = 0
        self.synced_term = self.term
        self.term_by_sequence: deque[tuple[int, int]] = deque()
        self.hard_state_dirty = False
        self.unsaved_index = self.log.last_index + 1
        self.unsaved_snapshot: Snapshot | None = None
        self.unsaved_reset = self.log.stored_entries_void
        # Before its restart, this member may have acknowledged a leader whose lease
        # is still valid, so it grants no vote for one election timeout.
        self.last_leader_contact = now if self.term > 0 else None
        self.started_at = now
        self.election_deadline = now
        self.reset_election_deadline(now)

    @property
    def membership(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self.log.membership

    def reset_election_deadline(self, now: float) -> None:
        """Set the deadline to one to two election timeouts from now, at random."""
        timeout_s = self.options.election_timeout_s
        self.election_deadline = now + timeout_s * (1 + self.rng.random())

    def has_active_leader(self, now: float) -> bool:
        """Return whether granting a vote now could violate a leader's lease."""
        if self.role is Role.LEADER:
            return True
        if self.last_leader_contact is None:
            return False
        return now < self.last_leader_contact + self.options.election_timeout_s

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Set the term and the vote.

        Messages that depend on them are sent only once both are synced.
        """
        if term < self.term:
            raise InvariantError(
                f"term {term} is lower than the current term {self.term}"
            )
        if term == self.term and self.voted_for not in ("", voted_for):
            raise InvariantError(f"a second vote was cast in term {term}")
        if term > self.term:
            self.leader_id = ""
            self.term_leader_id = ""
        self.term = term
        self.voted_for = voted_for
        self.hard_state_dirty = True

    def become_follower(self, term: int, now: float) -> None:
        """Become a follower in ``term``; the leader's first request identifies it.

        A leader that steps down fails its pending reads and reports the end of its
        leadership.
        """
        if term > self.term:
            self.set_hard_state(term, "")
        if self.leader is not None:
            self._end_leadership()
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self.reset_election_deadline(now)
        self.votes = set()
        self.verified_index = 0
        self.acked_index = 0
        self.leader_round = 0
        self.incoming_snapshot = None

    def _end_leadership(self) -> None:
        logger.info("member %s no longer leads term %d", self.member_id, self.term)
        for token in (*self.leader.confirming_reads, *self.leader.waiting_reads):
            self.outbox.append(ReadFailed(token))
        self.outbox.append(LeadershipChanged(self.term, None))
        self.leader = None
        self.leader_id = ""

    def advance_commit(self, index: int) -> None:
        """Advance the commit index."""
        if index < self.commit_index:
            raise InvariantError(
                f"commit index {index} is below the current one, {self.commit_index}"
            )
        if index > self.log.last_index:
            raise InvariantError(
                f"commit index {index} is beyond the last entry, {self.log.last_index}"
            )
        self.commit_index = index

    def send(self, recipient_id: str, body: Body) -> None:
        """Send a message without waiting for a sync."""
        self.outbox.append(self._address(recipient_id, body))

    def send_after_sync(self, recipient_id: str, body: Body) -> None:
        """Send a message once all changes made so far are synced."""
        unsaved = self.has_unsaved()
        if not unsaved and self.sequence == self.synced_sequence:
            self.send(recipient_id, body)
            return
        # The message is built now with the current term: a vote must not count for
        # a later term.
        sequence = self.sequence + 1 if unsaved else self.sequence
        self.held.append((sequence, self._address(recipient_id, body)))

    def _address(self, recipient_id: str, body: Body) -> Send:
        member = self.membership.get(recipient_id)
        message = Message(
            sender_id=self.member_id,
            sender_disk_id=self.disk_id,
            recipient_id=recipient_id,
            recipient_disk_id=member.disk_id if member else "",
            term=self.term,
            body=body,
        )
        return Send(message, member.address if member else "")

    def has_unsaved(self) -> bool:
        """Return whether a change is not yet part of a `Persist` action."""
        return (
            self.hard_state_dirty
            or self.unsaved_reset
            or self.unsaved_snapshot is not None
            or self.unsaved_index <= self.log.last_index
        )

    def hard_state(self) -> HardState:
        """Return the current term and vote."""
        return HardState(self.term, self.voted_for)

    def peer_voter_ids(self) -> tuple[str, ...]:
        """Return the ids of the other voters, sorted."""
        return tuple(sorted(self.membership.voter_ids() - {self.member_id}))
