"""Work that reaches the queue of a stage service later, and may go first.

Load pattern: urgent requests with a long chain of stages beside many less urgent ones
with a shorter chain. A forecast that counts everything that will be queued refuses the
urgent ones for work that they would pass, so that the longest chain is served least.
One that counts only what is known now admits too many of the others, which are then
overtaken by urgent requests that arrive later.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from galenadrum._internal.models.routing import RouteStage, StageLimits


@dataclass(frozen=True, slots=True, order=True)
class _Entry:
    """Pieces of one stage of one request.

    Attributes:
        due_at: Loop time in seconds that will order them in the queue.
    """

    due_at: float
    request_id: str
    stage: int
    pieces: int


# Time constant of the arrival rates: a burst counts within a second of its begin.
_RATE_WINDOW_S = 1.0
# Steps after which the wait that overtaking work extends has converged.
_WAIT_STEPS = 4


@dataclass(slots=True)
class _Arrivals:
    """Recent arrivals of one kind of request.

    Attributes:
        per_s: Pieces per second, as of ``updated_at``.
        updated_at: Loop time in seconds.
        slack_s: Time in seconds from an arrival to the due time in the queue.
        delay_s: Shortest time in seconds from an arrival until the pieces are queued,
            after the earlier stages.
    """

    per_s: float
    updated_at: float
    slack_s: float
    delay_s: float

    def current_rate(self, now: float) -> float:
        """Return the pieces per second, decayed since the last arrival."""
        return self.per_s * math.exp((self.updated_at - now) / _RATE_WINDOW_S)


class ArrivalRates:
    """Rates at which pieces of each kind of request are admitted to one service."""

    def __init__(self) -> None:
        self._arrivals_by_kind: dict[tuple[str, int], _Arrivals] = {}

    def record(
        self,
        kind: tuple[str, int],
        pieces: int,
        slack_s: float,
        delay_s: float,
        now: float,
    ) -> None:
        """Record the pieces of an admitted request.

        Args:
            kind: Name of the route, and index of the stage.
            pieces: Number of pieces.
            slack_s: Time in seconds until they are due in the queue.
            delay_s: Shortest time in seconds until they are queued.
            now: Loop time in seconds.
        """
        known = self._arrivals_by_kind.get(kind)
        if known is None:
            known = self._arrivals_by_kind[kind] = _Arrivals(0.0, now, slack_s, delay_s)
        known.per_s = known.current_rate(now) + pieces / _RATE_WINDOW_S
        known.updated_at = now
        known.slack_s = slack_s
        known.delay_s = delay_s

    def estimate_wait_s(
        self, ahead: float, slack_s: float, throughput: float, now: float
    ) -> float:
        """Return the time until pieces are served that later arrivals may overtake.

        Args:
            ahead: Number of pieces that go first and are known now.
            slack_s: Time in seconds until the waiting pieces are due in the queue.
            throughput: Pieces per second of all servers together.
            now: Loop time in seconds.
        """
        wait_s = ahead / throughput
        # Arrivals overtake only while they are due earlier, and not before they have
        # passed the earlier stages: those that have count as known work.
        overtaking = [
            (known.current_rate(now), slack_s - known.slack_s, known.delay_s)
            for known in self._arrivals_by_kind.values()
            if known.slack_s < slack_s
        ]
        for _ in range(_WAIT_STEPS if overtaking else 0):
            later = sum(
                per_s * min(max(0.0, wait_s - delay_s), lead_s)
                for per_s, lead_s, delay_s in overtaking
            )
            wait_s = (ahead + later) / throughput
        return wait_s


class UpcomingWork:
    """Pieces that will be queued for the servers of one stage service."""

    def __init__(self) -> None:
        self._entries: list[_Entry] = []
        self._entry_by_key: dict[tuple[str, int], _Entry] = {}

    def add(self, request_id: str, stage: int, pieces: int, due_at: float) -> None:
        """Add the pieces of a stage of a request; replaces those added before."""
        self.remove(request_id, stage)
        entry = _Entry(due_at, request_id, stage, pieces)
        self._entry_by_key[request_id, stage] = entry
        bisect.insort(self._entries, entry)

    def remove(self, request_id: str, stage: int) -> None:
        """Remove the pieces of a stage that are queued or no longer needed."""
        entry = self._entry_by_key.pop((request_id, stage), None)
        if entry is not None:
            del self._entries[bisect.bisect_left(self._entries, entry)]

    def count_due(self, due_at: float) -> int:
        """Return the number of pieces that are due by a loop time in seconds."""
        end = bisect.bisect_right(self._entries, due_at, key=lambda e: e.due_at)
        return sum(entry.pieces for entry in self._entries[:end])


def estimate_remaining_s(
    stage: int,
    stages: Sequence[RouteStage],
    pieces: Sequence[int],
    limits_by_service: Mapping[str, StageLimits],
) -> float:
    """Return the shortest time from the start of a stage until all stages are complete.

    Args:
        stage: Index of the stage.
        stages: Stages of the route.
        pieces: Number of pieces of each stage.
        limits_by_service: Limits of the servers of each stage service that is known.

    Returns:
        Seconds, if each stage after it starts at once.
    """
    remaining_s = 0.0
    frontier = {stage}
    while frontier:
        longest_s = 0.0
        for index in frontier:
            limits = limits_by_service.get(stages[index].service)
            if limits is not None:
                count = min(pieces[index], limits.batch_size)
                longest_s = max(longest_s, limits.call_s + count * limits.piece_s)
        remaining_s += longest_s
        frontier = {
            index
            for index, spec in enumerate(stages)
            if frontier & set(spec.after) and pieces[index]
        }
    return remaining_s
