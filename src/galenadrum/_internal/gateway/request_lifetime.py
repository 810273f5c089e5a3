"""Lifetime of one request on an entry host.

The work ends when the caller leaves, and at the deadline at the latest. Each request is
forwarded inside `RequestLifetime.limit`, and each send to a server inside
`RequestLifetime.sending`. No wait of a forwarder therefore outlasts its request,
whatever it waits for, nothing is sent for a caller who has left, and the answer at the
end tells whether the request may have run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from galenadrum._internal.gateway.attempts import Attempts, RequestContext
from galenadrum._internal.models.routing import RouteKind
from galenadrum._internal.network.http1.server import CallerDisconnectedError, Exchange

# The waits of forwarders end at the deadline with a more specific reason.
_FORWARDER_MARGIN_S = 0.1


class RequestLifetime:
    """Limits the work for one request; constructed in the task that does it.

    Attributes:
        attempts: Sends of the request so far.

    Args:
        exchange: Exchange with the caller.
        context: The request.
    """

    def __init__(self, exchange: Exchange, context: RequestContext) -> None:
        self.attempts = Attempts(context.route)
        self._exchange = exchange
        self._runs_once = context.route.kind is RouteKind.NON_IDEMPOTENT
        self._ends_at = context.deadline_at + _FORWARDER_MARGIN_S
        self._limit: asyncio.Timeout | None = None
        self._is_sent = False
        self._task = asyncio.current_task()
        exchange.on_caller_disconnected = self._handle_caller_left

    def limit(self) -> asyncio.Timeout:
        """Return a context that cancels its body soon after the request's deadline."""
        self._limit = asyncio.timeout_at(self._ends_at)
        return self._limit

    def end_by(self, ends_at: float) -> None:
        """End the request earlier; effective inside the context of `limit`.

        Args:
            ends_at: Loop time in seconds.
        """
        if ends_at < self._ends_at:
            self._ends_at = ends_at
            if self._limit is not None:
                self._limit.reschedule(ends_at)

    def check_caller(self) -> None:
        """Check that the caller still waits.

        Raises:
            CallerDisconnectedError: The caller has left.
        """
        if self._exchange.is_caller_disconnected:
            raise CallerDisconnectedError

    @contextmanager
    def sending(self) -> Iterator[None]:
        """Enclose one send, from its first byte to its outcome.

        A send that is cancelled counts as a possible run. A request that may run once
        isn't broken off inside, as nobody could tell what became of it.

        Raises:
            CallerDisconnectedError: The caller has left; nothing may be sent.
        """
        self.check_caller()
        self._is_sent = True
        try:
            yield
        except asyncio.CancelledError:
            self.attempts.possible_runs += 1
            raise
        finally:
            self._is_sent = False

    def _handle_caller_left(self) -> None:
        if not (self._is_sent and self._runs_once):
            self._task.cancel()
