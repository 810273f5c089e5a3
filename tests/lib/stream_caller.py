"""A caller that reads streams event by event and takes up those that break off."""

import asyncio
import contextlib
import itertools
import re
from dataclasses import dataclass, field

from galenadrum._internal.network.http1.client import BackendError, ConnectionPool
from galenadrum._internal.network.http1.heads import encode_request

PROMPT_HEADERS = (
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"900,20"),
    (b"X-Prefix-Hash", b"5c1e:800,91bd:100"),
)
# Ids are unique over all callers of a test, and differ from those of `PlatformClient`.
_numbers = itertools.count(0xC0000000)
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) piece (\d+)\n\n")


@dataclass
class ReceivedStream:
    """Events of one stream over all requests of its caller.

    Attributes:
        request_id: Id of the request that brought the first event.
        events: Number and software version of each event.
        statuses: Status of each request; 0 if there was no response.
        is_complete: Whether the last response ended as complete.
    """

    request_id: str
    events: list = field(default_factory=list)
    statuses: list = field(default_factory=list)
    is_complete: bool = False

    @property
    def versions(self):
        return {version for _, version in self.events}

    def is_in_order(self):
        return [n for n, _ in self.events] == list(range(1, len(self.events) + 1))


class StreamCaller:
    """Sends the requests of streams; each request has a connection of its own."""

    def __init__(self):
        self._pool = ConnectionPool()

    async def begin(self, address, path="/note/x", timeout_s=8.0, **more):
        """Begin a stream and return it as far as it came."""
        stream = ReceivedStream(f"{next(_numbers):016x}")
        await self._send(address, path, stream, stream.request_id, (), timeout_s, more)
        return stream

    async def take_up(self, address, stream, path="/note/x", timeout_s=8.0, **more):
        """Take a stream up after its last event; return the status."""
        headers = (
            (b"Last-Event-Id", b"%d" % len(stream.events)),
            (b"Resumes", stream.request_id.encode()),
        )
        headers = more.pop("take_up_headers", headers)
        request_id = f"{next(_numbers):016x}"
        await self._send(address, path, stream, request_id, headers, timeout_s, more)
        return stream.statuses[-1]

    async def _send(self, address, path, stream, request_id, headers, timeout_s, more):
        stream.statuses.append(0)
        with contextlib.suppress(BackendError, TimeoutError):
            connection = await self._pool.get(address, 2.0)
            try:
                async with asyncio.timeout(timeout_s):
                    await self._exchange(
                        connection, path, stream, request_id, headers, more
                    )
            finally:
                connection.close()

    async def _exchange(self, connection, path, stream, request_id, headers, more):
        key = more.get("key", "k1").encode()
        sent = [
            (b"Host", b"x.example"),
            (b"X-Attempt-Id", request_id.encode()),
            (b"X-Deadline-Ms", b"%d" % more.get("deadline_ms", 8_000)),
            (b"Authorization", b"Token " + key),
            (b"Content-Length", b"2"),
            *PROMPT_HEADERS,
            *headers,
        ]
        connection.send(encode_request(b"POST", path.encode(), sent) + b"{}")
        head = await connection.read_head()
        stream.statuses[-1] = head.status
        received = b""
        while part := await connection.read_part():
            received += part
            if head.status == 200:
                received = self._read_events(stream, received)
        stream.is_complete = head.status == 200

    def _read_events(self, stream, data):
        end = 0
        for match in _EVENT.finditer(data):
            stream.events.append((int(match[1]), match[2].decode()))
            end = match.end()
        return data[end:]
