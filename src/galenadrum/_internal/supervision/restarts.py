"""Restart delays of failed children, and the limit at which a supervisor gives up."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RestartPolicy:
    """Limits on the restarts of one child.

    Attributes:
        initial_delay_s: Delay before the first restart, in seconds.
        max_delay_s: Upper limit of the delay without jitter, in seconds.
        growth: Factor between the delays of consecutive failures.
        jitter: Maximum random addition, as a fraction of the delay, 0 to 1.
        max_failures: Failures within ``window_s`` that are still followed by a
            restart; one more makes the supervisor give up.
        window_s: Age after which a failure no longer counts, in seconds.
    """

    initial_delay_s: float = 0.1
    max_delay_s: float = 10.0
    growth: float = 2.0
    jitter: float = 0.5
    max_failures: int = 8
    window_s: float = 60.0


class RestartCounter:
    """Counts the failures of one child and derives the next delay."""

    def __init__(self, policy: RestartPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._failed_at: deque[float] = deque(maxlen=policy.max_failures + 1)

    def record_failure(self, now: float) -> float | None:
        """Record a failure and return the restart delay.

        Args:
            now: Time of the failure, in seconds.

        Returns:
            Delay before the restart in seconds, or None to give up.
        """
        policy = self._policy
        while self._failed_at and now - self._failed_at[0] > policy.window_s:
            self._failed_at.popleft()
        self._failed_at.append(now)
        if len(self._failed_at) > policy.max_failures:
            return None
        delay = policy.initial_delay_s * policy.growth ** (len(self._failed_at) - 1)
        delay = min(delay, policy.max_delay_s)
        return delay * (1 + policy.jitter * self._rng.random())
