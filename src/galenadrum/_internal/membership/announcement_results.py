"""Results of applying announcements from backend servers and peers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.models.servers import CacheEvent


class RejectReason(StrEnum):
    """Reason of a rejected announcement.

    The value is the error code that is returned to the backend server.
    """

    WRONG_ZONE = "wrong_zone"
    BAD_ADDRESS = "bad_address"
    PEER_MISMATCH = "peer_mismatch"
    BAD_FIELD = "bad_field"
    OLD_INCARNATION = "old_incarnation"
    REPLAYED = "replayed"
    LEFT = "left"
    INCARNATION_JUMP = "incarnation_jump"
    SEQUENCE_JUMP = "sequence_jump"
    ID_BOUND = "id_bound"
    ADDRESS_TAKEN = "address_taken"
    EXPIRED = "expired"
    GONE = "gone"
    TABLE_FULL = "table_full"


@dataclass(frozen=True, slots=True)
class Rejection:
    """Rejection of an announcement, with a message for its sender."""

    reason: RejectReason
    message: str


class Change(StrEnum):
    """Kind of change that an accepted announcement made.

    ``CONTENT`` is a join, a leave or a change of attributes; ``LEASE`` is a
    renewal with unchanged attributes.
    """

    CONTENT = "content"
    LEASE = "lease"


@dataclass(frozen=True, slots=True)
class AnnouncementResult:
    """Result of one announcement.

    Attributes:
        change: Kind of change, or None when the announcement was rejected.
        rejection: Rejection, or None when the announcement was accepted.
        renew_after_s: Seconds after which the server should renew.
        cache_events: Cache events of the announcement that were new.
    """

    server_id: str
    change: Change | None = None
    rejection: Rejection | None = None
    renew_after_s: float = 0.0
    cache_events: tuple[CacheEvent, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether the announcement was accepted."""
        return self.rejection is None
