"""The claims client over a fake leader, on a paused clock."""

import asyncio

import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from galenadrum._internal.entry.claims_client import ClaimsClient
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    OutcomeUnknownError,
    RequestRefusedError,
)
from galenadrum._internal.models.callers import RecordedAnswer
from galenadrum._internal.models.requests import RefusalReason, Request, RunState
from lib.control_commands import Replica
from lib.paused_loop import run_paused

_ANSWER = RecordedAnswer(201, b"paid")
_FINGERPRINT = b"f" * 32


class _Leader:
    """Applies what is sent; loses commands or answers as told."""

    def __init__(self):
        self.replica = Replica()
        self.faults = []

    def client(self):
        return ClaimsClient("e1", self.send, self.send)

    async def send(self, message, deadline):
        fault = self.faults.pop(0) if self.faults else ""
        now = asyncio.get_running_loop().time()
        if fault == "unreachable":
            await asyncio.sleep(deadline - now)
            raise ControlUnreachableError
        if fault == "busy":
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too much waits")
        if fault != "command lost":
            response = self.replica.send(message, round(now * 1_000))
        if fault:
            await asyncio.sleep(deadline - now)
            raise OutcomeUnknownError
        return response


def _request(request_id, deadline_s=10.0):
    now = asyncio.get_running_loop().time()
    return Request(
        request_id, "suva", "pay", ("pay",), now + deadline_s, now, idempotency_key="k"
    )


async def _refusal(client, request):
    with pytest.raises(RequestRefusedError) as caught:
        await client.acquire(request, _FINGERPRINT)
    return caught.value.refusal


class TestClaimsClient:
    @pytest.mark.parametrize("fault", ["unreachable", "command lost", "answer lost"])
    def test_a_lost_claim_is_not_run_and_leaves_the_key_free(self, fault):
        leader = _Leader()

        async def scenario():
            client = leader.client()
            leader.faults = [fault]
            began = asyncio.get_running_loop().time()
            refusal = await _refusal(client, _request("r1"))
            assert asyncio.get_running_loop().time() - began == pytest.approx(2.0)
            assert refusal.run is RunState.NOT_RUN
            assert (await _refusal(client, _request("r2"))).run is RunState.NOT_RUN
            await asyncio.sleep(2)
            assert client.pending_records == 0
            assert await client.acquire(_request("r3"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_a_release_is_tried_again_until_control_takes_it(self):
        leader = _Leader()

        async def scenario():
            client = leader.client()
            leader.faults = ["answer lost", "unreachable", "busy", "command lost"]
            await _refusal(client, _request("r1"))
            await asyncio.sleep(20)
            assert await client.acquire(_request("r2"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_a_cancelled_claim_is_released(self):
        leader = _Leader()

        async def scenario():
            client = leader.client()
            leader.faults = ["answer lost"]
            task = asyncio.create_task(client.acquire(_request("r1"), _FINGERPRINT))
            await asyncio.sleep(1)
            task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(2)
            assert await client.acquire(_request("r2"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_a_repeat_waits_for_the_outcome_within_its_deadline(self):
        leader = _Leader()

        async def scenario():
            client = leader.client()
            first = _request("r1")
            assert await client.acquire(first, _FINGERPRINT) is None
            repeat = asyncio.create_task(client.acquire(_request("r2"), _FINGERPRINT))
            await asyncio.sleep(3)
            await client.record(first, _ANSWER)
            assert await repeat == _ANSWER

        run_paused(scenario())

    def test_a_repeat_is_refused_at_once_when_it_cant_wait(self):
        leader = _Leader()

        async def scenario():
            client = leader.client()
            await client.acquire(_request("r1"), _FINGERPRINT)
            began = asyncio.get_running_loop().time()
            refusal = await _refusal(client, _request("r2", 0.5))
            assert asyncio.get_running_loop().time() == began
            assert refusal.reason is RefusalReason.IN_PROGRESS
            assert refusal.run is RunState.UNKNOWN
            assert refusal.retry_after_s > 0
            await asyncio.sleep(15)
            refusal = await _refusal(client, _request("r3"))
            assert refusal.reason is RefusalReason.OUTCOME_UNKNOWN

        run_paused(scenario())

    def test_an_answer_too_large_to_keep_is_known_to_have_run(self):
        leader = _Leader()

        async def scenario():
            client = leader.client()
            first = _request("r1")
            await client.acquire(first, _FINGERPRINT)
            await client.record(first, RecordedAnswer(200, b"x" * 70_000))
            refusal = await _refusal(client, _request("r2"))
            assert (refusal.reason, refusal.run) == (
                RefusalReason.ALREADY_RUN,
                RunState.RUN,
            )

        run_paused(scenario())

    def test_recording_holds_an_answer_up_for_a_bounded_time(self):
        leader = _Leader()

        async def scenario():
            client = leader.client()
            first = _request("r1")
            await client.acquire(first, _FINGERPRINT)
            leader.faults = ["unreachable"] * 100
            began = asyncio.get_running_loop().time()
            await client.record(first, _ANSWER)
            assert asyncio.get_running_loop().time() - began == pytest.approx(1.0)
            await asyncio.sleep(200)
            assert (client.pending_records, client.dropped_records) == (0, 1)

        run_paused(scenario())
