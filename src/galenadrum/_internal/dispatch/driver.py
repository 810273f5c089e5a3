"""I/O driver of a host's zone dispatchers: clock ticks and calls to servers.

A host runs a dispatcher for each zone that requests name. That is usually its own
zone, and other zones while their hosts are unavailable.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Mapping

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.directory.server_notices import SentRequest, ServerNotices
from galenadrum._internal.directory.server_rests import ServerRests
from galenadrum._internal.dispatch.explanation import (
    PlacementExplanation,
    explain_placement,
)
from galenadrum._internal.dispatch.held_prompts import HeldPrompt, HeldPrompts
from galenadrum._internal.dispatch.messages import (
    CallFailure,
    PieceResult,
    Placement,
    PlacementOutcome,
    PlacementRefusal,
    PlacementRequest,
    PlacementUpdate,
    ResultsRelease,
    StageCall,
    StageProgress,
)
from galenadrum._internal.dispatch.prompt_screening import PromptScreening
from galenadrum._internal.dispatch.repeated_answers import RepeatedAnswers
from galenadrum._internal.dispatch.zone_dispatcher import ZoneDispatcher
from galenadrum._internal.gateway.crash_detector import CrashDetector
from galenadrum._internal.gateway.dialect import Dialect
from galenadrum._internal.models.quarantine import ServerCrash
from galenadrum._internal.models.routing import Service
from galenadrum._internal.models.server_load import ServerLoad
from galenadrum._internal.network.http1.client import (
    BackendConnection,
    BackendError,
    BrokenResponseError,
    ConnectError,
    ConnectionPool,
)
from galenadrum._internal.network.http1.heads import ResponseHead
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.streams.version_resolver import VersionResolver

logger = logging.getLogger(__name__)

_TICK_INTERVAL_S = 0.02
_CONNECT_TIMEOUT_S = 0.5
_RELEASE_TIMEOUT_S = 1.0
# Hosts that reconnect hand over what they know of streams within this time.
_UNKNOWN_VERSION_RETRY_AFTER_S = 0.5

Reply = Callable[[PlacementUpdate], None]


class DispatchDriver:
    """Runs one dispatcher per zone and executes the actions they request.

    Args:
        dialect: Encoder and decoder of stage requests and responses.
        pool: Connections to the backend servers.
        servers: Callable that returns all known servers, for a new dispatcher.
        find_by_address: Returns the entry of the server that uses an address; None if
            unknown.
        services: Callable that returns the services of the active configuration.
        metrics: Counters and durations of calls and placements.
        quarantine: Prompt parts whose requests are refused.
        rests: Rests that servers asked this host for.
        notices: Records what responses say of their servers.
        pacer: Spaces the requests to servers that name a limit.
        versions: Finds the versions at which taken-up streams must go on.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        servers: Callable[[], list[ServerEntry]],
        find_by_address: Callable[[str], ServerEntry | None],
        services: Callable[[], Mapping[str, Service]],
        metrics: Metrics,
        quarantine: PartQuarantine,
        rests: ServerRests,
        notices: ServerNotices,
        pacer: RequestPacer,
        versions: VersionResolver,
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._servers = servers
        self._find_by_address = find_by_address
        self._services = services
        self._metrics = metrics
        self._rests = rests
        self._notices = notices
        self._pacer = pacer
        self._versions = versions
        self._answers = RepeatedAnswers()
        self.held_prompts = HeldPrompts()
        self._screening = PromptScreening(quarantine)
        self._crashes = CrashDetector(
            pool, self._find_server, self.record_crash, metrics
        )
        self._dispatchers_by_zone: dict[str, ZoneDispatcher] = {}
        self._replies_by_request: dict[str, tuple[ZoneDispatcher, Reply]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._active = asyncio.Event()

    @property
    def request_count(self) -> int:
        """Number of admitted requests that have not ended."""
        return sum(d.request_count for d in self._dispatchers_by_zone.values())

    def record_held_prompt(self, held: HeldPrompt) -> None:
        """Record what an engine has read for another host's dispatcher."""
        self.held_prompts.record(held)
        for dispatcher in self._dispatchers_by_zone.values():
            dispatcher.record_held_prompt(held, self._loop.time())

    def put_server(self, entry: ServerEntry) -> None:
        """Add or update a server in every dispatcher."""
        if not entry.accepts_requests:
            self.held_prompts.remove_server(entry.server_id)
        for dispatcher in self._dispatchers_by_zone.values():
            dispatcher.put_server(entry)
            self._execute_actions(dispatcher)

    def configure(self, services_by_name: Mapping[str, Service]) -> None:
        """Apply the services of a newer configuration to every dispatcher."""
        for dispatcher in self._dispatchers_by_zone.values():
            dispatcher.configure(services_by_name)

    def submit(self, request: PlacementRequest, zone: str, reply: Reply) -> None:
        """Submit a request to the dispatcher of a zone.

        A request that is submitted once more, as its host took the first link for
        lost, replaces the first submission.

        Args:
            request: The request, with times on this host's clock.
            zone: Zone whose servers the dispatcher owns; empty for all zones.
            reply: Callback for the request's progress, placement or refusal;
                called on the event loop.
        """
        resolved = self._versions.resolve(request)
        if resolved is None:
            reason = "unknown_version"
            self._metrics.increment("placement_refusals", reason=reason)
            reply(
                PlacementRefusal(
                    request.request_id, reason, _UNKNOWN_VERSION_RETRY_AFTER_S
                )
            )
            return
        request = resolved
        self.abandon([request.request_id])
        dispatcher = self._get_or_create_dispatcher(zone)
        self._active.set()
        self._replies_by_request[request.request_id] = (dispatcher, reply)
        dispatcher.submit(request, self._loop.time())
        self._execute_actions(dispatcher)

    def report(
        self,
        request_id: str,
        server_id: str,
        outcome: PlacementOutcome,
        rest_s: float = 0.0,
        load: ServerLoad | None = None,
    ) -> None:
        """Record the outcome of a placement.

        Args:
            request_id: Id of the request.
            server_id: Server at which it was placed.
            outcome: Outcome of the placement.
            rest_s: Seconds for which the server asked the request's host for a rest.
            load: Load that the server reports; None if it reports none.
        """
        registered = self._replies_by_request.get(request_id)
        if registered is None:
            return
        dispatcher = registered[0]
        now = self._loop.time()
        dispatcher.report(request_id, server_id, outcome, now, rest_s, load)
        if outcome in (
            PlacementOutcome.FINISHED,
            PlacementOutcome.FAILED,
            PlacementOutcome.CANCELLED,
        ):
            del self._replies_by_request[request_id]
        self._execute_actions(dispatcher)

    def record_crash(self, crash: ServerCrash) -> ServerCrash:
        """Record a crashed server; quarantine the part that caused it, if certain.

        Returns:
            The crash as evidence for other control hosts, one of which may become the
            dispatcher.
        """
        now = self._loop.time()
        dispatchers = self._dispatchers_by_zone.values()
        for dispatcher in dispatchers:
            dispatcher.record_crash(crash.server_id, now)
        runs = itertools.chain.from_iterable(d.list_runs() for d in dispatchers)
        record = self._screening.record_crash(crash, runs, now)
        self._metrics.increment("server_crashes")
        if record is not None:
            self._metrics.increment(
                "quarantines", part=record.part_id, term=str(record.term)
            )
        return self._screening.remove_known_good(crash)

    def add_crash_evidence(self, crash: ServerCrash) -> None:
        """Record a crashed server that another control host reports."""
        self._screening.add_evidence(crash, self._loop.time())

    def abandon(self, request_ids: list[str]) -> None:
        """Drop requests whose host is unreachable."""
        for request_id in request_ids:
            registered = self._replies_by_request.pop(request_id, None)
            if registered is not None:
                registered[0].abandon(request_id, self._loop.time())
                self._execute_actions(registered[0])

    async def run(self) -> None:
        """Tick the dispatchers until cancelled; sleep while all are idle."""
        while True:
            await self._active.wait()
            if all(d.is_idle for d in self._dispatchers_by_zone.values()):
                self._active.clear()
            await asyncio.sleep(_TICK_INTERVAL_S)
            now = self._loop.time()
            for dispatcher in self._dispatchers_by_zone.values():
                dispatcher.tick(now)
                self._execute_actions(dispatcher)

    def explain(self, request: PlacementRequest, zone: str) -> PlacementExplanation:
        """Return what would become of a new request now; change nothing.

        Args:
            request: The request, with times on this host's clock.
            zone: Zone whose servers the dispatcher owns; empty for all zones.
        """
        dispatcher = self._dispatchers_by_zone.get(zone)
        if dispatcher is None:
            dispatcher = self._build_dispatcher(zone)
        return explain_placement(dispatcher, request, self._loop.time())

    def _get_or_create_dispatcher(self, zone: str) -> ZoneDispatcher:
        dispatcher = self._dispatchers_by_zone.get(zone)
        if dispatcher is None:
            dispatcher = self._build_dispatcher(zone)
            self._dispatchers_by_zone[zone] = dispatcher
            logger.info("started a dispatcher for %s", zone or "all zones")
        return dispatcher

    def _build_dispatcher(self, zone: str) -> ZoneDispatcher:
        dispatcher = ZoneDispatcher(zone, self._screening, self._pacer, self._rests)
        dispatcher.configure(self._services())
        for entry in self._servers():
            dispatcher.put_server(entry)
        for held in self.held_prompts.list_prompts():
            dispatcher.record_held_prompt(held, self._loop.time())
        return dispatcher

    def _execute_actions(self, dispatcher: ZoneDispatcher) -> None:
        for action in dispatcher.collect_actions():
            match action:
                case StageCall():
                    self._start_task(self._run_call(dispatcher, action))
                case ResultsRelease():
                    self._start_task(self._run_release(dispatcher, action))
                case Placement() | PlacementRefusal() | StageProgress():
                    self._deliver(action)
                case HeldPrompt():
                    self._record_observed(dispatcher, action)

    def _record_observed(self, observer: ZoneDispatcher, held: HeldPrompt) -> None:
        """Remember what an engine holds, and tell this host's other dispatchers."""
        self.held_prompts.record_observed(held, self._loop.time())
        for dispatcher in self._dispatchers_by_zone.values():
            if dispatcher is not observer:
                dispatcher.record_held_prompt(held, self._loop.time())

    def _deliver(self, update: PlacementUpdate) -> None:
        registered = self._replies_by_request.get(update.request_id)
        if isinstance(update, PlacementRefusal):
            self._replies_by_request.pop(update.request_id, None)
            self._metrics.increment("placement_refusals", reason=update.reason)
        elif isinstance(update, Placement):
            self._metrics.increment("placements")
        if registered is not None:
            registered[1](update)

    def _start_task(self, coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_call(self, dispatcher: ZoneDispatcher, call: StageCall) -> None:
        service = call.server.service
        started_at = self._loop.time()
        outcome = await self._send_call(dispatcher, call)
        now = self._loop.time()
        self._record_call(call, outcome, now - started_at)
        if outcome is CallFailure.BROKEN:
            self._record_broken_call(dispatcher, call)
        if isinstance(outcome, CallFailure):
            dispatcher.fail_stage_call(service, call.call_id, outcome, now)
        else:
            dispatcher.complete_stage_call(service, call.call_id, outcome, now)
        self._execute_actions(dispatcher)

    def _record_broken_call(self, dispatcher: ZoneDispatcher, call: StageCall) -> None:
        """Check the server of a call; all requests with pieces in it are suspected."""
        for request_id in {piece.request_id for piece in call.pieces}:
            digest = dispatcher.find_digest(request_id)
            if digest:
                self._crashes.record_break(call.server.server_id, (digest,))

    def _find_server(self, server_id: str) -> ServerEntry | None:
        for entry in self._servers():
            if entry.server_id == server_id:
                return entry
        return None

    def _record_call(
        self,
        call: StageCall,
        outcome: tuple[PieceResult, ...] | CallFailure,
        duration_s: float,
    ) -> None:
        outcome_label = outcome.value if isinstance(outcome, CallFailure) else "done"
        self._metrics.increment(
            "stage_calls", service=call.server.service, outcome=outcome_label
        )
        self._metrics.record_duration("stage_call_seconds", duration_s)
        level = logging.DEBUG if outcome_label == "done" else logging.INFO
        if not logger.isEnabledFor(level):
            return
        logger.log(
            level,
            "stage call %d to %s (service %s) ended: %s after %.3f s, requests %s",
            call.call_id,
            call.server.server_id,
            call.server.service,
            outcome_label,
            duration_s,
            ",".join(sorted({piece.request_id for piece in call.pieces})),
        )

    async def _send_call(
        self, dispatcher: ZoneDispatcher, call: StageCall
    ) -> tuple[PieceResult, ...] | CallFailure:
        address = call.server.address
        try:
            connection = await self._pool.get(address, _CONNECT_TIMEOUT_S)
        except ConnectError as error:
            logger.debug("stage call %d could not connect: %s", call.call_id, error)
            return CallFailure.UNREACHABLE
        # Callers may have left while the connection was made.
        call = dispatcher.remove_unwanted_pieces(call)
        if call is None:
            self._pool.put_unused(connection)
            return CallFailure.UNWANTED
        sent_at = self._loop.time()
        if not self._may_send(call.server.server_id, "stage_call", connection):
            return CallFailure.FULL
        try:
            connection.send(self._dialect.stage_request(call))
            async with asyncio.timeout(call.timeout_s):
                head, body = await self._read_answer(connection)
        except TimeoutError:
            connection.close()
            return CallFailure.TIMED_OUT
        except BrokenResponseError as error:
            logger.debug(
                "stage call %d failed with a broken response: %s", call.call_id, error
            )
            connection.close()
            return CallFailure.BROKEN
        results = self._dialect.stage_results(head, body, call)
        if self._answers.may_reuse(connection, head, body, results):
            self._pool.put(connection)
        else:
            connection.close()
        metadata = self._dialect.parse_response_head(head)
        sent = SentRequest(call.server.server_id, call.server.incarnation_ms, sent_at)
        self._notices.record_response(sent, metadata, self._loop.time())
        return results

    def _may_send(
        self, server_id: str, sender: str, connection: BackendConnection
    ) -> bool:
        """Return whether a server's zone isn't evacuated and it has asked for no rest.

        Dispatchers don't know the ids of servers that accept no requests any more, so
        that the address of the connection tells which server it is.
        """
        entry = self._find_by_address(connection.address)
        if entry is not None and entry.is_evacuated:
            zone = entry.announcement.zone
            logger.info("%s not sent: zone %s is evacuated", sender, zone)
        elif self._rests.is_resting(server_id, self._loop.time()):
            self._metrics.increment("requests_held_back_for_rests", sender=sender)
        else:
            return True
        self._pool.put_unused(connection)
        return False

    async def _read_answer(
        self, connection: BackendConnection, is_release: bool = False
    ) -> tuple[ResponseHead, bytes]:
        """Read the next answer of a stage server that isn't a copy of an earlier one.

        Args:
            connection: Connection of the answer.
            is_release: Whether results were released; otherwise pieces were called.

        Raises:
            BrokenResponseError: As for `BackendConnection.read_body`.
        """
        while True:
            head = await connection.read_head()
            body = await connection.read_body()
            if not self._answers.is_repeated(connection, head, body, is_release):
                return head, body
            logger.warning(
                "discarded a repeated answer of %s (%s)",
                connection.address,
                connection.use,
            )
            connection.discard_response()

    async def _run_release(
        self, dispatcher: ZoneDispatcher, release: ResultsRelease
    ) -> None:
        await self._send_release(release)
        dispatcher.confirm_release(release.handles, self._loop.time())
        self._execute_actions(dispatcher)

    async def _send_release(self, release: ResultsRelease) -> None:
        """Ask a server to release results; if this fails, they expire there."""
        try:
            connection = await self._pool.get(release.address, _CONNECT_TIMEOUT_S)
        except ConnectError as error:
            logger.debug("release failed, results remain until expiry: %s", error)
            return
        sent_at = self._loop.time()
        if not self._may_send(release.server_id, "release", connection):
            return
        try:
            connection.send(self._dialect.release_request(release))
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                head, body = await self._read_answer(connection, is_release=True)
        except (BackendError, TimeoutError) as error:
            logger.debug("release failed, results remain until expiry: %r", error)
            connection.close()
            return
        if self._answers.record_release(connection, head, body):
            self._pool.put(connection)
        else:
            connection.close()
        metadata = self._dialect.parse_response_head(head)
        sent = SentRequest(release.server_id, release.incarnation_ms, sent_at)
        self._notices.record_response(sent, metadata, self._loop.time())
