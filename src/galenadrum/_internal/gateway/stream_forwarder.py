"""Forwards requests to model engines and streams their events to callers.

A stream that breaks is resumed on another engine if its route allows it; otherwise the
response to the caller is aborted, so that it can't be mistaken for a complete one.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field, replace
from enum import Enum

from galenadrum._internal.directory.server_notices import SentRequest, ServerNotices
from galenadrum._internal.directory.server_rests import ServerRests
from galenadrum._internal.dispatch.messages import (
    Placement,
    PlacementOutcome,
    PlacementRefusal,
    PlacementRequest,
)
from galenadrum._internal.gateway.attempts import Attempts, RequestContext
from galenadrum._internal.gateway.binding_recorder import BindingRecorder
from galenadrum._internal.gateway.crash_detector import CrashDetector
from galenadrum._internal.gateway.dialect import (
    Dialect,
    ForwardingFields,
    ResponseMetadata,
)
from galenadrum._internal.gateway.error_responder import ErrorResponder
from galenadrum._internal.gateway.event_stream import MAX_EVENT_BYTES, EventSplitter
from galenadrum._internal.gateway.forwarding import (
    MIN_SEND_TIME_S,
    check_signature,
    connect,
    forwarded_headers,
    limit_wait,
    read_response_head,
    send_failure,
)
from galenadrum._internal.gateway.placement_client import PlacementClient
from galenadrum._internal.gateway.request_lifetime import RequestLifetime
from galenadrum._internal.gateway.retry_budgets import RetryBudgets
from galenadrum._internal.gateway.server_paths import PathAttempts, ServerPaths
from galenadrum._internal.models.routing import Route
from galenadrum._internal.models.stream_bindings import StreamBinding, TakenUpStream
from galenadrum._internal.network.http1.client import (
    BackendConnection,
    BrokenResponseError,
    ConnectError,
    Framing,
)
from galenadrum._internal.network.http1.heads import (
    ResponseHead,
    encode_request,
)
from galenadrum._internal.network.http1.server import Exchange
from galenadrum._internal.network.relayed_connection import NotForwardedError
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.quarantine.attribution import MIN_SURVIVAL_S
from galenadrum._internal.quarantine.request_digest import describe_suspect
from galenadrum._internal.streams.binding_table import MAX_BINDING_AGE_S

logger = logging.getLogger(__name__)

_EVENT_STREAM_TYPE = b"text/event-stream"
_RETRY_AFTER_S = 0.5
# Callers abandon a stream after the longest of these times without an event: a minimum,
# a multiple of the route's objective and a multiple of its event gap objective.
_MIN_CALLER_TIMEOUT_S = 2.0
_OBJECTIVE_TIMEOUT_FACTOR = 4.0
_EVENT_GAP_TIMEOUT_FACTOR = 8.0
# An engine that sends no first event within this share of the caller's timeout counts
# as hung, if the request may be sent again; another engine can still respond in time.
_HANG_TIMEOUT_SHARE = 0.4
# Callers measure their deadline from before the request is received.
_TAKE_UP_MARGIN_S = 2.0


class _AttemptResult(Enum):
    """Result of one attempt to send a request."""

    DONE = "done"
    NOT_RUN = "not_run"
    INPUTS_LOST = "inputs_gone"
    UNREACHABLE = "unreachable"
    HELD_BACK = "held_back"
    BROKEN = "broken"


_OUTCOME_BY_RESULT = {
    _AttemptResult.NOT_RUN: PlacementOutcome.REJECTED,
    _AttemptResult.INPUTS_LOST: PlacementOutcome.INPUTS_LOST,
    _AttemptResult.UNREACHABLE: PlacementOutcome.UNREACHABLE,
    _AttemptResult.HELD_BACK: PlacementOutcome.HELD_BACK,
}


@dataclass(slots=True)
class _Stream:
    """Stream of one request over all its attempts.

    Attributes:
        first_event_at: Loop time in seconds of the first event of the current attempt;
            None before it.
        last_event_at: Loop time in seconds of the last event that was forwarded; None
            before any.
        binding: Binding to the version that began the stream; None before its first
            event.
    """

    exchange: Exchange
    context: RequestContext
    lifetime: RequestLifetime
    splitter: EventSplitter = field(default_factory=EventSplitter)
    first_event_at: float | None = None
    last_event_at: float | None = None
    has_sent_head: bool = False
    reason: str = ""
    binding: StreamBinding | None = None

    @property
    def attempts(self) -> Attempts:
        """Sends of the request so far."""
        return self.lifetime.attempts


class StreamForwarder:
    """Requests placements, sends requests to engines and forwards their events."""

    def __init__(
        self,
        dialect: Dialect,
        paths: ServerPaths,
        placements: PlacementClient,
        budgets: RetryBudgets,
        crashes: CrashDetector,
        rests: ServerRests,
        notices: ServerNotices,
        bindings: BindingRecorder,
        answers: ErrorResponder,
        metrics: Metrics,
        zone: str,
    ) -> None:
        self._zone = zone
        self._dialect = dialect
        self._paths = paths
        self._placements = placements
        self._budgets = budgets
        self._crashes = crashes
        self._rests = rests
        self._notices = notices
        self._bindings = bindings
        self._answers = answers
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    async def forward(
        self, exchange: Exchange, context: RequestContext, lifetime: RequestLifetime
    ) -> None:
        """Forward a request and stream the response to its caller."""
        stream = _Stream(exchange, context, lifetime)
        request_id = context.metadata.request_id
        self._budgets.deposit(context.service)
        self._find_binding(stream)
        try:
            await self._run(stream)
        except BaseException:
            # Otherwise its dispatcher would count it as placed.
            self._placements.report(request_id, PlacementOutcome.CANCELLED)
            raise
        self._placements.report(request_id, PlacementOutcome.FINISHED)

    def _find_binding(self, stream: _Stream) -> None:
        """Bind a taken-up stream if this host itself knows its version.

        Otherwise the dispatcher finds it.
        """
        context = stream.context
        metadata = context.metadata
        if not metadata.is_take_up:
            return
        self._log(
            stream,
            "takes up the stream of request %s after event %s",
            metadata.resumed_id or "unknown",
            metadata.last_event_id,
        )
        known = self._bindings.find(
            _organisation_name(context), metadata.resumed_id or ""
        )
        services = {backend.service for backend in context.route.backends}
        if known is not None and known.service in services:
            stream.binding = known

    async def _run(self, stream: _Stream) -> None:
        context = stream.context
        answer = await self._placements.place(self._build_placement_request(stream))
        while True:
            if isinstance(answer, PlacementRefusal):
                self._handle_refusal(stream, answer)
                return
            result = await self._send_request(stream, answer)
            if result is _AttemptResult.DONE:
                return
            if result is _AttemptResult.HELD_BACK:
                answer = await self._request_next_placement(stream, answer, result)
                continue
            if result is _AttemptResult.BROKEN:
                stream.attempts.possible_runs += 1
                self._placements.report(
                    context.metadata.request_id, PlacementOutcome.FAILED
                )
            else:
                stream.attempts.rejections += 1
            if not self._may_retry(stream):
                self._send_failure(stream)
                return
            answer = await self._request_next_placement(stream, answer, result)

    async def _request_next_placement(
        self, stream: _Stream, before: Placement, result: _AttemptResult
    ) -> Placement | PlacementRefusal:
        context = stream.context
        outcome = _OUTCOME_BY_RESULT.get(result)
        if outcome is not None:
            return await self._placements.request_next_placement(
                context.metadata.request_id,
                outcome,
                self._rests.wait_s(before.server_id, self._loop.time()),
            )
        return await self._placements.place(self._build_placement_request(stream))

    def _may_retry(self, stream: _Stream) -> bool:
        now = self._loop.time()
        if now + MIN_SEND_TIME_S >= stream.context.deadline_at:
            stream.reason = "deadline"
            return False
        if not stream.attempts.may_send or not stream.splitter.may_continue:
            return False
        if stream.binding is not None and not self._bindings.is_certain(stream.binding):
            stream.reason = "unknown_version"
            return False
        if not self._budgets.withdraw_for(stream.context.service, stream.attempts):
            stream.reason = "retry_budget"
            return False
        return True

    def _build_placement_request(self, stream: _Stream) -> PlacementRequest:
        context = stream.context
        metadata = context.metadata
        binding = stream.binding
        return PlacementRequest(
            request_id=metadata.request_id,
            route=context.route,
            service=binding.service if binding else context.service,
            pieces=metadata.pieces,
            piece_key=metadata.piece_key,
            prompt=metadata.prompt,
            prompt_tokens=metadata.prompt_tokens,
            priority=context.priority,
            objective_at=context.first_requested_at + context.route.objective_s,
            give_up_at=self._give_up_at(stream),
            zone=self._zone,
            is_returning=context.is_returning,
            digest=context.digest,
            software_version=binding.software_version if binding else None,
            taken_up=_taken_up_stream(context),
            rests=self._rests.list_rests(self._loop.time()),
            output_tokens=metadata.output_tokens,
            expected_output_tokens=metadata.expected_output_tokens,
        )

    def _give_up_at(self, stream: _Stream) -> float:
        context = stream.context
        waits_since = stream.last_event_at or context.received_at
        return min(
            context.deadline_at, waits_since + find_caller_timeout(context.route)
        )

    def _handle_refusal(self, stream: _Stream, refusal: PlacementRefusal) -> None:
        context = stream.context
        if stream.attempts.possible_runs:
            stream.reason = stream.reason or refusal.reason
            self._send_failure(stream)
            return
        self._answers.refuse_request(
            stream.exchange, context.metadata, refusal.reason, refusal.retry_after_s
        )

    def _send_failure(self, stream: _Stream) -> None:
        send_failure(
            self._answers,
            stream.exchange,
            stream.context,
            stream.attempts,
            stream.reason or "broken",
            _RETRY_AFTER_S,
            self._loop.time(),
        )

    async def _send_request(
        self, stream: _Stream, placement: Placement
    ) -> _AttemptResult:
        context = stream.context
        stream.attempts.excluded_ids.add(placement.server_id)
        remaining_s = context.deadline_at - self._loop.time()
        if remaining_s <= MIN_SEND_TIME_S:
            stream.reason = "deadline"
            return _AttemptResult.UNREACHABLE
        attempts = PathAttempts(context.metadata.request_id)
        while True:
            try:
                return await self._send_on_path(stream, placement, attempts)
            except NotForwardedError as error:
                attempts.error = error
                self._log(stream, "%s", error)

    async def _send_on_path(
        self, stream: _Stream, placement: Placement, attempts: PathAttempts
    ) -> _AttemptResult:
        """Send a request on the next path to its engine.

        Raises:
            NotForwardedError: Another host has not sent it.
        """
        context = stream.context
        try:
            connection = await connect(
                self._paths,
                placement.server_id,
                placement.address,
                context,
                context.deadline_at - self._loop.time(),
                attempts,
            )
        except ConnectError as error:
            stream.reason = "unreachable"
            self._log(
                stream, "failed to connect to server %s: %s", placement.server_id, error
            )
            return _AttemptResult.UNREACHABLE
        server_id = placement.server_id
        has_left = not self._paths.accepts_requests(server_id)
        if has_left or not self._rests.may_send(server_id, "stream", self._loop.time()):
            self._paths.put_unused(connection)
            reason = "leaves" if has_left else "rests"
            self._log(stream, "not sent to server %s, which %s", server_id, reason)
            return _AttemptResult.HELD_BACK
        try:
            with stream.lifetime.sending():
                return await self._exchange(stream, placement, connection)
        except (BrokenResponseError, TimeoutError) as error:
            stream.reason = "timeout" if isinstance(error, TimeoutError) else "broken"
            self._log(
                stream,
                "stream from server %s (version %s) failed after %d events: %s (%s, "
                "%s)",
                placement.server_id,
                placement.software_version or "unknown",
                stream.splitter.events,
                str(error) or "timed out",
                self._record_end(stream, connection, "failed"),
                describe_suspect(context.digest),
            )
            connection.close()
            if isinstance(error, BrokenResponseError):
                self._record_break(stream, placement)
            return _AttemptResult.BROKEN
        except BaseException:
            # Also when the caller is gone: closing makes the engine cancel the request.
            connection.close()
            raise

    def _record_break(self, stream: _Stream, placement: Placement) -> None:
        now = self._loop.time()
        if (
            stream.first_event_at is None
            or now - stream.first_event_at < MIN_SURVIVAL_S
        ):
            stream.attempts.early_breaks += 1
            self._crashes.record_break(placement.server_id, stream.context.suspect_ids)

    async def _exchange(
        self, stream: _Stream, placement: Placement, connection: BackendConnection
    ) -> _AttemptResult:
        context = stream.context
        stream.splitter.begin_response()
        stream.first_event_at = None
        sent = SentRequest(
            placement.server_id,
            self._paths.find_incarnation(placement.server_id),
            self._loop.time(),
            context.metadata.request_id,
        )
        connection.send(
            self._encode_request(stream, placement, connection),
            request_id=context.metadata.request_id,
        )
        watch = self._paths.watch(
            connection, placement.server_id, context.route.is_repeatable
        )
        ends_at, hangs_at = self._find_first_event_limits(stream)

        def may_send_elsewhere() -> bool:
            return self._budgets.withdraw_for_hung(context.service, stream.attempts)

        try:
            async with limit_wait(ends_at, hangs_at, may_send_elsewhere):
                head, metadata = await read_response_head(connection, self._dialect)
                check_signature(head, metadata)
        finally:
            watch.cancel()
        self._paths.record_response(connection, placement.server_id)
        self._notices.record_response(sent, metadata, self._loop.time())
        if head.status != 200:
            async with asyncio.timeout_at(context.deadline_at):
                body = await connection.read_body()
            self._log(
                stream,
                "server %s answered with status %d (%s)",
                placement.server_id,
                head.status,
                connection.use,
            )
            self._paths.put(connection)
            return self._handle_error_response(stream, head, body)
        if stream.has_sent_head and not _is_event_stream(head):
            raise BrokenResponseError(
                f"{connection.address}: the response that goes on with a stream isn't "
                f"an event stream but {head.get(b'content-type')!r}"
            )
        async with limit_wait(ends_at, hangs_at, may_send_elsewhere):
            part = await connection.read_part()
        await self._forward_events(stream, placement, connection, head, metadata, part)
        self._paths.put(connection)
        return _AttemptResult.DONE

    def _encode_request(
        self, stream: _Stream, placement: Placement, connection: BackendConnection
    ) -> bytes:
        context = stream.context
        organisation = context.organisation
        forwarding = ForwardingFields(
            server_id=placement.server_id,
            remaining_s=max(0.001, context.deadline_at - self._loop.time()),
            organisation=organisation.name if organisation else None,
            priority=context.priority,
            inputs=placement.inputs if context.route.stages else None,
            last_event_id=stream.splitter.last_event_id,
            cache_source=self._paths.select_cache_source(placement.cache_source),
        )
        head = context.head
        headers = self._dialect.request_headers(head, forwarding)
        headers.append((b"Content-Length", b"%d" % len(context.body)))
        headers += self._paths.request_headers(connection, placement.server_id)
        return encode_request(head.method, head.target, headers) + context.body

    def _find_first_event_limits(self, stream: _Stream) -> tuple[float, float]:
        """Return until when to wait for the first event.

        Returns:
            Loop times in seconds at which the wait ends, and from which the engine
            counts as hung.
        """
        now = self._loop.time()
        ends_at = max(self._give_up_at(stream), now + MIN_SEND_TIME_S)
        route = stream.context.route
        if (
            route.is_repeatable
            and stream.attempts.possible_runs + 1 < route.max_attempts
        ):
            timeout_s = find_caller_timeout(route)
            return ends_at, now + _HANG_TIMEOUT_SHARE * timeout_s
        return ends_at, ends_at

    def _handle_error_response(
        self, stream: _Stream, head: ResponseHead, body: bytes
    ) -> _AttemptResult:
        metadata = self._dialect.parse_response_head(head)
        if metadata.did_not_run or head.status == 421:
            stream.reason = "overloaded"
            return (
                _AttemptResult.INPUTS_LOST
                if head.status == 409
                else _AttemptResult.NOT_RUN
            )
        route = stream.context.route
        attempts_left = stream.attempts.possible_runs + 1 < route.max_attempts
        if stream.has_sent_head or (
            head.status >= 500 and route.is_repeatable and attempts_left
        ):
            stream.reason = "server_error"
            return _AttemptResult.BROKEN
        if not stream.exchange.is_caller_disconnected:
            stream.exchange.respond(head.status, forwarded_headers(head), body)
        return _AttemptResult.DONE

    async def _forward_events(
        self,
        stream: _Stream,
        placement: Placement,
        connection: BackendConnection,
        head: ResponseHead,
        metadata: ResponseMetadata,
        part: bytes,
    ) -> None:
        """Forward the body in complete events until the response ends.

        Raises:
            BrokenResponseError: The stream was broken off, or as for
                `BackendConnection.read_part`.
        """
        context = stream.context
        exchange = stream.exchange
        events_before = stream.splitter.events
        if part:
            stream.first_event_at = self._loop.time()
        self._placements.report(
            context.metadata.request_id, PlacementOutcome.STARTED, metadata.load
        )
        while part:
            complete = stream.splitter.feed(part)
            connection.record_kept(stream.splitter.buffered_bytes)
            if complete:
                await self._bind(stream, placement)
                self._start_response(stream, head)
                await exchange.send(complete)
                stream.last_event_at = self._loop.time()
            if stream.splitter.is_event_too_large:
                raise BrokenResponseError(
                    f"an event has more than {MAX_EVENT_BYTES} bytes"
                )
            async with asyncio.timeout_at(context.deadline_at):
                part = await connection.read_part()
            self._paths.record_response(connection, placement.server_id)
        if _is_event_stream(head):
            _check_end(stream.splitter, connection, events_before)
        end = self._record_end(stream, connection, "complete")
        remainder = stream.splitter.flush()
        self._start_response(stream, head)
        await exchange.send(remainder)
        exchange.finish()
        elapsed_s = self._loop.time() - context.received_at
        self._metrics.increment("answers", route=context.route.name, status="200")
        self._metrics.record_duration("answer_seconds", elapsed_s)
        self._log(
            stream,
            "streamed %d events in %.3f s, the last from server %s (version %s) (%s)",
            stream.splitter.events,
            elapsed_s,
            placement.server_id,
            placement.software_version or "unknown",
            end,
        )

    async def _bind(self, stream: _Stream, placement: Placement) -> None:
        """Bind a stream to the version of the engine that sends its first event."""
        context = stream.context
        metadata = context.metadata
        is_bindable = context.route.is_resumable or metadata.is_take_up
        if stream.binding is not None or not is_bindable:
            return
        now = self._loop.time()
        left_s = metadata.deadline_s or context.route.timeout_s
        stream.binding = StreamBinding(
            metadata.request_id,
            _organisation_name(context),
            placement.service or context.service,
            placement.software_version,
            placement.server_id,
            now,
            min(
                context.received_at + left_s + _TAKE_UP_MARGIN_S,
                now + MAX_BINDING_AGE_S,
            ),
        )
        # Callers name the request that brought the first event, this one only if none
        # did before.
        bindings = [stream.binding]
        if metadata.resumed_id:
            bindings.append(replace(stream.binding, request_id=metadata.resumed_id))
        await self._bindings.record(tuple(bindings))

    def _record_end(
        self, stream: _Stream, connection: BackendConnection, outcome: str
    ) -> str:
        """Count the end of an engine's response and describe it for the log."""
        framing = connection.framing.value if connection.framing else "no_head"
        self._metrics.increment("stream_ends", framing=framing, outcome=outcome)
        return (
            f"framing {framing}, connection {connection.end}, "
            f"{stream.splitter.buffered_bytes} bytes after the last event"
        )

    def _start_response(self, stream: _Stream, head: ResponseHead) -> None:
        if stream.has_sent_head:
            return
        stream.has_sent_head = True
        context = stream.context
        self._metrics.record_duration(
            "first_event_seconds", self._loop.time() - context.received_at
        )
        stream.exchange.start(head.status, forwarded_headers(head))

    def _log(self, stream: _Stream, message: str, *args: object) -> None:
        request_id = stream.context.metadata.request_id
        logger.info(message, *args, extra={"request_id": request_id})


