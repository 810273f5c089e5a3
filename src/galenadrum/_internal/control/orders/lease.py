"""Whether the lease allows an order to be sent."""

from __future__ import annotations

from dataclasses import dataclass

SEND_TIMEOUT_S = 1.0
_SEND_MIN_S = 0.05


@dataclass(frozen=True, slots=True)
class Lease:
    """This member's lead.

    Attributes:
        until: Loop time in seconds until which no other leader can exist.
    """

    term: int
    until: float


def send_time_s(fencing: int, lease: Lease | None, now: float) -> float:
    """Return how long sending an order may take.

    Args:
        fencing: Term of the leader that gave the order.
        lease: The lease that this member holds, if it does.
        now: Loop time in seconds.

    Returns:
        Seconds that end within the lease, or 0 when the order may not be sent.
    """
    if lease is None or lease.term != fencing:
        return 0.0
    left_s = lease.until - now
    return min(left_s, SEND_TIMEOUT_S) if left_s >= _SEND_MIN_S else 0.0
