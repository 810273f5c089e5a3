"""Takes one request through its stages; used in worker threads."""

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
from galenadrum._internal.network.bridge import LoopBridge
from galenadrum._internal.network.sockets import has_left
from galenadrum._internal.network.stage_client import StageClient, StageReply
from galenadrum._internal.network.stage_replies import AttemptLimits
from galenadrum._internal.observability.traces import traceparent_of

T = TypeVar("T")

_CALLER_CHECK_INTERVAL_S = 0.25
_SHUTDOWN_RETRY_S = 1.0


@dataclass(slots=True)
class RunContext:
    """What the stages of one request run with.

    Attributes:
        caller_socket: Watched, so that work for a caller who left ends.
        span: The span of the whole request.
        on_delta: Takes parts of the last stage's output, or None.
        delta_count: Parts that the caller was given.
    """

    caller_socket: socket.socket | None
    span: RequestSpan
    on_delta: Callable[[str], None] | None = None
    delta_count: int = 0

    def send_delta(self, delta: str) -> None:
        """Pass one part on; raises OSError when the caller left."""
        self.delta_count += 1
        self.on_delta(delta)


class StageRunner:
    """Asks the loop for each decision and does the calls between them.

    Args:
        bridge: The way to the loop.
        service: The requests in flight; used on the loop only.
        client: Calls of backend servers.
        telemetry: Spans and metrics.
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
        """Return the output of the last stage.

        Raises:
            RequestRefusedError: The final answer is a refusal.
            OSError: The caller left.
        """
        try:
            return self._run_stages(opened, stage_input, context)
        except RequestRefusedError:
            raise
        except BaseException:
            self._bridge.post(
                self._service.abandon, opened.request, RefusalReason.DEADLINE
            )
            raise

    def wait(
        self, step: Coroutine[Any, Any, T], caller_socket: socket.socket | None
    ) -> T:
        """Wait for a step of the loop while watching the caller.

        The step itself ends at the request's deadline, so this does too.

        Raises:
            RequestRefusedError: The final answer is a refusal.
            OSError: The caller left.
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

    def _run_stages(
        self, opened: OpenedRequest, stage_input: Any, context: RunContext
    ) -> Any:
        dispatch = opened.dispatch
        while dispatch is not None:
            reply = self._call(dispatch, opened, stage_input, context)
            if reply.result.outcome is Outcome.COMPLETED:
                stage_input = reply.output
            result = _final_if_streamed(reply, context)
            step = self._service.record_attempt_result(dispatch, result)
            dispatch = self.wait(step, context.caller_socket)
        return stage_input

    def _call(
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
            _payload(stage_input, opened),
            traceparent_of(span),
            _limits(dispatch, opened, context.caller_socket),
            context.send_delta if streams else None,
        )
        self._telemetry.finish_attempt(span, dispatch, reply)
        return reply


def _final_if_streamed(reply: StageReply, context: RunContext) -> AttemptResult:
    """Make a failure final once the caller holds a part of the output.

    A second attempt would give the caller the beginning of the stream again.
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


def _payload(stage_input: Any, opened: OpenedRequest) -> dict[str, Any]:
    parameters = {
        "max_output_tokens": opened.request.output_tokens,
        "prefix_hashes": list(opened.request.prefix_hashes),
    }
    return {"input": stage_input, "parameters": parameters}


def _limits(
    dispatch: Dispatch, opened: OpenedRequest, caller_socket: socket.socket | None
) -> AttemptLimits:
    deadline = opened.request.deadline
    if dispatch.call.stage not in opened.unrepeatable_stages:
        return AttemptLimits(
            deadline, dispatch.first_byte_timeout_s, False, caller_socket
        )
    # It is sent once: an early end would gain nothing, a pooled connection may
    # be dead, and a caller that leaves doesn't undo what runs.
    left_s = max(0.0, deadline - time.monotonic())
    return AttemptLimits(deadline, left_s, True, None, True)


def _shutdown_refusal() -> Refusal:
    return Refusal(
        RefusalReason.DRAINING,
        RunState.UNKNOWN,
        "this entry host stopped",
        _SHUTDOWN_RETRY_S,
    )
