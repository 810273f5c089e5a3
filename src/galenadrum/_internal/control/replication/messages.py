"""Messages between members, and the actions that a core asks for."""

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
    """Asks whether a vote in ``next_term`` would be granted."""

    next_term: int
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class PreVoteResponse:
    """Answers a `PreVoteRequest`."""

    next_term: int
    granted: bool


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote in the message's term.

    Attributes:
        leader_stepped_down: Whether the leader of the term before has given up
            its lease and asked the sender to take the lead.
    """

    last_index: int
    last_term: int
    leader_stepped_down: bool = False


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answers a `VoteRequest`; a granted vote is synced."""

    granted: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries after ``previous_index``; without entries it is a heartbeat.

    Attributes:
        round: The leader's latest heartbeat round when it was sent.
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Answers an `AppendRequest`.

    Attributes:
        match_index: Last index that agrees with the leader and is synced.
        rejected_index: The request's ``previous_index`` when rejected.
        hint_index: An index at which the logs may agree, when rejected.
    """

    accepted: bool
    match_index: int
    round: int
    rejected_index: int = 0
    hint_index: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of a snapshot, at ``offset`` bytes of ``total_bytes``."""

    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotResponse:
    """Answers a `SnapshotChunk` with the bytes received without a gap."""

    index: int
    received_bytes: int
    round: int


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Asks a follower to start an election; its sender leads no longer."""


@dataclass(frozen=True, slots=True)
class MemberRefusal:
    """Tells a member that its messages are not accepted, and why."""

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
    """A body with its sender and recipient.

    Attributes:
        recipient_disk_id: The disk recorded for the recipient, or empty.
        term: The sender's term.
    """

    sender_id: str
    sender_disk_id: str
    recipient_id: str
    recipient_disk_id: str
    term: int
    body: Body


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; it may be lost, repeated or arrive out of order."""

    message: Message
    address: str


@dataclass(frozen=True, slots=True)
class Persist:
    """Store and sync, in the order of ``sequence``; then call ``persisted``.

    Attributes:
        snapshot: To store before the rest.
        reset: Whether the snapshot replaces all entries stored before.
        entries: An entry voids those stored at its index and above.
        discard_before: Entries below this index are no longer needed.
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
    """Replace the state machine's state."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read may be served once the entry at ``index`` is applied."""

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """A read can't be served: this member no longer leads."""

    token: int


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Leadership was gained, its lease extended, or it was lost.

    Attributes:
        lease_until: Loop time in seconds, or None when it was lost.
    """

    term: int
    lease_until: float | None


@dataclass(frozen=True, slots=True)
class Refused:
    """The cluster doesn't accept this member: stop it."""

    reason: str


Action = (
    Send
    | Persist
    | Apply
    | Restore
    | ReadReady
    | ReadFailed
    | LeadershipChanged
    | Refused
)
