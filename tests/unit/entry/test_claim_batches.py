"""Claims that go in common calls, over a fake leader on a paused clock."""

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
    """Takes ``_CALL_S`` for each call; fails some as told."""

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
        left_s = deadline - asyncio.get_running_loop().time()
        if fault == "unreachable":
            await asyncio.sleep(left_s)
            raise ControlUnreachableError
        if fault == "busy":
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "busy")
        response = self.replica.send(message)
        await asyncio.sleep(left_s if fault else self.call_s)
        if fault:
            raise OutcomeUnknownError
        return response

    def start(self, message, timeout_s=1.0):
        deadline = asyncio.get_running_loop().time() + timeout_s
        return asyncio.create_task(self.batcher.send(message, deadline))


async def _results(tasks):
    return await asyncio.gather(*tasks, return_exceptions=True)


def _states(answers):
    return [answer.state for answer in answers]


class TestClaimBatcher:
    def test_one_is_sent_at_once_and_those_behind_it_go_together(self):
        leader = _Leader()

        async def scenario():
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert (await leader.start(claim("a", "a"))).state == CLAIM_STATE_GRANTED
            assert loop.time() - began == pytest.approx(_CALL_S)
            first = leader.start(claim("b", "b"))
            await asyncio.sleep(_CALL_S / 2)
            rest = [leader.start(claim(name, name)) for name in "cdef"]
            answers = await _results([first, *rest])
            assert _states(answers) == [CLAIM_STATE_GRANTED] * 5
            assert loop.time() - began == pytest.approx(3 * _CALL_S)
            assert leader.sizes == [1, 1, 4]
            assert (leader.batcher.calls, leader.batcher.sent) == (3, 6)

        run_paused(scenario())

    def test_each_gets_its_own_answer(self):
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
            recorded, repeat, other_body, new, full, malformed, stray = await _results(
                tasks
            )
            assert leader.sizes == [1, 7]
            assert recorded.accepted
            assert repeat.outcome == b"done"
            assert other_body.state == CLAIM_STATE_MISMATCH
            assert new.state == CLAIM_STATE_GRANTED
            assert full.status is Status.RESOURCE_EXHAUSTED
            assert malformed.status is Status.INVALID_ARGUMENT
            assert not stray.accepted

        run_paused(scenario())

    @pytest.mark.parametrize(
        ("fault", "error"),
        [
            ("unreachable", ControlUnreachableError),
            ("answer lost", OutcomeUnknownError),
            ("busy", GRPCError),
        ],
    )
    def test_a_call_that_fails_fails_all_that_went_with_it(self, fault, error):
        leader = _Leader()
        leader.faults = {1: fault}

        async def scenario():
            tasks = [leader.start(claim(name, name)) for name in "abc"]
            assert {type(result) for result in await _results(tasks)} == {error}
            again = [leader.start(claim(name, name)) for name in "abc"]
            states = _states(await _results(again))
            assert states == [CLAIM_STATE_GRANTED] * 3

        run_paused(scenario())

    def test_a_short_deadline_ends_one_wait_and_not_the_call(self):
        leader = _Leader()

        async def scenario():
            loop = asyncio.get_running_loop()
            began = loop.time()
            short = leader.start(claim("a", "a"), _CALL_S / 2)
            long = leader.start(claim("b", "b"))
            with pytest.raises(OutcomeUnknownError):
                await short
            assert loop.time() - began == pytest.approx(_CALL_S / 2)
            assert (await long).state == CLAIM_STATE_GRANTED

        run_paused(scenario())

    @pytest.mark.parametrize("timeout_s", [_CALL_S / 2, _CALL_S])
    def test_what_waited_beyond_its_deadline_is_never_sent(self, timeout_s):
        leader = _Leader()

        async def scenario():
            first = leader.start(claim("a", "a"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            late = leader.start(claim("b", "b"), timeout_s)
            result = (await _results([first, late]))[1]
            assert isinstance(result, ControlUnreachableError)
            await asyncio.sleep(1)
            assert leader.sizes == [1]

        run_paused(scenario())

    def test_what_was_given_up_while_it_waited_is_never_sent(self):
        leader = _Leader()

        async def scenario():
            loop = asyncio.get_running_loop()
            first = leader.start(claim("a", "a"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            waiting = [leader.start(claim(name, name)) for name in "bc"]
            await asyncio.sleep(_CALL_S / 2)
            waiting[0].cancel()
            # In the same turn of the loop in which the call ends.
            loop.call_at(loop.time() + _CALL_S / 2, waiting[1].cancel)
            await _results([first, *waiting])
            await asyncio.sleep(1)
            assert leader.sizes == [1]

        run_paused(scenario())

    def test_a_call_has_bounds(self, monkeypatch):
        monkeypatch.setattr(claim_batches, "MAX_ITEMS", 3)
        monkeypatch.setattr(claim_batches, "MAX_BATCH_BYTES", 3_000)
        leader = _Leader()

        async def scenario():
            tasks = [leader.start(claim(f"r{n}", f"k{n}")) for n in range(7)]
            await _results(tasks)
            assert leader.sizes == [3, 3, 1]
            large = [
                outcome(f"r{n}", CLAIM_STATE_COMPLETED, bytes(1_200), f"k{n}")
                for n in range(5)
            ]
            answers = await _results([leader.start(body) for body in large])
            assert all(answer.accepted for answer in answers)
            assert leader.sizes[3:] == [2, 2, 1]

        run_paused(scenario())

    def test_a_batch_with_another_number_of_answers_is_unknown(self):
        async def answer_none(message, deadline):
            return ClaimBatchResponse()

        async def scenario():
            batcher = ClaimBatcher(answer_none, answer_none)
            deadline = asyncio.get_running_loop().time() + 1
            sends = [batcher.send(claim(name, name), deadline) for name in "ab"]
            results = await _results(sends)
            assert {type(result) for result in results} == {OutcomeUnknownError}

        run_paused(scenario())
