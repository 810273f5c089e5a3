"""What an entry host knows about its way to the leader of control.

Times are event loop seconds.
"""

from __future__ import annotations

# Longer than an election, and than the watch takes to move to another source when
# its relay goes silent: a heartbeat of 3 s, 8 s of silence, up to 2 s to connect.
LOST_AFTER_S = 14.0


class ControlReach:
    """Tells an election from control that is out of reach.

    Control is out of reach after a call that failed for longer than an election
    takes, until the leader answers one; and when neither the leader nor the
    watch of declarations gave a sign for ``LOST_AFTER_S``.
    """

    def __init__(self) -> None:
        self._answered_at: float | None = None
        self._has_failed = False

    def answered(self, now: float) -> None:
        """Take note that the leader answered a call."""
        self._answered_at = now
        self._has_failed = False

    def failed(self) -> None:
        """Take note of a call that failed for longer than an election takes."""
        self._has_failed = True

    def is_lost(self, now: float, watch_age_s: float) -> bool:
        """Say whether a call would be in vain.

        Args:
            now: The time.
            watch_age_s: How long ago the watch last heard of a leader.
        """
        if self._has_failed:
            return True
        silent_s = watch_age_s
        if self._answered_at is not None:
            silent_s = min(silent_s, now - self._answered_at)
        return silent_s > LOST_AFTER_S
