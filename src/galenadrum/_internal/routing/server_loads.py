"""The load of each backend server: own calls in flight and late reports.

Several entry hosts share the servers. An entry host knows its own calls at
once, and those of the others only from load reports, which are late. The
calls of others are the reported total minus the own calls at the instant of
the report; a fresh estimate fades into a slow mean as it ages.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from itertools import islice

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.servers import LoadReport

_HISTORY_S = 15.0
_HISTORY_LENGTH = 512
_FRESH_STEP = 0.5
_MEAN_STEP = 0.1
_FADE_S = 2.0
_OLDEST_CALLS = 3


@dataclass(frozen=True, slots=True)
class _Sample:
    at: float
    in_flight: int


@dataclass(frozen=True, slots=True)
class _Started:
    at: float
    expected_s: float


class ServerLoad:
    """Own calls in flight on one server, and an estimate of the others'."""

    def __init__(self) -> None:
        self.in_flight: dict[tuple[str, int, int], _Started] = {}
        self._history: deque[_Sample] = deque(maxlen=_HISTORY_LENGTH)
        self._others_fresh = 0.0
        self._others_mean = 0.0
        self._reported_at: float | None = None

    def start(self, key: tuple[str, int, int], expected_s: float, now: float) -> None:
        """Record a dispatched call and how long it should take."""
        if key in self.in_flight:
            raise InvariantError(f"call {key} was dispatched twice to one server")
        self.in_flight[key] = _Started(now, expected_s)
        self._note(now)

    def end(self, key: tuple[str, int, int], now: float) -> None:
        """Record the end of a dispatched call."""
        if key not in self.in_flight:
            raise InvariantError(f"call {key} ended but was not in flight")
        del self.in_flight[key]
        self._note(now)

    def report(self, report: LoadReport, now: float) -> None:
        """Take a load report in."""
        at = now - report.age_s
        if self._reported_at is not None and at <= self._reported_at:
            return
        others = max(0, report.running + report.queued - self._own_at(at))
        if self._reported_at is None:
            self._others_mean = float(others)
        self._reported_at = at
        self._others_fresh += _FRESH_STEP * (others - self._others_fresh)
        self._others_mean += _MEAN_STEP * (others - self._others_mean)

    def others(self, now: float) -> float:
        """Return the estimated number of calls from other entry hosts."""
        if self._reported_at is None:
            return 0.0
        weight = math.exp(-max(0.0, now - self._reported_at) / _FADE_S)
        return weight * self._others_fresh + (1.0 - weight) * self._others_mean

    def stall_ratio(self, now: float) -> float:
        """Return how far the calls that began first are past their expected time.

        Waiting for their end would show a slow server only after its calls
        missed their deadlines.
        """
        oldest = islice(self.in_flight.values(), _OLDEST_CALLS)
        return max(
            ((now - started.at) / started.expected_s for started in oldest),
            default=0.0,
        )

    def age_s(self, now: float) -> float:
        """Return the age of the latest load report in seconds."""
        return 0.0 if self._reported_at is None else max(0.0, now - self._reported_at)

    def total(self, now: float) -> float:
        """Return the estimated number of calls on the server."""
        return len(self.in_flight) + self.others(now)

    def _note(self, now: float) -> None:
        history = self._history
        history.append(_Sample(now, len(self.in_flight)))
        while history and history[0].at < now - _HISTORY_S:
            history.popleft()

    def _own_at(self, at: float) -> int:
        for sample in reversed(self._history):
            if sample.at <= at:
                return sample.in_flight
        return 0
