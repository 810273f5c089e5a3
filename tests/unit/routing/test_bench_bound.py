"""Tests of the upper bound on attainment, which respects the order of stages."""

from dataclasses import replace

from benchmarks.policy.bound import attainable
from benchmarks.policy.scenarios import SCENARIOS_BY_NAME
from benchmarks.policy.sites import VATU
from benchmarks.policy.workload import make_arrivals

BURST = SCENARIOS_BY_NAME["burst"]


def first_generating_arrival():
    arrivals = make_arrivals(VATU, BURST, 1)
    return next(
        a
        for a in arrivals
        if a.request.arrived >= VATU.warm_up_s and a.request.output_tokens
    )


class TestBound:
    def test_a_request_that_fits_alone_counts_as_attainable(self):
        assert attainable(VATU, BURST, [first_generating_arrival()]) == 1.0

    def test_request_whose_stages_exceed_the_deadline_is_not_attainable(self):
        first_arrival = first_generating_arrival()
        works = dict.fromkeys(first_arrival.work_by_stage, 2.0)
        assert (
            attainable(VATU, BURST, [replace(first_arrival, work_by_stage=works)])
            == 0.0
        )

    def test_later_stages_share_only_the_time_left_by_earlier_ones(self):
        first_arrival = first_generating_arrival()
        start = VATU.warm_up_s
        request = replace(first_arrival.request, arrived=start, deadline=start + 4.0)
        works = dict.fromkeys(first_arrival.work_by_stage, 0.68)
        arrival = replace(
            first_arrival, request=request, work_by_stage=works, output_tokens=60
        )
        count = 70
        copies = [
            replace(arrival, request=replace(request, request_id=f"r{index}"))
            for index in range(count)
        ]
        # 5 engines could serve all calls in 4 s, but not in the 2 s that earlier
        # stages leave.
        assert attainable(VATU, BURST, copies) < 1.0
