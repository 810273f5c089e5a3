"""Time that the commands of successive leaders carry."""

from __future__ import annotations


class LeaderClock:
    """Milliseconds that rise over leader changes and restarts.

    The clocks of hosts are neither compared nor trusted: each term begins at
    the latest time that the replicated state has seen and adds what the loop
    of its leader measures. Time without a leader doesn't count, so that
    leases and retention last at least as long as they say.
    """

    def __init__(self) -> None:
        self._term: int | None = None
        self._base_ms = 0
        self._started_at = 0.0

    def read(self, term: int, state_time_ms: int, now: float) -> int:
        """Return the time for a command.

        Args:
            term: The term in which this member leads.
            state_time_ms: The latest time that the state has seen.
            now: Loop time in seconds.
        """
        if term != self._term:
            self._term = term
            self._base_ms = state_time_ms
            self._started_at = now
        elapsed_ms = round((now - self._started_at) * 1_000)
        return max(state_time_ms, self._base_ms + elapsed_ms)
