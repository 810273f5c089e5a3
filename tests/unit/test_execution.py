import random

import pytest

from galenadrum._internal.entry.execution import (
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


class World:
    """Carries actions out against servers that know what really ran."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.executor = PipelineExecutor(FakePolicy(self.rng))
        self.in_flight = []
        self.old_results = []
        self.runs = {}
        self.final = {}
        self.completed_stages = {}
        self.now = 0.0

    def begin(self, number):
        request = Request(
            f"r{number}", "o", "p", STAGES, self.now + 5, self.now, idempotency_key="k"
        )
        actions = self.executor.begin(
            request, frozenset({"charge"}), self.now, claimed=True
        )
        self.carry_out(actions)

    def carry_out(self, actions):
        for action in actions:
            if isinstance(action, SendCall):
                self.in_flight.append(action.dispatch)
            else:
                assert action.request_id not in self.final
                self.final[action.request_id] = action

    def finish_one(self):
        dispatch = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
        outcome = self.rng.choices(list(Outcome), (10, 3, 1, 1, 1))[0]
        ran = outcome in (Outcome.COMPLETED, Outcome.FAILED)
        if outcome in (Outcome.UNKNOWN, Outcome.CANCELLED):
            ran = self.rng.random() < 0.5
        if ran:
            key = (dispatch.call.request.request_id, dispatch.call.stage)
            self.runs[key] = self.runs.get(key, 0) + 1
        arguments = (dispatch.call, dispatch.server_id, AttemptResult(outcome, 0.1))
        self.old_results.append(arguments)
        self.carry_out(self.executor.attempt_finished(*arguments, self.now))

    def replay_one(self):
        arguments = self.rng.choice(self.old_results)
        before = self.executor.stale_results
        assert self.executor.attempt_finished(*arguments, self.now) == ()
        assert self.executor.stale_results == before + 1

    def step(self, number):
        self.now += self.rng.random() * 0.2
        choice = self.rng.random()
        if choice < 0.3:
            self.begin(number)
        elif choice < 0.8 and self.in_flight:
            self.finish_one()
        elif choice < 0.85 and self.old_results:
            self.replay_one()
        elif choice < 0.95:
            self.carry_out(self.executor.tick(self.now))
        else:
            self.abandon_one(number)

    def abandon_one(self, number):
        request_id = f"r{self.rng.randrange(number + 1)}"
        reason = RefusalReason.DEADLINE
        self.carry_out(self.executor.abandon(request_id, reason, self.now))

    def check_truth(self):
        for request_id, action in self.final.items():
            runs = {s: self.runs.get((request_id, s), 0) for s in STAGES}
            assert runs["charge"] <= 1
            if isinstance(action, Complete):
                assert all(runs.values())
            elif action.refusal.run is RunState.NOT_RUN:
                assert not any(runs.values())
            elif action.refusal.run is RunState.RUN:
                assert any(runs.values())
            if isinstance(action, Refuse) and not action.side_effects_possible:
                assert runs["charge"] == 0


class TestPipelineExecutor:
    @pytest.mark.parametrize("seed", range(40))
    def test_each_request_ends_once_and_truthfully(self, seed):
        world = World(seed)
        for number in range(600):
            world.step(number)
        while world.in_flight or len(world.executor):
            world.carry_out(world.executor.tick(world.now))
            if world.in_flight:
                world.finish_one()
        world.check_truth()

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
