"""The WSGI application for callers; it runs in worker threads.

A worker carries its request from the first byte to the last: it asks the loop
for each decision and does the blocking input and output between them itself,
so that streamed tokens never cross the loop.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import errno
import hashlib
import json
import socket
import time
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from galenadrum._internal.entry.answers import (
    StartResponse,
    encode_event,
    refusal_body,
    send_bytes,
    send_refusal,
)
from galenadrum._internal.entry.caller_requests import parse_caller_request
from galenadrum._internal.entry.request_service import Opened, RequestService
from galenadrum._internal.entry.request_telemetry import (
    RequestSpan,
    RequestTelemetry,
)
from galenadrum._internal.exceptions import RequestRefusedError
from galenadrum._internal.models.callers import CallerRequest, RecordedAnswer
from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Outcome,
    Refusal,
    RefusalReason,
    RunState,
)
from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.network.bridge import LoopBridge
from galenadrum._internal.network.http_server import SOCKET_KEY
from galenadrum._internal.network.stage_client import (
    EVENT_STREAM,
    AttemptLimits,
    StageClient,
    StageReply,
    has_left,
)
from galenadrum._internal.observability.traces import traceparent_of

T = TypeVar("T")

PIPELINES_PREFIX = "/v1/pipelines/"

_CALLER_CHECK_INTERVAL_S = 0.25


@dataclass(slots=True)
class _CallerExchange:
    """One caller's connection; an event stream opens with its first part."""

    start_response: StartResponse
    socket: socket.socket | None
    span: RequestSpan
    request_id: str = ""
    digest: Any = field(default_factory=hashlib.sha256)
    write: Callable[[bytes], object] | None = None

    def send_delta(self, delta: str) -> None:
        """Pass a part of the output on; raises OSError when the caller left."""
        self.digest.update(delta.encode())
        self._send_event({"delta": delta})

    def send_whole(self, output: Any) -> None:
        """End a stream that holds the whole output with its digest.

        The last stage may not stream; its output is then sent as one part.
        """
        if self.write is None:
            self.send_delta(output if isinstance(output, str) else json.dumps(output))
        done = {"request_id": self.request_id, "digest": self.digest.hexdigest()}
        self._send_event(done, "done")

    def refuse(self, refusal: Refusal) -> Iterable[bytes]:
        """Answer with a refusal, or end the stream with it."""
        if self.write is None:
            return send_refusal(self.start_response, refusal, self.request_id)
        self._send_event(refusal_body(refusal, self.request_id), "error")
        return ()

    def _send_event(self, data: dict[str, Any], name: str | None = None) -> None:
        if self.write is None:
            headers = [("Content-Type", EVENT_STREAM), ("Cache-Control", "no-store")]
            self.write = self.start_response("200 OK", headers)
        self.write(encode_event(data, name))


