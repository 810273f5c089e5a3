"""Time since which a control host has been available without interruption.

Entry hosts send their requests to the dispatcher that has been available longest.
A dispatcher that returns from a suspension, a restart or a network partition
doesn't know the requests that the others have placed since; if it took over again,
it would place that load a second time on the same backend servers.
"""

from __future__ import annotations

# If the event loop doesn't run for longer, the host was suspended or starved.
_MAX_PAUSE_S = 1.0
# Without a newer confirmation, the host is partitioned from the other ones.
_MAX_CONFIRMATION_AGE_S = 2.0


class Availability:
    """Tracks the start of the current period without interruption.

    Args:
        now: Loop time in seconds.

    Attributes:
        since: Start of the current period, as loop time in seconds.
    """

    def __init__(self, now: float) -> None:
        self.since = now
        self._observed_at = now
        self._was_confirmed = False

    def observe(self, now: float, confirmed_at: float) -> bool:
        """Record that the event loop runs; return whether it was interrupted.

        Args:
            now: Loop time in seconds.
            confirmed_at: Loop time in seconds of the last confirmation that this
                host holds the newest configuration version.
        """
        was_paused = now - self._observed_at > _MAX_PAUSE_S
        self._observed_at = now
        is_confirmed = now - confirmed_at <= _MAX_CONFIRMATION_AGE_S
        was_disconnected = self._was_confirmed and not is_confirmed
        self._was_confirmed = is_confirmed
        if was_paused or was_disconnected or not is_confirmed:
            self.since = now
        return was_paused or was_disconnected
