"""The claims client with a fake leader, on a paused clock."""

import asyncio

import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from galenadrum._internal.entry.claims_client import ClaimsClient
from galenadrum._internal.entry.control_reach import UNREACHABLE_AFTER_S, ControlReach
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    OutcomeUnknownError,
    RequestRefusedError,
)
from galenadrum._internal.models.callers import RecordedResponse
from galenadrum._internal.models.requests import RefusalReason, Request, RunState
from lib.control_commands import Replica
from lib.paused_loop import run_paused

_ANSWER = RecordedResponse(201, b"paid")
_FINGERPRINT = b"f" * 32


class _Leader:
    """Applies messages; loses commands or answers listed in ``faults``."""

    def __init__(self):
        self.replica = Replica()
        self.faults = []
        self.probe_faults = []
        self.watch_staleness_s = 0.0

    def build_client(self):
        return ClaimsClient(
            "e1", self.send, self.send, self.probe, lambda: self.watch_staleness_s
        )

    async def probe(self, deadline):
        if self.probe_faults:
            await asyncio.sleep(self.probe_faults.pop(0))
            raise ControlUnreachableError

    async def send(self, message, deadline):
        fault = self.faults.pop(0) if self.faults else ""
        now = asyncio.get_running_loop().time()
        if fault == "silent":
            raise ControlUnreachableError
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
        await client.acquire_claim(request, _FINGERPRINT)
    return caught.value.refusal


