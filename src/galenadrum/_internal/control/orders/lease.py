"""The leader's lease, and the time that it allows for sending an order."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SEND_TIMEOUT_S = 1.0
_MIN_SEND_TIMEOUT_S = 0.05


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease of this member as leader of a term.

    Attributes:
        expires_at: Loop time in seconds before which no other leader can exist.
    """

    term: int
    expires_at: float


def compute_send_timeout_s(fencing: int, lease: Lease | None, now: float) -> float:
    """Compute the timeout for sending an order within the lease.

    Args:
        fencing: Term of the leader that created the order.
        lease: Current lease of this member, or None.
        now: Loop time in seconds.

    Returns:
        Timeout in seconds that ends before the lease does, or 0 if the order must
        not be sent.
    """
    if lease is None or lease.term != fencing:
        return 0.0
    remaining_s = lease.expires_at - now
    return (
        min(remaining_s, MAX_SEND_TIMEOUT_S)
        if remaining_s >= _MIN_SEND_TIMEOUT_S
        else 0.0
    )
