import random

import pytest

from galenadrum._internal.entry.pipeline_executor import (
    Complete,
    PipelineExecutor,
    Refuse,
    SendCall,
)
from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Outcome,
    Refusal,
    RefusalReason,
    Reject,
    Request,
    RunState,
)

STAGES = ("encode", "charge", "generate")


class FakePolicy:
    """Dispatches, queues or rejects at random and always allows a retry."""

    def __init__(self, rng):
        self.rng = rng
        self.queued = []
        self.open_calls = set()

    def admit(self, request, now):
        return None

    def submit(self, call, now):
        choice = self.rng.random()
        if choice < 0.2:
            self.queued.append(call)
            return ()
        return (self._decide(call, choice),)

    def _decide(self, call, choice):
        if choice < 0.25:
            refusal = Refusal(RefusalReason.OVERLOADED, RunState.NOT_RUN, "busy", 1.0)
            return Reject(call, refusal)
        server_id = f"server-{self.rng.randrange(3)}"
        return Dispatch(call, server_id, "127.0.0.1:1", 1.0)

    def finished(self, call, server_id, result, now):
        return ()

    def withdraw(self, call, now):
        self.queued = [other for other in self.queued if other.key != call.key]
        return ()

    def allow_retry(self, call, result, now):
        return True

    def end_request(self, request, now):
        pass

    def tick(self, now):
        queued, self.queued = self.queued, []
        return tuple(self._decide(call, self.rng.uniform(0.2, 1)) for call in queued)

    def next_wakeup(self, now):
        return None


class ExecutionSimulation:
    """Applies actions to simulated servers and records which stages ran."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.executor = PipelineExecutor(FakePolicy(self.rng))
        self.in_flight = []
        self.delivered_results = []
        self.run_counts = {}
        self.final_actions_by_id = {}
        self.completed_stages = {}
        self.now = 0.0

    def begin(self, number):
        request = Request(
            f"r{number}", "o", "p", STAGES, self.now + 5, self.now, idempotency_key="k"
        )
        actions = self.executor.begin(
            request, frozenset({"charge"}), self.now, claimed=True
        )
        self.apply_actions(actions)

    def apply_actions(self, actions):
        for action in actions:
            if isinstance(action, SendCall):
                self.in_flight.append(action.dispatch)
            else:
                assert action.request_id not in self.final_actions_by_id
                self.final_actions_by_id[action.request_id] = action

    def finish_random_attempt(self):
        dispatch = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
        outcome = self.rng.choices(list(Outcome), (10, 3, 1, 1, 1))[0]
        has_run = outcome in (Outcome.COMPLETED, Outcome.FAILED)
        if outcome in (Outcome.UNKNOWN, Outcome.CANCELLED):
            has_run = self.rng.random() < 0.5
        if has_run:
            key = (dispatch.call.request.request_id, dispatch.call.stage)
            self.run_counts[key] = self.run_counts.get(key, 0) + 1
        arguments = (dispatch.call, dispatch.server_id, AttemptResult(outcome, 0.1))
        self.delivered_results.append(arguments)
        self.apply_actions(self.executor.record_attempt_result(*arguments, self.now))

    def replay_random_result(self):
        arguments = self.rng.choice(self.delivered_results)
        before = self.executor.stale_results
        assert self.executor.record_attempt_result(*arguments, self.now) == ()
        assert self.executor.stale_results == before + 1

    def step(self, number):
        self.now += self.rng.random() * 0.2
        choice = self.rng.random()
        if choice < 0.3:
            self.begin(number)
        elif choice < 0.8 and self.in_flight:
            self.finish_random_attempt()
        elif choice < 0.85 and self.delivered_results:
            self.replay_random_result()
        elif choice < 0.95:
            self.apply_actions(self.executor.tick(self.now))
        else:
            self.abandon_random_request(number)

    def abandon_random_request(self, number):
        request_id = f"r{self.rng.randrange(number + 1)}"
        reason = RefusalReason.DEADLINE
        self.apply_actions(self.executor.abandon(request_id, reason, self.now))

    def check_final_actions(self):
        for request_id, action in self.final_actions_by_id.items():
            run_counts = {s: self.run_counts.get((request_id, s), 0) for s in STAGES}
            assert run_counts["charge"] <= 1
            if isinstance(action, Complete):
                assert all(run_counts.values())
            elif action.refusal.run is RunState.NOT_RUN:
                assert not any(run_counts.values())
            elif action.refusal.run is RunState.RUN:
                assert any(run_counts.values())
            if isinstance(action, Refuse) and not action.side_effects_possible:
                assert run_counts["charge"] == 0


class TestPipelineExecutor:
    @pytest.mark.parametrize("seed", range(40))
    def test_each_request_ends_once_with_a_correct_run_state(self, seed):
        simulation = ExecutionSimulation(seed)
        for number in range(600):
            simulation.step(number)
        while simulation.in_flight or len(simulation.executor):
            simulation.apply_actions(simulation.executor.tick(simulation.now))
            if simulation.in_flight:
                simulation.finish_random_attempt()
        simulation.check_final_actions()

    def test_refuses_to_begin_an_unrepeatable_request_without_a_claim(self):
        executor = PipelineExecutor(FakePolicy(random.Random(1)))
        request = Request("r", "o", "p", STAGES, 5.0, 0.0)
        with pytest.raises(InvariantError):
            executor.begin(request, frozenset({"charge"}), 0.0, claimed=False)

    def test_refuses_a_request_whose_deadline_has_passed(self):
        executor = PipelineExecutor(FakePolicy(random.Random(1)))
        request = Request("r", "o", "p", STAGES, 5.0, 0.0)
        refusal = executor.admit(request, 5.0)
        assert refusal.run is RunState.NOT_RUN
        assert refusal.reason is RefusalReason.DEADLINE
