"""Results of one simulation run."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class RunResult:
    """Figures of one policy in one run.

    Attributes:
        offered: Requests that arrived after the warm-up.
        attained: Requests answered completely within their deadline.
        refused: Requests refused before their deadline.
        late: Requests neither answered nor refused before their deadline.
        latencies_s: Seconds from arrival to the complete answer, by attained request.
        refusal_delays_s: Seconds from arrival to the refusal, by refused request.
        busy_s_by_stage: Slot or engine seconds that servers were busy.
        prefill_tokens: Prompt tokens that engines computed.
        output_tokens: Tokens that engines generated.
        attainable: Upper bound on the share of requests that can be attained.
        offered_by_second: Requests by second of arrival, counted from the start of
            the fault; negative before it.
        attained_by_second: Attained requests by the same seconds.
        offered_by_organisation: Requests by organisation.
        attained_by_organisation: Attained requests by organisation.
        counters: Refusals by reason, and the policy's counters summed over all hosts.
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
