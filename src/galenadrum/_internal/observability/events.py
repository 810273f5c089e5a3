"""Structured events in log lines, which reports are made from.

A log record with an event has a field `event`, an object whose `kind` names the event.
The other fields are the same in each event of a kind.
"""

from __future__ import annotations

from enum import StrEnum


class EventKind(StrEnum):
    """Kind of a structured event.

    REQUEST_ENDED is the end of a caller's request at an entry host; HOST_CHANGED tells
    what a host does, SERVER_CHANGED what became of a backend server.
    """

    REQUEST_ENDED = "request_ended"
    HOST_CHANGED = "host_changed"
    SERVER_CHANGED = "server_changed"


class RequestOutcome(StrEnum):
    """Outcome of a caller's request.

    SERVED is a response within the latency objective, LATE one after it. REFUSED
    promises that the request has not run; FAILED promises nothing. DENIED is a request
    that isn't allowed, and LEFT one whose caller closed the connection first.
    """

    SERVED = "served"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    DENIED = "denied"
    LEFT = "left"


def build_request_event(
    route: str,
    zone: str,
    outcome: RequestOutcome,
    status: int,
    elapsed_s: float,
    reason: str = "",
) -> dict[str, object]:
    """Return the event of a request's end.

    Args:
        route: Name of the route; empty if none matches.
        zone: Availability zone of the entry host.
        outcome: Outcome of the request.
        status: Status that was sent; 0 if none was.
        elapsed_s: Seconds since the request was received.
        reason: Reason of a response that the host generated itself; else empty.
    """
    return {
        "kind": EventKind.REQUEST_ENDED.value,
        "route": route,
        "zone": zone,
        "outcome": outcome.value,
        "status": status,
        "elapsed_s": round(elapsed_s, 4),
        "reason": reason,
    }


def build_host_event(change: str) -> dict[str, object]:
    """Return the event of a change of the host that logs it."""
    return {"kind": EventKind.HOST_CHANGED.value, "change": change}


def build_server_event(server_id: str, service: str, change: str) -> dict[str, object]:
    """Return the event of a change of a backend server."""
    return {
        "kind": EventKind.SERVER_CHANGED.value,
        "server_id": server_id,
        "service": service,
        "change": change,
    }


_REFUSED_STATUSES = frozenset({408, 421, 429, 503})


def classify_outcome(
    status: int, is_complete: bool, is_caller_gone: bool, is_in_time: bool
) -> RequestOutcome:
    """Return the outcome of a request from its response.

    Args:
        status: Status that was sent; 0 if none was.
        is_complete: Whether the response was sent as a whole.
        is_caller_gone: Whether the caller closed the connection before its end.
        is_in_time: Whether the response began within the latency objective.
    """
    if is_caller_gone:
        return RequestOutcome.LEFT
    if status in _REFUSED_STATUSES:
        return RequestOutcome.REFUSED
    if not status or status >= 500 or not is_complete:
        return RequestOutcome.FAILED
    if status >= 400:
        return RequestOutcome.DENIED
    return RequestOutcome.SERVED if is_in_time else RequestOutcome.LATE
