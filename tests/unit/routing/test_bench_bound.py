"""The bound on attainment: true, and as tight as the stages' order makes it."""

from dataclasses import replace

from benchmarks.policy.bound import attainable
from benchmarks.policy.scenarios import SCENARIOS_BY_NAME
from benchmarks.policy.sites import VATU
from benchmarks.policy.workload import make_arrivals

BURST = SCENARIOS_BY_NAME["burst"]


def first_chain():
    arrivals = make_arrivals(VATU, BURST, 1)
    return next(
        a
        for a in arrivals
        if a.request.arrived >= VATU.warm_up_s and a.request.output_tokens
    )


class TestBound:
    def test_a_request_that_fits_alone_counts_as_attainable(self):
        assert attainable(VATU, BURST, [first_chain()]) == 1.0

    def test_stages_that_take_longer_than_the_deadline_together_do_not(self):
        chain = first_chain()
        works = dict.fromkeys(chain.work_by_stage, 2.0)
        assert attainable(VATU, BURST, [replace(chain, work_by_stage=works)]) == 0.0

    def test_a_later_stage_competes_for_the_time_that_earlier_ones_leave(self):
        chain = first_chain()
        start = VATU.warm_up_s
        request = replace(chain.request, arrived=start, deadline=start + 4.0)
        works = dict.fromkeys(chain.work_by_stage, 0.68)
        arrival = replace(chain, request=request, work_by_stage=works, output_tokens=60)
        count = 70
        copies = [
            replace(arrival, request=replace(request, request_id=f"r{index}"))
            for index in range(count)
        ]
        # 5 engines could serve all in 4 s, but not in the 2 s that are left to them.
        assert attainable(VATU, BURST, copies) < 1.0
