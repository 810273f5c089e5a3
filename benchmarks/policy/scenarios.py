"""The scenarios, and the targets, which were set before anything was measured."""

from __future__ import annotations

from dataclasses import dataclass

BOUND_SHARE_TARGET = 0.97
SMALL_ORGANISATION_LOSS_TARGET = 0.02
PREFILL_SHARE_TARGET = 0.6
RECOVERY_TARGET_S = 5.0
BASELINE_TOLERANCE = 0.0

FAULT_DELAY_S = 6.0
FAULT_S = 12.0
BURST_S = 20.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One kind of load and fault; the fault starts 6 s after the warm-up.

    Attributes:
        load: Offered load as a share of capacity.
        length_s: Length of the arrivals after the warm-up.
        burst: Factor on the load for 20 s from the start of the fault.
        slow_engine: Factor on one engine's times from the start of the fault.
        failing_service: Share of one service's calls that fail from then on.
        cut_zone: Whether a zone is cut off between start and end of the fault.
        report_age_s: Age of load reports when they arrive.
        greedy: Factor on the requests of one organisation from the start of
            the fault on.
        lost_cache_events: Share of cache events that are lost.
        restarts: Whether all servers are restarted one after another.
        callers_return: Whether callers without an answer come back.
    """

    name: str
    load: float = 0.6
    length_s: float = 24.0
    burst: float = 1.0
    slow_engine: float = 1.0
    failing_service: float = 0.0
    cut_zone: bool = False
    report_age_s: float = 0.5
    greedy: float = 1.0
    lost_cache_events: float = 0.0
    restarts: bool = False
    callers_return: bool = False


SCENARIOS = (
    Scenario("steady-60"),
    Scenario("steady-90", load=0.9),
    Scenario("burst", burst=3.0, length_s=36.0),
    Scenario("burst-return", burst=3.0, length_s=36.0, callers_return=True),
    Scenario("slow-engine", slow_engine=5.0),
    Scenario("failing-service", failing_service=0.5),
    Scenario("zone-cut", cut_zone=True, length_s=26.0),
    Scenario("late-reports", load=0.9, report_age_s=5.0),
    Scenario("greedy", greedy=10.0),
    Scenario("lost-events", load=0.9, lost_cache_events=0.5),
    Scenario("restarts", restarts=True, length_s=34.0),
)

# Run only when they are named.
EXTRA_SCENARIOS = (
    Scenario("failing-burst", burst=3.0, failing_service=0.5, length_s=36.0),
)

SCENARIOS_BY_NAME = {s.name: s for s in (*SCENARIOS, *EXTRA_SCENARIOS)}
GREEDY_ORGANISATION = "middle"
SMALL_ORGANISATIONS = ("small-1", "small-2")
