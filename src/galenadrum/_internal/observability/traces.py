"""Tracing: one span per hop, W3C ``traceparent`` headers, files of JSON lines.

Spans are queued and written by one thread. Queue, batch and file are bounded: a
full queue drops its oldest span, and a full file replaces the rotated one.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import (
    NonRecordingSpan,
    Span,
    SpanContext,
    SpanKind,
    Status,
    StatusCode,
    TraceFlags,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from galenadrum._internal.models.settings import ObservabilitySettings
from galenadrum._internal.observability.span_exporter import FileSpanExporter

TRACEPARENT_HEADER = "traceparent"
_QUEUE_MAX_SPANS = 8_192
_BATCH_MAX_SPANS = 512
_EXPORT_INTERVAL_MS = 1_000
_FILE_MAX_BYTES = 64 * 1024 * 1024
_INSTRUMENTATION_NAME = "galenadrum"

Attributes = Mapping[str, str | int | float | bool]

_propagator = TraceContextTextMapPropagator()
# Ids needn't be unpredictable, and SystemRandom costs a system call for each.
_id_generator = random.Random()
# Tracer of the process, set once at start; None while spans aren't recorded.
_tracer: trace.Tracer | None = None


def configure_tracing(
    settings: ObservabilitySettings, host_id: str, file_max_bytes: int = _FILE_MAX_BYTES
) -> Callable[[], None]:
    """Record the spans of this process if the settings contain a trace file.

    Args:
        settings: Trace file and sampling share; no other process may write to
            the file.
        host_id: Id of the host, included in each span.
        file_max_bytes: Size in bytes at which the file is rotated.

    Returns:
        A function that writes the queued spans and stops recording.
    """
    global _tracer
    if settings.trace_file is None:
        _tracer = None
        return _do_nothing
    exporter = FileSpanExporter(settings.trace_file, host_id, file_max_bytes)
    sampler = ParentBased(TraceIdRatioBased(settings.trace_percent / 100))
    provider = TracerProvider(sampler, Resource({}), shutdown_on_exit=False)
    provider.add_span_processor(
        BatchSpanProcessor(
            exporter,
            max_queue_size=_QUEUE_MAX_SPANS,
            schedule_delay_millis=_EXPORT_INTERVAL_MS,
            max_export_batch_size=_BATCH_MAX_SPANS,
        )
    )
    _tracer = provider.get_tracer(_INSTRUMENTATION_NAME)

    def stop() -> None:
        global _tracer
        _tracer = None
        provider.shutdown()

    return stop


def start_span(
    name: str,
    parent_traceparent: str | None = None,
    attributes: Attributes | None = None,
    kind: SpanKind = SpanKind.INTERNAL,
) -> Span:
    """Start the span of a hop; the caller ends it with ``end_span``.

    Without a trace file the span isn't recorded, but it still has a trace id for
    logs and for the next hop.

    Args:
        name: Operation of the hop, such as ``stage encode``.
        parent_traceparent: Header value from the previous hop or from the parent
            span in this process; a malformed value starts a new trace.
        attributes: Attributes that identify the hop among those of its name.
        kind: Role of the hop, such as server or client.
    """
    context = None
    parent = None
    if parent_traceparent:
        context = _propagator.extract({TRACEPARENT_HEADER: parent_traceparent})
        parent = trace.get_current_span(context).get_span_context()
    if _tracer is not None:
        # An empty context prevents spans of other requests from becoming parents.
        context = Context() if context is None else context
        return _tracer.start_span(name, context, kind, attributes)
    if parent is not None and parent.is_valid:
        return NonRecordingSpan(parent)
    return NonRecordingSpan(_build_span_context())


def end_span(span: Span, error: str | None = None) -> None:
    """End a span.

    Args:
        span: Span that hasn't ended yet.
        error: Reason for the hop's failure; None if it succeeded.
    """
    if error is not None:
        span.set_status(Status(StatusCode.ERROR, error))
    span.end()


def format_traceparent(span: Span) -> str:
    """Return the ``traceparent`` header value for the next hop."""
    context = span.get_span_context()
    return (
        f"00-{context.trace_id:032x}-{context.span_id:016x}-{context.trace_flags:02x}"
    )


def format_trace_id(span: Span) -> str:
    """Return the trace id as 32 hex digits."""
    return f"{span.get_span_context().trace_id:032x}"


def _build_span_context() -> SpanContext:
    return SpanContext(
        trace_id=_id_generator.getrandbits(128) or 1,
        span_id=_id_generator.getrandbits(64) or 1,
        is_remote=False,
        trace_flags=TraceFlags(TraceFlags.DEFAULT),
    )


def _do_nothing() -> None:
    pass
