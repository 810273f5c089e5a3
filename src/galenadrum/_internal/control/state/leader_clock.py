"""Clock for the timestamps of replicated commands."""

from __future__ import annotations


class LeaderClock:
    """Clock in milliseconds that never goes back across leader changes and restarts.

    It doesn't depend on the wall clocks of hosts: each term starts at the latest
    time in the replicated state and adds the time elapsed on the event loop of
    its leader. Time without a leader doesn't count, so that leases and
    retention times last at least as long as specified.
    """

    def __init__(self) -> None:
        self._term: int | None = None
        self._term_start_ms = 0
        self._term_started_at = 0.0

    def read(self, term: int, state_time_ms: int, now: float) -> int:
        """Return the timestamp for a command, in milliseconds.

        Args:
            term: The term in which this member leads.
            state_time_ms: Latest time in the replicated state, in milliseconds.
            now: Event loop time in seconds.
        """
        if term != self._term:
            self._term = term
            self._term_start_ms = state_time_ms
            self._term_started_at = now
        elapsed_ms = round((now - self._term_started_at) * 1_000)
        return max(state_time_ms, self._term_start_ms + elapsed_ms)
