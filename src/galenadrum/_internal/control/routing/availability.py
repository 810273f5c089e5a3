"""Since when a control host has been able to do its work without a break.

Entry hosts send their requests to the dispatcher that has been available longest:
one that returns from a suspension, a restart or a cut knows nothing of what the
others have sent since, and taking the work back would double it on the servers.
"""

from __future__ import annotations

# A loop that did not run for this long was suspended or starved.
_MAX_PAUSE_S = 1.0
# Without a confirmation for this long, the host is cut off from the others.
_MAX_CONFIRMATION_AGE_S = 2.0


class Availability:
    """The start of the latest span without a break.

    Attributes:
        since: Loop time in seconds.
    """

    def __init__(self, now: float) -> None:
        self.since = now
        self._observed_at = now
        self._was_confirmed = False

    def observe(self, now: float, confirmed_at: float) -> bool:
        """Note that the loop runs; returns whether a break was found.

        Args:
            now: Loop time in seconds.
            confirmed_at: Loop time in seconds of the last confirmation.
        """
        was_paused = now - self._observed_at > _MAX_PAUSE_S
        self._observed_at = now
        is_confirmed = now - confirmed_at <= _MAX_CONFIRMATION_AGE_S
        was_cut = self._was_confirmed and not is_confirmed
        self._was_confirmed = is_confirmed
        if was_paused or was_cut or not is_confirmed:
            self.since = now
        return was_paused or was_cut
