"""Limits that backend servers name in their responses, as one host knows them.

A limit holds for one incarnation of a server, as long as its responses name it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from galenadrum._internal.directory.cold_servers import ColdServers
from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.models.server_limits import ServerLimit
from galenadrum._internal.routing.server_room import BrittleServer

logger = logging.getLogger(__name__)


class ServerLimits:
    """Limits by server.

    Args:
        find_server: Returns the directory entry of a server id, None if unknown.
        on_changed: Called with each limit that this host heard and that differs from
            the one before.
        cold_servers: Limits on the requests to cold servers; None for no such limit.
    """

    def __init__(
        self,
        find_server: Callable[[str], ServerEntry | None],
        on_changed: Callable[[ServerLimit], None] = lambda limit: None,
        cold_servers: ColdServers | None = None,
    ) -> None:
        self._find_server = find_server
        self._on_changed = on_changed
        self._cold_servers = cold_servers
        self._limits_by_server: dict[str, ServerLimit] = {}

    def __len__(self) -> int:
        limits = self._limits_by_server.values()
        return sum(limit.is_limited for limit in limits)

    @property
    def has_limits(self) -> bool:
        """Whether the requests to any server may be limited."""
        cold_servers = self._cold_servers
        return len(self) > 0 or (cold_servers is not None and cold_servers.has_limits)

    def find_rate(self, server_id: str) -> float | None:
        """Return the requests per second that a server accepts, None if unlimited.

        This is the smaller of what it names and what it accepts while it is cold.
        """
        known = self._find_current(server_id)
        named_per_s = known.per_s if known is not None else None
        if self._cold_servers is None:
            return named_per_s
        cold_per_s = self._cold_servers.find_rate(server_id)
        if named_per_s is None or cold_per_s is None:
            return cold_per_s if named_per_s is None else named_per_s
        return min(named_per_s, cold_per_s)

    def is_limited(self, server_id: str) -> bool:
        """Return whether requests to a server need a permit.

        Those to a warm server whose service limits cold ones do as well, since it may
        have become cold.
        """
        known = self._find_current(server_id)
        if known is not None and known.is_limited:
            return True
        cold_servers = self._cold_servers
        return cold_servers is not None and (
            cold_servers.find_limit(server_id) is not None
        )

    def find_brittle(self, server_id: str) -> BrittleServer | None:
        """Return what is known of a server that is brittle, None if it isn't."""
        known = self._find_current(server_id)
        if known is None or known.max_rejections_per_s is None:
            return None
        announcement = self._find_server(server_id).announcement
        return BrittleServer(announcement.concurrency, known.max_rejections_per_s)

    def list_limits(self) -> list[ServerLimit]:
        """Return the limits of the servers' current incarnations."""
        current = map(self._find_current, list(self._limits_by_server))
        return [limit for limit in current if limit is not None]

    def record_response(
        self,
        server_id: str,
        per_s: float | None,
        sent_at: float,
        now: float,
        max_rejections_per_s: float | None = None,
    ) -> None:
        """Record the limits that a response names.

        Args:
            server_id: Id of the server.
            per_s: Requests per second, None if the response names no limit. This ends
                a limit only if the request was sent after the limit was last heard, as
                responses may overtake each other.
            sent_at: Loop time in seconds at which the request was sent.
            now: Loop time in seconds.
            max_rejections_per_s: Rejections in a second that a brittle server survives;
                None if it isn't brittle, which ends it in the same way.
        """
        known = self._find_current(server_id)
        if known is not None and sent_at <= known.heard_at:
            per_s = known.per_s if per_s is None else per_s
            if max_rejections_per_s is None:
                max_rejections_per_s = known.max_rejections_per_s
        named = (per_s, max_rejections_per_s)
        if named == (None, None) and (known is None or not known.is_limited):
            return
        if known is not None and named == (known.per_s, known.max_rejections_per_s):
            self._limits_by_server[server_id] = replace(known, heard_at=now)
            return
        entry = self._find_server(server_id)
        if entry is not None:
            incarnation_ms = entry.announcement.incarnation_ms
            limit = ServerLimit(
                server_id, incarnation_ms, per_s, now, max_rejections_per_s
            )
            self._store(limit, known)
            self._on_changed(limit)

    def merge(self, limit: ServerLimit) -> bool:
        """Merge a limit that another host has heard.

        Returns:
            False if it is of another incarnation, older than the known one, or equal.
        """
        entry = self._find_server(limit.server_id)
        if entry is None or entry.announcement.incarnation_ms != limit.incarnation_ms:
            return False
        known = self._find_current(limit.server_id)
        if known is not None and limit.heard_at <= known.heard_at:
            return False
        if known is None and not limit.is_limited:
            return False
        if known is not None and replace(limit, heard_at=known.heard_at) == known:
            return False
        self._store(limit, known)
        return True

    def remove_server(self, server_id: str) -> None:
        """Remove the limit of a server that was removed from the directory."""
        self._limits_by_server.pop(server_id, None)

    def _find_current(self, server_id: str) -> ServerLimit | None:
        known = self._limits_by_server.get(server_id)
        if known is None:
            return None
        entry = self._find_server(server_id)
        if entry is None or entry.announcement.incarnation_ms != known.incarnation_ms:
            del self._limits_by_server[server_id]
            return None
        return known

    def _store(self, limit: ServerLimit, known: ServerLimit | None) -> None:
        self._limits_by_server[limit.server_id] = limit
        logger.info(
            "server %s limits its requests from all hosts to %s per second (before: "
            "%s)",
            limit.server_id,
            limit.per_s,
            known.per_s if known else None,
        )
        before = known.max_rejections_per_s if known else None
        if limit.max_rejections_per_s != before:
            logger.info(
                "server %s falls over when it rejects more than %s requests per second "
                "(before: %s)",
                limit.server_id,
                limit.max_rejections_per_s,
                before,
            )
