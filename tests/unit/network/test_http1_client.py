"""Ends of responses on connections to backend servers, over sockets."""

import asyncio
import contextlib
import tracemalloc

import pytest

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.network.http1.client import (
    MAX_REQUESTS,
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


async def read_early_response(status):
    """Read a part of a response that ends before the request was received."""
    address = reserve_address()
    host, port = address.split(":")

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        writer.write(b"HTTP/1.1 %d OK\r\n\r\npart" % status)
        writer.write_eof()
        # Ends with the client's connection, which it doesn't read from.
        await asyncio.sleep(0.2)
        writer.transport.abort()

    server = await asyncio.start_server(serve, host, int(port))
    connection = await ConnectionPool().get(address, 2.0)
    connection.send(b"POST / HTTP/1.1\r\n\r\n" + bytes(3 * 1024 * 1024))
    try:
        async with asyncio.timeout(5.0):
            await connection.read_head()
            return await connection.read_body()
    finally:
        connection.close()
        server.close()
        await asyncio.sleep(0.3)


class TestEndsBeforeRequest:
    @pytest.mark.parametrize("status", [200, 302])
    def test_part_of_a_success_is_complete(self, status):
        with pytest.raises(BrokenResponseError, match="bytes of the request"):
            asyncio.run(read_early_response(status))

    @pytest.mark.parametrize("status", [413, 503])
    def test_early_error_is_lost(self, status):
        assert asyncio.run(read_early_response(status)) == b"part"


class TestInvalidStatuses:
    @pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
    def test_response_with_an_invalid_status_is_read(self, status):
        reply = b"HTTP/1.1 %s OK\r\nContent-Length: 4\r\n\r\npart" % status
        with pytest.raises(BrokenResponseError, match=status.decode()):
            asyncio.run(read_response(reply, False))

    @pytest.mark.parametrize("status", [b"200", b"299", b"418", b"599"])
    def test_response_with_an_unknown_status_is_rejected(self, status):
        reply = b"HTTP/1.1 %s OK\r\nContent-Length: 4\r\n\r\npart" % status
        assert asyncio.run(read_response(reply, False))[2] == b"part"


LONG = b"x" * 16_384
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


async def read_endless_response(beginning, repeated):
    """Read a reply that goes on without end.

    Returns:
        Number of bytes sent until the client closed the connection, the error, and the
        largest number of bytes that the process allocated meanwhile.
    """
    address = reserve_address()
    host, port = address.split(":")
    sent = 0
    closed = asyncio.Event()

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(beginning)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(repeated)
                await writer.drain()
                sent += len(repeated)
        closed.set()

    async with await asyncio.start_server(serve, host, int(port)):
        tracemalloc.start()
        connection = await ConnectionPool().get(address, 2.0)
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        try:
            async with asyncio.timeout(5.0):
                with pytest.raises(BrokenResponseError) as caught:
                    await connection.read_head()
                    await connection.read_body()
                connection.close()
                await closed.wait()
        finally:
            connection.close()
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
    return sent, str(caught.value), peak_bytes


class TestResponsesWithoutEnd:
    @pytest.mark.parametrize(
        ("beginning", "repeated", "bound_bytes"),
        [
            (HEAD, b"X-Line: value\r\n" * 1_000, 2**16),
            (HEAD + b"X-Value: ", LONG, 2**16),
            (b"HTTP/1.1 200 ", LONG, 2**16),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000, 2**16),
            (HEAD + b"\r\n", LONG, 2**23),
            (HEAD + b"Content-Length: 99999999999\r\n\r\n", LONG, 2**23),
            (CHUNKED, b"4000\r\n" + LONG + b"\r\n", 2**23),
            (CHUNKED + b"0\r\n", b"X-Line: value\r\n" * 1_000, 2**16),
            (CHUNKED + b"1;", LONG, 2**16),
        ],
        ids=[
            "header lines",
            "header value",
            "reason",
            "interim responses",
            "unframed body",
            "body with a length",
            "chunked body",
            "trailers",
            "chunk extension",
        ],
    )
    def test_bytes_without_end_are_read(self, beginning, repeated, bound_bytes):
        # Heads and bodies of backend servers were collected without any bound.
        result = asyncio.run(read_endless_response(beginning, repeated))
        sent_bytes, error, peak_bytes = result
        assert "more than" in error
        # Sockets and streams of both sides buffer some megabytes.
        assert sent_bytes < bound_bytes + 2**24
        assert peak_bytes < 4 * bound_bytes + 2**22


async def serve_requests(steps):
    """Run steps with the address of a server that answers each request."""
    address = reserve_address()
    host, port = address.split(":")

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
                await writer.drain()

    async with await asyncio.start_server(serve, host, int(port)):
        async with asyncio.timeout(10.0):
            await steps(address)


async def send_request(pool, address, request_id):
    """Send a request on a connection of a pool; return the connection."""
    connection = await pool.get(address, 2.0, request_id=request_id)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", request_id=request_id)
    await connection.read_head()
    await connection.read_body()
    pool.put(connection)
    return connection


class TestRequestIds:
    """A copy of a response is told by the request id in it."""

    def test_request_is_sent_twice_on_one_connection(self):
        async def steps(address):
            pool = ConnectionPool()
            first = await send_request(pool, address, "r1")
            assert await send_request(pool, address, "r2") is first
            second = await send_request(pool, address, "r1")
            assert second is not first
            # Both carried it; a request that neither carried uses one of them.
            assert await send_request(pool, address, "r1") not in (first, second)
            assert (await send_request(pool, address, "r3")).is_usable
            with pytest.raises(InvariantError, match="r1"):
                first.send(b"GET / HTTP/1.1\r\n\r\n", request_id="r1")

        asyncio.run(serve_requests(steps))

    def test_request_is_sent_twice_where_no_other_connection_may_be_opened(self):
        async def steps(address):
            pool = ConnectionPool(find_limit=lambda address: 1)
            first = await send_request(pool, address, "r1")
            second = await send_request(pool, address, "r1")
            assert second is not first
            assert not first.is_usable

        asyncio.run(serve_requests(steps))

    def test_connection_remembers_ids_without_bound(self):
        async def steps(address):
            pool = ConnectionPool()
            first = await send_request(pool, address, "0")
            for number in range(1, MAX_REQUESTS):
                assert await send_request(pool, address, str(number)) is first
            assert not first.is_usable
            assert await send_request(pool, address, "0") is not first

        asyncio.run(serve_requests(steps))
