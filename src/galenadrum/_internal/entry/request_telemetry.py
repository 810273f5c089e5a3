"""Spans, metrics and log context of callers' requests; used in worker threads."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from opentelemetry.trace import Span, SpanKind

from galenadrum._internal.models.requests import Dispatch, Refusal, Request, StageCall
from galenadrum._internal.network.stage_client import StageReply
from galenadrum._internal.observability.logs import log_context
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.observability.traces import (
    end_span,
    format_trace_id,
    format_traceparent,
    start_span,
)
from galenadrum._internal.routing.counters import Explanation

logger = logging.getLogger(__name__)

ExplainDispatch = Callable[[StageCall], Explanation | None]


@dataclass(slots=True)
class RequestSpan:
    """Span of a whole request with the data that its final record needs.

    Attributes:
        span: Server span of the request.
        pipeline: Name of the requested pipeline.
        started: Monotonic start time in seconds.
        refusal: Refusal that ended the request, or None.
        request_id: Id of the admitted request; empty before admission.
    """

    span: Span
    pipeline: str
    started: float
    refusal: Refusal | None = None
    request_id: str = ""

    @property
    def traceparent(self) -> str:
        """The ``traceparent`` header for calls made on behalf of the request."""
        return format_traceparent(self.span)

    def set_request(self, request: Request) -> None:
        """Add the id and organisation of the admitted request to the span."""
        self.request_id = request.request_id
        self.span.set_attribute("request_id", request.request_id)
        self.span.set_attribute("organisation", request.organisation)


class RequestTelemetry:
    """Records spans and metrics of requests and their attempts.

    Args:
        metrics: Counters and durations of the entry host.
        explain: Returns the policy's reason for the dispatch of a call, or None.
    """

    def __init__(self, metrics: Metrics, explain: ExplainDispatch) -> None:
        self._metrics = metrics
        self._explain = explain

    @contextmanager
    def record_request(
        self, pipeline_name: str, traceparent: str | None
    ) -> Iterator[RequestSpan]:
        """Record a request from its arrival to its final answer.

        Args:
            pipeline_name: Name of the requested pipeline or stage.
            traceparent: Trace context sent by the caller, or None.
        """
        span = start_span(
            f"pipeline {pipeline_name}", traceparent, kind=SpanKind.SERVER
        )
        request_span = RequestSpan(span, pipeline_name, time.monotonic())
        try:
            yield request_span
        except BaseException as error:
            end_span(span, type(error).__name__)
            self._metrics.increment("requests_failed_total")
            raise
        self._finish_request(request_span)

    def _finish_request(self, request_span: RequestSpan) -> None:
        refusal = request_span.refusal
        if refusal is None:
            end_span(request_span.span)
            self._metrics.increment(
                "requests_answered_total", pipeline=request_span.pipeline
            )
            self._metrics.record_duration(
                "request_seconds",
                time.monotonic() - request_span.started,
                pipeline=request_span.pipeline,
            )
            return
        with log_context(request_span.request_id, format_trace_id(request_span.span)):
            logger.info(
                "request refused (run state %s): %s", refusal.run, refusal.message
            )
        request_span.span.set_attribute("run", str(refusal.run))
        end_span(request_span.span, f"{refusal.reason}: {refusal.message}")
        self._metrics.increment(
            "requests_refused_total", reason=str(refusal.reason), run=str(refusal.run)
        )

    def start_attempt(self, dispatch: Dispatch, parent: RequestSpan) -> Span:
        """Start the span of one attempt at a stage."""
        attributes: dict[str, str | int | float | bool] = {
            "server_id": dispatch.server_id,
            "attempt": dispatch.call.attempt,
        }
        explanation = self._explain(dispatch.call)
        if explanation is not None:
            attributes["choice"] = str(explanation.choice)
            attributes["expected_ms"] = round(explanation.expected_s * 1_000, 1)
            attributes["queued_ms"] = round(explanation.queued_s * 1_000, 1)
        return start_span(
            f"stage {dispatch.call.stage}",
            parent.traceparent,
            attributes,
            SpanKind.CLIENT,
        )

    def finish_attempt(self, span: Span, dispatch: Dispatch, reply: StageReply) -> None:
        """End the span of an attempt and record its outcome and duration."""
        call = dispatch.call
        outcome = str(reply.result.outcome)
        span.set_attribute("outcome", outcome)
        if reply.detail:
            with log_context(call.request.request_id, format_trace_id(span)):
                logger.info(
                    "attempt %d at stage %s on %s: %s",
                    call.attempt,
                    call.stage,
                    dispatch.server_id,
                    reply.detail,
                )
        end_span(span, reply.detail or None)
        self._metrics.increment("attempts_total", stage=call.stage, outcome=outcome)
        self._metrics.record_duration(
            "stage_seconds",
            reply.result.service_s,
            pipeline=call.request.pipeline,
            stage=call.stage,
        )


@contextmanager
def claim_span(request: Request, parent_traceparent: str) -> Iterator[None]:
    """Record a span around the call that claims a request at the control hosts."""
    span = start_span(
        "claim",
        parent_traceparent,
        {"request_id": request.request_id, "organisation": request.organisation},
        SpanKind.CLIENT,
    )
    try:
        yield
    except BaseException as error:
        end_span(span, f"{type(error).__name__}: {error}")
        raise
    end_span(span)
