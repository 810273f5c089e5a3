"""Time that engines need for their work, compared to the common expectation.

Load pattern: engines on machines of several types, some of which share their machine
with other work. The type lasts, and the other work changes every 600 ms, which ones it
slows down as well. One estimate for both would either forget the type of an engine that
gets few requests, or avoid engines that are long free again. So a ratio without decay
is learned from many observed times, and what the machine reports counts for a moment.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

# Bounds of what is learned or believed of one engine.
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
# Machines change their work time about every 600 ms, so that a report is right for
# another 300 ms on average.
_REPORT_HALF_LIFE_S = 0.3
# Largest age of a report that matters: after ten half-lives 0.1% is left of it.
_MAX_REPORT_AGE_S = 3.0
# A ratio follows its first observations faster, as if this many had shown a ratio of 1.
_RATIO_SMOOTHING = 0.04
_ASSUMED_OBSERVATIONS = 8
# Bounds the effect of one observation, which may be wrong by any factor: a cached part
# that is gone, a request that waited elsewhere.
_MAX_DEVIATION = 0.5
# The reference is an average over all engines; it starts as a plain average.
_REFERENCE_SMOOTHING = 0.01
_CENTRE_INTERVAL = 100
# Learned ratios nearer to 1 than this are noise, and count as 1.
_EQUAL_RANGE = math.log(1.1)


def bound_factor(factor: float) -> float:
    """Return a reported or learned factor within the range that is believed."""
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)


@dataclass(slots=True)
class WorkTime:
    """Work time factor that a server's machine reports.

    Attributes:
        factor: Time that work took at the last report, divided by the normal time.
        reported_at: Loop time in seconds of the last report.
    """

    factor: float = 1.0
    reported_at: float = -math.inf

    def record_report(self, factor: float, now: float) -> None:
        """Record a reported factor."""
        self.factor = bound_factor(factor)
        self.reported_at = now

    def find_factor(self, now: float) -> float:
        """Return the expected factor, which approaches 1 as the report ages."""
        if self.factor == 1.0:
            return 1.0
        age_s = max(0.0, now - self.reported_at)
        if age_s > _MAX_REPORT_AGE_S:
            return 1.0
        return 1.0 + (self.factor - 1.0) * math.exp2(-age_s / _REPORT_HALF_LIFE_S)


@dataclass(slots=True)
class EngineLoad:
    """What is known of the time that one engine needs for its work.

    Attributes:
        log_ratio: Logarithm of the learned ratio of its times to those of its peers.
        time_ratio: The learned ratio, 1 if it is near 1.
        observations: Number of times from which it was learned.
        work_time: Work time that its machine reports.
    """

    log_ratio: float = 0.0
    time_ratio: float = 1.0
    observations: int = 0
    work_time: WorkTime = field(default_factory=WorkTime)

    def find_factor(self, now: float) -> float:
        """Return the factor on the common expectation of the engine's times."""
        return self.time_ratio * self.work_time.find_factor(now)

    def set_log_ratio(self, log_ratio: float) -> None:
        """Set the learned ratio, within its bounds."""
        lowest, highest = math.log(MIN_FACTOR), math.log(MAX_FACTOR)
        self.log_ratio = min(max(log_ratio, lowest), highest)
        is_equal = abs(self.log_ratio) < _EQUAL_RANGE
        self.time_ratio = 1.0 if is_equal else math.exp(self.log_ratio)

    def restart(self) -> EngineLoad:
        """Return the load of the engine's next incarnation, on the same machine."""
        return EngineLoad(self.log_ratio, self.time_ratio, self.observations)


@dataclass(slots=True)
class ReferenceTimes:
    """Average of observed to expected times of all engines of a service.

    It keeps an error of the common expectation out of the engines' ratios.

    Attributes:
        log_ratio: Logarithm of the ratio that an engine with the time ratio 1 shows.
        observations: Number of times from which it was learned.
    """

    log_ratio: float = 0.0
    observations: int = 0

    def record_time(self, load: EngineLoad, observed_s: float, usual_s: float) -> None:
        """Learn the time ratio of an engine from one observation.

        Args:
            load: Load of the engine.
            observed_s: Observed time in seconds.
            usual_s: Time in seconds that was expected of an engine with the ratio 1,
                as slowed down as the machine reports.
        """
        observed = math.log(max(observed_s, 1e-6) / max(usual_s, 1e-6))
        self.observations += 1
        smoothing = max(_REFERENCE_SMOOTHING, 1 / self.observations)
        self.log_ratio += smoothing * (observed - load.log_ratio - self.log_ratio)
        deviation = observed - self.log_ratio - load.log_ratio
        deviation = min(max(deviation, -_MAX_DEVIATION), _MAX_DEVIATION)
        smoothing = max(
            _RATIO_SMOOTHING, 1 / (load.observations + _ASSUMED_OBSERVATIONS)
        )
        load.observations += 1
        load.set_log_ratio(load.log_ratio + smoothing * deviation)

    @property
    def is_centring_due(self) -> bool:
        """Whether `centre` should be called after the last observation."""
        return self.observations % _CENTRE_INTERVAL == 0

    def centre(self, loads: Iterable[EngineLoad]) -> None:
        """Move the mean of the engines' ratios to 1.

        Without it the fast engines, which get most requests, would become the
        reference, and the ratios of all others would drift towards a bound.
        """
        observed = [load for load in loads if load.observations]
        mean = sum(load.log_ratio for load in observed) / max(1, len(observed))
        self.log_ratio += mean
        for load in observed:
            load.set_log_ratio(load.log_ratio - mean)
