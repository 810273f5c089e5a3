"""Planned stop of an entry host while callers open connections and send requests."""

import asyncio

from galenadrum._internal.network.http1.client import (
    BrokenResponseError,
    ConnectError,
    ConnectionPool,
)
from galenadrum._internal.network.http1.heads import encode_request
from lib.routing_deployment import run_deployment

SERVERS = [("p-1", "plain", "a"), ("p-2", "plain", "b")]
INTERVAL_S = 0.004
WORK_S = 0.1


async def send_on_new_connection(address, number):
    """Return the status of a request; an error's name if it has none."""
    headers = [
        (b"Host", b"x.example"),
        (b"X-Attempt-Id", b"%016x" % number),
        (b"X-Deadline-Ms", b"3000"),
        (b"Authorization", b"Token k1"),
        (b"Content-Length", b"0"),
    ]
    try:
        connection = await ConnectionPool().get(address, 1.0)
    except ConnectError:
        return "not connected"
    try:
        connection.send(encode_request(b"GET", b"/confirm/x", headers))
        async with asyncio.timeout(4.0):
            head = await connection.read_head()
            await connection.read_body()
    except BrokenResponseError:
        return "cut off"
    finally:
        connection.close()
    return head.status


class TestStopUnderLoad:
    def test_request_that_was_accepted_is_cut_off(self, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.work_s = WORK_S
            daemon = deployment.entry_daemon_by_zone["a"]
            address = deployment.caller_address_by_zone["a"]
            stop = asyncio.ensure_future(daemon.drain())
            requests = []
            while not stop.done():
                request = send_on_new_connection(address, len(requests) + 1)
                requests.append(asyncio.ensure_future(request))
                await asyncio.sleep(INTERVAL_S)
            await daemon.stop()
            outcomes = await asyncio.gather(*requests)
            assert outcomes.count(200) > 100
            assert "not connected" in outcomes
            assert "cut off" not in outcomes

        run_deployment(tmp_path, steps, SERVERS)
