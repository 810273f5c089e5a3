"""Backend servers that fall over when they reject many requests for want of room."""

import asyncio
import itertools

import pytest

from lib.routing_deployment import run_deployment
from lib.stream_caller import PROMPT_HEADERS

ZONES = ("a", "b", "c")
SLOTS = 3
WORK_S = 0.1
# Rejections in a second that a server survives.
BRITTLE_AT = 3
# Hosts in contact know within this time that servers are brittle.
CONTACT_S = 3.0
LOAD_S = 5.0
# More than the 90 requests a second that nine slots with 0.1 s of work serve.
RATE_PER_S = 150
REQUEST_BY_SERVICE = {
    "plain": ("/stock/x", {}),
    "llm": ("/note/x", {"method": b"POST", "headers": PROMPT_HEADERS, "body": b"{}"}),
}


async def send_load(deployment, service, duration_s):
    """Send requests through all hosts; return the statuses."""
    path, more = REQUEST_BY_SERVICE[service]
    loop = asyncio.get_running_loop()
    end_at = loop.time() + duration_s
    tasks = []
    for zone in itertools.cycle(ZONES):
        if loop.time() >= end_at:
            break
        request = deployment.send_request(path, zone, deadline_ms=1_000, **more)
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(1 / RATE_PER_S)
    answers = await asyncio.gather(*tasks, return_exceptions=True)
    return [answer[1] for answer in answers if not isinstance(answer, Exception)]


class TestBrittleServers:
    # Each host sent to servers until they rejected, and none heard how many they bear.
    @pytest.mark.parametrize("service", ["plain", "llm"])
    def test_brittle_servers_fall_over_under_load(self, tmp_path, service):
        async def steps(deployment):
            engines = deployment.engines.values()
            for engine in engines:
                engine.slots = SLOTS
                engine.work_s = WORK_S
            before = await send_load(deployment, service, LOAD_S)
            for engine in engines:
                engine.brittle_at = BRITTLE_AT
                engine.crash = lambda: None
            await send_load(deployment, service, CONTACT_S)
            since = asyncio.get_running_loop().time()
            statuses = await send_load(deployment, service, LOAD_S)
            for engine in engines:
                times = [at for at in engine.rejected_at if at >= since]
                most = max(
                    (sum(t <= at < t + 1 for at in times) for t in times), default=0
                )
                assert most <= BRITTLE_AT
            assert statuses.count(200) >= before.count(200) / 2

        engines = [(f"s-{zone}", service, zone) for zone in ZONES]
        run_deployment(tmp_path, steps, engines)
