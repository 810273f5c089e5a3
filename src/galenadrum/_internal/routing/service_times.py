"""Service time estimates by stage, call size and server.

Each stage has a linear model of its service time over the input tokens to
compute and the output tokens. It is fitted by least squares with exponential
forgetting; ridge regularisation keeps it near the declared service time until
calls are observed. Outliers are clipped before they enter the fit.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

_FORGETTING_FACTOR = 0.985
# Ridge penalties on the deviation of the base time from the declared one and on
# the times per thousand input and output tokens. Calls generate far less than a
# thousand tokens, so a strong penalty on output would underestimate long answers.
_RIDGE_PENALTIES = (0.1, 0.04, 0.02)
_TOKENS_PER_UNIT = 1000.0
_OUTLIER_CLIP_RATIO = 4.0
_HIGH_RATIO_QUANTILE = 0.9
_HIGH_RATIO_STEP_SHARE = 0.05
_SLOWNESS_SMOOTHING = 0.15
_MIN_SLOWNESS = 0.25
_MAX_SLOWNESS = 16.0
_SLOWNESS_DECAY_S = 15.0
_ORDINARY_SLOWNESS_RATIO = 1.6
_MIN_SERVICE_S = 0.001
_FIT_INTERVAL_CALLS = 4


@dataclass(frozen=True, slots=True)
class CallSize:
    """The size of one stage call.

    Attributes:
        prefill_tokens: Input tokens that are not served from the prefix cache.
        output_tokens: Tokens to be generated; 0 for plain services.
    """

    prefill_tokens: float
    output_tokens: float


class _StageModel:
    """Linear model: base time and times per thousand input and output tokens."""

    def __init__(self, declared_s: float) -> None:
        self.declared_s = declared_s
        self.coefficients = [declared_s, 0.0, 0.0]
        self.high_ratio = 1.5
        self.mean_s = declared_s
        self.observations = 0
        self._moments = [[0.0] * 3 for _ in range(3)]
        self._targets = [0.0] * 3

    def predict(self, size: CallSize) -> float:
        base, prefill, output = self.coefficients
        seconds = (
            base
            + prefill * size.prefill_tokens / _TOKENS_PER_UNIT
            + output * size.output_tokens / _TOKENS_PER_UNIT
        )
        return max(_MIN_SERVICE_S, seconds)

    def observe(self, size: CallSize, seconds: float) -> None:
        predicted = self.predict(size)
        self._update_high_ratio(seconds / predicted)
        if self.observations > _FIT_INTERVAL_CALLS:
            low, high = predicted / _OUTLIER_CLIP_RATIO, predicted * _OUTLIER_CLIP_RATIO
            seconds = min(high, max(low, seconds))
        self.observations += 1
        self.mean_s += (seconds - self.mean_s) * max(0.05, 1 / self.observations)
        self._update_moments(size, seconds)
        if self.observations <= 8 or self.observations % _FIT_INTERVAL_CALLS == 0:
            self._fit()

    def _update_high_ratio(self, ratio: float) -> None:
        step = _HIGH_RATIO_STEP_SHARE * self.high_ratio
        change = (
            _HIGH_RATIO_QUANTILE
            if ratio > self.high_ratio
            else _HIGH_RATIO_QUANTILE - 1.0
        )
        self.high_ratio = min(4.0, max(1.05, self.high_ratio + step * change))

    def _update_moments(self, size: CallSize, seconds: float) -> None:
        row = (
            1.0,
            size.prefill_tokens / _TOKENS_PER_UNIT,
            size.output_tokens / _TOKENS_PER_UNIT,
        )
        for i in range(3):
            self._targets[i] = self._targets[i] * _FORGETTING_FACTOR + row[i] * seconds
            for j in range(3):
                moment = self._moments[i][j] * _FORGETTING_FACTOR
                self._moments[i][j] = moment + row[i] * row[j]

    def _fit(self) -> None:
        matrix = [list(row) for row in self._moments]
        targets = list(self._targets)
        for i in range(3):
            matrix[i][i] += _RIDGE_PENALTIES[i]
        targets[0] += _RIDGE_PENALTIES[0] * self.declared_s
        self.coefficients = _solve_non_negative(matrix, targets)


def _solve_non_negative(matrix: list[list[float]], targets: list[float]) -> list[float]:
    """Solve the normal equations, dropping features with negative coefficients."""
    active = [0, 1, 2]
    while True:
        solution = _solve_subset(matrix, targets, active)
        negative = [i for i in active if solution[i] < 0.0]
        if not negative or len(active) == 1:
            return [max(0.0, value) for value in solution]
        active.remove(min(negative, key=lambda i: solution[i]))


def _solve_subset(
    matrix: list[list[float]], targets: list[float], active: list[int]
) -> list[float]:
    rows = [[matrix[i][j] for j in active] + [targets[i]] for i in active]
    count = len(rows)
    for i in range(count):
        pivot = rows[i][i] or 1e-9
        for k in range(i + 1, count):
            factor = rows[k][i] / pivot
            for j in range(i, count + 1):
                rows[k][j] -= factor * rows[i][j]
    solution = [0.0] * 3
    for i in reversed(range(count)):
        known = sum(rows[i][j] * solution[active[j]] for j in range(i + 1, count))
        solution[active[i]] = (rows[i][count] - known) / (rows[i][i] or 1e-9)
    return solution


class ServiceTimes:
    """Expected service times, in seconds, and the slowness of each server."""

    def __init__(self, estimate_slowness: bool = True) -> None:
        self._estimate_slowness = estimate_slowness
        self._models_by_stage: dict[str, _StageModel] = {}
        self._slowness_by_server: dict[str, tuple[float, float]] = {}

    def set_declared_time(self, stage: str, declared_s: float) -> None:
        """Set the service time that is assumed until calls are observed."""
        model = self._models_by_stage.get(stage)
        if model is None:
            self._models_by_stage[stage] = _StageModel(declared_s)
        else:
            model.declared_s = declared_s

    def estimate_service_s(self, stage: str, size: CallSize) -> float:
        """Return the expected service time on a server of ordinary speed."""
        return self._model(stage).predict(size)

    def high_ratio(self, stage: str) -> float:
        """Return the 90th percentile of observed over expected service time."""
        return self._model(stage).high_ratio

    def get_mean_s(self, stage: str) -> float:
        """Return the recent mean service time of a stage in seconds."""
        return self._model(stage).mean_s

    def slowness(self, server_id: str, now: float) -> float:
        """Return a server's service time relative to its stage's model.

        The value decays towards 1 while no call is observed, so that a server
        avoided as slow is tried again. Differences small enough to be caused by
        load alone are returned as 1.
        """
        slowness = self._raw_slowness(server_id, now)
        return (
            1.0
            if 1.0 / _ORDINARY_SLOWNESS_RATIO < slowness < _ORDINARY_SLOWNESS_RATIO
            else slowness
        )

    def record_call(
        self, stage: str, size: CallSize, server_id: str, seconds: float, now: float
    ) -> None:
        """Record the service time of a completed call."""
        model = self._model(stage)
        seconds = max(seconds, _MIN_SERVICE_S)
        slowness = self._raw_slowness(server_id, now)
        ratio = seconds / model.predict(size)
        if self._estimate_slowness and model.observations > 8:
            slowness = self._update_slowness(server_id, slowness, ratio, now)
        model.observe(size, seconds / slowness)

    def record_interrupted_call(
        self, stage: str, size: CallSize, server_id: str, seconds: float, now: float
    ) -> None:
        """Record an interrupted call, whose duration is only a lower bound.

        It is used only if it shows the server to be slower than estimated.
        """
        slowness = self._raw_slowness(server_id, now)
        ratio = seconds / self._model(stage).predict(size)
        if self._estimate_slowness and ratio > slowness:
            self._update_slowness(server_id, slowness, ratio, now)

    def remove_server(self, server_id: str) -> None:
        """Remove the slowness of a server that left or restarted."""
        self._slowness_by_server.pop(server_id, None)

    def _raw_slowness(self, server_id: str, now: float) -> float:
        log_slowness, at = self._slowness_by_server.get(server_id, (0.0, now))
        return math.exp(log_slowness * math.exp((at - now) / _SLOWNESS_DECAY_S))

    def _update_slowness(
        self, server_id: str, slowness: float, ratio: float, now: float
    ) -> float:
        ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, ratio))
        log_slowness = math.log(slowness)
        log_slowness += _SLOWNESS_SMOOTHING * (math.log(ratio) - log_slowness)
        self._slowness_by_server[server_id] = (log_slowness, now)
        return math.exp(log_slowness)

    def _model(self, stage: str) -> _StageModel:
        model = self._models_by_stage.get(stage)
        if model is None:
            model = self._models_by_stage[stage] = _StageModel(0.1)
        return model
