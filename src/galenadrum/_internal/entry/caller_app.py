"""WSGI handler of callers' requests; it runs in worker threads.

One worker thread handles a request from start to end: it gets each dispatch from
the event loop and does the blocking I/O itself, so that streamed tokens never
pass through the event loop.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from galenadrum._internal.entry.caller_requests import parse_caller_request
from galenadrum._internal.entry.http_responses import (
    StartResponse,
    build_refusal_body,
    encode_event,
    send_bytes,
    send_refusal,
)
from galenadrum._internal.entry.request_service import RequestService
from galenadrum._internal.entry.request_telemetry import RequestTelemetry
from galenadrum._internal.entry.stage_runner import RunContext, StageRunner
from galenadrum._internal.exceptions import RequestRefusedError
from galenadrum._internal.models.callers import CallerRequest, RecordedResponse
from galenadrum._internal.models.requests import Refusal
from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.network.http_server import SOCKET_KEY
from galenadrum._internal.network.stage_protocol import ERROR_EVENT, EVENT_STREAM

PIPELINES_PREFIX = "/v1/pipelines/"


@dataclass(slots=True)
class _ReplyWriter:
    """Writes the reply to one caller.

    Attributes:
        request_id: Id of the admitted request; empty before admission.
        digest: Running SHA-256 of the streamed output.
        write: WSGI write callable; None until the event stream has started.
    """

    start_response: StartResponse
    request_id: str = ""
    digest: Any = field(default_factory=hashlib.sha256)
    write: Callable[[bytes], object] | None = None

    def send_delta(self, delta: str) -> None:
        """Send one part of the output, starting the event stream if needed.

        Raises:
            OSError: The caller closed the connection.
        """
        self.digest.update(delta.encode())
        self._send_event({"delta": delta})

    def finish_stream(self, output: Any) -> None:
        """End the event stream of a completed request with its digest.

        If the last stage didn't stream, its output is sent first as one part.
        """
        if self.write is None:
            self.send_delta(output if isinstance(output, str) else json.dumps(output))
        done = {"request_id": self.request_id, "digest": self.digest.hexdigest()}
        self._send_event(done, "done")

    def refuse(self, refusal: Refusal) -> Iterable[bytes]:
        """Send a refusal as the response, or as the last event of the stream."""
        if self.write is None:
            return send_refusal(self.start_response, refusal, self.request_id)
        self._send_event(build_refusal_body(refusal, self.request_id), ERROR_EVENT)
        return ()

    def _send_event(self, data: dict[str, Any], name: str | None = None) -> None:
        if self.write is None:
            headers = [("Content-Type", EVENT_STREAM), ("Cache-Control", "no-store")]
            self.write = self.start_response("200 OK", headers)
        self.write(encode_event(data, name))


class CallerApp:
    """Answers ``POST /v1/pipelines/NAME``.

    Args:
        service: Request service; used on the event loop only.
        runner: Runs the stages of a request.
        limits: Size limits of requests.
        telemetry: Recorder of spans and metrics.
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
        """Handle one caller's request as a WSGI application."""
        pipeline = environ["PATH_INFO"].removeprefix(PIPELINES_PREFIX)
        with self._telemetry.record_request(
            pipeline, environ.get("HTTP_TRACEPARENT")
        ) as span:
            writer = _ReplyWriter(start_response)
            context = RunContext(environ.get(SOCKET_KEY), span)
            try:
                request = parse_caller_request(environ, pipeline, self._limits)
                return self._run_request(request, writer, context)
            except RequestRefusedError as error:
                span.refusal = error.refusal
                return writer.refuse(error.refusal)

    def _run_request(
        self,
        caller_request: CallerRequest,
        writer: _ReplyWriter,
        context: RunContext,
    ) -> Iterable[bytes]:
        coroutine = self._service.open(caller_request, context.span.traceparent)
        opened = self._runner.wait(coroutine, context.caller_socket)
        context.span.set_request(opened.request)
        if opened.recorded is not None:
            recorded = opened.recorded
            return send_bytes(writer.start_response, recorded.status, recorded.body)
        writer.request_id = opened.request.request_id
        if caller_request.stream:
            context.on_delta = writer.send_delta
        output = self._runner.run(opened, caller_request.input, context)
        answer = _build_answer(writer.request_id, output)
        self._runner.wait(self._service.close(opened.request, answer), None)
        if caller_request.stream:
            writer.finish_stream(output)
            return ()
        return send_bytes(writer.start_response, answer.status, answer.body)


def _build_answer(request_id: str, output: Any) -> RecordedResponse:
    body = {"request_id": request_id, "output": output}
    return RecordedResponse(200, json.dumps(body).encode())
