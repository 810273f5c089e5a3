"""The HTTP/1.1 server over sockets."""

import asyncio

import pytest

from galenadrum._internal.network.http1.client import (
    BrokenResponseError,
    ConnectionPool,
)
from galenadrum._internal.network.http1.server import ConnectionLimits, Http1Server
from lib.processes import reserve_address


async def call(handler, request):
    """Send a request to a server with the handler; return the body of the response."""
    address = reserve_address()
    server = Http1Server(address, handler, ConnectionLimits, "test")
    await server.listen()
    connection = await ConnectionPool().get(address, 2.0)
    try:
        connection.send(request)
        async with asyncio.timeout(5.0):
            await connection.read_head()
            return await connection.read_body()
    finally:
        connection.close()
        server.stop_listening()


class TestResponsesOfUnknownLength:
    @pytest.mark.parametrize("version", [b"1.0", b"1.1"])
    def test_aborted_response_is_not_complete(self, version):
        # Without chunks the end of the connection looked like the end of the body.
        async def handler(exchange):
            exchange.start(200, [])
            await exchange.send(b"part")
            await asyncio.sleep(0.05)
            exchange.abort()

        with pytest.raises(BrokenResponseError):
            asyncio.run(call(handler, b"GET / HTTP/%s\r\n\r\n" % version))

    @pytest.mark.parametrize("version", [b"1.0", b"1.1"])
    def test_response_of_failed_handler_is_not_complete(self, version):
        async def handler(exchange):
            exchange.start(200, [])
            await exchange.send(b"part")
            await asyncio.sleep(0.05)
            raise ValueError("the handler fails")

        with pytest.raises(BrokenResponseError):
            asyncio.run(call(handler, b"GET / HTTP/%s\r\n\r\n" % version))

    @pytest.mark.parametrize("version", [b"1.0", b"1.1"])
    def test_finished_response_is_complete(self, version):
        body = b"part" * 100_000

        async def handler(exchange):
            exchange.start(200, [])
            await exchange.send(body)
            exchange.finish()

        request = b"GET / HTTP/%s\r\n\r\n" % version
        assert asyncio.run(call(handler, request)) == body
