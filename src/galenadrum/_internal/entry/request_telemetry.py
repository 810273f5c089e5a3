"""Spans, metrics and log ids of callers' requests; used in worker threads."""

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
    start_span,
    trace_id_of,
    traceparent_of,
)
from galenadrum._internal.routing.counters import Explanation

logger = logging.getLogger(__name__)

Explain = Callable[[StageCall], Explanation | None]


@dataclass(slots=True)
class RequestSpan:
    """The span of a whole request, and when it began.

    Attributes:
        refusal: Set when the request ends with a refusal.
        request_id: Empty until the request was taken on.
    """

    span: Span
    pipeline: str
    started: float
    refusal: Refusal | None = None
    request_id: str = ""

    @property
    def traceparent(self) -> str:
        """The trace context for the hops below."""
        return traceparent_of(self.span)

    def identify(self, request: Request) -> None:
        """Add what is known once the request was taken on."""
        self.request_id = request.request_id
        self.span.set_attribute("request_id", request.request_id)
        self.span.set_attribute("organisation", request.organisation)


class RequestTelemetry:
    """Records each request and each attempt.

    Args:
        metrics: Counters and durations of the entry host.
        explain: Returns why the policy dispatched a call as it did.
    """

    def __init__(self, metrics: Metrics, explain: Explain) -> None:
        self._metrics = metrics
        self._explain = explain

    @contextmanager
    def request(
        self, known_pipeline: str, traceparent: str | None
    ) -> Iterator[RequestSpan]:
        """Record a request from its head to its final answer."""
        span = start_span(
            f"pipeline {known_pipeline}", traceparent, kind=SpanKind.SERVER
        )
        record = RequestSpan(span, known_pipeline, time.monotonic())
        try:
            yield record
        except BaseException as error:
            end_span(span, type(error).__name__)
            self._metrics.increment("requests_failed_total")
            raise
        self._finish_request(record)

    def _finish_request(self, record: RequestSpan) -> None:
        refusal = record.refusal
        if refusal is None:
            end_span(record.span)
            self._metrics.increment("requests_answered_total", pipeline=record.pipeline)
            self._metrics.record_duration(
                "request_seconds",
                time.monotonic() - record.started,
                pipeline=record.pipeline,
            )
            return
        with log_context(record.request_id, trace_id_of(record.span)):
            logger.info("request refused, %s: %s", refusal.run, refusal.message)
        record.span.set_attribute("run", str(refusal.run))
        end_span(record.span, f"{refusal.reason}: {refusal.message}")
        self._metrics.increment(
            "requests_refused_total", reason=str(refusal.reason), run=str(refusal.run)
        )

    def start_attempt(self, dispatch: Dispatch, parent: RequestSpan) -> Span:
        """Start the span of one attempt at one stage."""
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
        """End the span of an attempt and count its outcome."""
        call = dispatch.call
        outcome = str(reply.result.outcome)
        span.set_attribute("outcome", outcome)
        if reply.detail:
            with log_context(call.request.request_id, trace_id_of(span)):
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
    """Record the hop to control that claims a request."""
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
