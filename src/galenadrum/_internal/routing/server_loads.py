"""Load of a backend server, from own calls in flight and load reports.

Several entry hosts share the servers. An entry host knows its own calls exactly,
and those of other hosts only from delayed load reports. The calls of other hosts
are the reported total minus the own calls at the time of the report. As a report
ages, the recent estimate decays towards a slow moving average.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from itertools import islice

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.servers import LoadReport

_MAX_HISTORY_AGE_S = 15.0
_MAX_HISTORY_SAMPLES = 512
_RECENT_SMOOTHING = 0.5
_MEAN_SMOOTHING = 0.1
_RECENT_DECAY_S = 2.0
_STALL_CHECK_CALLS = 3


@dataclass(frozen=True, slots=True)
class _InFlightSample:
    at: float
    in_flight: int


@dataclass(frozen=True, slots=True)
class _DispatchedCall:
    at: float
    expected_s: float


class ServerLoad:
    """Own calls in flight on one server and estimated calls of other hosts."""

    def __init__(self) -> None:
        self.in_flight: dict[tuple[str, int, int], _DispatchedCall] = {}
        self._history: deque[_InFlightSample] = deque(maxlen=_MAX_HISTORY_SAMPLES)
        self._recent_other_calls = 0.0
        self._mean_other_calls = 0.0
        self._reported_at: float | None = None

    def record_dispatch(
        self, key: tuple[str, int, int], expected_s: float, now: float
    ) -> None:
        """Record a dispatched call and its expected service time."""
        if key in self.in_flight:
            raise InvariantError(f"call {key} is already in flight on the same server")
        self.in_flight[key] = _DispatchedCall(now, expected_s)
        self._record_sample(now)

    def record_call_end(self, key: tuple[str, int, int], now: float) -> None:
        """Record the end of a dispatched call."""
        if key not in self.in_flight:
            raise InvariantError(f"call {key} ended but is not in flight")
        del self.in_flight[key]
        self._record_sample(now)

    def report(self, report: LoadReport, now: float) -> None:
        """Apply a load report if it is newer than the latest one."""
        at = now - report.age_s
        if self._reported_at is not None and at <= self._reported_at:
            return
        others = max(0, report.running + report.queued - self._get_own_calls_at(at))
        if self._reported_at is None:
            self._mean_other_calls = float(others)
        self._reported_at = at
        self._recent_other_calls += _RECENT_SMOOTHING * (
            others - self._recent_other_calls
        )
        self._mean_other_calls += _MEAN_SMOOTHING * (others - self._mean_other_calls)

    def estimate_other_calls(self, now: float) -> float:
        """Return the estimated number of calls from other entry hosts."""
        if self._reported_at is None:
            return 0.0
        weight = math.exp(-max(0.0, now - self._reported_at) / _RECENT_DECAY_S)
        return (
            weight * self._recent_other_calls + (1.0 - weight) * self._mean_other_calls
        )

    def stall_ratio(self, now: float) -> float:
        """Return the highest ratio of elapsed to expected time of the oldest calls.

        Completed calls alone would reveal a slow server only after calls on it
        had missed their deadlines.
        """
        oldest = islice(self.in_flight.values(), _STALL_CHECK_CALLS)
        return max(
            ((now - started.at) / started.expected_s for started in oldest),
            default=0.0,
        )

    def age_s(self, now: float) -> float:
        """Return the age of the latest load report in seconds."""
        return 0.0 if self._reported_at is None else max(0.0, now - self._reported_at)

    def estimate_total_calls(self, now: float) -> float:
        """Return the estimated number of calls from all entry hosts."""
        return len(self.in_flight) + self.estimate_other_calls(now)

    def _record_sample(self, now: float) -> None:
        history = self._history
        history.append(_InFlightSample(now, len(self.in_flight)))
        while history and history[0].at < now - _MAX_HISTORY_AGE_S:
            history.popleft()

    def _get_own_calls_at(self, at: float) -> int:
        for sample in reversed(self._history):
            if sample.at <= at:
                return sample.in_flight
        return 0
