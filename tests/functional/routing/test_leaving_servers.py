"""Backend servers whose responses say that they are about to stop."""

import asyncio
import itertools

import pytest

from lib.routing_deployment import run_deployment
from lib.stream_caller import PROMPT_HEADERS

PLAIN = [("p-1", "plain", "a"), ("p-2", "plain", "b"), ("p-3", "plain", "c")]
ENGINES = [("g-1", "llm", "a"), ("g-2", "llm", "b"), ("g-3", "llm", "c")]
STAGES = [("g-1", "llm", "a"), ("s-1", "enc", "a"), ("s-2", "enc", "b")]
STREAM = {"method": b"POST", "headers": PROMPT_HEADERS, "body": b"{}"}
PIECES = (*PROMPT_HEADERS, (b"X-Chunks", b"1,1"), (b"X-Chunk-Key", b"key"))
STAGED = {"method": b"POST", "headers": PIECES, "body": b"{}"}
# Requests that were sent before the first response came may still arrive.
TRANSIT_S = 0.1
_prompt_numbers = itertools.count(1)


async def send_load(deployment, path, duration_s, build_more=lambda more: more, **more):
    """Send 20 requests a second through each host; return the statuses."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + duration_s
    tasks = []
    while loop.time() < end_at:
        for zone in deployment.zones:
            request = deployment.send_request(path, zone, **build_more(more))
            tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(0.05)
    return [answer[1] for answer in await asyncio.gather(*tasks)]


def use_own_prompts(more):
    """Return the properties of requests whose prompts share no part.

    An engine that holds a prompt is preferred to one that has just started.
    """
    if "headers" not in more:
        return more
    number = next(_prompt_numbers)
    prompt = (b"X-Prefix-Hash", b"%x:900" % number)
    headers = [h for h in more["headers"] if h[0] != b"X-Prefix-Hash"]
    return {**more, "headers": (*headers, prompt)}


@pytest.mark.parametrize(
    ("engines", "leaving_id", "path", "more"),
    [
        pytest.param(PLAIN, "p-1", "/stock/x", {}, id="plain"),
        pytest.param(PLAIN, "p-1", "/confirm/x", {}, id="not_repeatable"),
        pytest.param(ENGINES, "g-1", "/note/x", STREAM, id="stream"),
        pytest.param(STAGES, "s-1", "/plan/x", STAGED, id="stage"),
    ],
)
class TestLeavingServer:
    def test_hosts_send_to_a_server_that_said_it_leaves(
        self, engines, leaving_id, path, more, tmp_path
    ):
        # Only announcements were asked whether a server leaves.
        async def steps(deployment):
            engine = deployment.engines[leaving_id]
            load = asyncio.ensure_future(send_load(deployment, path, 2.0, **more))
            await deployment.wait_until(lambda: len(engine.received_at) > 3)
            engine.is_leaving = True
            # The response to a request that came before may say so first.
            await deployment.wait_until(lambda: engine.said_leaving_at)
            left_at = engine.said_leaving_at[0]
            statuses = await load
            assert [at for at in engine.received_at if at > left_at + TRANSIT_S] == []
            assert statuses.count(200) == len(statuses)

        run_deployment(tmp_path, steps, engines)

    def test_next_incarnation_gets_requests(
        self, engines, leaving_id, path, more, tmp_path
    ):
        async def steps(deployment):
            engine = deployment.engines[leaving_id]
            engine.is_leaving = True
            await send_load(deployment, path, 1.0, **more)
            before = len(engine.received_at)
            engine.is_leaving = False
            engine.born += 1_000
            await deployment.wait_ready()
            await send_load(deployment, path, 1.0, use_own_prompts, **more)
            assert len(engine.received_at) > before

        run_deployment(tmp_path, steps, engines)


class TestHostsThatSawNoResponse:
    def test_host_that_starts_later_sends_nothing(self, tmp_path):
        async def steps(deployment):
            engine = deployment.engines["p-1"]
            engine.is_leaving = True
            await send_load(deployment, "/stock/x", 1.0)
            await deployment.entry_daemon_by_zone["a"].stop()
            await deployment.start_gateway("a")
            daemon = deployment.entry_daemon_by_zone["a"]
            await deployment.wait_until(
                lambda: daemon.is_ready and len(list(daemon.servers.registry)) == 3
            )
            before = len(engine.received_at)
            statuses = await send_load(deployment, "/stock/x", 1.0)
            assert len(engine.received_at) == before
            assert statuses.count(200) == len(statuses)

        run_deployment(tmp_path, steps, PLAIN)
