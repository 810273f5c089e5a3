"""Counts and explanations of decisions, for metrics and traces."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

_MAX_EXPLANATIONS = 4096

CallKey = tuple[str, int, int]


class Choice(StrEnum):
    """Why a stage call went where it did."""

    LEAST_EXPECTED = "least_expected_completion"
    PREFIX = "prefix_reuse"
    PROBE = "probe_of_ejected_server"
    SPILL = "spill_to_other_zone"
    HOME_ZONE = "home_zone_of_prefix"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why one call was dispatched to one server.

    Attributes:
        expected_s: Expected seconds until the call completes.
        queued_s: Seconds that it waited on this entry host.
        reused_tokens: Input tokens expected not to be computed again.
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
    """Totals since the policy started."""

    admitted: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    rejected_by_reason: Counter[str] = field(default_factory=Counter)
    dispatched_by_choice: Counter[str] = field(default_factory=Counter)
    forwarded_by_zone: Counter[str] = field(default_factory=Counter)
    ejected_by_server: Counter[str] = field(default_factory=Counter)
    restored_by_server: Counter[str] = field(default_factory=Counter)
    retries_allowed: int = 0
    retries_refused: int = 0


class Explanations:
    """The explanations of the latest dispatches, bounded in number."""

    def __init__(self) -> None:
        self._by_key: OrderedDict[CallKey, Explanation] = OrderedDict()

    def record(self, key: CallKey, explanation: Explanation) -> None:
        """Keep the explanation of one dispatch."""
        self._by_key[key] = explanation
        if len(self._by_key) > _MAX_EXPLANATIONS:
            self._by_key.popitem(last=False)

    def get(self, key: CallKey) -> Explanation | None:
        """Return the explanation of a dispatch if it is still kept."""
        return self._by_key.get(key)
