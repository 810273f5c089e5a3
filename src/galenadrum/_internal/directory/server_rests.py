"""Rests that backend servers ask this host for when they reject a request.

A rest holds for one incarnation of a server and for this host alone.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.models.server_limits import ServerRest
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.routing.rest_schedule import MAX_REST_S, RestSchedule

logger = logging.getLogger(__name__)

# A placement request names no more rests than this.
_MAX_LISTED_RESTS = 64


class ServerRests:
    """Rests by server.

    Args:
        find_server: Returns the directory entry of a server id, None if unknown.
        rng: Source of the delays after the end of a rest.
        metrics: Counts the rests, and the requests that are not sent for them.
    """

    def __init__(
        self,
        find_server: Callable[[str], ServerEntry | None],
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._find_server = find_server
        self._metrics = metrics
        self._schedule = RestSchedule(rng)
        self._incarnations_by_server: dict[str, int] = {}
        metrics.register_gauge(
            "resting_servers", lambda: len(self._incarnations_by_server)
        )

    def left_s(self, server_id: str, now: float) -> float:
        """Return the seconds until the rest of a server ends; 0 if none lasts."""
        if not self._is_known(server_id):
            return 0.0
        return self._schedule.left_s(server_id, now)

    def is_resting(self, server_id: str, now: float) -> bool:
        """Return whether the rest of a server lasts."""
        return self.left_s(server_id, now) > 0

    def wait_s(self, server_id: str, now: float) -> float:
        """Return the seconds until a request may be sent to a server; 0 for now.

        Once its rest has ended, one request is sent, and the others wait for its
        response.
        """
        if not self._is_known(server_id):
            return 0.0
        return self._schedule.wait_s(server_id, now)

    def list_waiting(self, now: float) -> list[str]:
        """Return the ids of the servers that may be sent no request now."""
        return [
            server_id
            for server_id in list(self._incarnations_by_server)
            if self.wait_s(server_id, now) > 0
        ]

    def list_rests(self, now: float) -> tuple[ServerRest, ...]:
        """Return the rests that last, those that end last first."""
        rests = [
            ServerRest(server_id, self.left_s(server_id, now))
            for server_id in self.list_waiting(now)
            if self.is_resting(server_id, now)
        ]
        return tuple(sorted(rests, key=lambda rest: -rest.left_s)[:_MAX_LISTED_RESTS])

    def record_send(self, server_id: str, now: float) -> None:
        """Record that a request is about to be sent to a server."""
        if self._is_known(server_id):
            self._schedule.record_send(server_id, now)

    def may_send(self, server_id: str, sender: str, now: float) -> bool:
        """Return whether a request may be sent now, and record it in that case.

        Called last before the request is written: a rest may have begun while it was
        queued or its connection was made.

        Args:
            server_id: Id of the server.
            sender: Part of this host that sends it, for the metric.
            now: Loop time in seconds.
        """
        if self.wait_s(server_id, now) > 0:
            self._metrics.increment("requests_held_back_for_rests", sender=sender)
            return False
        self.record_send(server_id, now)
        return True

    def record_response(
        self,
        server_id: str,
        rest_s: float | None,
        sent_at: float,
        now: float,
        request_id: str = "",
        incarnation_ms: int | None = None,
    ) -> None:
        """Record the rest that a response asks for.

        Args:
            server_id: Id of the server.
            rest_s: Seconds for which this host is to send nothing, `MAX_REST_S` at
                most; None if the response asks for no rest, NaN if what it asks for
                can't be read.
            sent_at: Loop time in seconds at which the request was sent.
            now: Loop time in seconds.
            request_id: Id of the request, for the log.
            incarnation_ms: Start time of the server process to which it was sent, in
                Unix milliseconds; None if unknown.
        """
        extra = {"request_id": request_id}
        if rest_s is not None and (math.isnan(rest_s) or rest_s < 0):
            logger.warning(
                "server %s asks for a rest of %s s, expected a number of seconds; "
                "ignoring it",
                server_id,
                rest_s,
                extra=extra,
            )
            rest_s = None
        if rest_s:
            self._begin_rest(server_id, rest_s, now, incarnation_ms, extra)
        elif self._is_known(server_id) and self._schedule.record_response(
            server_id, sent_at
        ):
            del self._incarnations_by_server[server_id]
            logger.info("server %s answers again after its rest", server_id)

    def _begin_rest(
        self,
        server_id: str,
        rest_s: float,
        now: float,
        incarnation_ms: int | None,
        extra: dict[str, str],
    ) -> None:
        entry = self._find_server(server_id)
        if entry is None:
            return
        current_ms = entry.announcement.incarnation_ms
        if incarnation_ms not in (None, current_ms):
            return
        if rest_s > MAX_REST_S:
            logger.warning(
                "server %s asks for a rest of %g s; it gets %g s",
                server_id,
                rest_s,
                MAX_REST_S,
                extra=extra,
            )
        if not self._is_known(server_id):
            self._incarnations_by_server[server_id] = current_ms
        self._schedule.begin_rest(server_id, rest_s, now)
        self._metrics.increment("server_rests")
        logger.info(
            "server %s rejected a request and asks this host to send nothing for %.3f "
            "s; its requests go to other servers",
            server_id,
            min(rest_s, MAX_REST_S),
            extra=extra,
        )

    def remove_server(self, server_id: str) -> None:
        """Remove the rest of a server that was removed from the directory."""
        self._incarnations_by_server.pop(server_id, None)
        self._schedule.remove(server_id)

    def _is_known(self, server_id: str) -> bool:
        """Return whether the current incarnation of a server asked for a rest."""
        incarnation_ms = self._incarnations_by_server.get(server_id)
        if incarnation_ms is None:
            return False
        entry = self._find_server(server_id)
        if entry is None or entry.announcement.incarnation_ms != incarnation_ms:
            self.remove_server(server_id)
            return False
        return True
