"""Finds the software version at which a taken-up stream must go on.

What isn't known isn't guessed: a server that is announced as the only one may have
replaced the one that began the stream.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.dispatch.messages import PlacementRequest
from galenadrum._internal.models.stream_bindings import StreamBinding
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.streams.binding_table import BindingTable
from galenadrum._internal.streams.version_history import VersionHistory

logger = logging.getLogger(__name__)


class VersionResolver:
    """Resolves taken-up streams from the bindings and versions that one host knows.

    Args:
        table: Bindings that this host knows.
        history: Versions of the servers that this host knows.
        metrics: Counts the resolved streams by evidence.
        is_in_contact: Returns whether this host hears of each server that announces
            itself to another host.
    """

    def __init__(
        self,
        table: BindingTable,
        history: VersionHistory,
        metrics: Metrics,
        is_in_contact: Callable[[], bool] = lambda: True,
    ) -> None:
        self.table = table
        self.history = history
        self._metrics = metrics
        self._is_in_contact = is_in_contact
        self._loop = asyncio.get_running_loop()
        metrics.register_gauge("stream_bindings", lambda: len(table))

    def record_entry(self, entry: ServerEntry) -> list[StreamBinding]:
        """Record the software version of a server.

        Returns:
            Bindings that became ambiguous, as the server restarted at another version.
        """
        now = self._loop.time()
        if not self.history.record_entry(entry, now):
            return []
        doubtful = self.table.distrust_server(entry.server_id, now)
        logger.warning(
            "server %s restarted at version %s; %d streams that it began just before "
            "can't be taken up",
            entry.server_id,
            entry.announcement.software_version or "unknown",
            len(doubtful),
        )
        return doubtful

    def resolve(self, request: PlacementRequest) -> PlacementRequest | None:
        """Return a request that may only be placed at the version that began it.

        Returns:
            The request itself if it begins a stream or is resolved already; None if
            the version isn't known.
        """
        stream = request.taken_up
        if stream is None or request.software_version is not None:
            return request
        now = self._loop.time()
        binding = self.table.find(stream.organisation, stream.request_id, now)
        if binding is not None:
            return self._apply_binding(request, binding, now)
        version = None
        if len(request.route.backends) == 1 and self._is_in_contact():
            version = self.history.find_only_version(request.service, now)
        if version is None:
            self._record(request, "unknown", "no binding, and no only version")
            return None
        self._record(request, "only_version", f"version {version or 'unknown'}")
        return replace(request, software_version=version)

    def _apply_binding(
        self, request: PlacementRequest, binding: StreamBinding, now: float
    ) -> PlacementRequest | None:
        services = {backend.service for backend in request.route.backends}
        detail = (
            f"version {binding.software_version or 'unknown'} of service "
            f"{binding.service}, begun by server {binding.server_id} "
            f"{now - binding.bound_at:.3f} s ago"
        )
        if binding.is_ambiguous:
            self._record(request, "ambiguous", detail)
            return None
        if binding.service not in services:
            self._record(request, "other_route", detail)
            return None
        self._record(request, "binding", detail)
        return replace(
            request,
            service=binding.service,
            software_version=binding.software_version,
        )

    def _record(self, request: PlacementRequest, evidence: str, detail: str) -> None:
        self._metrics.increment("stream_take_ups", evidence=evidence)
        logger.info(
            "stream of request %s is taken up: %s (%s)",
            request.taken_up.request_id or "unknown",
            evidence,
            detail,
            extra={"request_id": request.request_id},
        )
