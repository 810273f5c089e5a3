"""Time for which a host works for one request: until its deadline at the latest.

Each request is forwarded inside `RequestLifetime.limit`, and each send to a server
inside `RequestLifetime.sending`. No wait of a forwarder therefore outlasts its request,
whatever it waits for, and the answer at the end tells whether the request may have run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from galenadrum._internal.gateway.attempts import Attempts, RequestContext

# The waits of forwarders end at the deadline and tell more about what was missing, so
# they go first.
_FORWARDER_MARGIN_S = 0.1


class RequestLifetime:
    """Limits the work for one request.

    Attributes:
        attempts: Sends of the request so far.

    Args:
        context: The request.
    """

    def __init__(self, context: RequestContext) -> None:
        self.attempts = Attempts(context.route)
        self._ends_at = context.deadline_at + _FORWARDER_MARGIN_S

    def limit(self) -> asyncio.Timeout:
        """Return a context that cancels its body soon after the request's deadline."""
        return asyncio.timeout_at(self._ends_at)

    @contextmanager
    def sending(self) -> Iterator[None]:
        """Enclose one send, from its first byte to its outcome.

        A send that is cancelled counts as a possible run.
        """
        try:
            yield
        except asyncio.CancelledError:
            self.attempts.possible_runs += 1
            raise
