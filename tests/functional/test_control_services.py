"""gRPC services of control hosts with a relay and clients over TCP connections."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from grpclib.server import Server

from galenadrum._internal.control.claims_service import ClaimsService
from galenadrum._internal.control.declarations_service import DeclarationsService
from galenadrum._internal.control.proposer import Proposer
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.control.state.revision_confirmations import (
    RevisionConfirmations,
)
from galenadrum._internal.entry.claims_client import build_claims_client
from galenadrum._internal.entry.control_client import ControlClient
from galenadrum._internal.entry.declarations import DeclarationsView
from galenadrum._internal.entry.declarations_follower import (
    DeclarationsFollower,
    Source,
    build_send_confirmation,
    open_watch,
)
from galenadrum._internal.entry.declarations_relay import DeclarationsRelay
from galenadrum._internal.exceptions import LogBusyError, RequestRefusedError
from galenadrum._internal.models.callers import RecordedResponse
from galenadrum._internal.models.requests import RefusalReason, Request, RunState
from lib.control_commands import STAGE_SPEC, change_set, put
from lib.fake_log import FakeLog


class _Member:
    """Control host with a fake log."""

    def __init__(self, is_leader=True):
        self.state = ControlState()
        self.log = FakeLog(self.state, is_leader)
        self.in_force = RevisionConfirmations()
        self.proposer = Proposer(self.log, self.state, random.Random(1))
        self.handlers = [
            DeclarationsService(self.log, self.state, self.in_force),
            ClaimsService(self.proposer),
        ]

    async def declare_stages(self, change_id, *names):
        changes = [put("stage", name, STAGE_SPEC) for name in names]
        return await self.proposer.propose_change(
            change_set("vatu", change_id, *changes), 1.0
        )


@asynccontextmanager
async def _run_servers(*handler_groups):
    servers, addresses = [], []
    try:
        for handlers in handler_groups:
            server = Server(handlers)
            await server.start("127.0.0.1", 0)
            servers.append(server)
            port = server._server.sockets[0].getsockname()[1]
            addresses.append(f"127.0.0.1:{port}")
        yield addresses
    finally:
        for server in servers:
            server.close()


def _build_follower(name, view, sources, peers, client):
    return DeclarationsFollower(
        name,
        "nadi",
        view,
        sources,
        peers,
        open_watch,
        build_send_confirmation(client),
        lambda applied: None,
        random.Random(2),
    )


async def _wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def _build_request(request_id, key="key"):
    now = asyncio.get_running_loop().time()
    return Request(
        request_id, "suva", "pay", ("pay",), now + 20, now, idempotency_key=key
    )


class TestControlServices:
    def test_entry_hosts_confirm_changes_received_through_relay(self):
        async def run():
            member = _Member()
            await member.declare_stages("a", "s1")
            async with _run_servers(member.handlers) as (control,):
                client = ControlClient([control], random.Random(3))
                views = [DeclarationsView(), DeclarationsView()]
                source = Source(control, False)
                first_follower = _build_follower("e1", views[0], [source], [], client)
                async with _run_servers(
                    [DeclarationsRelay(views[0], first_follower)]
                ) as (relay,):
                    second_follower = _build_follower(
                        "e2", views[1], [Source(relay, True), source], [], client
                    )
                    tasks = [
                        asyncio.create_task(item.run())
                        for item in (first_follower, second_follower)
                    ]
                    await _wait_until(lambda: views[1].revision == 1)
                    await member.declare_stages("b", *[f"t{n}" for n in range(3_000)])
                    await _wait_until(lambda: views[1].revision == 2)
                    assert len(views[1].stages_by_name) == 3_001
                    now = asyncio.get_running_loop().time
                    await _wait_until(
                        lambda: member.in_force.status(2, now()).live_count == 2
                    )
                    await _wait_until(
                        lambda: member.in_force.status(2, now()).is_in_force
                    )
                    for task in tasks:
                        task.cancel()
                    await asyncio.wait(tasks)
                client.close()

        asyncio.run(run())

    @pytest.mark.parametrize("seed", [1, 2])
    def test_claims_are_redirected_to_leader_and_outcomes_replayed(self, seed):
        async def run():
            leader, non_leader = _Member(), _Member(is_leader=False)
            async with _run_servers(leader.handlers, non_leader.handlers) as addresses:
                non_leader.log.leader_address = addresses[0]
                client = ControlClient(addresses, random.Random(seed))
                claims = build_claims_client("e1", client, lambda: 0.0)
                answer = RecordedResponse(200, b"paid")
                assert (
                    await claims.acquire_claim(_build_request("r1"), b"f" * 32) is None
                )
                await claims.record_answer(_build_request("r1"), answer)
                assert (
                    await claims.acquire_claim(_build_request("r2"), b"f" * 32)
                    == answer
                )
                with pytest.raises(RequestRefusedError) as caught:
                    await claims.acquire_claim(_build_request("r3"), b"g" * 32)
                refusal = caught.value.refusal
                assert refusal.reason is RefusalReason.IDEMPOTENCY_KEY_REUSED
                leader.log.failure = LogBusyError("full")
                with pytest.raises(RequestRefusedError) as caught:
                    await claims.acquire_claim(_build_request("r5", "k5"), b"f" * 32)
                assert caught.value.refusal.run is RunState.NOT_RUN
                leader.log.failure = None
                leader.log.lose_answer = True
                assert (
                    await claims.acquire_claim(_build_request("r4", "k4"), b"f" * 32)
                    is None
                )
                client.close()

        asyncio.run(run())

    def test_concurrent_claims_are_batched_into_one_command(self):
        async def run():
            leader = _Member()
            async with _run_servers(leader.handlers) as addresses:
                client = ControlClient(addresses, random.Random(3))
                claims = build_claims_client("e1", client, lambda: 0.0)
                requests = [_build_request(f"r{n}", f"k{n}") for n in range(20)]
                granted = await asyncio.gather(
                    *(claims.acquire_claim(request, b"f" * 32) for request in requests)
                )
                assert granted == [None] * 20
                answers = [RecordedResponse(200, b"%d" % n) for n in range(20)]
                await asyncio.gather(
                    *(
                        claims.record_answer(*pair)
                        for pair in zip(requests, answers, strict=True)
                    )
                )
                repeated_answers = await asyncio.gather(
                    *(
                        claims.acquire_claim(
                            _build_request(f"s{n}", f"k{n}"), b"f" * 32
                        )
                        for n in range(20)
                    )
                )
                assert repeated_answers == answers
                # One command each for the claims, the outcomes and the repetitions.
                assert leader.state.applied_index == 3
                client.close()

        asyncio.run(run())

    def test_claim_without_leader_is_refused_as_not_run(self):
        async def run():
            member = _Member(is_leader=False)
            member.log.leader_address = None
            async with _run_servers(member.handlers) as addresses:
                client = ControlClient(addresses, random.Random(3))
                claims = build_claims_client("e1", client, lambda: 0.0)
                for _ in range(2):
                    with pytest.raises(RequestRefusedError) as caught:
                        await claims.acquire_claim(_build_request("r1"), b"f" * 32)
                    refusal = caught.value.refusal
                    assert refusal.reason is RefusalReason.CONTROL_UNREACHABLE
                    assert refusal.run is RunState.NOT_RUN
                assert claims.pending_outcome_count == 0
                client.close()

        asyncio.run(run())

    def test_unreachable_members_are_detected_before_deadline(self):
        async def run():
            async with _run_servers([]) as addresses:
                pass
            client = ControlClient(addresses, random.Random(3))
            claims = build_claims_client("e1", client, lambda: 0.0)
            attempts = []
            connect = client._connect

            async def count(address, timeout_s):
                attempts.append(address)
                return await connect(address, timeout_s)

            client._connect = count
            with pytest.raises(RequestRefusedError) as caught:
                await claims.acquire_claim(_build_request("r1"), b"f" * 32)
            assert caught.value.refusal.run is RunState.NOT_RUN
            assert attempts == addresses
            await claims.drain(0)
            client.close()

        asyncio.run(run())
