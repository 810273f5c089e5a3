"""Streams that stall while bytes still come, and slow ones that are sound."""

from galenadrum._internal.network.http1.client import BrokenResponseError
from lib.routing_deployment import run_deployment

PROMPT = (
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"900,20"),
    (b"X-Prefix-Hash", b"5c1e:800,91bd:100"),
)
EVENTS = 4
STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, EVENTS + 1))
DEADLINE_MS = 2_000


async def send_stream(deployment, **more):
    """Return the status and body of a stream; None for one that is broken off."""
    try:
        _, status, _, body = await deployment.send_request(
            "/note/x", method=b"POST", headers=PROMPT, body=b"{}", **more
        )
    except BrokenResponseError:
        return None
    return status, body


class TestSlowAndStalledStreams:
    def test_stalled_stream_outlasts_its_deadline(self, tmp_path):
        async def steps(deployment):
            engine = deployment.engines["g-1"]
            engine.faults.add("drip")
            # The caller itself would wait for 8 s.
            answer = await send_stream(deployment, deadline_ms=DEADLINE_MS)
            assert answer is None or answer[0] in (502, 504)
            await deployment.wait_until(lambda: engine.cancelled)

        run_deployment(tmp_path, steps, [("g-1", "llm", "a")])

    def test_slow_stream_is_cut(self, tmp_path):
        async def steps(deployment):
            # Each pause is far longer than usual; the whole fits into the deadline.
            deployment.engines["g-1"].event_interval_s = 1.0
            assert await send_stream(deployment) == (200, STREAM)

        run_deployment(tmp_path, steps, [("g-1", "llm", "a")])