class TestClaimsClient:
    @pytest.mark.parametrize("fault", ["unreachable", "command lost", "answer lost"])
    def test_a_lost_claim_is_not_run_and_its_key_is_released(self, fault):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            leader.faults = [fault]
            started_at = asyncio.get_running_loop().time()
            refusal = await _refusal(client, _request("r1"))
            assert asyncio.get_running_loop().time() - started_at == pytest.approx(2.0)
            assert refusal.run is RunState.NOT_RUN
            assert (await _refusal(client, _request("r2"))).run is RunState.NOT_RUN
            await asyncio.sleep(2)
            assert client.pending_outcome_count == 0
            assert await client.acquire_claim(_request("r3"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_a_release_is_retried_until_control_accepts_it(self):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            leader.faults = ["answer lost", "unreachable", "busy", "command lost"]
            await _refusal(client, _request("r1"))
            await asyncio.sleep(20)
            assert await client.acquire_claim(_request("r2"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_a_cancelled_claim_is_released(self):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            leader.faults = ["answer lost"]
            task = asyncio.create_task(
                client.acquire_claim(_request("r1"), _FINGERPRINT)
            )
            await asyncio.sleep(1)
            task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(2)
            assert await client.acquire_claim(_request("r2"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_a_repeated_request_waits_for_the_outcome_within_its_deadline(self):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            first = _request("r1")
            assert await client.acquire_claim(first, _FINGERPRINT) is None
            repeated_claim = asyncio.create_task(
                client.acquire_claim(_request("r2"), _FINGERPRINT)
            )
            await asyncio.sleep(3)
            await client.record_answer(first, _ANSWER)
            assert await repeated_claim == _ANSWER

        run_paused(scenario())

    def test_a_repeated_request_with_a_short_deadline_is_refused_at_once(self):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            await client.acquire_claim(_request("r1"), _FINGERPRINT)
            started_at = asyncio.get_running_loop().time()
            refusal = await _refusal(client, _request("r2", 0.5))
            assert asyncio.get_running_loop().time() == started_at
            assert refusal.reason is RefusalReason.IN_PROGRESS
            assert refusal.run is RunState.UNKNOWN
            assert refusal.retry_after_s > 0
            await asyncio.sleep(15)
            refusal = await _refusal(client, _request("r3"))
            assert refusal.reason is RefusalReason.OUTCOME_UNKNOWN

        run_paused(scenario())

    def test_a_request_whose_answer_is_too_large_to_keep_is_refused_as_already_run(
        self,
    ):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            first = _request("r1")
            await client.acquire_claim(first, _FINGERPRINT)
            await client.record_answer(first, RecordedResponse(200, b"x" * 70_000))
            refusal = await _refusal(client, _request("r2"))
            assert (refusal.reason, refusal.run) == (
                RefusalReason.ALREADY_RUN,
                RunState.RUN,
            )

        run_paused(scenario())

    def test_recording_delays_an_answer_for_a_bounded_time(self):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            first = _request("r1")
            await client.acquire_claim(first, _FINGERPRINT)
            leader.faults = ["unreachable"] * 100
            started_at = asyncio.get_running_loop().time()
            await client.record_answer(first, _ANSWER)
            assert asyncio.get_running_loop().time() - started_at == pytest.approx(1.0)
            await asyncio.sleep(200)
            assert (client.pending_outcome_count, client.dropped_outcome_count) == (
                0,
                1,
            )

        run_paused(scenario())

    def test_the_declared_retention_is_sent_with_the_claim(self):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            first = _request("r1", 1.0)
            assert (
                await client.acquire_claim(first, _FINGERPRINT, retention_s=20) is None
            )
            await client.record_answer(first, _ANSWER)
            await asyncio.sleep(20)
            assert await client.acquire_claim(_request("r2"), _FINGERPRINT) == _ANSWER
            await asyncio.sleep(5)
            assert await client.acquire_claim(_request("r3"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_after_a_failed_claim_others_are_refused_at_once_until_control_answers(
        self,
    ):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            loop = asyncio.get_running_loop()
            leader.faults = ["unreachable"]
            leader.probe_faults = [1.0] * 20
            await _refusal(client, _request("r0"))
            started_at = loop.time()
            while loop.time() < started_at + 25:
                before = loop.time()
                refusal = await _refusal(client, _request("r1"))
                assert loop.time() == before
                assert refusal.run is RunState.NOT_RUN
                assert refusal.retry_after_s > 0
                await asyncio.sleep(5)
            await asyncio.sleep(10)
            assert await client.acquire_claim(_request("r2"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_a_stale_watch_refuses_the_first_claim_at_once(self):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            leader.watch_staleness_s = UNREACHABLE_AFTER_S + 0.1
            leader.probe_faults = [1.0]
            before = asyncio.get_running_loop().time()
            assert (await _refusal(client, _request("r1"))).run is RunState.NOT_RUN
            assert asyncio.get_running_loop().time() == before
            await asyncio.sleep(3)
            assert await client.acquire_claim(_request("r2"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_a_short_deadline_in_an_election_doesnt_refuse_the_next_claim(self):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            leader.faults = ["unreachable"]
            await _refusal(client, _request("r1", 0.3))
            assert await client.acquire_claim(_request("r2"), _FINGERPRINT) is None

        run_paused(scenario())

    def test_after_all_members_are_silent_the_next_claim_is_refused_at_once(self):
        leader = _Leader()

        async def scenario():
            client = leader.build_client()
            leader.faults = ["silent"]
            leader.probe_faults = [1.0]
            await _refusal(client, _request("r1", 0.3))
            before = asyncio.get_running_loop().time()
            await _refusal(client, _request("r2"))
            assert asyncio.get_running_loop().time() == before

        run_paused(scenario())


class TestControlReach:
    def test_a_recent_answer_or_a_current_watch_suffices(self):
        reach = ControlReach()
        assert not reach.is_unreachable(100.0, UNREACHABLE_AFTER_S)
        assert reach.is_unreachable(100.0, UNREACHABLE_AFTER_S + 1)
        reach.answered(100.0)
        assert not reach.is_unreachable(101.0, UNREACHABLE_AFTER_S + 1)
        assert reach.is_unreachable(
            100.0 + UNREACHABLE_AFTER_S + 1, UNREACHABLE_AFTER_S + 1
        )

    def test_a_failure_lasts_until_the_leader_answers(self):
        reach = ControlReach()
        reach.failed()
        assert reach.is_unreachable(100.0, 0.0)
        reach.answered(101.0)
        assert not reach.is_unreachable(101.0, 0.0)
