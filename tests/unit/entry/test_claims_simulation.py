"""Batched claims of several entry hosts with faulty calls, on a paused clock."""

import asyncio
import random
from collections import Counter, defaultdict

import pytest

from galenadrum._internal.entry.claim_batches import ClaimBatcher
from galenadrum._internal.entry.claims_client import ClaimsClient
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    OutcomeUnknownError,
    RequestRefusedError,
)
from galenadrum._internal.models.callers import RecordedResponse
from galenadrum._internal.models.requests import Request, RunState
from galenadrum._internal.protocol.claims_pb2 import (
    CLAIM_STATE_COMPLETED,
    ClaimBatchRequest,
    ClaimRequest,
)
from lib.control_commands import Replica
from lib.paused_loop import run_paused

_RETENTION_S = 20
_LEASE_MARGIN_S = 2.0
_HOSTS = 3
_KEYS = 12


class _ClaimSimulation:
    """Callers that repeat requests through several hosts to one faulty leader."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.replica = Replica()
        self.unreachable_until = 0.0
        self.retained_until = {}
        self.answers_by_key = defaultdict(list)
        self.dispatched = set()
        self.counts = Counter()

    def now(self):
        return asyncio.get_running_loop().time()

    def apply(self, message):
        response = self.replica.send(message, round(self.now() * 1_000))
        if isinstance(message, ClaimBatchRequest):
            self.counts["batches"] += 1
            for item, answer in zip(message.items, response.answers, strict=True):
                self.check_answer(item.claim, answer.claim)
        elif isinstance(message, ClaimRequest):
            self.check_answer(message, response)
        return response

    def check_answer(self, message, response):
        """Check that a replayed answer is that of the key's latest dispatch."""
        if response.state == CLAIM_STATE_COMPLETED:
            current = self.answers_by_key[message.idempotency_key][-1]
            assert response.outcome[2:] == current.body

    async def send(self, message, deadline):
        """Apply a message once, twice, late or never; answer it or lose the answer."""
        await asyncio.sleep(self.rng.choice([0.0, 0.01, 0.05]))
        fault_draw = self.rng.random()
        if self.now() < self.unreachable_until or fault_draw < 0.03:
            if self.rng.random() < 0.5:
                await asyncio.sleep(max(0.0, deadline - self.now()))
            raise ControlUnreachableError("cut off")
        if fault_draw < 0.06:
            delay_s = self.rng.uniform(0.0, 1.5)
            asyncio.get_running_loop().call_later(delay_s, self.apply, message)
        else:
            response = self.apply(message)
        if fault_draw < 0.12:
            await asyncio.sleep(max(0.0, deadline - self.now()))
            raise OutcomeUnknownError("lost")
        if fault_draw < 0.15:
            self.apply(message)
        await asyncio.sleep(self.rng.choice([0.005, 0.08]))
        return response

    async def probe(self, deadline):
        if self.now() < self.unreachable_until:
            raise ControlUnreachableError("cut off")

    def build_client(self, name):
        batcher = ClaimBatcher(self.send, self.send)
        return ClaimsClient(name, batcher.send, batcher.send, self.probe, lambda: 0.0)

    async def submit_request(self, client, number):
        key = f"k{self.rng.randrange(_KEYS)}"
        deadline = self.now() + self.rng.choice([0.3, 2.0, 5.0])
        request = Request(
            f"r{number}", "suva", "p", ("p",), deadline, self.now(), idempotency_key=key
        )
        try:
            answer = await client.acquire_claim(request, b"f" * 32, _RETENTION_S)
        except RequestRefusedError as error:
            assert request.request_id not in self.dispatched
            self.counts[error.refusal.run] += 1
            return
        if answer is not None:
            # If the key expired while the answer was in flight, the answer may be
            # that of an earlier dispatch.
            self.counts["answers given again"] += 1
            assert answer in self.answers_by_key[key]
        elif self.now() >= deadline or self.rng.random() < 0.2:
            client.release_claim(request)
        else:
            await self.dispatch(client, request, key)

    async def dispatch(self, client, request, key):
        assert self.now() >= self.retained_until.get(key, 0.0)
        self.counts["dispatches"] += 1
        self.counts["dispatches of a forgotten key"] += key in self.retained_until
        self.dispatched.add(request.request_id)
        answer = RecordedResponse(200, request.request_id.encode())
        self.answers_by_key[key].append(answer)
        end = request.deadline + _LEASE_MARGIN_S + _RETENTION_S
        # Both sides round the claim's times to milliseconds.
        self.retained_until[key] = end - 0.002
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        outcome_draw = self.rng.random()
        if outcome_draw < 0.7:
            await client.record_answer(request, answer)
        elif outcome_draw < 0.85:
            client.record_unknown_outcome(request)

    async def run(self, requests):
        clients = [self.build_client(f"e{n}") for n in range(_HOSTS)]
        async with asyncio.TaskGroup() as group:
            for number in range(requests):
                client = self.rng.choice(clients)
                group.create_task(self.submit_request(client, number))
                await asyncio.sleep(self.rng.choice([0.0, 0.0, 0.05, 1.0]))
                if self.rng.random() < 0.01:
                    self.unreachable_until = self.now() + self.rng.choice([1.0, 30.0])
        await asyncio.sleep(200)
        assert not any(client.pending_outcome_count for client in clients)


def run_requests(seed, requests):
    """Simulate ``requests`` requests and return the counts of events."""
    run = _ClaimSimulation(seed)
    run_paused(run.run(requests))
    return run.counts


class TestConcurrentClaims:
    @pytest.mark.parametrize("seed", range(8))
    def test_requests_are_dispatched_at_most_once(self, seed):
        counts = run_requests(seed, 400)
        for name in (
            "dispatches",
            "dispatches of a forgotten key",
            "answers given again",
            "batches",
            RunState.NOT_RUN,
            RunState.UNKNOWN,
        ):
            assert counts[name] > 0
