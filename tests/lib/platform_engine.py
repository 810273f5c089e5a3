"""Fake engine and client of the platform, written from its documentation.

An engine serves plain requests, stage calls or model streams and records what it ran.
"""

import asyncio
import itertools
import json
from collections import Counter, defaultdict
from dataclasses import replace
from weakref import WeakKeyDictionary

from galenadrum._internal.network.http1.client import ConnectionPool
from galenadrum._internal.network.http1.heads import encode_request, encode_response
from galenadrum._internal.network.http1.server import ConnectionLimits, Http1Server

LIMITS = ConnectionLimits()
EVENT_INTERVAL_S = 0.01
# Time until a prompt that crashes the engine does so.
PREFILL_S = 0.15
DRIP_INTERVAL_S = 0.2
ERROR_TEXT = b"<h1>failed</h1>"


class FakePlatformEngine:
    """Fake engine with an HTTP server.

    Attributes:
        announced_address: Address in its heartbeats, which may be that of a relay.
        events: Number of events in a stream; 0 disables streams.
        event_interval_s: Time between two events, in seconds.
        silence_s: Time for which it sends nothing before one event, in seconds.
        silent_before: Number of that event.
        software_version: Version of its software in its heartbeats.
        names_version: Whether the text of each event names that version.
        work_s: Time that a request or stage call runs, in seconds.
        padding: Bytes that follow the answer to a plain request.
        ran: Number of times that each request ran, by request id.
        requests: Heads of the requests that ran, by request id.
        results: Handles of the stage results that are not released.
        request_by_handle: Request id and stage of each result by its handle.
        cancelled: Ids of the requests whose connection was closed by the caller.
        faults: Names of the active faults: ``reject``, ``reset``, ``hang``, ``error``,
            ``cut``, ``unsigned``, ``unframed``, ``anonymous``, ``endless_head``,
            ``endless_body``, ``repeat``, ``repeat_anonymous``, ``repeat_release``,
            ``drip``.
        most_connections: Largest number of connections that were open at once.
        to_reject: Number of the next requests and stage calls that it rejects.
        rejected_status: Status of these rejections.
        endless_interval_s: Pause between two parts of bytes without end, in seconds.
        reject_after_s: Time that it takes to reject a request, in seconds.
        resume_status: Status of the error with which it answers requests that go on
            with a stream; None to serve them.
        cut_number: Number of the event that the fault ``cut`` cuts.
        cut_event: Bytes that it sends in place of that event.
        born: Start of its incarnation, in Unix milliseconds.
        lethal_parts: Prompt parts that crash the engine when it begins to answer them.
        lethal_targets: Targets of requests that do the same; a plain one gets no head.
        lethal_piece_keys: Keys of stage pieces that crash it when it begins their call.
        has_crashed: Whether one of these has crashed it.
        ran_at_by_request_id: Loop times in seconds at which requests began to run.
        limit_per_s: Limit that its responses name; None for none.
        brittle_at: Rejections in a second at which it crashes, named in its responses;
            None if it isn't brittle.
        slots: Requests that it runs at once; more are rejected. None for no limit.
        rejected_at: Loop times in seconds at which it rejected requests for want of
            room.
        received_at: Loop times in seconds at which requests arrived.
        head_cut: Fraction of the head of a response, and of what follows it, after
            which it closes the connection; None to send whole responses.
        resets_cut: Whether it resets the connection then.
        status_text: Status of its responses to requests and stage calls, three digits;
            None for the right one.
        rest_s: Seconds for which it asks the sender of a request that it rejects to
            send nothing; None to accept requests.
        rest_zone: Zone whose callers' requests alone it rejects then, as their header
            ``X-Zone`` names it; None for all.
        rests: Loop time and duration in seconds of each rest that it asked for.
        is_leaving: Whether its responses say that it is about to stop.
        warm_up_ends_at: Loop time in seconds until which it says that it is cold.
        said_leaving_at: Loop times in seconds at which they said so.
    """

    def __init__(self, server_id, service, address, zone, events=4, work_s=0.0):
        self.server_id = server_id
        self.service = service
        self.address = address
        self.announced_address = address
        self.zone = zone
        self.events = events
        self.event_interval_s = EVENT_INTERVAL_S
        self.silence_s = 0.0
        self.silent_before = 1
        self.software_version = "v1"
        self.names_version = False
        self.work_s = work_s
        self.padding = b""
        self.run_count_by_request_id = Counter()
        self.head_by_request_id = {}
        self.body_by_id = {}
        self.stage_calls = []
        self.released = []
        self.results = set()
        self.request_by_handle = {}
        self.cancelled = []
        self.faults = set()
        self.resume_status = None
        self.cut_number = 3
        self.cut_event = b"id: 3\nda"
        self.state = "ready"
        self.born = 1_700_000_000_000
        self.lethal_parts = set()
        self.lethal_targets = set()
        self.lethal_piece_keys = set()
        self.has_crashed = False
        self.ran_at_by_request_id = defaultdict(list)
        self.most_connections = 0
        self.to_reject = 0
        self.rejected_status = 503
        self.reject_after_s = 0.0
        self.endless_interval_s = 0.001
        self._last_response_by_connection = WeakKeyDictionary()
        self.limit_per_s = None
        self.brittle_at = None
        self.slots = None
        self.rejected_at = []
        self._running = 0
        self.received_at = []
        self.head_cut = None
        self.resets_cut = False
        self.status_text = None
        self.rest_s = None
        self.rest_zone = None
        self.rests = []
        self.is_leaving = False
        self.said_leaving_at = []
        self.warm_up_ends_at = 0.0
        self._sequence = itertools.count(1)
        self._handles = itertools.count(1)
        self._server = Http1Server(address, self._handle, lambda: LIMITS, server_id)

    async def start(self):
        await self._server.listen()

    def stop(self):
        self._server.stop_listening()
        for connection in list(self._server.connections):
            connection.abort()

    def crash(self):
        self.has_crashed = True
        self.stop()

    def build_heartbeat(self):
        warm_up_left_s = self.warm_up_ends_at - asyncio.get_running_loop().time()
        return {
            "Service": self.service,
            "Address": self.announced_address,
            "Zone": self.zone,
            "Version": self.software_version,
            "Concurrency": 4,
            "State": self.state,
            "WarmupLeftMs": max(0, int(1_000 * warm_up_left_s)),
            "Sequence": next(self._sequence),
            "born": self.born,
        }

    async def _handle(self, exchange):
        head = exchange.head
        self.received_at.append(asyncio.get_running_loop().time())
        self.most_connections = max(
            self.most_connections, len(self._server.connections)
        )
        self._repeat_last_response(exchange)
        if head.path == "/api/stage-run":
            await self._run_stage(exchange)
        elif head.path == "/api/stage-free":
            handles = json.loads(exchange.body)["Handles"]
            self.released += handles
            self.results -= set(handles)
            exchange.respond(200, [], b"{}")
            if "repeat_release" in self.faults:
                self._record_response(exchange, 200, [], b"{}")
        else:
            await self._run_request(exchange)

    def _repeat_last_response(self, exchange):
        """Write the response before once more where the next one is expected."""
        last = self._last_response_by_connection.pop(exchange._connection, None)
        repeating = {"repeat", "repeat_anonymous", "repeat_release"}
        if last is not None and self.faults & repeating:
            exchange._write(last)

    def _respond(self, exchange, status, headers, body):
        """Send a response that the faults may repeat on the connection."""
        exchange.respond(status, headers, body)
        if "repeat_anonymous" in self.faults:
            headers = [h for h in headers if h[0] != b"X-Attempt-Id"]
        if "repeat_release" not in self.faults:
            self._record_response(exchange, status, headers, body)

    def _record_response(self, exchange, status, headers, body):
        length = (b"Content-Length", b"%d" % len(body))
        self._last_response_by_connection[exchange._connection] = (
            encode_response(status, [*headers, length]) + body
        )

    def _reject(self, exchange):
        request_id = exchange.head.get(b"x-attempt-id")
        headers = [(b"X-Not-Executed", b"1")]
        if request_id is not None:
            headers.append((b"X-Attempt-Id", request_id))
        headers += self._limit_headers()
        if self.rest_s is not None:
            self.rests.append((asyncio.get_running_loop().time(), self.rest_s))
            headers.append((b"Retry-After", b"%g" % self.rest_s))
        self._respond(exchange, self.rejected_status, headers, b"")

    def _take_rejection(self, head):
        is_due = self.to_reject > 0
        self.to_reject -= is_due
        is_concerned = self.rest_zone in (None, head.get(b"x-zone"))
        wants_rest = self.rest_s is not None and is_concerned
        return is_due or "reject" in self.faults or wants_rest

    def _common_headers(self, exchange):
        request_id = exchange.head.get(b"x-attempt-id") or b""
        headers = [
            (b"X-Attempt-Id", request_id),
            (b"X-Response-Signature", b"s." + request_id),
            (b"X-Instance-Load", b"1,0,4"),
            *self._limit_headers(),
        ]
        return [h for h in headers if not ("unsigned" in self.faults and b"s." in h[1])]

    def _limit_headers(self):
        headers = []
        if self.limit_per_s is not None:
            headers.append((b"Server-Limit", b"%g" % self.limit_per_s))
        if self.brittle_at is not None:
            headers.append((b"Server-Brittle", b"%d" % self.brittle_at))
        if self.is_leaving:
            self.said_leaving_at.append(asyncio.get_running_loop().time())
            headers.append((b"Server-Leaving", b"1"))
        return headers

    async def _run_request(self, exchange):
        head = exchange.head
        request_id = head.get(b"x-attempt-id").decode()
        if head.get(b"x-expect-instance") != self.server_id.encode():
            headers = [(b"X-Instance-Id", self.server_id.encode())]
            exchange.respond(
                421, [*headers, (b"X-Attempt-Id", head.get(b"x-attempt-id"))], b""
            )
            return
        if self._take_rejection(exchange.head):
            await asyncio.sleep(self.reject_after_s)
            self._reject(exchange)
            return
        if self.slots is not None and self._running >= self.slots:
            self._reject_for_room(exchange)
            return
        self._running += 1
        try:
            await self._run_accepted(exchange, request_id)
        finally:
            self._running -= 1

    def _reject_for_room(self, exchange):
        now = asyncio.get_running_loop().time()
        self.rejected_at.append(now)
        headers = [
            (b"X-Not-Executed", b"1"),
            (b"X-Attempt-Id", exchange.head.get(b"x-attempt-id")),
            *self._limit_headers(),
        ]
        exchange.respond(503, headers, b"")
        recent = sum(at > now - 1.0 for at in self.rejected_at)
        if self.brittle_at is not None and recent > self.brittle_at:
            self.crash()

    async def _send_cut_head(self, exchange):
        """Send the beginning of a head that promises a whole body, and close."""
        headers = [
            *self._common_headers(exchange),
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", b"24"),
        ]
        data = encode_response(200, headers)
        if self.head_cut == "http10":
            data = data.replace(b"HTTP/1.1", b"HTTP/1.0")
            data = data.replace(b"Content-Length: 24\r\n", b"")[:-2]
        elif self.head_cut == "body":
            data += b"half a body"
        else:
            data = data[: int(len(data) * self.head_cut)]
        exchange._write(data)
        await asyncio.sleep(0.02)
        if self.resets_cut:
            exchange.abort()
        else:
            exchange._connection._transport.close()

    def _send_status(self, exchange, body):
        """Send a whole response whose status line has another status."""
        headers = [
            *self._common_headers(exchange),
            (b"Content-Length", b"%d" % len(body)),
        ]
        data = encode_response(200, headers) + body
        exchange._write(data.replace(b" 200 ", b" %s " % self.status_text, 1))
        exchange.finish()

    async def _run_accepted(self, exchange, request_id):
        head = exchange.head
        self.run_count_by_request_id[request_id] += 1
        self.ran_at_by_request_id[request_id].append(asyncio.get_running_loop().time())
        self.head_by_request_id[request_id] = head
        self.body_by_id[request_id] = exchange.body
        exchange.on_caller_disconnected = lambda: self.cancelled.append(request_id)
        if self.head_cut is not None:
            await self._send_cut_head(exchange)
            return
        if self.status_text is not None:
            self._send_status(exchange, b"answer to " + request_id.encode())
            return
        if "reset" in self.faults:
            exchange.abort()
            return
        if self.faults & {"endless_head", "endless_body"}:
            await self._send_without_end(exchange)
            return
        if "hang" in self.faults:
            await asyncio.sleep(60)
        if self.resume_status is not None and head.get(b"last-event-id"):
            headers = [*self._common_headers(exchange), (b"Content-Type", b"text/html")]
            exchange.respond(self.resume_status, headers, ERROR_TEXT)
            return
        if "error" in self.faults:
            exchange.respond(500, self._common_headers(exchange), b"failed")
            return
        await asyncio.sleep(self.work_s)
        if self.events and head.method == b"POST" and head.get(b"x-model"):
            await self._send_stream(exchange)
        elif head.target in self.lethal_targets:
            self.crash()
        else:
            body = b"answer to " + request_id.encode() + self.padding
            self._respond(exchange, 200, self._common_headers(exchange), body)

    async def _send_without_end(self, exchange):
        """Send bytes that never end a head, a body or an event."""
        if "endless_head" in self.faults:
            exchange._write(b"HTTP/1.1 200 OK\r\n")
        else:
            exchange.start(200, self._common_headers(exchange))
        while not exchange.is_caller_disconnected:
            if "endless_head" in self.faults:
                exchange._write(b"X-Line: value\r\n" * 1_000)
            else:
                await exchange.send(b"x" * 65_536)
            await asyncio.sleep(self.endless_interval_s)

    async def _send_stream(self, exchange):
        headers = [
            *self._common_headers(exchange),
            (b"Content-Type", b"text/event-stream"),
        ]
        if "unframed" in self.faults:
            # A response to HTTP/1.0 has neither a length nor chunks.
            exchange.head = replace(exchange.head, is_http10=True)
        exchange.start(200, headers)
        prompt = (exchange.head.get(b"x-prefix-hash") or b"").split(b",")
        parts = {part.split(b":")[0] for part in prompt}
        if self.lethal_parts & parts or exchange.head.target in self.lethal_targets:
            await asyncio.sleep(PREFILL_S)
            self.crash()
            return
        if "drip" in self.faults:
            await self._drip(exchange)
            return
        first = int(exchange.head.get(b"last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            if "cut" in self.faults and number == self.cut_number:
                await exchange.send(self.cut_event)
                if "unframed" in self.faults:
                    exchange.finish()
                else:
                    exchange.abort()
                return
            if number == self.silent_before:
                await asyncio.sleep(self.silence_s)
            event_id = b"" if "anonymous" in self.faults else b"id: %d\n" % number
            text = b"piece %d" % number
            if self.names_version:
                text = b"%s %s" % (self.software_version.encode(), text)
            await exchange.send(b"%sdata: %s\n\n" % (event_id, text))
            await asyncio.sleep(self.event_interval_s)
        exchange.finish()

    async def _drip(self, exchange):
        """Send a byte of an event now and then, and never the whole event."""
        while not exchange.is_caller_disconnected:
            await exchange.send(b":")
            await asyncio.sleep(DRIP_INTERVAL_S)

    async def _run_stage(self, exchange):
        entries = json.loads(exchange.body)["Entries"]
        self.stage_calls.append(entries)
        if self.faults & {"endless_head", "endless_body"}:
            await self._send_without_end(exchange)
            return
        if self._take_rejection(exchange.head):
            self._reject(exchange)
            return
        await asyncio.sleep(self.work_s)
        if self.head_cut is not None:
            await self._send_cut_head(exchange)
            return
        if self.lethal_piece_keys & {entry.get("Key") for entry in entries}:
            self.crash()
            return
        answers = []
        for entry in entries:
            handle = f"{self.address}/h{next(self._handles)}"
            self.results.add(handle)
            self.request_by_handle[handle] = (entry["Id"], entry["Phase"])
            answers.append({"Handle": handle})
        body = json.dumps({"Entries": answers}).encode()
        if self.status_text is not None:
            self._send_status(exchange, body)
            return
        self._respond(exchange, 200, self._limit_headers(), body)


class PlatformClient:
    """HTTP client that acts as a caller, an engine or the operator."""

    def __init__(self):
        self._pool = ConnectionPool()
        self._ids = itertools.count(1)

    async def call(self, address, method, target, headers=(), body=b"", timeout_s=8.0):
        """Send a request; return the status, headers and body of the response."""
        connection = await self._pool.get(address, 2.0)
        sent_headers = [(b"Host", b"x"), *headers]
        names = {name.lower() for name, _ in headers}
        if b"host" in names:
            sent_headers = sent_headers[1:]
        sent_headers.append((b"Content-Length", b"%d" % len(body)))
        connection.send(encode_request(method, target, sent_headers) + body)
        try:
            async with asyncio.timeout(timeout_s):
                head = await connection.read_head()
                data = await connection.read_body()
        except BaseException:
            connection.close()
            raise
        self._pool.put(connection)
        return head.status, {n.lower(): v for n, v in head.headers}, data

    async def send_request(
        self, address, host, path, key=None, request_id=None, **more
    ):
        """Send a caller's request; return its id and the values of `call`."""
        request_id = request_id or f"{next(self._ids):016x}"
        headers = [
            (b"Host", host.encode()),
            (b"X-Attempt-Id", request_id.encode()),
            (b"X-Deadline-Ms", b"%d" % more.pop("deadline_ms", 5_000)),
            *more.pop("headers", ()),
        ]
        if key:
            headers.append((b"Authorization", b"Token " + key.encode()))
        method = more.pop("method", b"GET")
        answer = await self.call(address, method, path.encode(), headers, **more)
        return request_id, *answer

    async def send_heartbeat(self, address, engine):
        """Send a heartbeat of an engine; return the status."""
        path = f"/api/instances/{engine.server_id}/heartbeat"
        body = json.dumps(engine.build_heartbeat()).encode()
        status, _, _ = await self.call(address, b"POST", path.encode(), body=body)
        return status

    async def replace_configuration(self, address, document):
        """Submit a configuration; return the status."""
        body = json.dumps(document).encode()
        status, _, _ = await self.call(
            address, b"POST", b"/api/config/replace", body=body
        )
        return status

    async def read_configuration(self, address):
        """Read the configuration; return the status and the document."""
        status, _, body = await self.call(address, b"GET", b"/api/config/read")
        return status, json.loads(body)
