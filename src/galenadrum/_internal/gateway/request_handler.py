"""Checks callers' requests and passes them to a forwarder."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from dataclasses import dataclass

from galenadrum._internal.configuration.route_table import RouteTable, choose_service
from galenadrum._internal.gateway.attempts import RequestContext
from galenadrum._internal.gateway.dialect import Dialect, RequestMetadata
from galenadrum._internal.gateway.error_responder import ErrorResponder
from galenadrum._internal.gateway.first_request_estimator import FirstRequestEstimator
from galenadrum._internal.gateway.forwarding import send_failure
from galenadrum._internal.gateway.lease import ConfigurationLease
from galenadrum._internal.gateway.plain_forwarder import PlainForwarder
from galenadrum._internal.gateway.planned_stop import PlannedStop
from galenadrum._internal.gateway.request_lifetime import RequestLifetime
from galenadrum._internal.gateway.stream_forwarder import StreamForwarder
from galenadrum._internal.models.routing import OrganisationKeys, Route, RouteKind
from galenadrum._internal.network.http1.server import (
    CallerDisconnectedError,
    Exchange,
)
from galenadrum._internal.observability.events import (
    build_request_event,
    classify_outcome,
)
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine
from galenadrum._internal.quarantine.request_digest import digest_request

logger = logging.getLogger(__name__)

_RETRY_AFTER_NO_CONFIGURATION_S = 0.5
_RETRY_AFTER_NO_LEASE_S = 1.0
_RETRY_AFTER_OVERDUE_S = 0.5
# Another host takes the request at once.
_RETRY_AFTER_STOPPING_S = 0.05
_MAX_PIECES = 10_000


@dataclass(slots=True)
class ActiveRouteTable:
    """Holder of the route table that requests are served from.

    Attributes:
        table: Table of the applied configuration, replaced as a whole; None before
            the first configuration.
    """

    table: RouteTable | None = None


class RequestHandler:
    """Handles the exchanges of the server that callers connect to.

    Args:
        dialect: Decoder of the requests.
        in_force: Table of the routes that are served.
        lease: Tells whether this host knows the newest configuration.
        plain: Forwards requests to plain servers.
        streams: Forwards requests to model engines.
        answers: Sends responses that this host generates itself.
        quarantine: Requests that are refused.
        rng: Source of randomness for the choice of services.
        zone: Availability zone of this host.
    """

    def __init__(
        self,
        dialect: Dialect,
        in_force: ActiveRouteTable,
        lease: ConfigurationLease,
        plain: PlainForwarder,
        streams: StreamForwarder,
        answers: ErrorResponder,
        quarantine: PartQuarantine,
        rng: random.Random,
        zone: str = "",
    ) -> None:
        self._dialect = dialect
        self._zone = zone
        self._in_force = in_force
        self._lease = lease
        self._plain_forwarder = plain
        self._stream_forwarder = streams
        self._answers = answers
        self._quarantine = quarantine
        self._rng = rng
        self._first_request_estimator = FirstRequestEstimator()
        self._stop = PlannedStop()
        self._loop = asyncio.get_running_loop()

    def begin_stop(self, late_from: float, stops_at: float) -> None:
        """End all requests before the process stops.

        Args:
            late_from: Loop time in seconds from which load balancers send no requests.
            stops_at: Loop time in seconds at which all requests end.
        """
        self._stop.begin(late_from, stops_at)

    async def handle(self, exchange: Exchange) -> None:
        """Check one request and forward it, or respond with an error."""
        metadata = self._dialect.parse_request_head(exchange.head)
        context = self._check_request(exchange, metadata)
        if context is None:
            self._log_end(exchange, metadata, None)
            return
        try:
            await self._forward(exchange, context)
        except (asyncio.CancelledError, CallerDisconnectedError):
            if not exchange.is_caller_disconnected:
                raise
            logger.info(
                "caller closed the connection after %.3f s; request cancelled",
                self._loop.time() - context.received_at,
                extra={"request_id": metadata.request_id},
            )
        finally:
            self._log_end(exchange, metadata, context)

    async def _forward(self, exchange: Exchange, context: RequestContext) -> None:
        """Forward a request; give it its final answer if its time runs out first."""
        began_at = self._loop.time()
        lifetime = RequestLifetime(exchange, context)
        lifetime.check_caller()
        self._stop.add(lifetime)
        forwarder = self._plain_forwarder
        if context.route.kind is RouteKind.STREAM:
            forwarder = self._stream_forwarder
        try:
            async with lifetime.limit() as limit:
                await forwarder.forward(exchange, context, lifetime)
        except TimeoutError:
            if not limit.expired():
                raise
            self._end_overdue_request(exchange, context, lifetime)
        finally:
            self._stop.remove(lifetime)
        if exchange.is_complete and not exchange.own_reason:
            duration_s = self._loop.time() - began_at
            self._stop.record_duration(context.route.name, duration_s)

    def _end_overdue_request(
        self, exchange: Exchange, context: RequestContext, lifetime: RequestLifetime
    ) -> None:
        logger.warning(
            "request of route %s still waited %.3f s after it was received; ended",
            context.route.name,
            self._loop.time() - context.received_at,
            extra={"request_id": context.metadata.request_id},
        )
        send_failure(
            self._answers,
            exchange,
            context,
            lifetime.attempts,
            "stopping" if self._loop.time() >= self._stop.stops_at else "deadline",
            _RETRY_AFTER_OVERDUE_S,
            self._loop.time(),
        )

    def _log_end(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        context: RequestContext | None,
    ) -> None:
        """Log the outcome of a request as an event.

        Args:
            exchange: The request and its response.
            metadata: Values in the head of the request.
            context: The request; None if it didn't pass the checks.
        """
        due_at = math.inf
        if context is not None:
            due_at = context.first_requested_at + context.route.objective_s
        outcome = classify_outcome(
            exchange.status,
            exchange.is_complete,
            exchange.is_caller_disconnected,
            (exchange.began_at or 0.0) <= due_at,
        )
        elapsed_s = self._loop.time() - exchange.received_at
        route = context.route.name if context is not None else ""
        logger.info(
            "request of route %s ended: %s",
            route or "none",
            outcome.value,
            extra={
                "request_id": metadata.request_id,
                "event": build_request_event(
                    route,
                    self._zone,
                    outcome,
                    exchange.status,
                    elapsed_s,
                    exchange.own_reason,
                ),
            },
        )

    def _check_request(
        self, exchange: Exchange, metadata: RequestMetadata
    ) -> RequestContext | None:
        table = self._in_force.table
        if table is None:
            self._answers.refuse_request(
                exchange, metadata, "no_configuration", _RETRY_AFTER_NO_CONFIGURATION_S
            )
            return None
        host = (exchange.head.get(b"host") or b"").decode("latin-1")
        route = table.find_route(host, exchange.head.path)
        if route is None:
            self._answers.deny_request(exchange, metadata, 404, "no route matches")
            return None
        organisation = None
        if table.configuration.requires_key and not route.is_public:
            organisation = self._find_organisation(exchange, metadata, table)
            if organisation is None:
                return None
        if max(metadata.pieces, default=0) > _MAX_PIECES:
            self._answers.deny_request(
                exchange, metadata, 400, f"a stage has more than {_MAX_PIECES} pieces"
            )
            return None
        context = self._build_context(exchange, metadata, route, organisation)
        if self._refuse_if_quarantined(exchange, context):
            return None
        if self._stop.is_too_late(route.name, self._loop.time()):
            self._answers.refuse_request(
                exchange, metadata, "stopping", _RETRY_AFTER_STOPPING_S
            )
            return None
        return context

    def _refuse_if_quarantined(
        self, exchange: Exchange, context: RequestContext
    ) -> bool:
        now = self._loop.time()
        record = self._quarantine.find_in_force(context.suspect_ids, now)
        if record is None:
            return False
        self._answers.refuse_request(
            exchange,
            context.metadata,
            "quarantined",
            self._quarantine.retry_after_s(record, now),
            f"part={record.part_id}",
        )
        return True

    def _find_organisation(
        self, exchange: Exchange, metadata: RequestMetadata, table: RouteTable
    ) -> OrganisationKeys | None:
        now = self._loop.time()
        if not self._lease.is_valid(now):
            self._answers.refuse_request(
                exchange,
                metadata,
                "no_lease",
                _RETRY_AFTER_NO_LEASE_S,
                f"version={self._lease.version} age={self._lease.age_s(now):.3f}",
            )
            return None
        organisation = table.find_organisation(metadata.key) if metadata.key else None
        if organisation is None:
            self._answers.deny_request(exchange, metadata, 401, "the key is not known")
        return organisation

    def _build_context(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        route: Route,
        organisation: OrganisationKeys | None,
    ) -> RequestContext:
        limit_s = route.timeout_s
        first_requested_at = exchange.received_at
        if metadata.deadline_s is not None:
            limit_s = min(limit_s, metadata.deadline_s)
            first_requested_at -= self._first_request_estimator.estimate_elapsed_s(
                route.name, metadata.deadline_s
            )
        return RequestContext(
            head=exchange.head,
            body=exchange.body,
            digest=_digest(exchange, metadata, organisation),
            metadata=metadata,
            route=route,
            organisation=organisation,
            service=choose_service(route, self._rng),
            received_at=exchange.received_at,
            first_requested_at=first_requested_at,
            deadline_at=exchange.received_at + limit_s,
        )


def _digest(
    exchange: Exchange,
    metadata: RequestMetadata,
    organisation: OrganisationKeys | None,
) -> str:
    head = exchange.head
    caller = organisation.name.encode() if organisation is not None else b""
    return digest_request(
        (head.method, head.get(b"host") or b"", head.target, caller),
        (part.part_id for part in metadata.prompt),
        exchange.body,
    )
