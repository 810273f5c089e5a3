"""Recognises callers that come back after a refusal, from the deadlines of all hosts.

Load pattern: a burst at hundreds of entry hosts that each see a request of a route once
in some seconds. A host that has just started, or that sees few requests, doesn't know
the usual deadline of a route and takes a caller that comes back for a new one: its
objective has passed, so it is refused again while it could still be served late.
"""

from __future__ import annotations

from dataclasses import replace

from galenadrum._internal.dispatch.messages import PlacementRequest
from galenadrum._internal.gateway.attempts import FIRST_REQUEST_TOLERANCE_S
from galenadrum._internal.gateway.first_request_estimator import FirstRequestEstimator


class ReturningCallers:
    """Compares the deadline of each placement request with the usual one."""

    def __init__(self) -> None:
        self._estimator = FirstRequestEstimator()

    def recognise(self, request: PlacementRequest) -> PlacementRequest:
        """Return the request, marked as returning if its caller came before.

        The objective of such a request counts from the caller's first one. A request
        that is submitted once more after the loss of a dispatcher isn't counted.
        """
        if not request.deadline_s or request.is_resumed:
            return request
        elapsed_s = self._estimator.estimate_elapsed_s(
            request.route.name, request.deadline_s
        )
        if request.is_returning or elapsed_s <= FIRST_REQUEST_TOLERANCE_S:
            return request
        return replace(
            request,
            is_returning=True,
            objective_at=request.objective_at - elapsed_s,
        )
