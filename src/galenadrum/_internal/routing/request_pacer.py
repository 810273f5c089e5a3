"""Spacing of the requests to servers that name a limit or are cold.

Load pattern: many hosts send to a server in need, which accepts few requests a second
from all of them together. A share for each host is right on average but still allows a
burst with one request of every host, and shares overlap while hosts join and leave. So
one host spaces all requests to a server, evenly.

A warm server that may become cold at any moment isn't spaced, but gets a limited number
of requests in any second.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol, TypeVar

from galenadrum._internal.models.announcements import Announcement
from galenadrum._internal.routing.server_room import BrittleServer

# A server that accepts no requests is sent one now and then, as only a response can
# end its limit.
_MIN_RATE_PER_S = 0.1
# Longer than the second for which the number is limited, since requests that are sent
# through different hosts travel for different times.
_WINDOW_S = 1.25


class _Announcing(Protocol):
    """An announced server, as a pool keeps it."""

    announcement: Announcement


_T = TypeVar("_T", bound=_Announcing)


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
        find_max_requests: Returns the most requests to a server in one second, None if
            their number isn't limited.
        is_last_resort: Returns whether a server is used only if no other is left; None
            if none is.
        choose_first_wait: Returns the wait in seconds for the first request to a
            server, given the interval between two; None to wait for one interval.
    """

    def __init__(
        self,
        find_rate: Callable[[str], float | None],
        share: Callable[[], float] = lambda: 1.0,
        has_limits: Callable[[], bool] = lambda: True,
        find_brittle: Callable[[str], BrittleServer | None] = lambda server_id: None,
        find_max_requests: Callable[[str], int | None] = lambda server_id: None,
        is_last_resort: Callable[[str], bool] | None = None,
        choose_first_wait: Callable[[str, float], float] | None = None,
    ) -> None:
        self._find_rate = find_rate
        self._share = share
        self.has_limits = has_limits
        self.find_brittle = find_brittle
        self._find_max_requests = find_max_requests
        self._is_last_resort = is_last_resort
        self._choose_first_wait = choose_first_wait or (
            lambda server_id, interval_s: interval_s
        )
        # Loop times in seconds of the requests in the last window, in order.
        self._sent_at_by_server: dict[str, deque[float]] = {}
        self._schedules_by_server: dict[str, _Schedule] = {}

    def copy_for_reading(self) -> RequestPacer:
        """Return a copy whose estimates change no schedule of this one.

        The copy doesn't choose the first wait of a server, which may be random, but
        takes one interval.
        """
        copied = copy.copy(self)
        copied._choose_first_wait = lambda server_id, interval_s: interval_s
        copied._sent_at_by_server = {
            server_id: deque(times)
            for server_id, times in self._sent_at_by_server.items()
        }
        copied._schedules_by_server = {
            server_id: replace(schedule)
            for server_id, schedule in self._schedules_by_server.items()
        }
        return copied

    def find_rate(self, server_id: str) -> float | None:
        """Return the requests per second to a server, None if it names no limit."""
        rate_per_s = self._find_rate(server_id)
        if rate_per_s is None:
            return None
        return max(_MIN_RATE_PER_S, rate_per_s) * self._share()

    def wait_s(self, server_id: str, now: float) -> float:
        """Return the seconds until a request may be sent to a server; 0 for now."""
        schedule = self._update_schedule(server_id, now)
        wait_s = max(0.0, schedule.next_at - now) if schedule is not None else 0.0
        max_requests = self._find_max_requests(server_id)
        if max_requests is None:
            return wait_s
        return max(wait_s, self._find_window_wait(server_id, max_requests, now))

    def record_request(self, server_id: str, now: float) -> None:
        """Record that a request is sent to a server, at its next scheduled time."""
        schedule = self._update_schedule(server_id, now)
        if self._find_max_requests(server_id) is not None:
            sent_at = now + self.wait_s(server_id, now)
            self._sent_at_by_server[server_id].append(sent_at)
            if schedule is not None:
                schedule.next_at = sent_at + 1 / schedule.rate_per_s
        elif schedule is not None:
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

    def skip_last_resorts(self, servers: list[_T]) -> list[_T]:
        """Return servers without the last resorts, unless there are no others."""
        is_last_resort = self._is_last_resort
        if is_last_resort is None:
            return servers
        others = [s for s in servers if not is_last_resort(s.announcement.server_id)]
        return others or servers

    def find_last_resorts(self, server_ids: Iterable[str]) -> set[str]:
        """Return the servers that a request shouldn't use, as it has others."""
        if self._is_last_resort is None:
            return set()
        known_ids = set(server_ids)
        last_resorts = set(filter(self._is_last_resort, known_ids))
        return last_resorts if last_resorts != known_ids else set()

    def spread_schedules(self, now: float) -> None:
        """Put off the next requests as if they were the first.

        Used when this host begins to send without coordination, as others may do in the
        same moment.
        """
        for server_id, schedule in self._schedules_by_server.items():
            interval_s = 1 / schedule.rate_per_s
            wait_s = self._choose_first_wait(server_id, interval_s)
            schedule.next_at = max(schedule.next_at, now + wait_s)

    def _find_window_wait(self, server_id: str, max_requests: int, now: float) -> float:
        """Return the seconds until a window has room for another request."""
        sent_at = self._sent_at_by_server.get(server_id)
        if sent_at is None:
            self._remove_unlimited()
            # Another host may have sent to it until now.
            sent_at = deque([now] * (max_requests // 2))
            self._sent_at_by_server[server_id] = sent_at
        while sent_at and sent_at[0] <= now - _WINDOW_S:
            sent_at.popleft()
        if not sent_at:
            return 0.0
        # Requests are sent in the order of their reservations.
        earliest_at = max(now, sent_at[-1])
        if len(sent_at) >= max_requests:
            earliest_at = max(earliest_at, sent_at[-max_requests] + _WINDOW_S)
        return earliest_at - now

    def _update_schedule(self, server_id: str, now: float) -> _Schedule | None:
        rate_per_s = self.find_rate(server_id)
        if rate_per_s is None:
            self._schedules_by_server.pop(server_id, None)
            return None
        schedule = self._schedules_by_server.get(server_id)
        if schedule is None:
            self._remove_unlimited()
            # Requests were sent without a schedule until now.
            first_wait_s = self._choose_first_wait(server_id, 1 / rate_per_s)
            schedule = _Schedule(rate_per_s, now + first_wait_s)
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
        for server_id in list(self._sent_at_by_server):
            if self._find_max_requests(server_id) is None:
                del self._sent_at_by_server[server_id]
