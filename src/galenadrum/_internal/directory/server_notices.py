"""What backend servers say of themselves in their responses.

Every sender of requests passes the metadata of each response here, so that what a
server says is obeyed whichever request it answers.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from galenadrum._internal.directory.server_limits import ServerLimits
from galenadrum._internal.directory.server_rests import ServerRests
from galenadrum._internal.gateway.dialect import ResponseMetadata
from galenadrum._internal.models.announcements import LeavingServer

logger = logging.getLogger(__name__)

# A server whose load can't be read sends it with every response.
_INVALID_LOAD_LOG_INTERVAL_S = 60.0
_MAX_LOGGED_SERVERS = 1_000


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was sent to a backend server.

    Attributes:
        server_id: Id of the server.
        incarnation_ms: Start time of the server process to which it was sent, in Unix
            milliseconds; None if unknown.
        sent_at: Loop time in seconds.
        request_id: Id of the request, for the log; empty for a call of several.
    """

    server_id: str
    incarnation_ms: int | None
    sent_at: float
    request_id: str = ""


class ServerNotices:
    """Records limits, rests and departures that responses name.

    Args:
        limits: Limits that the servers name.
        rests: Rests that servers asked this host for.
        on_leaving: Called with the server and the id of the request for each response
            that says that its server is about to stop.
    """

    def __init__(
        self,
        limits: ServerLimits,
        rests: ServerRests,
        on_leaving: Callable[[LeavingServer, str], None],
    ) -> None:
        self._limits = limits
        self._rests = rests
        self._on_leaving = on_leaving
        self._logged_at_by_server: OrderedDict[str, float] = OrderedDict()

    def record_response(
        self, request: SentRequest, metadata: ResponseMetadata, now: float
    ) -> None:
        """Record what a response says of its server.

        Args:
            request: The request that is answered.
            metadata: Values in the head of the response.
            now: Loop time in seconds.
        """
        self._limits.record_response(
            request.server_id,
            metadata.limit_per_s,
            request.sent_at,
            now,
            metadata.max_rejections_per_s,
        )
        self._rests.record_response(
            request.server_id,
            metadata.rest_s,
            request.sent_at,
            now,
            request.request_id,
            request.incarnation_ms,
        )
        if metadata.is_leaving and request.incarnation_ms is not None:
            leaving = LeavingServer(request.server_id, request.incarnation_ms)
            self._on_leaving(leaving, request.request_id)
        if metadata.has_invalid_load:
            self._log_invalid_load(request, now)

    def _log_invalid_load(self, request: SentRequest, now: float) -> None:
        """Log an ignored load, once for a server and interval."""
        server_id = request.server_id
        logged_at = self._logged_at_by_server.get(server_id, -math.inf)
        if now - logged_at < _INVALID_LOAD_LOG_INTERVAL_S:
            return
        self._logged_at_by_server[server_id] = now
        self._logged_at_by_server.move_to_end(server_id)
        if len(self._logged_at_by_server) > _MAX_LOGGED_SERVERS:
            self._logged_at_by_server.popitem(last=False)
        logger.warning(
            "ignored the load in a response of server %s: expected three or four "
            "figures (running, waiting, slots, work time in percent)",
            server_id,
            extra={"request_id": request.request_id},
        )
