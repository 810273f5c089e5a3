"""The WSGI application for callers; it runs in worker threads.

A worker carries its request from the first byte to the last: it asks the loop
for each decision and does the blocking input and output between them itself,
so that streamed tokens never cross the loop.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from galenadrum._internal.entry.answers import (
    StartResponse,
    encode_event,
    refusal_body,
    send_bytes,
    send_refusal,
)
from galenadrum._internal.entry.caller_requests import parse_caller_request
from galenadrum._internal.entry.request_service import RequestService
from galenadrum._internal.entry.request_telemetry import RequestTelemetry
from galenadrum._internal.entry.stage_runner import RunContext, StageRunner
from galenadrum._internal.exceptions import RequestRefusedError
from galenadrum._internal.models.callers import CallerRequest, RecordedAnswer
from galenadrum._internal.models.requests import Refusal
from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.network.http_server import SOCKET_KEY
from galenadrum._internal.network.stage_protocol import EVENT_STREAM

PIPELINES_PREFIX = "/v1/pipelines/"


@dataclass(slots=True)
class _CallerExchange:
    """One caller's connection; an event stream opens with its first part."""

    start_response: StartResponse
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
        service: The requests in flight; used on the loop only.
        runner: Takes requests through their stages.
        limits: Limits on what a caller may send.
        telemetry: Spans and metrics.
    """

    def __init__(
        self,
        service: RequestService,
        runner: StageRunner,
        limits: CallerLimits,
        telemetry: RequestTelemetry,
    ) -> None:
        self._service = service
        self._runner = runner
        self._limits = limits
        self._telemetry = telemetry

    def answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one caller, as WSGI asks for."""
        pipeline = environ["PATH_INFO"].removeprefix(PIPELINES_PREFIX)
        with self._telemetry.request(pipeline, environ.get("HTTP_TRACEPARENT")) as span:
            exchange = _CallerExchange(start_response)
            context = RunContext(environ.get(SOCKET_KEY), span)
            try:
                request = parse_caller_request(environ, pipeline, self._limits)
                return self._answer(request, exchange, context)
            except RequestRefusedError as error:
                span.refusal = error.refusal
                return exchange.refuse(error.refusal)

    def _answer(
        self,
        caller_request: CallerRequest,
        exchange: _CallerExchange,
        context: RunContext,
    ) -> Iterable[bytes]:
        step = self._service.open(caller_request, context.span.traceparent)
        opened = self._runner.wait(step, context.caller_socket)
        context.span.identify(opened.request)
        if opened.recorded is not None:
            recorded = opened.recorded
            return send_bytes(exchange.start_response, recorded.status, recorded.body)
        exchange.request_id = opened.request.request_id
        if caller_request.stream:
            context.on_delta = exchange.send_delta
        output = self._runner.run(opened, caller_request.input, context)
        answer = _record(exchange.request_id, output)
        self._runner.wait(self._service.close(opened.request, answer), None)
        if caller_request.stream:
            exchange.send_whole(output)
            return ()
        return send_bytes(exchange.start_response, answer.status, answer.body)


def _record(request_id: str, output: Any) -> RecordedAnswer:
    body = {"request_id": request_id, "output": output}
    return RecordedAnswer(200, json.dumps(body).encode())