def find_caller_timeout(route: Route) -> float:
    """Return the seconds without an event after which a caller gives up."""
    return max(
        _MIN_CALLER_TIMEOUT_S,
        _OBJECTIVE_TIMEOUT_FACTOR * route.objective_s,
        _EVENT_GAP_TIMEOUT_FACTOR * route.event_gap_objective_s,
    )


def _organisation_name(context: RequestContext) -> str:
    return context.organisation.name if context.organisation else ""


def _taken_up_stream(context: RequestContext) -> TakenUpStream | None:
    metadata = context.metadata
    if not metadata.is_take_up:
        return None
    return TakenUpStream(metadata.resumed_id or "", _organisation_name(context))


def _is_event_stream(head: ResponseHead) -> bool:
    content_type = head.get(b"content-type")
    return content_type is None or content_type.lower().startswith(_EVENT_STREAM_TYPE)


def _check_end(
    splitter: EventSplitter, connection: BackendConnection, events_before: int
) -> None:
    """Check that a stream ended where a complete one may end.

    Args:
        splitter: Splitter that got the whole response.
        connection: Connection of the response.
        events_before: Number of events of the responses before this one.

    Raises:
        BrokenResponseError: The stream was broken off.
    """
    if splitter.is_inside_event:
        raise BrokenResponseError("the stream ended inside an event")
    if connection.framing is Framing.CONNECTION and splitter.events == events_before:
        raise BrokenResponseError("the connection ended before the first event")
