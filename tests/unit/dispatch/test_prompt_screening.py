"""Screening of prompts by the dispatchers of one host."""

import pytest

from galenadrum._internal.dispatch.engine_pool import Run
from galenadrum._internal.dispatch.messages import PlacementOutcome, PromptPart
from galenadrum._internal.dispatch.prompt_screening import PromptScreening
from galenadrum._internal.models.quarantine import ServerCrash
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine
from lib.routing_values import request

TERM_S = 600.0
PROMPT = (PromptPart("first", 10), PromptPart("lethal", 10), PromptPart("own", 10))
LETHAL_REQUEST = request("r1", prompt=PROMPT)


class Engines:
    """Engines that crash on the lethal part.

    Attributes:
        runs: Runs at the engines that stay.
    """

    def __init__(self):
        self.quarantine = PartQuarantine("control-a")
        self.screening = PromptScreening(self.quarantine)
        self.runs = []
        self._count = 0

    def crash(self, now):
        self._count += 1
        prompt = ("first", "lethal", f"own-{self._count}")
        crash = ServerCrash(f"s-{self._count}", 1, now, (prompt,))
        return self.screening.record_crash(crash, self.runs, now)

    def start_run(self, started_at, prompt=PROMPT):
        run = Run("r1", prompt, 0, started_at, 0, started_at)
        self.runs.append(run)
        return run


class TestCrash:
    def test_part_is_quarantined_after_three_crashes(self):
        engines = Engines()
        assert [engines.crash(now) is not None for now in (1.0, 2.0, 3.0)] == [
            False,
            False,
            True,
        ]
        assert engines.screening.find_bar(LETHAL_REQUEST, 4.0).part_id == "lethal"

    def test_crashes_of_requests_sent_before_begin_no_longer_term(self):
        engines = Engines()
        for now in range(1, 10):
            engines.crash(float(now))
        (record,) = engines.quarantine.list_records(10.0)
        assert record.term == 1

    def test_prompts_that_run_on_elsewhere_are_cleared(self):
        engines = Engines()
        engines.start_run(0.5, (PromptPart("first", 10), PromptPart("sound", 10)))
        for now in (1.0, 2.0, 3.0):
            record = engines.crash(now)
        assert record.part_id == "lethal"


class TestProbation:
    @pytest.mark.parametrize(
        ("outcome", "has_started", "is_lifted", "term"),
        [
            (PlacementOutcome.FINISHED, True, True, 1),
            (PlacementOutcome.FAILED, False, False, 2),
            (PlacementOutcome.CANCELLED, False, False, 2),
            (PlacementOutcome.REJECTED, False, False, 1),
            (PlacementOutcome.FINISHED, False, False, 1),
        ],
    )
    def test_outcome_ends_the_test(self, outcome, has_started, is_lifted, term):
        engines = Engines()
        for now in (1.0, 2.0, 3.0):
            engines.crash(now)
        now = 3.0 + TERM_S
        assert engines.screening.find_bar(LETHAL_REQUEST, now) is None
        engines.screening.record_placement(LETHAL_REQUEST, now)
        assert engines.screening.find_bar(LETHAL_REQUEST, now) is not None
        run = engines.start_run(now + 0.1) if has_started else None
        engines.screening.record_outcome(LETHAL_REQUEST, run, outcome, now + 1.0)
        (record,) = engines.quarantine.list_records(now + 1.0)
        assert (record.is_lifted, record.term) == (is_lifted, term)

    def test_test_whose_host_is_lost_counts_as_failed(self):
        engines = Engines()
        for now in (1.0, 2.0, 3.0):
            engines.crash(now)
        now = 3.0 + TERM_S
        engines.screening.record_placement(LETHAL_REQUEST, now)
        engines.screening.record_abandonment("r1", now + 1.0)
        (record,) = engines.quarantine.list_records(now + 1.0)
        assert record.term == 2
