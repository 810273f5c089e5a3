"""Scenarios of the policy benchmark, and the targets for its figures."""

from __future__ import annotations

from dataclasses import dataclass

BOUND_SHARE_TARGET = 0.97
SMALL_ORGANISATION_LOSS_TARGET = 0.02
PREFILL_SHARE_TARGET = 0.6
RECOVERY_TARGET_S = 5.0
BASELINE_TOLERANCE = 0.0

FAULT_DELAY_S = 6.0
FAULT_DURATION_S = 12.0
BURST_DURATION_S = 20.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and faults of a run; most faults start 6 s after the warm-up.

    Attributes:
        load: Offered load as a share of capacity.
        length_s: Seconds after the warm-up in which requests arrive.
        burst_factor: Factor on the load for 20 s from the start of the fault.
        engine_slowdown: Factor on one engine's iteration time from the start of
            the fault.
        service_failure_share: Share of one service's calls that fail from the
            start of the fault.
        isolates_zone: True to partition a zone from the others for 12 s from the
            start of the fault.
        report_age_s: Minimum age of load reports when they are sent, in seconds.
        greedy_factor: Factor on the requests of one organisation from the start
            of the fault.
        cache_event_loss_share: Share of cache events that are lost.
        restarts: True to restart all servers one after another, from the end of
            the warm-up.
        callers_retry: True to let callers retry refused requests.
    """

    name: str
    load: float = 0.6
    length_s: float = 24.0
    burst_factor: float = 1.0
    engine_slowdown: float = 1.0
    service_failure_share: float = 0.0
    isolates_zone: bool = False
    report_age_s: float = 0.5
    greedy_factor: float = 1.0
    cache_event_loss_share: float = 0.0
    restarts: bool = False
    callers_retry: bool = False


SCENARIOS = (
    Scenario("steady-60"),
    Scenario("steady-90", load=0.9),
    Scenario("burst", burst_factor=3.0, length_s=36.0),
    Scenario("burst-return", burst_factor=3.0, length_s=36.0, callers_retry=True),
    Scenario("slow-engine", engine_slowdown=5.0),
    Scenario("failing-service", service_failure_share=0.5),
    Scenario("zone-cut", isolates_zone=True, length_s=26.0),
    Scenario("late-reports", load=0.9, report_age_s=5.0),
    Scenario("greedy", greedy_factor=10.0),
    Scenario("lost-events", load=0.9, cache_event_loss_share=0.5),
    Scenario("restarts", restarts=True, length_s=34.0),
)

# Scenarios that run only when they are selected by name.
EXTRA_SCENARIOS = (
    Scenario(
        "failing-burst", burst_factor=3.0, service_failure_share=0.5, length_s=36.0
    ),
)

SCENARIOS_BY_NAME = {s.name: s for s in (*SCENARIOS, *EXTRA_SCENARIOS)}
GREEDY_ORGANISATION = "middle"
SMALL_ORGANISATIONS = ("small-1", "small-2")