class CallerApp:
    """Answers ``POST /v1/pipelines/NAME``.

    Args:
        bridge: The way to the loop.
        service: The requests in flight; used on the loop only.
        client: Calls of backend servers.
        limits: Limits on what a caller may send.
        telemetry: Spans and metrics.
    """

    def __init__(
        self,
        bridge: LoopBridge,
        service: RequestService,
        client: StageClient,
        limits: CallerLimits,
        telemetry: RequestTelemetry,
    ) -> None:
        self._bridge = bridge
        self._service = service
        self._client = client
        self._limits = limits
        self._telemetry = telemetry

    def answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one caller, as WSGI asks for."""
        pipeline = environ["PATH_INFO"].removeprefix(PIPELINES_PREFIX)
        with self._telemetry.request(pipeline, environ.get("HTTP_TRACEPARENT")) as span:
            exchange = _CallerExchange(start_response, environ.get(SOCKET_KEY), span)
            try:
                caller_request = parse_caller_request(environ, pipeline, self._limits)
                return self._answer(caller_request, exchange)
            except RequestRefusedError as error:
                span.refusal = error.refusal
                return exchange.refuse(error.refusal)

    def _answer(
        self, caller_request: CallerRequest, exchange: _CallerExchange
    ) -> Iterable[bytes]:
        opened = self._wait(self._service.open(caller_request), exchange.socket)
        exchange.span.identify(opened.request)
        if opened.recorded is not None:
            recorded = opened.recorded
            return send_bytes(exchange.start_response, recorded.status, recorded.body)
        exchange.request_id = opened.request.request_id
        output = self._run(opened, caller_request, exchange)
        answer = _record(exchange.request_id, output)
        self._wait(self._service.close(opened.request, answer), None)
        if caller_request.stream:
            exchange.send_whole(output)
            return ()
        return send_bytes(exchange.start_response, answer.status, answer.body)

    def _run(
        self, opened: Opened, caller_request: CallerRequest, exchange: _CallerExchange
    ) -> Any:
        try:
            return self._run_stages(opened, caller_request, exchange)
        except RequestRefusedError:
            raise
        except BaseException:
            self._bridge.post(
                self._service.abandon, opened.request, RefusalReason.DEADLINE
            )
            raise

    def _run_stages(
        self, opened: Opened, caller_request: CallerRequest, exchange: _CallerExchange
    ) -> Any:
        dispatch = opened.dispatch
        stage_input = caller_request.input
        last_index = len(opened.request.stages) - 1
        while dispatch is not None:
            is_last = dispatch.call.stage_index == last_index
            on_delta = None
            if caller_request.stream and is_last:
                on_delta = exchange.send_delta
            reply = self._call(dispatch, opened, stage_input, exchange, on_delta)
            if reply.result.outcome is Outcome.COMPLETED:
                stage_input = reply.output
            result = _final_if_streamed(reply, exchange)
            step = self._service.attempt_finished(dispatch, result)
            dispatch = self._wait(step, exchange.socket)
        return stage_input

    def _call(
        self,
        dispatch: Dispatch,
        opened: Opened,
        stage_input: Any,
        exchange: _CallerExchange,
        on_delta: Callable[[str], None] | None,
    ) -> StageReply:
        span = self._telemetry.start_attempt(dispatch, exchange.span)
        reply = self._client.call(
            dispatch,
            _payload(stage_input, opened),
            traceparent_of(span),
            _limits(dispatch, opened, exchange.socket),
            on_delta,
        )
        self._telemetry.finish_attempt(span, dispatch, reply)
        return reply

    def _wait(
        self, step: Coroutine[Any, Any, T], caller_socket: socket.socket | None
    ) -> T:
        """Wait for a step of the loop while watching the caller.

        The step itself ends at the request's deadline, so this does too.
        """
        future = self._bridge.submit(step)
        while True:
            try:
                return future.result(_CALLER_CHECK_INTERVAL_S)
            except concurrent.futures.TimeoutError:
                if future.done():
                    raise
                if caller_socket is not None and has_left(caller_socket):
                    future.cancel()
                    raise ConnectionResetError(
                        errno.ECONNRESET, "the caller left"
                    ) from None
            except (concurrent.futures.CancelledError, asyncio.CancelledError):
                raise RequestRefusedError(_shutdown_refusal()) from None


def _final_if_streamed(reply: StageReply, exchange: _CallerExchange) -> AttemptResult:
    """Make a failure final once the caller holds a part of the output.

    A second attempt would give the caller the beginning of the stream again.
    """
    result = reply.result
    if exchange.write is None or result.outcome is Outcome.COMPLETED:
        return result
    return AttemptResult(
        Outcome.CANCELLED,
        result.service_s,
        result.first_byte_s,
        result.cached_tokens,
    )


def _payload(stage_input: Any, opened: Opened) -> dict[str, Any]:
    parameters = {
        "max_output_tokens": opened.request.output_tokens,
        "prefix_hashes": list(opened.request.prefix_hashes),
    }
    return {"input": stage_input, "parameters": parameters}


def _limits(
    dispatch: Dispatch, opened: Opened, caller_socket: socket.socket | None
) -> AttemptLimits:
    deadline = opened.request.deadline
    if dispatch.call.stage not in opened.unrepeatable_stages:
        return AttemptLimits(
            deadline, dispatch.first_byte_timeout_s, False, caller_socket
        )
    # It is sent once: an early end would gain nothing, a pooled connection may
    # be dead, and a caller that leaves doesn't undo what runs.
    left_s = max(0.0, deadline - time.monotonic())
    return AttemptLimits(deadline, left_s, True, None)


def _record(request_id: str, output: Any) -> RecordedAnswer:
    body = {"request_id": request_id, "output": output}
    return RecordedAnswer(200, json.dumps(body).encode())


def _shutdown_refusal() -> Refusal:
    return Refusal(
        RefusalReason.DRAINING, RunState.UNKNOWN, "this entry host stopped", 1.0
    )
