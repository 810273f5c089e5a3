"""Ends of responses on connections to backend servers, over sockets."""

import asyncio

import pytest

from galenadrum._internal.network.http1.client import (
    BrokenResponseError,
    ConnectionPool,
    Framing,
)
from galenadrum._internal.network.sockets import set_reset_on_close
from lib.processes import reserve_address

HEAD = b"HTTP/1.1 200 OK\r\n"
UNFRAMED = HEAD + b"\r\npart"


async def read_response(reply, resets):
    """Read a reply whose server then closes or resets the connection.

    Returns:
        Framing of the response, how the connection ended, and the body; None for an
        incomplete body.
    """
    address = reserve_address()
    host, port = address.split(":")

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        await writer.drain()
        # The client reads the reply before the reset, which could discard it.
        await asyncio.sleep(0.05)
        set_reset_on_close(writer.get_extra_info("socket"), resets)
        writer.close()

    async with await asyncio.start_server(serve, host, int(port)):
        connection = await ConnectionPool().get(address, 2.0)
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(5.0):
            await connection.read_head()
            try:
                body = await connection.read_body()
            except BrokenResponseError:
                body = None
        framing, end = connection.framing, connection.end
        connection.close()
    return framing, end, body


class TestResponseEnds:
    @pytest.mark.parametrize(
        ("reply", "framing"),
        [
            (HEAD + b"Content-Length: 9\r\n\r\npart", Framing.LENGTH),
            (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", Framing.CHUNKS),
        ],
    )
    @pytest.mark.parametrize("resets", [False, True])
    def test_framed_response_that_is_cut_is_not_complete(self, reply, framing, resets):
        result = asyncio.run(read_response(reply, resets))
        assert (result[0], result[2]) == (framing, None)

    def test_unframed_response_that_is_reset_is_not_complete(self):
        framing, end, body = asyncio.run(read_response(UNFRAMED, True))
        assert (framing, body) == (Framing.CONNECTION, None)
        assert "reset" in end

    def test_unframed_response_ends_with_its_connection(self):
        result = asyncio.run(read_response(UNFRAMED, False))
        assert result == (Framing.CONNECTION, "closed by the back end", b"part")
