"""Logging and tracing of a process from start to exit."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from galenadrum._internal.models.settings import ObservabilitySettings
from galenadrum._internal.observability.logs import configure_logging
from galenadrum._internal.observability.traces import configure_tracing


@contextlib.contextmanager
def observe_process(settings: ObservabilitySettings, host_id: str) -> Iterator[None]:
    """Set up logging and tracing for the block and flush both at its end.

    Args:
        settings: Format of the logs and file of the traces.
        host_id: Id of the host, included in each log record and span.
    """
    stop_logging = configure_logging(settings, host_id)
    try:
        stop_tracing = configure_tracing(settings, host_id)
        try:
            yield
        finally:
            stop_tracing()
    finally:
        stop_logging()
