"""Answers to announcements and to what peers tell of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.models.servers import CacheEvent


class RejectReason(StrEnum):
    """Why an announcement was rejected; the value is the code servers see."""

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
    """A rejected announcement, with a message for its sender."""

    reason: RejectReason
    message: str


class Change(StrEnum):
    """What an accepted announcement changed.

    ``CONTENT`` is a join, a leave or other attributes than before; ``LEASE`` is a
    renewal with the attributes that were known.
    """

    CONTENT = "content"
    LEASE = "lease"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The answer to one announcement.

    Attributes:
        change: What was changed, or None when the announcement was rejected.
        rejection: The reason, or None when the announcement was accepted.
        renew_after_s: Seconds after which the server should renew.
        cache_events: Those of its cache events that were not known.
    """

    server_id: str
    change: Change | None = None
    rejection: Rejection | None = None
    renew_after_s: float = 0.0
    cache_events: tuple[CacheEvent, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether the announcement took effect."""
        return self.rejection is None
