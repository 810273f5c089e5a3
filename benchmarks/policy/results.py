"""What one run shows."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class RunResult:
    """The figures of one run of one policy.

    Attributes:
        offered: Requests that arrived after the warm-up.
        attained: Those answered completely within their deadline.
        refused: Those that got a refusal.
        late: Those that got nothing within their deadline.
        latencies_s: Seconds from arrival to the complete answer.
        refusal_delays_s: Seconds from arrival to the refusal.
        busy_s_by_stage: Slot or engine seconds that servers worked.
        prefill_tokens: Prompt tokens that engines computed.
        output_tokens: Tokens that engines generated.
        attainable: Share that full knowledge could reach at most.
        offered_by_second: Requests by second of arrival, from the fault on.
        attained_by_second: Attained requests by second of arrival, from the fault on.
        offered_by_organisation: Requests by organisation.
        attained_by_organisation: Attained requests by organisation.
        counters: Totals of the policy's counters over all hosts.
    """

    site: str
    scenario: str
    seed: int
    policy: str
    offered: int = 0
    attained: int = 0
    refused: int = 0
    late: int = 0
    latencies_s: list[float] = field(default_factory=list)
    refusal_delays_s: list[float] = field(default_factory=list)
    busy_s_by_stage: dict[str, float] = field(default_factory=dict)
    prefill_tokens: int = 0
    output_tokens: int = 0
    attainable: float = 1.0
    offered_by_second: dict[int, int] = field(default_factory=dict)
    attained_by_second: dict[int, int] = field(default_factory=dict)
    offered_by_organisation: dict[str, int] = field(default_factory=dict)
    attained_by_organisation: dict[str, int] = field(default_factory=dict)
    counters: dict[str, int] = field(default_factory=dict)
