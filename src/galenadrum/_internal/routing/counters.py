"""Decision counters for metrics and explanations for traces."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

_MAX_EXPLANATIONS = 4096

CallKey = tuple[str, int, int]


class Choice(StrEnum):
    """Reason for which a stage call was sent to its destination."""

    LEAST_EXPECTED = "least_expected_completion"
    PREFIX = "prefix_reuse"
    PROBE = "probe_of_ejected_server"
    SPILL = "spill_to_other_zone"
    HOME_ZONE = "home_zone_of_prefix"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Inputs of the decision that dispatched one call.

    Attributes:
        choice: Reason for the choice of the server.
        server_id: Server, or zone, that the call was sent to.
        expected_s: Expected seconds until the call completes.
        queued_s: Seconds that the call waited on this entry host.
        reused_tokens: Input tokens expected to be served from the prefix cache.
        candidates: Number of servers that were compared.
    """

    choice: Choice
    server_id: str
    expected_s: float
    queued_s: float
    reused_tokens: float
    candidates: int


@dataclass(slots=True)
class PolicyCounters:
    """Decision totals since the policy started."""

    admitted: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    rejected_by_reason: Counter[str] = field(default_factory=Counter)
    dispatched_by_choice: Counter[str] = field(default_factory=Counter)
    forwarded_by_zone: Counter[str] = field(default_factory=Counter)
    ejected_by_server: Counter[str] = field(default_factory=Counter)
    restored_by_server: Counter[str] = field(default_factory=Counter)
    retries_allowed: int = 0
    retries_refused: int = 0


class ExplanationCache:
    """Bounded cache of the explanations of the latest dispatches."""

    def __init__(self) -> None:
        self._by_key: OrderedDict[CallKey, Explanation] = OrderedDict()

    def record(self, key: CallKey, explanation: Explanation) -> None:
        """Store the explanation of one dispatch, evicting the oldest if full."""
        self._by_key[key] = explanation
        if len(self._by_key) > _MAX_EXPLANATIONS:
            self._by_key.popitem(last=False)

    def get(self, key: CallKey) -> Explanation | None:
        """Return the explanation of a dispatch, or None if it was evicted."""
        return self._by_key.get(key)
