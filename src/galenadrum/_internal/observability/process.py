"""Logs and traces of a whole process, from its start to its end."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from galenadrum._internal.models.settings import ObservabilitySettings
from galenadrum._internal.observability.logs import configure_logging
from galenadrum._internal.observability.traces import configure_traces


@contextlib.contextmanager
def observe_process(settings: ObservabilitySettings, host_id: str) -> Iterator[None]:
    """Log and trace while the block runs, and write all of it at the end.

    Args:
        settings: Where logs and traces go.
        host_id: Host that they name.
    """
    stop_logging = configure_logging(settings, host_id)
    try:
        stop_traces = configure_traces(settings, host_id)
        try:
            yield
        finally:
            stop_traces()
    finally:
        stop_logging()
