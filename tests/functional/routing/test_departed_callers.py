"""Work that is begun, or broken off, after its caller has left."""

import asyncio

import pytest

from galenadrum._internal.network.http1.client import ConnectError
from galenadrum._internal.network.http1.heads import encode_request
from galenadrum._internal.utils.addresses import split_address
from lib.cut_off_hosts import cut_off, wait_for_relays
from lib.routing_deployment import run_deployment
from lib.stream_caller import PROMPT_HEADERS

SERVERS = [("p-1", "plain", "a"), ("p-2", "plain", "b")]
ENGINES = [("g-1", "llm", "a"), ("g-2", "llm", "b")]
STAGES = [("g-1", "llm", "a"), ("e-1", "enc", "a")]
STAGE_HEADERS = (*PROMPT_HEADERS, (b"X-Chunks", b"3,1"), (b"X-Chunk-Key", b"key"))
LEAVES_AFTER_S = 0.12
# What was sent before a caller left may still arrive.
TRANSIT_S = 0.15
CALLERS = 8


class Callers:
    """Callers that send one request each and leave."""

    def __init__(self, deployment):
        self._address = split_address(deployment.caller_address_by_zone["a"])
        self.request_ids = []

    def _encode(self, path, headers):
        request_id = f"{0xD0000000 + len(self.request_ids):016x}"
        self.request_ids.append(request_id)
        sent = [
            (b"Host", b"x.example"),
            (b"X-Attempt-Id", request_id.encode()),
            (b"X-Deadline-Ms", b"4000"),
            (b"Authorization", b"Token k1"),
            (b"Content-Length", b"2"),
            *headers,
        ]
        return encode_request(b"POST", path.encode(), sent) + b"{}"

    async def send_and_leave(self, path, headers=(), after_s=LEAVES_AFTER_S, count=1):
        """Send requests on one connection and close it after a time in seconds."""
        _, writer = await asyncio.open_connection(*self._address)
        for _ in range(count):
            writer.write(self._encode(path, headers))
        await asyncio.sleep(after_s)
        writer.close()

    async def leave_together(self, path, headers=(), **more):
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self.send_and_leave(path, headers, **more))
        await asyncio.sleep(TRANSIT_S)


def darken(pool, addresses, delay_s=None):
    """Let connections to servers hang; with a delay in seconds they open after it."""
    connect = pool._connect

    async def hang(address, timeout_s):
        if address in addresses:
            await asyncio.sleep(timeout_s if delay_s is None else delay_s)
            if delay_s is None:
                raise ConnectError(f"{address}: timed out in the test")
        return await connect(address, timeout_s)

    pool._connect = hang
    for address in addresses:
        pool.close_idle(address)


def count_runs(deployment, request_ids):
    return sum(
        engine.run_count_by_request_id[request_id]
        for engine in deployment.engines.values()
        for request_id in request_ids
    )


def count_held(daemon):
    """Count the requests that a host still counts at plain servers."""
    return sum(s.in_flight for s in daemon.balancer._servers_by_id.values())


def is_any_probing(daemon):
    return any(s.health.probing for s in daemon.balancer._servers_by_id.values())


KINDS = [("/confirm/x", ()), ("/stock/x", ()), ("/note/x", PROMPT_HEADERS)]


