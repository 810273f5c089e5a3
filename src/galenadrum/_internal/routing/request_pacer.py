"""Spacing of the requests to servers that name a limit.

Load pattern: many hosts send to a server in need, which accepts few requests a second
from all of them together. A share for each host is right on average but still allows a
burst with one request of every host, and shares overlap while hosts join and leave. So
one host spaces all requests to a server, evenly.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from galenadrum._internal.routing.server_room import BrittleServer

# A server that accepts no requests is sent one now and then, as only a response can
# end its limit.
_MIN_RATE_PER_S = 0.1


@dataclass(slots=True)
class _Schedule:
    """Schedule of one server.

    Attributes:
        rate_per_s: Requests per second.
        next_at: Loop time in seconds from which the next request may be sent.
    """

    rate_per_s: float
    next_at: float


class RequestPacer:
    """Schedules of the limited servers.

    Args:
        find_rate: Returns the requests per second that a server accepts, None if it
            names no limit.
        share: Returns the share of each limit that this host may use.
        has_limits: Returns whether any server names a limit.
        find_brittle: Returns what is known of a server that is brittle, else None.
    """

    def __init__(
        self,
        find_rate: Callable[[str], float | None],
        share: Callable[[], float] = lambda: 1.0,
        has_limits: Callable[[], bool] = lambda: True,
        find_brittle: Callable[[str], BrittleServer | None] = lambda server_id: None,
    ) -> None:
        self._find_rate = find_rate
        self._share = share
        self.has_limits = has_limits
        self.find_brittle = find_brittle
        self._schedules_by_server: dict[str, _Schedule] = {}

    def find_rate(self, server_id: str) -> float | None:
        """Return the requests per second to a server, None if it names no limit."""
        rate_per_s = self._find_rate(server_id)
        if rate_per_s is None:
            return None
        return max(_MIN_RATE_PER_S, rate_per_s) * self._share()

    def wait_s(self, server_id: str, now: float) -> float:
        """Return the seconds until a request may be sent to a server; 0 for now."""
        schedule = self._update_schedule(server_id, now)
        return max(0.0, schedule.next_at - now) if schedule is not None else 0.0

    def record_request(self, server_id: str, now: float) -> None:
        """Record that a request is sent to a server, at its next scheduled time."""
        schedule = self._update_schedule(server_id, now)
        if schedule is not None:
            schedule.next_at = max(now, schedule.next_at) + 1 / schedule.rate_per_s

    def reserve_request(
        self, server_id: str, max_wait_s: float, now: float
    ) -> tuple[bool, float]:
        """Reserve the next scheduled time of a server.

        Args:
            server_id: Id of the server.
            max_wait_s: Longest wait in seconds for which the time is reserved.
            now: Loop time in seconds.

        Returns:
            Whether it was reserved, and the seconds until then.
        """
        wait_s = self.wait_s(server_id, now)
        if wait_s > max_wait_s:
            return False, wait_s
        self.record_request(server_id, now)
        return True, wait_s

    def _update_schedule(self, server_id: str, now: float) -> _Schedule | None:
        rate_per_s = self.find_rate(server_id)
        if rate_per_s is None:
            self._schedules_by_server.pop(server_id, None)
            return None
        schedule = self._schedules_by_server.get(server_id)
        if schedule is None:
            self._remove_unlimited()
            # Requests were sent without a schedule until now.
            schedule = _Schedule(rate_per_s, now + 1 / rate_per_s)
            self._schedules_by_server[server_id] = schedule
        elif schedule.rate_per_s != rate_per_s:
            scale = schedule.rate_per_s / rate_per_s
            schedule.next_at = now + (schedule.next_at - now) * scale
            schedule.rate_per_s = rate_per_s
        return schedule

    def _remove_unlimited(self) -> None:
        """Remove the schedules of servers that left or name no limit any more."""
        for server_id in list(self._schedules_by_server):
            if self._find_rate(server_id) is None:
                del self._schedules_by_server[server_id]
