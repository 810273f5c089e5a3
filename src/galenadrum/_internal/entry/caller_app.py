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
from collections.abc import Coroutine, Iterable
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

T = TypeVar("T")

PIPELINES_PREFIX = "/v1/pipelines/"

_CALLER_CHECK_INTERVAL_S = 0.25
_NO_REQUEST_ID = ""


@dataclass(slots=True)
class _CallerStream:
    """An event stream to a caller, opened by its first part."""

    start_response: StartResponse
    request_id: str
    digest: Any = field(default_factory=hashlib.sha256)
    write: Any = None

    def send_delta(self, delta: str) -> None:
        """Pass a part of the output on; raises OSError when the caller left."""
        self._open()
        self.digest.update(delta.encode())
        self.write(encode_event({"delta": delta}))

    def send_done(self) -> None:
        """End a whole stream with its digest."""
        self._open()
        done = {"request_id": self.request_id, "digest": self.digest.hexdigest()}
        self.write(encode_event(done, "done"))

    def send_refusal(self, refusal: Refusal) -> None:
        """End a stream that was cut short with the refusal."""
        body = refusal_body(refusal, self.request_id)
        self.write(encode_event(body, "error"))

    def _open(self) -> None:
        if self.write is None:
            headers = [("Content-Type", EVENT_STREAM), ("Cache-Control", "no-store")]
            self.write = self.start_response("200 OK", headers)


class CallerApp:
    """Answers ``POST /v1/pipelines/NAME``.

    Args:
        bridge: The way to the loop.
        service: The requests in flight; used on the loop only.
        client: Calls of backend servers.
        limits: Limits on what a caller may send.
    """

    def __init__(
        self,
        bridge: LoopBridge,
        service: RequestService,
        client: StageClient,
        limits: CallerLimits,
    ) -> None:
        self._bridge = bridge
        self._service = service
        self._client = client
        self._limits = limits

    def answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one caller, as WSGI asks for."""
        pipeline = environ["PATH_INFO"].removeprefix(PIPELINES_PREFIX)
        caller_socket = environ.get(SOCKET_KEY)
        try:
            caller_request = parse_caller_request(environ, pipeline, self._limits)
            opened = self._open(caller_request, caller_socket)
        except RequestRefusedError as error:
            return send_refusal(start_response, error.refusal, _NO_REQUEST_ID)
        if opened.recorded is not None:
            recorded = opened.recorded
            return send_bytes(start_response, recorded.status, recorded.body)
        return self._run(opened, caller_request, caller_socket, start_response)

    def _open(
        self, caller_request: CallerRequest, caller_socket: socket.socket | None
    ) -> Opened:
        return self._wait(self._service.open(caller_request), caller_socket)

    def _run(
        self,
        opened: Opened,
        caller_request: CallerRequest,
        caller_socket: socket.socket | None,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        request_id = opened.request.request_id
        stream = _CallerStream(start_response, request_id)
        try:
            output = self._run_stages(opened, caller_request, caller_socket, stream)
        except RequestRefusedError as error:
            if stream.write is not None:
                stream.send_refusal(error.refusal)
                return ()
            return send_refusal(start_response, error.refusal, request_id)
        except BaseException:
            self._bridge.post(
                self._service.abandon, opened.request, RefusalReason.DEADLINE
            )
            raise
        answer = _record(request_id, output)
        self._wait(self._service.close(opened.request, answer), None)
        if caller_request.stream:
            stream.send_done()
            return ()
        return send_bytes(start_response, answer.status, answer.body)

    def _run_stages(
        self,
        opened: Opened,
        caller_request: CallerRequest,
        caller_socket: socket.socket | None,
        stream: _CallerStream,
    ) -> Any:
        request = opened.request
        dispatch = opened.dispatch
        stage_input = caller_request.input
        last_index = len(request.stages) - 1
        while dispatch is not None:
            call = dispatch.call
            wants_stream = caller_request.stream and call.stage_index == last_index
            reply = self._client.call(
                dispatch,
                _payload(stage_input, caller_request, opened),
                caller_request.traceparent,
                _limits(dispatch, opened, caller_socket),
                stream.send_delta if wants_stream else None,
            )
            if reply.result.outcome is Outcome.COMPLETED:
                stage_input = reply.output
            result = _final_if_streamed(reply, stream)
            dispatch = self._next(dispatch, result, caller_socket)
        return stage_input

    def _next(
        self,
        dispatch: Dispatch,
        result: AttemptResult,
        caller_socket: socket.socket | None,
    ) -> Dispatch | None:
        step = self._service.attempt_finished(dispatch, result)
        return self._wait(step, caller_socket)

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
                if caller_socket is not None and has_left(caller_socket):
                    future.cancel()
                    raise ConnectionResetError(
                        errno.ECONNRESET, "the caller left"
                    ) from None
            except (concurrent.futures.CancelledError, asyncio.CancelledError):
                raise RequestRefusedError(_shutdown_refusal()) from None


def _final_if_streamed(reply: StageReply, stream: _CallerStream) -> AttemptResult:
    """Make a failure final once the caller holds a part of the output.

    A second attempt would give the caller the beginning of the stream again.
    """
    result = reply.result
    if stream.write is None or result.outcome is Outcome.COMPLETED:
        return result
    return AttemptResult(
        Outcome.CANCELLED,
        result.service_s,
        result.first_byte_s,
        result.cached_tokens,
    )


def _payload(
    stage_input: Any, caller_request: CallerRequest, opened: Opened
) -> dict[str, Any]:
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
