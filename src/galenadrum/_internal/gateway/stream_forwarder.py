"""Forwards requests to model engines and their events as they come.

A stream that breaks off goes on at another engine where its route allows that;
elsewhere the answer is broken off too, so that it can't pass for a whole one.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from enum import Enum

from galenadrum._internal.dispatch.messages import (
    Placement,
    PlacementOutcome,
    PlacementRefusal,
    PlacementRequest,
)
from galenadrum._internal.gateway.answers import Answers
from galenadrum._internal.gateway.attempts import Attempts, RequestContext
from galenadrum._internal.gateway.dialect import Dialect, Forwarding
from galenadrum._internal.gateway.event_stream import EventCutter
from galenadrum._internal.gateway.placements import Placements
from galenadrum._internal.gateway.retries import RetryBudgets
from galenadrum._internal.gateway.sending import (
    UNSENT_MARGIN_S,
    check_signature,
    connect,
    forwarded_headers,
    give_up,
)
from galenadrum._internal.network.http1.client import (
    BackendConnection,
    BrokenResponseError,
    ConnectError,
    ConnectionPool,
)
from galenadrum._internal.network.http1.heads import (
    ResponseHead,
    encode_request,
)
from galenadrum._internal.network.http1.server import Exchange
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)

_RETRY_AFTER_S = 0.5
# Callers leave a stream after the longest of these without an event.
_MIN_PATIENCE_S = 2.0
_OBJECTIVE_PATIENCE = 4.0
_GAP_PATIENCE = 8.0
# An engine without a first event for this part of the caller's patience is given
# up while another can still answer, if the request may be repeated.
_HANG_SHARE = 0.4


class _End(Enum):
    """How one sending of a request ended."""

    DONE = "done"
    NOT_RUN = "not_run"
    INPUTS_GONE = "inputs_gone"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"


_OUTCOME_BY_END = {
    _End.NOT_RUN: PlacementOutcome.REJECTED,
    _End.INPUTS_GONE: PlacementOutcome.INPUTS_GONE,
    _End.UNREACHABLE: PlacementOutcome.UNREACHABLE,
}


@dataclass(slots=True)
class _Stream:
    """One request's stream over all its sendings."""

    exchange: Exchange
    context: RequestContext
    attempts: Attempts
    cutter: EventCutter = field(default_factory=EventCutter)
    has_head: bool = False
    reason: str = ""


