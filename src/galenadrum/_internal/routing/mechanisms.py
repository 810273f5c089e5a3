"""Switches that turn single mechanisms of the policy off for comparison."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Which mechanisms are in force; daemons run with all of them.

    Attributes:
        admission: Refuse at entry what can't be completed in time.
        give_up: Reject queued calls that can't meet the deadline any more.
        fairness: Serve organisations by weighted cost instead of by deadline.
        deadline_order: Serve what is due first; otherwise in order of arrival.
        limits: Adapt the number of calls in flight for each server.
        reports: Correct own calls in flight with load reports.
        prefixes: Weigh prefixes that a server is expected to hold.
        prefix_queueing: Queue on the server that keeps a prefix rather than
            compute it elsewhere, while that saves time.
        home_zones: Forward long prefixes to the zone that keeps them.
        spill: Forward calls that the own zone can't complete in time.
        ejection: Leave out servers that do worse than their peers.
        speeds: Learn how fast each server is compared with its peers.
        stalls: Take calls in flight for too long as a sign of slowness.
        retry_budget: Bound retries by a share of recent traffic.
        small_first: Admit what costs little before what costs much.
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
