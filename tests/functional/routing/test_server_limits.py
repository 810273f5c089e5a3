"""Backend servers that name a limit of requests for all hosts together."""

import asyncio
import itertools

import pytest

from lib.routing_deployment import run_deployment

ZONES = ("a", "b", "c")
# Every host in contact with the others obeys a limit after this time.
CONTACT_S = 3.0
WINDOW_S = 4.0
LOAD_S = 5.0
PROMPT = (
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"900,20"),
    (b"X-Prefix-Hash", b"5c1e:800,91bd:100"),
)


def count_in_window(received_at, since):
    """Return the largest number of requests in a window after ``since``."""
    times = [at for at in received_at if at >= since]
    return max((sum(t <= at < t + WINDOW_S for at in times) for t in times), default=0)


async def send_load(deployment, path, duration_s, rate_per_s, **more):
    """Send requests through all hosts; return the number of each status."""
    tasks = []
    loop = asyncio.get_running_loop()
    end_at = loop.time() + duration_s
    for zone in itertools.cycle(ZONES):
        if loop.time() >= end_at:
            break
        request = deployment.send_request(path, zone, **more)
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(1 / rate_per_s)
    answers = await asyncio.gather(*tasks, return_exceptions=True)
    return [answer[1] for answer in answers if not isinstance(answer, Exception)]


async def measure_limited(deployment, server_id, limit_per_s, path, **more):
    """Return the largest number of requests in a window, and the statuses."""
    engine = deployment.engines[server_id]
    engine.limit_per_s = limit_per_s
    await send_load(deployment, path, CONTACT_S, 30, **more)
    since = asyncio.get_running_loop().time()
    statuses = await send_load(deployment, path, LOAD_S, 30, **more)
    return count_in_window(engine.received_at, since), statuses


@pytest.mark.parametrize("limit_per_s", [1.4, 0.4])
class TestLimitOfOneServer:
    def test_model_engine_gets_more_than_its_limit(self, limit_per_s, tmp_path):
        # The limit that a server names was not read.
        async def steps(deployment):
            most, statuses = await measure_limited(
                deployment,
                "g-1",
                limit_per_s,
                "/note/x",
                method=b"POST",
                headers=PROMPT,
                body=b"{}",
            )
            assert most <= 1.5 * limit_per_s * WINDOW_S + 5
            assert statuses.count(200) >= 0.9 * len(statuses)

        engines = [("g-1", "llm", "a"), ("g-2", "llm", "b"), ("g-3", "llm", "c")]
        run_deployment(tmp_path, steps, engines)

    def test_plain_server_gets_more_than_its_limit(self, limit_per_s, tmp_path):
        # As above; here each entry host chooses servers by itself.
        async def steps(deployment):
            most, statuses = await measure_limited(
                deployment, "p-1", limit_per_s, "/stock/x"
            )
            assert most <= 1.5 * limit_per_s * WINDOW_S + 5
            assert statuses.count(200) >= 0.9 * len(statuses)

        engines = [("p-1", "plain", "a"), ("p-2", "plain", "b"), ("p-3", "plain", "c")]
        run_deployment(tmp_path, steps, engines)

    def test_stage_server_gets_more_than_its_limit(self, limit_per_s, tmp_path):
        # As above; calls of pieces and releases of results count as requests.
        async def steps(deployment):
            most, statuses = await measure_limited(
                deployment,
                "s-1",
                limit_per_s,
                "/plan/x",
                method=b"POST",
                headers=(*PROMPT, (b"X-Chunks", b"1,1"), (b"X-Chunk-Key", b"key")),
                body=b"{}",
            )
            assert most <= 1.5 * limit_per_s * WINDOW_S + 5
            assert statuses.count(200) >= 0.9 * len(statuses)

        engines = [
            ("g-1", "llm", "a"),
            ("s-1", "enc", "a"),
            ("s-2", "enc", "b"),
            ("s-3", "enc", "c"),
        ]
        run_deployment(tmp_path, steps, engines)


class TestLimitOfAllServers:
    def check_refusals(self, engines, path, folder, **more):
        """Check that what can't be served in time is refused at once, not run."""

        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.limit_per_s = 2.0
            await send_load(deployment, path, CONTACT_S, 30, **more)
            loop = asyncio.get_running_loop()
            since = loop.time()
            statuses = await send_load(deployment, path, LOAD_S, 30, **more)
            assert loop.time() - since < LOAD_S + 3.0
            assert set(statuses) == {200, 503}
            assert statuses.count(200) >= 0.8 * len(engines) * 2.0 * LOAD_S
            for engine in deployment.engines.values():
                assert count_in_window(engine.received_at, since) <= 2.0 * WINDOW_S + 2
            _, status, headers, _ = await deployment.send_request(path, **more)
            assert status == 200 or float(headers[b"retry-after"]) > 0

        run_deployment(folder, steps, engines)

    def test_plain_requests_beyond_all_limits_are_refused(self, tmp_path):
        engines = [("p-1", "plain", "a"), ("p-2", "plain", "b")]
        self.check_refusals(engines, "/stock/x", tmp_path)

    def test_streams_beyond_all_limits_are_refused(self, tmp_path):
        engines = [("g-1", "llm", "a"), ("g-2", "llm", "b")]
        more = {"method": b"POST", "headers": PROMPT, "body": b"{}"}
        self.check_refusals(engines, "/note/x", tmp_path, **more)

    def test_limit_that_is_no_longer_named_ends(self, tmp_path):
        async def steps(deployment):
            engine = deployment.engines["p-1"]
            engine.limit_per_s = 1.0
            await send_load(deployment, "/stock/x", 1.0, 30)
            engine.limit_per_s = None
            await send_load(deployment, "/stock/x", 3.0, 30)
            statuses = await send_load(deployment, "/stock/x", 1.0, 30)
            assert statuses.count(200) == len(statuses)

        run_deployment(tmp_path, steps, [("p-1", "plain", "a")])
