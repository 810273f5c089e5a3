"""Plain requests that servers have answered, as one host knows them.

Dispatchers don't hear of plain requests. A host that has seen one succeed since it was
first suspected lifts its quarantine.
"""

from __future__ import annotations

from collections import OrderedDict

from galenadrum._internal.models.quarantine import QuarantinedPart

_MAX_REQUESTS = 16_384


class RequestSuccesses:
    """Times of the latest answers to plain requests, by digest."""

    def __init__(self) -> None:
        self._answered_at_by_digest: OrderedDict[str, float] = OrderedDict()

    def record(self, digest: str, now: float) -> None:
        """Record that a server has answered a request at loop time ``now``."""
        self._answered_at_by_digest[digest] = now
        self._answered_at_by_digest.move_to_end(digest)
        if len(self._answered_at_by_digest) > _MAX_REQUESTS:
            self._answered_at_by_digest.popitem(last=False)

    def refute(self, record: QuarantinedPart) -> bool:
        """Return whether a request was answered since it was first suspected."""
        answered_at = self._answered_at_by_digest.get(record.part_id)
        return answered_at is not None and answered_at > record.suspected_since
