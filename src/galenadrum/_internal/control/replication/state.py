"""The state that the parts of a core share."""

from __future__ import annotations

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


class Role(StrEnum):
    """What a member does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class SendMode(StrEnum):
    """How a leader sends to one member."""

    PROBE = "probe"
    STREAM = "stream"
    SNAPSHOT = "snapshot"


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Intervals and limits.

    Attributes:
        heartbeat_s: Interval between a leader's rounds.
        election_timeout_s: Silence for which followers grant no vote and after
            which, with a random part of the same length, they campaign.
        lease_s: How long a round that a quorum answered lets a leader lead,
            from its start; shorter than the election timeout, so that clocks
            may differ in rate.
        max_append_bytes: Data in one append request.
        max_in_flight: Append requests that one member has not answered.
        max_uncommitted_bytes: Data of proposals that are not committed yet.
        max_snapshot_bytes: Largest snapshot that is accepted.
        retained_entries: Entries kept behind a snapshot for slow members.
        retained_bytes: Data in these entries.
    """

    heartbeat_s: float = 0.15
    election_timeout_s: float = 1.0
    lease_s: float = 0.9
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
    """What a leader knows of another member.

    Attributes:
        next_index: First entry to send next.
        match_index: Last entry the member has synced.
        in_flight: Last index of each append request without an answer.
        acked_round: Latest round that the member has answered.
        answered_at: Loop time in seconds of the latest answer.
        disk_id: The disk that gave these answers.
        snapshot_offset: Bytes of ``snapshot`` the member has received.
    """

    next_index: int
    match_index: int = 0
    mode: SendMode = SendMode.PROBE
    in_flight: deque[int] = field(default_factory=deque)
    acked_round: int = 0
    answered_at: float | None = None
    disk_id: str = ""
    heartbeat_due: bool = False
    probe_sent: bool = False
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    chunk_sent: bool = False


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received."""

    index: int
    term: int
    membership: Membership
    total_bytes: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class LeaderState:
    """What only a leader holds, for one term.

    Attributes:
        first_index: Index of the first entry of this term.
        started_at_by_round: Loop time in seconds.
        waiting_reads: Tokens that the next round will confirm.
        confirming_reads: Tokens that ``reads_round`` confirms.
        uncommitted: Index and size of each proposal not committed yet.
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
    """State of one member; the modules beside this one change it.

    Attributes:
        held: Messages that may go out once a sequence is synced.
        verified_index: Last index known to agree with the current leader.
        acked_index: Last index that was acknowledged to that leader.
        term_leader_id: The leader that was seen in the current term.
        last_leader_contact: Loop time in seconds; None when no vote could
            break a promise to a leader.
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
        # A member that restarts may have promised a leader not to vote.
        self.last_leader_contact = now if self.term > 0 else None
        self.election_deadline = now
        self.reset_election_deadline(now)

    @property
    def membership(self) -> Membership:
        """The latest membership in the log."""
        return self.log.membership

    def reset_election_deadline(self, now: float) -> None:
        """Wait one election timeout and a random part of another."""
        timeout_s = self.options.election_timeout_s
        self.election_deadline = now + timeout_s * (1 + self.rng.random())

    def has_active_leader(self, now: float) -> bool:
        """Return whether granting a vote now could break a leader's lease."""
        if self.role is Role.LEADER:
            return True
        if self.last_leader_contact is None:
            return False
        return now < self.last_leader_contact + self.options.election_timeout_s

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Set term and vote; both are stored before anything depends on them."""
        if term < self.term:
            raise InvariantError(f"term {term} after term {self.term}")
        if term == self.term and self.voted_for not in ("", voted_for):
            raise InvariantError(f"second vote in term {term}")
        if term > self.term:
            self.leader_id = ""
            self.term_leader_id = ""
        self.term = term
        self.voted_for = voted_for
        self.hard_state_dirty = True

    def become_follower(self, term: int, now: float) -> None:
        """Follow in ``term``; whoever leads it will be heard of."""
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
        for token in (*self.leader.confirming_reads, *self.leader.waiting_reads):
            self.outbox.append(ReadFailed(token))
        self.outbox.append(LeadershipChanged(self.term, None))
        self.leader = None
        self.leader_id = ""

    def advance_commit(self, index: int) -> None:
        """Raise the commit index."""
        if index < self.commit_index:
            raise InvariantError(f"commit {index} after {self.commit_index}")
        if index > self.log.last_index:
            raise InvariantError(f"commit {index} beyond {self.log.last_index}")
        self.commit_index = index

    def send(self, recipient_id: str, body: Body) -> None:
        """Send at once."""
        self.outbox.append(self._address(recipient_id, body))

    def send_after_sync(self, recipient_id: str, body: Body) -> None:
        """Send once everything that was changed so far is synced."""
        unsaved = self.has_unsaved()
        if not unsaved and self.sequence == self.synced_sequence:
            self.send(recipient_id, body)
            return
        # The message keeps the term of now: a vote counts for no later one.
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
        """Return whether something changed that storage has not been given."""
        return (
            self.hard_state_dirty
            or self.unsaved_reset
            or self.unsaved_snapshot is not None
            or self.unsaved_index <= self.log.last_index
        )

    def hard_state(self) -> HardState:
        """Return the term and the vote."""
        return HardState(self.term, self.voted_for)

    def peer_voter_ids(self) -> tuple[str, ...]:
        """Return the other voters, in a fixed order."""
        return tuple(sorted(self.membership.voter_ids() - {self.member_id}))
