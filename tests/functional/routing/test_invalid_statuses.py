"""Servers whose responses have a status that is none."""

import asyncio

import pytest

from lib.cut_off_hosts import cut_off, wait_for_relays
from lib.routing_deployment import run_deployment
from lib.stream_caller import PROMPT_HEADERS

PIECES = (*PROMPT_HEADERS, (b"X-Chunks", b"1,1"), (b"X-Chunk-Key", b"key"))
STREAM = {"method": b"POST", "headers": PROMPT_HEADERS, "body": b"{}"}
STAGED = {"method": b"POST", "headers": PIECES, "body": b"{}"}
REQUESTS = 6
OWN_STATUSES = {200, 502, 503}


async def send_requests(deployment, path, **more):
    """Return id, status and body of each response."""

    async def send():
        request_id, status, _, body = await deployment.send_request(path, **more)
        return request_id, status, body

    return await asyncio.gather(*(send() for _ in range(REQUESTS)))


def count_runs(deployment, request_id):
    return sum(
        engine.run_count_by_request_id[request_id]
        for engine in deployment.engines.values()
    )


@pytest.mark.parametrize("status_text", [b"000", b"099", b"600", b"999"])
class TestInvalidStatus:
    @pytest.mark.parametrize("path", ["/stock/x", "/confirm/x"])
    @pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
    def test_plain_response_is_passed_on(self, path, is_relayed, status_text, tmp_path):
        async def steps(deployment):
            if is_relayed:
                await wait_for_relays(deployment)
                cut_off(deployment.entry_daemon_by_zone["a"])
            deployment.engines["p-1"].status_text = status_text
            for request_id, status, body in await send_requests(deployment, path):
                runs = count_runs(deployment, request_id)
                assert status in OWN_STATUSES
                assert status != 200 or body == b"answer to " + request_id.encode()
                assert status != 503 or runs == 0
                # One that may be repeated is answered by the sound server.
                assert (runs <= 1) if path == "/confirm/x" else (status == 200)

        run_deployment(tmp_path, steps, [("p-1", "plain", "a"), ("p-2", "plain", "a")])

    @pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
    def test_response_to_a_stream_is_passed_on(self, is_relayed, status_text, tmp_path):
        async def steps(deployment):
            if is_relayed:
                await wait_for_relays(deployment)
                cut_off(deployment.entry_daemon_by_zone["a"])
            deployment.engines["g-1"].status_text = status_text
            for _, status, body in await send_requests(deployment, "/note/x", **STREAM):
                assert status in OWN_STATUSES
                assert status != 200 or body.count(b"data: piece") == 4

        run_deployment(tmp_path, steps, [("g-1", "llm", "a"), ("g-2", "llm", "b")])

    def test_results_of_a_stage_call_are_used(self, status_text, tmp_path):
        async def steps(deployment):
            deployment.engines["s-1"].status_text = status_text
            for request_id, status, body in await send_requests(
                deployment, "/plan/x", **STAGED
            ):
                assert status in OWN_STATUSES
                if status == 200:
                    assert body.count(b"data: piece") == 4
                    head = deployment.engines["g-1"].head_by_request_id[request_id]
                    made_at = head.get(b"x-inputs").split(b"/")[0].decode()
                    assert made_at == deployment.engines["s-2"].address

        engines = [("g-1", "llm", "a"), ("s-1", "enc", "a"), ("s-2", "enc", "b")]
        run_deployment(tmp_path, steps, engines)
