"""Streams that break off after some events, whose next engine answers with an error."""

import pytest

from galenadrum._internal.network.http1.client import (
    BrokenResponseError,
    ConnectionPool,
)
from galenadrum._internal.network.http1.heads import encode_request
from lib.platform_engine import ERROR_TEXT
from lib.routing_deployment import run_deployment

HEADERS = [
    (b"Host", b"x.example"),
    (b"X-Attempt-Id", b"00000000000000c1"),
    (b"X-Deadline-Ms", b"3000"),
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"900,20"),
    (b"X-Prefix-Hash", b"5c1e:800,91bd:100"),
    (b"Authorization", b"Token k1"),
    (b"Content-Length", b"2"),
]
SENT_EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
ENGINES = [("g-1", "llm", "a"), ("g-2", "llm", "b")]


async def read_stream(deployment):
    """Return the bytes of a stream and whether it looks complete."""
    connection = await ConnectionPool().get(deployment.caller_address_by_zone["a"], 2.0)
    connection.send(encode_request(b"POST", b"/note/x", HEADERS) + b"{}")
    body = b""
    try:
        head = await connection.read_head()
        assert head.status == 200
        while part := await connection.read_part():
            body += part
    except BrokenResponseError:
        return body, False
    finally:
        connection.close()
    return body, True


class TestErrorOfNextEngine:
    # 204 has no body: forwarded as an end, it would complete the stream.
    @pytest.mark.parametrize("status", [200, 204, 404, 409, 500, 503])
    @pytest.mark.parametrize("faults", [{"cut"}, {"cut", "unframed"}])
    def test_caller_gets_the_error_in_its_stream(self, status, faults, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.faults |= faults
                engine.resume_status = status
            body, is_complete = await read_stream(deployment)
            assert not is_complete
            assert body == SENT_EVENTS
            assert ERROR_TEXT not in body

        run_deployment(tmp_path, steps, ENGINES)
