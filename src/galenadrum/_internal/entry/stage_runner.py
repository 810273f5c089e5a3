"""Blocking execution of one request's stages; used in worker threads."""

from __future__ import annotations

import asyncio
import concurrent.futures
import errno
import socket
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from galenadrum._internal.entry.request_service import OpenedRequest, RequestService
from galenadrum._internal.entry.request_telemetry import RequestSpan, RequestTelemetry
from galenadrum._internal.exceptions import RequestRefusedError
from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Outcome,
    Refusal,
    RefusalReason,
    RunState,
)
from galenadrum._internal.network.loop_bridge import LoopBridge
from galenadrum._internal.network.sockets import is_closed_by_peer
from galenadrum._internal.network.stage_client import StageClient, StageReply
from galenadrum._internal.network.stage_replies import AttemptLimits
from galenadrum._internal.observability.traces import format_traceparent

T = TypeVar("T")

_CALLER_CHECK_INTERVAL_S = 0.25
_SHUTDOWN_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class RunContext:
    """Per-request context of a stage run.

    Attributes:
        caller_socket: Socket watched for the caller's disconnect, which ends
            the work for the request; None to continue after a disconnect.
        span: Span of the whole request.
        on_delta: Called with each part of the last stage's output; None if the
            caller doesn't stream.
        delta_count: Number of output parts sent to the caller.
    """

    caller_socket: socket.socket | None
    span: RequestSpan
    on_delta: Callable[[str], None] | None = None
    delta_count: int = 0

    def send_delta(self, delta: str) -> None:
        """Send one part of the output to the caller.

        Raises:
            OSError: The caller closed the connection.
        """
        self.delta_count += 1
        self.on_delta(delta)


class StageRunner:
    """Sends the stage calls that the request service dispatches.

    Args:
        bridge: Runs coroutines and functions on the event loop.
        service: Request service; used on the event loop only.
        client: Client for calls to backend servers.
        telemetry: Recorder of spans and metrics.
    """

    def __init__(
        self,
        bridge: LoopBridge,
        service: RequestService,
        client: StageClient,
        telemetry: RequestTelemetry,
    ) -> None:
        self._bridge = bridge
        self._service = service
        self._client = client
        self._telemetry = telemetry

    def run(self, opened: OpenedRequest, stage_input: Any, context: RunContext) -> Any:
        """Run all stages of a request and return the output of the last one.

        Raises:
            RequestRefusedError: The request was refused.
            OSError: The caller closed the connection.
        """
        try:
            return self._run_stages(opened, stage_input, context)
        except RequestRefusedError:
            raise
        except BaseException:
            self._bridge.schedule(
                self._service.abandon, opened.request, RefusalReason.DEADLINE
            )
            raise

    def wait(
        self, coroutine: Coroutine[Any, Any, T], caller_socket: socket.socket | None
    ) -> T:
        """Run a coroutine on the event loop and wait for its result.

        Cancels the coroutine if the caller disconnects meanwhile. There is no
        timeout of its own: the coroutine ends at the request's deadline.

        Raises:
            RequestRefusedError: The request was refused.
            OSError: The caller closed the connection.
        """
        future = self._bridge.submit(coroutine)
        while True:
            try:
                return future.result(_CALLER_CHECK_INTERVAL_S)
            except concurrent.futures.TimeoutError:
                if future.done():
                    raise
                if caller_socket is not None and is_closed_by_peer(caller_socket):
                    future.cancel()
                    raise ConnectionResetError(
                        errno.ECONNRESET, "caller closed the connection"
                    ) from None
            except (concurrent.futures.CancelledError, asyncio.CancelledError):
                raise RequestRefusedError(_build_shutdown_refusal()) from None

    def _run_stages(
        self, opened: OpenedRequest, stage_input: Any, context: RunContext
    ) -> Any:
        dispatch = opened.dispatch
        while dispatch is not None:
            reply = self._call_stage(dispatch, opened, stage_input, context)
            if reply.result.outcome is Outcome.COMPLETED:
                stage_input = reply.output
            result = _forbid_retry_if_streamed(reply, context)
            coroutine = self._service.record_attempt_result(dispatch, result)
            dispatch = self.wait(coroutine, context.caller_socket)
        return stage_input

    def _call_stage(
        self,
        dispatch: Dispatch,
        opened: OpenedRequest,
        stage_input: Any,
        context: RunContext,
    ) -> StageReply:
        is_last = dispatch.call.stage_index == len(opened.request.stages) - 1
        streams = is_last and context.on_delta is not None
        span = self._telemetry.start_attempt(dispatch, context.span)
        reply = self._client.call(
            dispatch,
            _build_payload(stage_input, opened),
            format_traceparent(span),
            _build_limits(dispatch, opened, context.caller_socket),
            context.send_delta if streams else None,
        )
        self._telemetry.finish_attempt(span, dispatch, reply)
        return reply


def _forbid_retry_if_streamed(reply: StageReply, context: RunContext) -> AttemptResult:
    """Turn a failure into a final one if output was already streamed.

    A retry would send the caller the beginning of the stream a second time.
    CANCELLED is the outcome that is never retried.
    """
    result = reply.result
    if context.delta_count == 0 or result.outcome is Outcome.COMPLETED:
        return result
    return AttemptResult(
        Outcome.CANCELLED,
        result.service_s,
        result.first_byte_s,
        result.cached_tokens,
    )


def _build_payload(stage_input: Any, opened: OpenedRequest) -> dict[str, Any]:
    parameters = {
        "max_output_tokens": opened.request.output_tokens,
        "prefix_hashes": list(opened.request.prefix_hashes),
    }
    return {"input": stage_input, "parameters": parameters}


def _build_limits(
    dispatch: Dispatch, opened: OpenedRequest, caller_socket: socket.socket | None
) -> AttemptLimits:
    deadline = opened.request.deadline
    if dispatch.call.stage not in opened.unrepeatable_stages:
        return AttemptLimits(
            deadline, dispatch.first_byte_timeout_s, False, caller_socket
        )
    # An unrepeatable stage is sent at most once, so the limits differ: without a
    # retry a first-byte timeout gains nothing, a pooled connection may be dead,
    # and a caller's disconnect doesn't undo work that has started.
    remaining_s = max(0.0, deadline - time.monotonic())
    return AttemptLimits(deadline, remaining_s, True, None, True)


def _build_shutdown_refusal() -> Refusal:
    return Refusal(
        RefusalReason.DRAINING,
        RunState.UNKNOWN,
        "this entry host stopped",
        _SHUTDOWN_RETRY_AFTER_S,
    )
