"""Rests that servers ask for, and the first request after each of them.

Load pattern: a server in need rejects requests and asks their sender for a rest. Other
servers get the sender's requests meanwhile. When the rest ends, all that come would
reach the server at once. So one request is sent first, a moment after the end that
differs between senders, and the others follow once it is answered.
"""

from __future__ import annotations

import random
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Protocol

# Longest rest that is granted; the server can ask again afterwards.
MAX_REST_S = 60.0
# Time after which the first request after a rest counts as lost.
_PROBE_TIMEOUT_S = 1.0
# Largest random delay after the end of a rest, as a share of it and in seconds.
_JITTER_SHARE = 0.1
_MAX_JITTER_S = 0.25


class Rests(Protocol):
    """Rests of servers, as those see them that choose among the servers."""

    def left_s(self, key: str, now: float) -> float:
        """Return the seconds until a rest ends; 0 if none lasts."""

    def wait_s(self, key: str, now: float) -> float:
        """Return the seconds until a request may be sent; 0 for now."""

    def record_send(self, key: str, now: float) -> None:
        """Record that a request is about to be sent."""


@dataclass(slots=True)
class _Rest:
    """The rest of one server.

    Attributes:
        ends_at: Loop time in seconds from which one request may be sent.
        probed_at: Loop time in seconds at which that request was sent; None before it.
    """

    ends_at: float
    probed_at: float | None = None


class RestSchedule:
    """Rests by server, or by sender and server.

    Args:
        rng: Source of the delays after the end of a rest.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rests_by_key: dict[Hashable, _Rest] = {}

    def __len__(self) -> int:
        return len(self._rests_by_key)

    def begin_rest(self, key: Hashable, rest_s: float, now: float) -> None:
        """Begin a rest, or prolong the one that lasts.

        Args:
            key: The server, or its sender and the server.
            rest_s: Duration in seconds; more than `MAX_REST_S` counts as that.
            now: Loop time in seconds.
        """
        self._remove_old_rests(now)
        rest_s = min(rest_s, MAX_REST_S)
        delay_s = min(_JITTER_SHARE * rest_s, _MAX_JITTER_S) * self._rng.random()
        rest = self._rests_by_key.setdefault(key, _Rest(0.0))
        rest.ends_at = max(rest.ends_at, now + rest_s + delay_s)
        rest.probed_at = None

    def left_s(self, key: Hashable, now: float) -> float:
        """Return the seconds until a rest ends; 0 if none lasts."""
        rest = self._rests_by_key.get(key)
        return max(0.0, rest.ends_at - now) if rest is not None else 0.0

    def wait_s(self, key: Hashable, now: float) -> float:
        """Return the seconds until a request may be sent; 0 for now.

        After a rest that is until the first request is answered, or is lost.
        """
        rest = self._rests_by_key.get(key)
        if rest is None:
            return 0.0
        if now < rest.ends_at or rest.probed_at is None:
            return max(0.0, rest.ends_at - now)
        return max(0.0, rest.probed_at + _PROBE_TIMEOUT_S - now)

    def list_waiting(self, now: float) -> list[Hashable]:
        """Return the keys to which no request may be sent now."""
        return [key for key in self._rests_by_key if self.wait_s(key, now) > 0]

    def record_send(self, key: Hashable, now: float) -> None:
        """Record that a request is sent; the others wait for its response."""
        rest = self._rests_by_key.get(key)
        if rest is not None and now >= rest.ends_at:
            rest.probed_at = now

    def record_response(self, key: Hashable, sent_at: float) -> bool:
        """Record a response that asks for no rest.

        Args:
            key: The server, or its sender and the server.
            sent_at: Loop time in seconds at which its request was sent. One that was
                sent before the end of the rest says nothing of the time after it.

        Returns:
            Whether it ends a rest.
        """
        rest = self._rests_by_key.get(key)
        if rest is None or sent_at < rest.ends_at:
            return False
        del self._rests_by_key[key]
        return True

    def remove(self, key: Hashable) -> None:
        """Remove the rest of a server that left or started again."""
        self._rests_by_key.pop(key, None)

    def _remove_old_rests(self, now: float) -> None:
        for key, rest in list(self._rests_by_key.items()):
            if now - rest.ends_at > MAX_REST_S:
                del self._rests_by_key[key]
