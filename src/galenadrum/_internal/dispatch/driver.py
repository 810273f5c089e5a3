"""Runs the dispatchers of a host: their clock, their calls to servers.

A host dispatches for each zone that it is asked for; usually its own, others
while their hosts are lost.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.dispatch.messages import (
    CallFailure,
    PieceResult,
    Placement,
    PlacementNews,
    PlacementOutcome,
    PlacementRefusal,
    PlacementRequest,
    ResultsRelease,
    StageCall,
    StageProgress,
)
from galenadrum._internal.dispatch.zone_dispatcher import ZoneDispatcher
from galenadrum._internal.gateway.dialect import Dialect
from galenadrum._internal.models.routing import Service
from galenadrum._internal.network.http1.client import (
    BackendError,
    BrokenResponseError,
    ConnectError,
    ConnectionPool,
)
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)

_TICK_INTERVAL_S = 0.02
_CONNECT_TIMEOUT_S = 0.5
_RELEASE_TIMEOUT_S = 1.0

Reply = Callable[[PlacementNews], None]


class DispatchDriver:
    """Dispatchers by zone, with their calls.

    Args:
        servers: Returns all servers that are known, for a new dispatcher.
        services: Returns the services of the configuration in force.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        servers: Callable[[], list[ServerEntry]],
        services: Callable[[], Mapping[str, Service]],
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._servers = servers
        self._services = services
        self._metrics = metrics
        self._dispatchers_by_zone: dict[str, ZoneDispatcher] = {}
        self._replies_by_request: dict[str, tuple[ZoneDispatcher, Reply]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._active = asyncio.Event()

    @property
    def request_count(self) -> int:
        """Requests that were taken and have not ended."""
        return sum(d.request_count for d in self._dispatchers_by_zone.values())

    def put_server(self, entry: ServerEntry) -> None:
        """Take what is known of a server."""
        for dispatcher in self._dispatchers_by_zone.values():
            dispatcher.put_server(entry)
            self._carry_out(dispatcher)

    def configure(self, services_by_name: Mapping[str, Service]) -> None:
        """Use the services of a newer configuration."""
        for dispatcher in self._dispatchers_by_zone.values():
            dispatcher.configure(services_by_name)

    def submit(self, request: PlacementRequest, zone: str, reply: Reply) -> None:
        """Take a request; all news of it go to ``reply``.

        Args:
            request: The request, on this host's clock.
            zone: Whose servers are asked for; empty for all.
            reply: Called on the event loop.
        """
        dispatcher = self._dispatcher(zone)
        self._active.set()
        self._replies_by_request[request.request_id] = (dispatcher, reply)
        dispatcher.submit(request, self._loop.time())
        self._carry_out(dispatcher)

    def report(
        self, request_id: str, server_id: str, outcome: PlacementOutcome
    ) -> None:
        """Learn what became of a placement."""
        known = self._replies_by_request.get(request_id)
        if known is None:
            return
        dispatcher = known[0]
        dispatcher.report(request_id, server_id, outcome, self._loop.time())
        if outcome in (
            PlacementOutcome.FINISHED,
            PlacementOutcome.FAILED,
            PlacementOutcome.CANCELLED,
        ):
            del self._replies_by_request[request_id]
        self._carry_out(dispatcher)

    def abandon(self, request_ids: list[str]) -> None:
        """Drop requests whose host is out of reach."""
        for request_id in request_ids:
            known = self._replies_by_request.pop(request_id, None)
            if known is not None:
                known[0].abandon(request_id)
                self._carry_out(known[0])

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await self._active.wait()
            if all(d.is_idle for d in self._dispatchers_by_zone.values()):
                self._active.clear()
            await asyncio.sleep(_TICK_INTERVAL_S)
            now = self._loop.time()
            for dispatcher in self._dispatchers_by_zone.values():
                dispatcher.tick(now)
                self._carry_out(dispatcher)

    def _dispatcher(self, zone: str) -> ZoneDispatcher:
        dispatcher = self._dispatchers_by_zone.get(zone)
        if dispatcher is None:
            dispatcher = ZoneDispatcher(zone)
            dispatcher.configure(self._services())
            for entry in self._servers():
                dispatcher.put_server(entry)
            self._dispatchers_by_zone[zone] = dispatcher
            logger.info("dispatching for %s", zone or "all zones")
        return dispatcher

    def _carry_out(self, dispatcher: ZoneDispatcher) -> None:
        for action in dispatcher.collect():
            match action:
                case StageCall():
                    self._spawn(self._call(dispatcher, action))
                case ResultsRelease():
                    self._spawn(self._release(dispatcher, action))
                case Placement() | PlacementRefusal() | StageProgress():
                    self._tell(action)

    def _tell(self, news: PlacementNews) -> None:
        known = self._replies_by_request.get(news.request_id)
        if isinstance(news, PlacementRefusal):
            self._replies_by_request.pop(news.request_id, None)
            self._metrics.increment("placement_refusals", reason=news.reason)
        elif isinstance(news, Placement):
            self._metrics.increment("placements")
        if known is not None:
            known[1](news)

    def _spawn(self, coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, dispatcher: ZoneDispatcher, call: StageCall) -> None:
        service = call.server.service
        started_at = self._loop.time()
        outcome = await self._exchange_call(call)
        now = self._loop.time()
        self._log_call(call, outcome, now - started_at)
        if isinstance(outcome, CallFailure):
            dispatcher.stage_call_failed(service, call.call_id, outcome, now)
        else:
            dispatcher.stage_call_done(service, call.call_id, outcome, now)
        self._carry_out(dispatcher)

    def _log_call(
        self,
        call: StageCall,
        outcome: tuple[PieceResult, ...] | CallFailure,
        took_s: float,
    ) -> None:
        word = outcome.value if isinstance(outcome, CallFailure) else "done"
        self._metrics.increment(
            "stage_calls", service=call.server.service, outcome=word
        )
        self._metrics.record_duration("stage_call_seconds", took_s)
        level = logging.DEBUG if word == "done" else logging.INFO
        if not logger.isEnabledFor(level):
            return
        logger.log(
            level,
            "stage call %d to %s (%s): %s after %.3f s, pieces of %s",
            call.call_id,
            call.server.server_id,
            call.server.service,
            word,
            took_s,
            ",".join(sorted({piece.request_id for piece in call.pieces})),
        )

    async def _exchange_call(
        self, call: StageCall
    ) -> tuple[PieceResult, ...] | CallFailure:
        address = call.server.address
        try:
            connection = await self._pool.get(address, _CONNECT_TIMEOUT_S)
        except ConnectError as error:
            logger.debug("stage call %d: %s", call.call_id, error)
            return CallFailure.UNREACHABLE
        try:
            connection.send(self._dialect.stage_request(call))
            async with asyncio.timeout(call.timeout_s):
                head = await connection.read_head()
                body = await connection.read_body()
        except TimeoutError:
            connection.close()
            return CallFailure.TIMED_OUT
        except BrokenResponseError as error:
            logger.debug("stage call %d: %s", call.call_id, error)
            connection.close()
            return CallFailure.BROKEN
        self._pool.put(connection)
        return self._dialect.stage_results(head, body, call)

    async def _release(
        self, dispatcher: ZoneDispatcher, release: ResultsRelease
    ) -> None:
        await self._exchange_release(release)
        dispatcher.release_done(release.handles, self._loop.time())
        self._carry_out(dispatcher)

    async def _exchange_release(self, release: ResultsRelease) -> None:
        """Give results up; the server forgets them by itself if this fails."""
        try:
            connection = await self._pool.get(release.address, _CONNECT_TIMEOUT_S)
        except ConnectError as error:
            logger.debug("results stay until they expire: %s", error)
            return
        try:
            connection.send(self._dialect.release_request(release))
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                await connection.read_head()
                await connection.read_body()
        except (BackendError, TimeoutError) as error:
            logger.debug("results stay until they expire: %r", error)
            connection.close()
            return
        self._pool.put(connection)
