"""Planned stop of an entry host while callers open connections and send requests."""

import asyncio

import pytest

from galenadrum._internal.network.http1.client import (
    BrokenResponseError,
    ConnectError,
    ConnectionPool,
)
from galenadrum._internal.network.http1.heads import encode_request
from lib.routing_deployment import run_deployment
from lib.stream_caller import PROMPT_HEADERS

SERVERS = [("p-1", "plain", "a"), ("p-2", "plain", "b")]
ENGINES = [("g-1", "llm", "a"), ("g-2", "llm", "b")]
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


# A load balancer has had its two polls; nothing excuses a request that is cut.
LATE_S = (2.7, 2.9, 3.0, 3.1, 3.2, 3.25, 3.28, 3.35)


async def send_late_body(address, path, number, late_s, headers=()):
    """Send a request whose second half comes late; return its id and the status."""
    request_id = f"{0xE0000000 + number:016x}"
    sent = [
        (b"Host", b"x.example"),
        (b"X-Attempt-Id", request_id.encode()),
        (b"X-Deadline-Ms", b"9000"),
        (b"Authorization", b"Token k1"),
        (b"Content-Length", b"200"),
        *headers,
    ]
    connection = await ConnectionPool().get(address, 1.0)
    try:
        connection.send(encode_request(b"POST", path, sent) + bytes(100))
        await asyncio.sleep(late_s)
        connection._transport.write(bytes(100))
        async with asyncio.timeout(4.0):
            head = await connection.read_head()
            await connection.read_body()
    except BrokenResponseError:
        return request_id, "cut off"
    finally:
        connection.close()
    return request_id, head.status


class TestRequestsLateInTheGrace:
    """Requests that were whole late in the grace were passed on and cut at its end."""

    @pytest.mark.parametrize("work_s", [0.1, 0.4, 1.2])
    @pytest.mark.parametrize(
        ("path", "headers"),
        [
            (b"/confirm/x", ()),
            (b"/stock/x", ()),
            (b"/note/x", PROMPT_HEADERS),
        ],
        ids=["once", "plain", "stream"],
    )
    def test_late_request_is_cut_without_an_answer(
        self, path, headers, work_s, tmp_path
    ):
        async def steps(deployment):
            engines = deployment.engines.values()
            for engine in engines:
                engine.work_s = work_s
            daemon = deployment.entry_daemon_by_zone["a"]
            address = deployment.caller_address_by_zone["a"]
            for number in range(3):
                await send_late_body(address, path, 100 + number, 0.0, headers)
            late = [
                asyncio.ensure_future(
                    send_late_body(address, path, number, late_s + 0.1, headers)
                )
                for number, late_s in enumerate(LATE_S)
            ]
            await asyncio.sleep(0.1)
            await daemon.drain()
            await daemon.stop()
            outcomes = await asyncio.gather(*late)
            statuses = [status for _, status in outcomes]
            assert "cut off" not in statuses, statuses
            for request_id, status in outcomes:
                runs = sum(e.run_count_by_request_id[request_id] for e in engines)
                if status == 503:
                    assert runs == 0
                else:
                    assert (status, runs) in ((200, 1), (502, 1), (504, 1))
            if work_s > 1.0:
                # What can't end in time is refused at once.
                assert statuses == [503] * len(LATE_S)

        run_deployment(tmp_path, steps, SERVERS + ENGINES)

    def test_request_in_flight_at_the_end_gets_no_final_answer(self, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.work_s = 6.0
            daemon = deployment.entry_daemon_by_zone["a"]
            address = deployment.caller_address_by_zone["a"]
            sent = [
                asyncio.ensure_future(
                    send_late_body(address, path, number, 0.1, headers)
                )
                for number, (path, headers) in enumerate(
                    [
                        (b"/confirm/x", ()),
                        (b"/stock/x", ()),
                        (b"/note/x", PROMPT_HEADERS),
                    ]
                )
            ]
            await asyncio.sleep(0.3)
            await daemon.drain()
            await daemon.stop()
            statuses = [status for _, status in await asyncio.gather(*sent)]
            assert statuses == [502] * 3

        run_deployment(tmp_path, steps, SERVERS + ENGINES)
