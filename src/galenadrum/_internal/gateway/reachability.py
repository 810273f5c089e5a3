"""Backend servers that this host itself can't reach."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Failure:
    """A server to which new connections fail.

    Attributes:
        since: Loop time in seconds of the first failure.
        reason: Why the last connection failed.
    """

    since: float
    reason: str


class Reachability:
    """Tracks to which servers this host's new connections fail.

    Args:
        metrics: Shows the number of unreachable servers.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._failures_by_server: dict[str, _Failure] = {}
        self._loop = asyncio.get_running_loop()
        metrics.register_gauge(
            "unreachable_servers", lambda: len(self._failures_by_server)
        )

    def record_failure(self, server_id: str, reason: str) -> None:
        """Record that a new connection to a server failed."""
        known = self._failures_by_server.get(server_id)
        if known is not None:
            known.reason = reason
            return
        self._failures_by_server[server_id] = _Failure(self._loop.time(), reason)
        logger.warning(
            "server %s can't be reached from this host: %s; unreachable now: %s",
            server_id,
            reason,
            ",".join(sorted(self._failures_by_server)),
        )

    def record_success(self, server_id: str) -> None:
        """Record that a new connection to a server was established."""
        known = self._failures_by_server.pop(server_id, None)
        if known is not None:
            logger.info(
                "server %s can be reached from this host again after %.3f s",
                server_id,
                self._loop.time() - known.since,
            )

    def is_failing(self, server_id: str) -> bool:
        """Return whether the last new connection to a server failed."""
        return server_id in self._failures_by_server

    def remove_server(self, server_id: str) -> None:
        """Forget a server that left."""
        self._failures_by_server.pop(server_id, None)
