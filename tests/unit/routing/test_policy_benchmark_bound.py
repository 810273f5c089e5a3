"""Tests of the upper bound on the attained share of requests."""

from dataclasses import replace

from benchmarks.policy.bound import compute_attainable_share
from benchmarks.policy.scenarios import SCENARIOS_BY_NAME
from benchmarks.policy.sites import VATU
from benchmarks.policy.workload import make_arrivals

BURST = SCENARIOS_BY_NAME["burst"]


def first_generating_arrival():
    arrivals = make_arrivals(VATU, BURST, 1)
    return next(
        a
        for a in arrivals
        if a.request.arrived_at >= VATU.warm_up_s and a.request.output_tokens
    )


class TestAttainableShare:
    def test_single_request_within_its_deadline_is_attainable(self):
        assert (
            compute_attainable_share(VATU, BURST, [first_generating_arrival()]) == 1.0
        )

    def test_request_whose_stages_exceed_the_deadline_is_not_attainable(self):
        first_arrival = first_generating_arrival()
        work_by_stage = dict.fromkeys(first_arrival.work_by_stage, 2.0)
        assert (
            compute_attainable_share(
                VATU, BURST, [replace(first_arrival, work_by_stage=work_by_stage)]
            )
            == 0.0
        )

    def test_later_stages_get_only_the_time_that_earlier_ones_leave(self):
        first_arrival = first_generating_arrival()
        start = VATU.warm_up_s
        request = replace(first_arrival.request, arrived_at=start, deadline=start + 4.0)
        work_by_stage = dict.fromkeys(first_arrival.work_by_stage, 0.68)
        arrival = replace(
            first_arrival,
            request=request,
            work_by_stage=work_by_stage,
            output_tokens=60,
        )
        count = 70
        copies = [
            replace(arrival, request=replace(request, request_id=f"r{index}"))
            for index in range(count)
        ]
        # The 5 engines could serve all calls in 4 s, but not in the 2 s that remain
        # after the earlier stages.
        assert compute_attainable_share(VATU, BURST, copies) < 1.0
