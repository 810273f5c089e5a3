"""Processor time of the HTTP server for requests that it reads, without sockets.

Run with ``PYTHONPATH=src python -m benchmarks.server_reads``.
"""

import asyncio
import gc
import sys
import time

from galenadrum._internal.network.http1.server import ConnectionLimits, Http1Server
from galenadrum._internal.network.http1.server import _Connection as Connection

REPEATS = 30
HEAD = (
    b"POST /stock/x HTTP/1.1\r\nHost: x.example\r\nAuthorization: Token k1\r\n"
    b"X-Attempt-Id: 0123456789abcdef\r\nX-Deadline-Ms: 5000\r\n"
)


def build_sized(size):
    """Return a request with a body of a size in bytes."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + bytes(size)


def split(data, size):
    """Return the parts in which data is read."""
    return [data[i : i + size] for i in range(0, len(data), size)]


# Reads of each case, and requests in one repeat.
CASES = {
    "no body": ([HEAD.replace(b"POST", b"GET") + b"\r\n"], 4_000),
    "4 KB body": ([build_sized(4_096)], 4_000),
    "64 KB body, reads of 16 KB": (split(build_sized(65_536), 16_384), 500),
    "4 MiB body, reads of 64 KiB": (split(build_sized(4 << 20), 65_536), 20),
}


class FakeTransport(asyncio.Transport):
    """Transport that sends everything at once and discards it."""

    def write(self, data):
        """Do nothing."""

    def get_write_buffer_size(self):
        """Do nothing."""
        return 0

    def get_extra_info(self, name, default=None):
        """Do nothing."""
        return default

    def pause_reading(self):
        """Do nothing."""

    def resume_reading(self):
        """Do nothing."""


async def measure(reads, count):
    """Return the processor time of a request in microseconds."""

    async def respond(exchange):
        exchange.respond(200, [], b"")

    server = Http1Server("127.0.0.1:0", respond, ConnectionLimits, "benchmark")
    connection = Connection(server)
    connection.connection_made(FakeTransport())
    began = time.process_time()
    for _ in range(count):
        for data in reads:
            connection.data_received(data)
        while not connection.is_idle:
            await asyncio.sleep(0)
    return (time.process_time() - began) / count * 1e6


def main():
    """Print the processor time of each case."""
    gc.disable()
    for name, (reads, count) in CASES.items():
        times = sorted(asyncio.run(measure(reads, count)) for _ in range(REPEATS))
        middle = times[len(times) // 2]
        sys.stdout.write(
            f"{name}: {times[0]:.1f} us at least, {middle:.1f} us in the middle\n"
        )


if __name__ == "__main__":
    main()
