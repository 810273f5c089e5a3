"""Messages between members and actions that a `ReplicaCore` returns."""

from __future__ import annotations

from dataclasses import dataclass

from galenadrum._internal.control.replication.entries import (
    Entry,
    HardState,
    Snapshot,
)
from galenadrum._internal.control.replication.membership import Membership


@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Request to find out whether a vote in ``next_term`` would be granted."""

    next_term: int
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class PreVoteResponse:
    """Response to a `PreVoteRequest`."""

    next_term: int
    granted: bool


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request for a vote in the message's term.

    Attributes:
        leader_stepped_down: True if the leader of the previous term has given up
            its lease and asked the sender to take over.
    """

    last_index: int
    last_term: int
    leader_stepped_down: bool = False


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Response to a `VoteRequest`; a granted vote is synced before it is sent."""

    granted: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Request to append entries after ``previous_index``; a heartbeat if empty.

    Attributes:
        round: Latest heartbeat round of the leader when it sent the request.
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Response to an `AppendRequest`.

    Attributes:
        match_index: Last index that matches the leader's log and is synced.
        rejected_index: ``previous_index`` of the request, if it was rejected.
        hint_index: Index at which the logs may match, if the request was rejected.
    """

    accepted: bool
    match_index: int
    round: int
    rejected_index: int = 0
    hint_index: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part of a snapshot of ``total_bytes``, starting at byte ``offset``."""

    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotResponse:
    """Response to a `SnapshotChunk`.

    Attributes:
        received_bytes: Bytes received so far without a gap.
    """

    index: int
    received_bytes: int
    round: int


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Request to a follower to start an election; the sender has stepped down."""


@dataclass(frozen=True, slots=True)
class MemberRefusal:
    """Notice to a member that its messages are not accepted.

    Attributes:
        reason: Text for the operator of the refused member.
    """

    reason: str


Body = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotResponse
    | TimeoutNow
    | MemberRefusal
)

REQUEST_BODIES = (
    PreVoteRequest,
    VoteRequest,
    AppendRequest,
    SnapshotChunk,
    TimeoutNow,
)


@dataclass(frozen=True, slots=True)
class Message:
    """Message body with its sender and recipient.

    Attributes:
        recipient_disk_id: Disk id recorded for the recipient, or empty.
        term: Term of the sender.
    """

    sender_id: str
    sender_disk_id: str
    recipient_id: str
    recipient_disk_id: str
    term: int
    body: Body


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; it may be lost, duplicated or reordered."""

    message: Message
    address: str


@dataclass(frozen=True, slots=True)
class Persist:
    """Store and sync in the order of ``sequence``, then call ``record_synced``.

    Attributes:
        snapshot: Snapshot to store before the rest.
        reset: True if the snapshot replaces all entries stored before.
        entries: Entries to store. An entry voids the stored ones at its index and
            above.
        discard_before: Lowest index that is still needed.
    """

    sequence: int
    hard_state: HardState
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    reset: bool = False
    discard_before: int = 0


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state machine, in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state of the state machine by a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Serve a read once the entry at ``index`` is applied."""

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Fail a read because this member is no longer the leader."""

    token: int


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Report that leadership was gained or lost, or that its lease was extended.

    Attributes:
        lease_until: Loop time in seconds at which the lease expires; None if
            leadership was lost.
    """

    term: int
    lease_until: float | None


@dataclass(frozen=True, slots=True)
class RefusedByCluster:
    """Stop this member because the cluster doesn't accept it."""

    reason: str


Action = (
    Send
    | Persist
    | Apply
    | Restore
    | ReadReady
    | ReadFailed
    | LeadershipChanged
    | RefusedByCluster
)
