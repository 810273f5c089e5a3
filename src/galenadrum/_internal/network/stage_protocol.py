"""Headers and events that backend servers and entry hosts exchange."""

from __future__ import annotations

import json
from typing import Any

REQUEST_ID_HEADER = "Galenadrum-Request-Id"
STAGE_HEADER = "Galenadrum-Stage"
ATTEMPT_HEADER = "Galenadrum-Attempt"
DEADLINE_HEADER = "Galenadrum-Deadline-Ms"
PRIORITY_HEADER = "Galenadrum-Priority"
RUN_HEADER = "Galenadrum-Run"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
ORGANISATION_HEADER = "Galenadrum-Organisation"
WEIGHT_HEADER = "Galenadrum-Weight"
ONCE_HEADER = "Galenadrum-Once"
STAGES_PREFIX = "/v1/stages/"
EVENT_STREAM = "text/event-stream"


def parse_event(event: bytes) -> tuple[str, dict[str, Any]]:
    """Return the name and the JSON data of one server-sent event.

    Raises:
        ValueError: The event has no JSON object as its data.
    """
    name = "message"
    data = ""
    for line in event.decode().splitlines():
        key, _, value = line.partition(":")
        if key == "event":
            name = value.strip()
        elif key == "data":
            data += value.strip()
    parsed = json.loads(data)
    if not isinstance(parsed, dict):
        raise ValueError("the data of an event is not an object")
    return name, parsed
