"""Weighs the prefill that a cached beginning of a prompt saves against the wait there.

Load pattern: long prompts of which most tokens are shared by many requests, at engines
whose memory holds running requests and cached parts. A dispatcher sees neither: it
estimates from its placements what an engine still has, and each first event tells
whether that was right. One that trusts a stale belief sends requests behind a queue for
a part that is gone; one that trusts none has each part read everywhere.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Parts are unlikely to be gone while the engine has read half of its room since their
# last use, and gone for certain after one and a half times its room.
_CERTAIN_SHARE = 0.5
_GONE_SHARE = 1.5
# Requests of other dispatchers, and what isn't known of an engine, take parts away, but
# hardly within seconds.
_CERTAIN_AGE_S = 10.0
_AGE_HALF_LIFE_S = 120.0
# A first event tells whether a part was held if the time without it would be longer by
# this factor; shorter times than the lower share of the difference confirm it.
_MIN_MISS_FACTOR = 1.5
_HIT_SHARE = 0.35
_MISS_SHARE = 0.75
# Moves the share of hits at an engine by each verdict. It returns to 1, since an engine
# that is believed to hold nothing gets no request that would show otherwise.
_VERDICT_SMOOTHING = 0.3
_SHARE_HALF_LIFE_S = 30.0
# A second of prefill at an engine delays its other requests; it counts this much to a
# request that has the given time to spare, and less to one that has less.
_READ_WEIGHT = 0.5
_AMPLE_TIME_S = 1.0


def estimate_chance(tokens_since: float, room_tokens: float, age_s: float) -> float:
    """Return the probability that an engine still holds a cached part.

    Args:
        tokens_since: Tokens that the engine has read since the last use of the part.
        room_tokens: Tokens of cached parts that fit beside its running requests.
        age_s: Time since the last use in seconds.
    """
    if room_tokens <= 0:
        return 0.0
    used_share = tokens_since / room_tokens
    left = (_GONE_SHARE - used_share) / (_GONE_SHARE - _CERTAIN_SHARE)
    if left <= 0:
        return 0.0
    if age_s > _CERTAIN_AGE_S:
        left = min(1.0, left) * math.exp2((_CERTAIN_AGE_S - age_s) / _AGE_HALF_LIFE_S)
    return min(1.0, left)


def judge_reuse(observed_s: float, hit_s: float, miss_s: float) -> bool | None:
    """Return whether a first event shows that the prompt's beginning was held.

    Args:
        observed_s: Observed time to the first event in seconds.
        hit_s: Expected time if the beginning was held.
        miss_s: Expected time if it was read again.

    Returns:
        None if the times are too close to each other, or the observed one lies between.
    """
    if miss_s < hit_s * _MIN_MISS_FACTOR:
        return None
    share = (observed_s - hit_s) / (miss_s - hit_s)
    if share <= _HIT_SHARE:
        return True
    return False if share >= _MISS_SHARE else None


def weigh_reading(delay_s: float, read_s: float, time_left_s: float) -> float:
    """Return the cost in seconds of serving a request at an engine.

    A request that has time to spare waits for the engine that holds its beginning, as
    reading it elsewhere would delay the requests there.

    Args:
        delay_s: Expected time to its first event there.
        read_s: Time for which the engine reads its prompt.
        time_left_s: Time until its first event is due.
    """
    spare_s = time_left_s - delay_s
    if spare_s <= 0:
        return delay_s
    return delay_s + _READ_WEIGHT * min(1.0, spare_s / _AMPLE_TIME_S) * read_s


@dataclass(slots=True)
class ReuseRecord:
    """What first events have shown of the cached parts of one engine.

    Attributes:
        hit_share: Share of the expected parts that were held, recent ones first.
        judged_at: Loop time in seconds of the last verdict.
    """

    hit_share: float = 1.0
    judged_at: float = 0.0

    def find_share(self, now: float) -> float:
        """Return the share of expected parts that is likely to be held."""
        if self.hit_share == 1.0:
            return 1.0
        age_s = max(0.0, now - self.judged_at)
        return 1.0 - (1.0 - self.hit_share) * math.exp2(-age_s / _SHARE_HALF_LIFE_S)

    def record_verdict(self, was_held: bool, now: float) -> None:
        """Record whether a part that was expected at the engine was held."""
        share = self.find_share(now)
        share += _VERDICT_SMOOTHING * (float(was_held) - share)
        # Hits restore the full share after some time.
        self.hit_share = 1.0 if share > 0.99 else share
        self.judged_at = now
