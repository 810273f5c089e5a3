"""Switches that disable single mechanisms of the policy for comparison."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Enabled mechanisms of the policy; daemons enable all of them.

    Attributes:
        admission: Refuse requests on arrival that can't be completed in time.
        give_up: Reject queued calls that can no longer meet their deadline.
        fairness: Serve organisations by weighted cost instead of by deadline.
        deadline_order: Serve calls in order of deadline instead of arrival.
        limits: Adapt the concurrency limit of each server.
        reports: Estimate the calls of other entry hosts from load reports.
        prefixes: Score servers by the prefixes that they are expected to cache.
        prefix_queueing: Queue on the server that caches a prefix instead of
            computing the prefix on another one, while that saves time.
        home_zones: Forward calls with long prefixes to the prefix's home zone.
        spill: Forward calls that the own zone can't complete in time.
        ejection: Eject servers that do worse than their peers.
        speeds: Estimate the speed of each server relative to its peers.
        stalls: Count a server as slow when calls in flight exceed their expected
            time by far.
        retry_budget: Bound retries to a share of recent traffic.
        small_first: Admit cheap requests in preference to expensive ones.
        spare_retries: Allow retries beyond the budget while capacity is idle.
    """

    admission: bool = True
    give_up: bool = True
    fairness: bool = True
    deadline_order: bool = True
    limits: bool = True
    reports: bool = True
    prefixes: bool = True
    prefix_queueing: bool = True
    home_zones: bool = True
    spill: bool = True
    ejection: bool = True
    speeds: bool = True
    stalls: bool = True
    retry_budget: bool = True
    spare_retries: bool = True
    small_first: bool = True
