"""Batching of claims, with a fake leader on a paused clock."""

import asyncio

import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from galenadrum._internal.entry import claim_batches
from galenadrum._internal.entry.claim_batches import ClaimBatcher
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    OutcomeUnknownError,
)
from galenadrum._internal.protocol.claims_pb2 import (
    CLAIM_STATE_COMPLETED,
    CLAIM_STATE_GRANTED,
    CLAIM_STATE_MISMATCH,
    ClaimBatchRequest,
    ClaimBatchResponse,
)
from lib.control_commands import Replica, claim, outcome
from lib.paused_loop import run_paused

_CALL_S = 0.1


class _Leader:
    """Answers each call after ``_CALL_S``; fails some by call number."""

    def __init__(self, **limits):
        self.replica = Replica(**limits)
        self.sizes = []
        self.faults = {}
        self.call_s = _CALL_S
        self.batcher = ClaimBatcher(self.send, self.send)

    async def send(self, message, deadline):
        is_batch = isinstance(message, ClaimBatchRequest)
        self.sizes.append(len(message.items) if is_batch else 1)
        fault = self.faults.get(len(self.sizes))
        remaining_s = deadline - asyncio.get_running_loop().time()
        if fault == "unreachable":
            await asyncio.sleep(remaining_s)
            raise ControlUnreachableError
        if fault == "busy":
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "busy")
        response = self.replica.send(message)
        await asyncio.sleep(remaining_s if fault else self.call_s)
        if fault:
            raise OutcomeUnknownError
        return response

    def start(self, message, timeout_s=1.0):
        deadline = asyncio.get_running_loop().time() + timeout_s
        return asyncio.create_task(self.batcher.send(message, deadline))


async def _gather_results(tasks):
    return await asyncio.gather(*tasks, return_exceptions=True)


def _states(answers):
    return [answer.state for answer in answers]


class TestClaimBatcher:
    def test_first_message_is_sent_at_once_and_later_ones_are_batched(self):
        leader = _Leader()

        async def scenario():
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            assert (await leader.start(claim("a", "a"))).state == CLAIM_STATE_GRANTED
            assert loop.time() - started_at == pytest.approx(_CALL_S)
            first = leader.start(claim("b", "b"))
            await asyncio.sleep(_CALL_S / 2)
            rest = [leader.start(claim(name, name)) for name in "cdef"]
            answers = await _gather_results([first, *rest])
            assert _states(answers) == [CLAIM_STATE_GRANTED] * 5
            assert loop.time() - started_at == pytest.approx(3 * _CALL_S)
            assert leader.sizes == [1, 1, 4]
            assert (leader.batcher.calls, leader.batcher.sent) == (3, 6)

        run_paused(scenario())

    def test_each_message_gets_its_own_answer(self):
        leader = _Leader(max_claims=2)

        async def scenario():
            await leader.start(claim("a", "a"))
            tasks = [
                leader.start(body)
                for body in (
                    outcome("a", CLAIM_STATE_COMPLETED, b"done", "a"),
                    claim("b", "a"),
                    claim("c", "a", fingerprint=b"g" * 32),
                    claim("d", "d"),
                    claim("e", "e"),
                    claim("f", "f", fingerprint=b"short"),
                    outcome("g", CLAIM_STATE_COMPLETED, b"", "d"),
                )
            ]
            (
                recorded,
                repeated_claim,
                other_body,
                new,
                full,
                malformed,
                non_holder,
            ) = await _gather_results(tasks)
            assert leader.sizes == [1, 7]
            assert recorded.accepted
            assert repeated_claim.outcome == b"done"
            assert other_body.state == CLAIM_STATE_MISMATCH
            assert new.state == CLAIM_STATE_GRANTED
            assert full.status is Status.RESOURCE_EXHAUSTED
            assert malformed.status is Status.INVALID_ARGUMENT
            assert not non_holder.accepted

        run_paused(scenario())

    @pytest.mark.parametrize(
        ("fault", "error"),
        [
            ("unreachable", ControlUnreachableError),
            ("answer lost", OutcomeUnknownError),
            ("busy", GRPCError),
        ],
    )
    def test_a_failed_call_fails_all_its_messages(self, fault, error):
        leader = _Leader()
        leader.faults = {1: fault}

        async def scenario():
            tasks = [leader.start(claim(name, name)) for name in "abc"]
            assert {type(result) for result in await _gather_results(tasks)} == {error}
            again = [leader.start(claim(name, name)) for name in "abc"]
            states = _states(await _gather_results(again))
            assert states == [CLAIM_STATE_GRANTED] * 3

        run_paused(scenario())

    def test_a_short_deadline_fails_one_message_but_not_the_call(self):
        leader = _Leader()

        async def scenario():
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            short = leader.start(claim("a", "a"), _CALL_S / 2)
            long = leader.start(claim("b", "b"))
            with pytest.raises(OutcomeUnknownError):
                await short
            assert loop.time() - started_at == pytest.approx(_CALL_S / 2)
            assert (await long).state == CLAIM_STATE_GRANTED

        run_paused(scenario())

    @pytest.mark.parametrize("timeout_s", [_CALL_S / 2, _CALL_S])
    def test_a_message_queued_beyond_its_deadline_is_never_sent(self, timeout_s):
        leader = _Leader()

        async def scenario():
            first = leader.start(claim("a", "a"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            late = leader.start(claim("b", "b"), timeout_s)
            result = (await _gather_results([first, late]))[1]
            assert isinstance(result, ControlUnreachableError)
            await asyncio.sleep(1)
            assert leader.sizes == [1]

        run_paused(scenario())

    def test_a_message_cancelled_while_queued_is_never_sent(self):
        leader = _Leader()

        async def scenario():
            loop = asyncio.get_running_loop()
            first = leader.start(claim("a", "a"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            waiting = [leader.start(claim(name, name)) for name in "bc"]
            await asyncio.sleep(_CALL_S / 2)
            waiting[0].cancel()
            # In the same event loop iteration in which the call ends.
            loop.call_at(loop.time() + _CALL_S / 2, waiting[1].cancel)
            await _gather_results([first, *waiting])
            await asyncio.sleep(1)
            assert leader.sizes == [1]

        run_paused(scenario())

    def test_batch_count_and_size_are_bounded(self, monkeypatch):
        monkeypatch.setattr(claim_batches, "MAX_ITEMS", 3)
        monkeypatch.setattr(claim_batches, "MAX_BATCH_BYTES", 3_000)
        leader = _Leader()

        async def scenario():
            tasks = [leader.start(claim(f"r{n}", f"k{n}")) for n in range(7)]
            await _gather_results(tasks)
            assert leader.sizes == [3, 3, 1]
            large = [
                outcome(f"r{n}", CLAIM_STATE_COMPLETED, bytes(1_200), f"k{n}")
                for n in range(5)
            ]
            answers = await _gather_results([leader.start(body) for body in large])
            assert all(answer.accepted for answer in answers)
            assert leader.sizes[3:] == [2, 2, 1]

        run_paused(scenario())

    def test_a_batch_with_a_wrong_number_of_answers_has_an_unknown_outcome(self):
        async def answer_none(message, deadline):
            return ClaimBatchResponse()

        async def scenario():
            batcher = ClaimBatcher(answer_none, answer_none)
            deadline = asyncio.get_running_loop().time() + 1
            pending_sends = [batcher.send(claim(name, name), deadline) for name in "ab"]
            results = await _gather_results(pending_sends)
            assert {type(result) for result in results} == {OutcomeUnknownError}

        run_paused(scenario())