class StreamForwarder:
    """Has requests placed, sends them and passes the events on."""

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        placements: Placements,
        budgets: RetryBudgets,
        answers: Answers,
        metrics: Metrics,
        zone: str,
    ) -> None:
        self._zone = zone
        self._dialect = dialect
        self._pool = pool
        self._placements = placements
        self._budgets = budgets
        self._answers = answers
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    async def forward(self, exchange: Exchange, context: RequestContext) -> None:
        """Answer a request."""
        stream = _Stream(exchange, context, Attempts(context.route))
        request_id = context.facts.request_id
        self._budgets.deposit(context.service)
        try:
            await self._run(stream)
        except asyncio.CancelledError:
            self._placements.report(request_id, PlacementOutcome.CANCELLED)
            raise
        self._placements.report(request_id, PlacementOutcome.FINISHED)

    async def _run(self, stream: _Stream) -> None:
        context = stream.context
        answer = await self._placements.place(self._placement_request(context))
        while True:
            if isinstance(answer, PlacementRefusal):
                self._end_refused(stream, answer)
                return
            end = await self._send(stream, answer)
            if end is _End.DONE:
                return
            if end is _End.BROKEN:
                stream.attempts.may_have_run += 1
                self._placements.report(
                    context.facts.request_id, PlacementOutcome.FAILED
                )
            else:
                stream.attempts.rejections += 1
            if not self._may_go_on(stream):
                self._give_up(stream)
                return
            answer = await self._place_next(stream, end)

    async def _place_next(
        self, stream: _Stream, end: _End
    ) -> Placement | PlacementRefusal:
        context = stream.context
        outcome = _OUTCOME_BY_END.get(end)
        if outcome is not None:
            return await self._placements.place_again(context.facts.request_id, outcome)
        return await self._placements.place(self._placement_request(context))

    def _may_go_on(self, stream: _Stream) -> bool:
        now = self._loop.time()
        if now + UNSENT_MARGIN_S >= stream.context.deadline_at:
            stream.reason = "deadline"
            return False
        if not stream.attempts.may_send:
            return False
        if not self._budgets.withdraw(stream.context.service):
            stream.reason = "retry_budget"
            return False
        return True

    def _placement_request(self, context: RequestContext) -> PlacementRequest:
        facts = context.facts
        return PlacementRequest(
            request_id=facts.request_id,
            route=context.route,
            service=context.service,
            pieces=facts.pieces,
            piece_key=facts.piece_key,
            prompt=facts.prompt,
            prompt_tokens=facts.prompt_tokens,
            priority=context.priority,
            objective_at=context.asked_at + context.route.objective_s,
            give_up_at=self._give_up_at(context),
            zone=self._zone,
            is_returning=context.is_returning,
        )

    def _patience_s(self, context: RequestContext) -> float:
        route = context.route
        return max(
            _MIN_PATIENCE_S,
            _OBJECTIVE_PATIENCE * route.objective_s,
            _GAP_PATIENCE * route.event_gap_objective_s,
        )

    def _give_up_at(self, context: RequestContext) -> float:
        return min(context.deadline_at, context.received_at + self._patience_s(context))

    def _end_refused(self, stream: _Stream, refusal: PlacementRefusal) -> None:
        context = stream.context
        if stream.attempts.may_have_run:
            stream.reason = stream.reason or refusal.reason
            self._give_up(stream)
            return
        self._answers.refuse(
            stream.exchange, context.facts, refusal.reason, refusal.retry_after_s
        )

    def _give_up(self, stream: _Stream) -> None:
        give_up(
            self._answers,
            stream.exchange,
            stream.context,
            stream.attempts,
            stream.reason or "broken",
            _RETRY_AFTER_S,
            self._loop.time(),
        )

    async def _send(self, stream: _Stream, placement: Placement) -> _End:
        context = stream.context
        stream.attempts.excluded.add(placement.server_id)
        left_s = context.deadline_at - self._loop.time()
        if left_s <= UNSENT_MARGIN_S:
            stream.reason = "deadline"
            return _End.UNREACHABLE
        try:
            connection = await connect(self._pool, placement.address, context, left_s)
        except ConnectError as error:
            stream.reason = "unreachable"
            self._log(stream, "could not reach %s: %s", placement.server_id, error)
            return _End.UNREACHABLE
        try:
            end = await self._exchange(stream, placement, connection)
        except (BrokenResponseError, TimeoutError) as error:
            stream.reason = "timeout" if isinstance(error, TimeoutError) else "broken"
            self._log(
                stream,
                "the stream of %s ended after %d events: %s",
                placement.server_id,
                stream.cutter.events,
                str(error) or "timed out",
            )
            connection.close()
            return _End.BROKEN
        except BaseException:
            # Also when the caller left: the engine drops the request.
            connection.close()
            raise
        return end

    async def _exchange(
        self, stream: _Stream, placement: Placement, connection: BackendConnection
    ) -> _End:
        context = stream.context
        connection.send(self._request_bytes(stream, placement))
        first_event_at = self._first_event_limit(stream)
        async with asyncio.timeout_at(first_event_at):
            head = await self._read_head(stream, connection)
        if head.status != 200:
            async with asyncio.timeout_at(context.deadline_at):
                body = await connection.read_body()
            self._pool.put(connection)
            return self._take_failure(stream, placement, head, body)
        async with asyncio.timeout_at(first_event_at):
            part = await connection.read_part()
        await self._pass_on(stream, connection, head, part)
        self._pool.put(connection)
        return _End.DONE

    def _request_bytes(self, stream: _Stream, placement: Placement) -> bytes:
        context = stream.context
        organisation = context.organisation
        forwarding = Forwarding(
            server_id=placement.server_id,
            left_s=max(0.001, context.deadline_at - self._loop.time()),
            organisation=organisation.name if organisation else None,
            priority=context.priority,
            inputs=placement.inputs if context.route.stages else None,
            last_event_id=stream.cutter.last_event_id,
        )
        head = context.head
        headers = self._dialect.request_headers(head, forwarding)
        headers.append((b"Content-Length", b"%d" % len(context.body)))
        return encode_request(head.method, head.target, headers) + context.body

    def _first_event_limit(self, stream: _Stream) -> float:
        """Return the loop time until which the first event is waited for."""
        context = stream.context
        now = self._loop.time()
        give_up_at = self._give_up_at(context)
        route = context.route
        if route.may_repeat and stream.attempts.may_have_run + 1 < route.max_attempts:
            return min(give_up_at, now + _HANG_SHARE * self._patience_s(context))
        return max(give_up_at, now + UNSENT_MARGIN_S)

    async def _read_head(
        self, stream: _Stream, connection: BackendConnection
    ) -> ResponseHead:
        request_id = stream.context.facts.request_id
        while True:
            head = await connection.read_head()
            facts = self._dialect.read_reply(head)
            if facts.request_id in ("", request_id):
                check_signature(head, facts)
                return head
            await connection.read_body()
            self._log(stream, "discarded an answer to %s", facts.request_id)
            connection.discard_response()

    def _take_failure(
        self, stream: _Stream, placement: Placement, head: ResponseHead, body: bytes
    ) -> _End:
        facts = self._dialect.read_reply(head)
        self._log(stream, "%s answered %d", placement.server_id, head.status)
        if facts.did_not_run or head.status == 421:
            stream.reason = "overloaded"
            return _End.INPUTS_GONE if head.status == 409 else _End.NOT_RUN
        route = stream.context.route
        attempts_left = stream.attempts.may_have_run + 1 < route.max_attempts
        if stream.has_head or (
            head.status >= 500 and route.may_repeat and attempts_left
        ):
            stream.reason = "server_error"
            return _End.BROKEN
        if not stream.exchange.is_gone:
            stream.exchange.respond(head.status, forwarded_headers(head), body)
        return _End.DONE

    async def _pass_on(
        self,
        stream: _Stream,
        connection: BackendConnection,
        head: ResponseHead,
        part: bytes,
    ) -> None:
        """Pass the body on in whole events, to the response's end."""
        context = stream.context
        exchange = stream.exchange
        self._placements.report(context.facts.request_id, PlacementOutcome.STARTED)
        while part:
            whole = stream.cutter.feed(part)
            if whole:
                self._start(stream, head)
                await exchange.send(whole)
            async with asyncio.timeout_at(context.deadline_at):
                part = await connection.read_part()
        rest = stream.cutter.take_rest()
        self._start(stream, head)
        await exchange.send(rest)
        exchange.finish()
        elapsed_s = self._loop.time() - context.received_at
        self._metrics.increment("answers", route=context.route.name, status="200")
        self._metrics.record_duration("answer_seconds", elapsed_s)
        self._log(
            stream, "streamed %d events in %.3f s", stream.cutter.events, elapsed_s
        )

    def _start(self, stream: _Stream, head: ResponseHead) -> None:
        if stream.has_head:
            return
        stream.has_head = True
        context = stream.context
        self._metrics.record_duration(
            "first_event_seconds", self._loop.time() - context.received_at
        )
        stream.exchange.start(head.status, forwarded_headers(head))

    def _log(self, stream: _Stream, message: str, *args: object) -> None:
        request_id = stream.context.facts.request_id
        logger.info(message, *args, extra={"request_id": request_id})