@pytest.mark.parametrize(("path", "headers"), KINDS, ids=["once", "plain", "stream"])
class TestCallerLeavesBeforeTheSend:
    """Requests that may run once ran at the next server long after their callers."""

    def test_connection_is_waited_for(self, path, headers, tmp_path):
        async def steps(deployment):
            daemon = deployment.entry_daemon_by_zone["a"]
            dark = {
                e.address for e in deployment.engines.values() if "1" in e.server_id
            }
            darken(daemon._pool, dark)
            darken(daemon.paths._relay_pool, {r.address for r in daemon.links.relays})
            callers = Callers(deployment)
            for _ in range(3):
                await callers.leave_together(path, headers)
                ran = count_runs(deployment, callers.request_ids)
                await asyncio.sleep(1.0)
                assert count_runs(deployment, callers.request_ids) == ran
            assert ran
            assert not count_held(daemon)
            assert not is_any_probing(daemon)

        run_deployment(tmp_path, steps, SERVERS + ENGINES)

    def test_server_rejects_the_request_after_its_caller_left(
        self, path, headers, tmp_path
    ):
        async def steps(deployment):
            for server_id in ("p-1", "g-1"):
                deployment.engines[server_id].reject_after_s = 0.4
                deployment.engines[server_id].to_reject = CALLERS
            callers = Callers(deployment)
            await callers.leave_together(path, headers)
            ran = count_runs(deployment, callers.request_ids)
            await asyncio.sleep(1.5)
            assert count_runs(deployment, callers.request_ids) == ran < CALLERS
            assert not count_held(deployment.entry_daemon_by_zone["a"])

        run_deployment(tmp_path, steps, SERVERS + ENGINES)

    def test_relay_waits_for_a_connection(self, path, headers, tmp_path):
        async def steps(deployment):
            await wait_for_relays(deployment)
            daemon = deployment.entry_daemon_by_zone["a"]
            cut_off(daemon)
            darken(
                daemon.paths._relay_pool, {r.address for r in daemon.links.relays}, 0.3
            )
            callers = Callers(deployment)
            await callers.leave_together(path, headers)
            await asyncio.sleep(1.0)
            assert not count_runs(deployment, callers.request_ids)
            assert not count_held(daemon)

        run_deployment(tmp_path, steps, SERVERS + ENGINES)

    def test_request_waits_behind_another_on_its_connection(
        self, path, headers, tmp_path
    ):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.work_s = 0.5
            callers = Callers(deployment)
            await callers.send_and_leave(path, headers, count=3)
            await asyncio.sleep(1.5)
            assert count_runs(deployment, callers.request_ids) <= 1
            assert not count_runs(deployment, callers.request_ids[1:])

        run_deployment(tmp_path, steps, SERVERS + ENGINES)


class TestCallerLeavesInAQueue:
    @pytest.mark.parametrize("path", ["/confirm/x", "/stock/x"])
    def test_permit_is_waited_for(self, path, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.limit_per_s = 2.0
            for _ in range(4):
                await deployment.send_request(path)
            callers = Callers(deployment)
            await callers.leave_together(path)
            ran = count_runs(deployment, callers.request_ids)
            await asyncio.sleep(2.5)
            assert count_runs(deployment, callers.request_ids) - ran <= 1
            assert ran < CALLERS - 2
            daemon = deployment.entry_daemon_by_zone["a"]
            assert not count_held(daemon)
            assert not is_any_probing(daemon)
            assert not daemon.permits._links_by_number

        run_deployment(tmp_path, steps, SERVERS)

    def test_pieces_are_in_a_call_that_waits_for_its_connection(self, tmp_path):
        async def steps(deployment):
            await deployment.send_request(
                "/plan/x", method=b"POST", headers=STAGE_HEADERS, body=b"{}"
            )
            engine = deployment.engines["e-1"]
            calls = len(engine.stage_calls)
            for daemon in deployment.control_daemon_by_zone.values():
                darken(daemon._pool, {engine.address}, 0.4)
            callers = Callers(deployment)
            await callers.leave_together("/plan/x", STAGE_HEADERS)
            await asyncio.sleep(1.5)
            asked = [e["Id"] for call in engine.stage_calls[calls:] for e in call]
            assert not set(asked) & set(callers.request_ids)
            # The server isn't blamed for what was dropped.
            _, status, _, _ = await deployment.send_request(
                "/plan/x", method=b"POST", headers=STAGE_HEADERS, body=b"{}"
            )
            assert status == 200

        run_deployment(tmp_path, steps, STAGES)


class TestCallerLeavesAfterTheSend:
    def test_request_that_may_run_once_is_broken_off(self, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.work_s = 0.5
            callers = Callers(deployment)
            await callers.leave_together("/confirm/x")
            await asyncio.sleep(1.0)
            assert count_runs(deployment, callers.request_ids) == CALLERS
            assert not any(e.cancelled for e in deployment.engines.values())
            assert not count_held(deployment.entry_daemon_by_zone["a"])

        run_deployment(tmp_path, steps, SERVERS)

    @pytest.mark.parametrize(("path", "headers"), KINDS[1:], ids=["plain", "stream"])
    def test_request_that_may_be_repeated_runs_on(self, path, headers, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.work_s = 1.0
            callers = Callers(deployment)
            await callers.leave_together(path, headers)
            await asyncio.sleep(0.4)
            engines = deployment.engines.values()
            ran = [i for e in engines for i in e.run_count_by_request_id]
            assert len(ran) >= CALLERS / 2
            assert sorted(ran) == sorted(i for e in engines for i in e.cancelled)

        run_deployment(tmp_path, steps, SERVERS + ENGINES)
