"""Headers, paths and events of the protocol of backend servers and entry hosts."""

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
ERROR_EVENT = "error"


def parse_event(event: bytes) -> tuple[str, dict[str, Any]]:
    """Decode a server-sent event into its name and its JSON data.

    Raises:
        ValueError: The data of the event is not a JSON object.
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
