"""Reachability of the control leader as seen by an entry host.

Times are event loop times in seconds.
"""

from __future__ import annotations

# Longer than an election, and than the watch takes to switch to another source when
# its relay goes silent: a 3 s heartbeat, 8 s of silence, up to 2 s to connect.
UNREACHABLE_AFTER_S = 14.0


class ControlReach:
    """Distinguishes an election from unreachable control hosts.

    Control is unreachable after a call that failed for longer than an election
    takes, until the leader answers a call. It is also unreachable when for
    ``UNREACHABLE_AFTER_S`` the leader answered no call and the watch of declarations
    had no evidence of a leader.
    """

    def __init__(self) -> None:
        self._answered_at: float | None = None
        self._has_failed = False

    def answered(self, now: float) -> None:
        """Record that the leader answered a call."""
        self._answered_at = now
        self._has_failed = False

    def failed(self) -> None:
        """Record that a call failed for longer than an election takes."""
        self._has_failed = True

    def is_unreachable(self, now: float, watch_staleness_s: float) -> bool:
        """Return whether control is unreachable, so that a call would fail.

        Args:
            now: The current time.
            watch_staleness_s: Seconds since the watch last had evidence of a leader.
        """
        if self._has_failed:
            return True
        silence_s = watch_staleness_s
        if self._answered_at is not None:
            silence_s = min(silence_s, now - self._answered_at)
        return silence_s > UNREACHABLE_AFTER_S
