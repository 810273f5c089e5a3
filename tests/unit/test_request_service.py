import asyncio
from types import SimpleNamespace

import pytest

from galenadrum._internal.entry.pipeline_executor import PipelineExecutor
from galenadrum._internal.entry.request_service import RequestService
from galenadrum._internal.exceptions import RequestRefusedError
from galenadrum._internal.models.callers import CallerRequest
from galenadrum._internal.models.requests import Refusal, RefusalReason, RunState
from galenadrum._internal.models.resources import (
    OrganisationSpec,
    PipelineSpec,
    StageSpec,
)
from lib.paused_loop import run_paused

DEADLINE_MS = 3_000
TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


class UndecidingPolicy:
    """Accepts calls and never returns a decision on them."""

    def __init__(self):
        self.ended_requests = 0
        self.withdrawn_calls = 0

    def admit(self, request, now):
        return None

    def submit(self, call, now):
        return ()

    def withdraw(self, call, now):
        self.withdrawn_calls += 1
        return ()

    def end_request(self, request, now):
        self.ended_requests += 1


class RefusingClaims:
    """Records the retention of each claim and refuses it."""

    def __init__(self):
        self.retentions_s = []

    async def acquire_claim(self, request, fingerprint, retention_s):
        self.retentions_s.append(retention_s)
        raise RequestRefusedError(
            Refusal(RefusalReason.OVERLOADED, RunState.NOT_RUN, "full")
        )


def build_service(policy, claims=None, repeatable=True):
    view = SimpleNamespace(
        is_ready=True,
        organisation_by_key_digest=lambda digest: (
            "office",
            OrganisationSpec((digest,)),
        ),
        pipeline_by_name=lambda name: PipelineSpec(
            ("encode",), DEADLINE_MS, claim_retention_s=600
        ),
        stage_by_name=lambda name: StageSpec(repeatable=repeatable),
    )
    return RequestService(PipelineExecutor(policy), view, claims, max_in_flight=2)


def caller_request(idempotency_key=None):
    now = asyncio.get_running_loop().time()
    return CallerRequest(
        "key", "plan", "x", '"x"', arrived_at=now, idempotency_key=idempotency_key
    )


class TestRequestService:
    def test_refuses_an_undecided_request_at_its_deadline(self):
        policy = UndecidingPolicy()

        async def scenario():
            loop = asyncio.get_running_loop()
            service = build_service(policy)
            started = loop.time()
            with pytest.raises(RequestRefusedError) as caught:
                await service.open(caller_request(), TRACEPARENT)
            assert loop.time() - started == pytest.approx(DEADLINE_MS / 1_000, abs=0.1)
            return caught.value.refusal, service.in_flight

        refusal, in_flight = run_paused(scenario())
        assert refusal.reason is RefusalReason.DEADLINE
        assert refusal.run is RunState.NOT_RUN
        assert in_flight == 0
        assert (policy.withdrawn_calls, policy.ended_requests) == (1, 1)

    def test_claims_with_the_retention_that_the_pipeline_declares(self):
        claims = RefusingClaims()

        async def scenario():
            service = build_service(UndecidingPolicy(), claims, repeatable=False)
            with pytest.raises(RequestRefusedError):
                await service.open(caller_request("k"), TRACEPARENT)
            return service.in_flight

        assert run_paused(scenario()) == 0
        assert claims.retentions_s == [600]

    def test_withdraws_the_queued_call_when_opening_is_cancelled(self):
        policy = UndecidingPolicy()

        async def scenario():
            service = build_service(policy)
            opening = asyncio.create_task(service.open(caller_request(), TRACEPARENT))
            await asyncio.sleep(0.1)
            opening.cancel()
            await asyncio.wait({opening})
            return service.in_flight

        assert run_paused(scenario()) == 0
        assert (policy.withdrawn_calls, policy.ended_requests) == (1, 1)

    def test_refuses_requests_above_the_in_flight_limit_at_once(self):
        async def scenario():
            service = build_service(UndecidingPolicy())
            waiting = [
                asyncio.create_task(service.open(caller_request(), TRACEPARENT))
                for _ in range(2)
            ]
            await asyncio.sleep(0)
            with pytest.raises(RequestRefusedError) as caught:
                await service.open(caller_request(), TRACEPARENT)
            for task in waiting:
                task.cancel()
            await asyncio.wait(waiting)
            return caught.value.refusal

        refusal = run_paused(scenario())
        assert refusal.reason is RefusalReason.OVERLOADED
        assert refusal.retry_after_s > 0
