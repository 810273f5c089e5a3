"""A second answer that comes late hides that a request has begun to run.

One stage server of three crashes once and is back at once, so that a model engine
rejects a request whose inputs are gone (409, not run). The inputs are made again and the
request returns to that engine on the same channel, where the engine first writes its
rejection once more, as a second answer that comes late, and then runs the request.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib2.standins import (  # noqa: E402
    TROUBLE,
    Deployment,
    Engine,
    Record,
    call,
    configuration,
    encode_message,
    read_message,
    request_headers,
    route,
    run_case,
)

REQUESTS = 50
INTERVAL_S = 0.2
# The crash comes once each model engine has given so many answers: one answer of them is
# then below x = 0.03.
ANSWERS_BEFORE = 34
# TROUBLE=crash leaves out the second answers and keeps the crashes.
HAS_SECOND_ANSWERS = os.environ.get("TROUBLE") not in ("0", "crash")
EVENTS = 6
# As in the sheets: 200 ms a stage call, and about 74 prompt tokens read in a ms.
STAGE_S = 0.2
PREFILL_S = 0.03


class StageServer(Engine):
    """Makes results, and holds them until it crashes or is told to free them."""

    handles = 0

    def restart(self):
        """Crash and start again under the same id: nothing of before is held."""
        self.results.clear()
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.sequence = 0
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def _handle(self, head, body, writer):
        if head.first[1] == "/api/stage-run":
            entries = json.loads(body)["Entries"]
            await asyncio.sleep(STAGE_S)
            answers = []
            for entry in entries:
                StageServer.handles += 1
                handle = f"{self.address}/h{StageServer.handles:x}"
                self.results.add(handle)
                answers.append({"Handle": handle})
                self.record(
                    f"stage server {self.server_id} made {handle} for {entry['Id']}"
                )
            data = json.dumps({"Entries": answers}).encode()
            headers = [("X-Instance-Load", "1,0,1")]
            writer.write(encode_message("HTTP/1.1 200 OK", headers, data))
        elif head.first[1] == "/api/stage-free":
            self.results -= set(json.loads(body)["Handles"])
            writer.write(encode_message("HTTP/1.1 200 OK", [], b"{}"))
        else:
            await super()._handle(head, body, writer)


class ModelEngine(Engine):
    """Runs streams; with trouble, it writes its one rejection once more, late."""

    answers = 0
    has_crashed = [False]

    def loses_next(self):
        """Return whether the inputs are lost before this request; only once."""
        if not TROUBLE or self.has_crashed[0] or self.answers < ANSWERS_BEFORE:
            return False
        self.has_crashed[0] = True
        return True

    async def _serve(self, reader, writer):
        last_rejection = b""
        try:
            while (message := await read_message(reader)) is not None:
                head, _ = message
                request_id = head.get("x-attempt-id", "")
                if last_rejection and HAS_SECOND_ANSWERS:
                    self.record(f"engine {self.server_id} writes its last answer again")
                    writer.write(last_rejection)
                last_rejection = b""
                self.answers += 1
                handles = (head.get("x-inputs") or "").split(",")
                if self.loses_next():
                    server = next(
                        s for s in self.stage_servers if handles[0] in s.results
                    )
                    server.restart()
                    self.record(f"{server.server_id} has crashed and started again")
                known = set().union(*(s.results for s in self.stage_servers))
                if not set(handles) <= known:
                    headers = [*self.common_headers(head), ("X-Not-Executed", "1")]
                    last_rejection = encode_message("HTTP/1.1 409 Conflict", headers)
                    self.record(f"engine {self.server_id} rejects {request_id}: 409")
                    writer.write(last_rejection)
                    continue
                await self._run_stream(request_id, head, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _run_stream(self, request_id, head, writer):
        self.ran.setdefault(request_id, []).append(True)
        self.record(
            f"engine {self.server_id} runs {request_id} "
            f"(time {len(self.ran[request_id])})"
        )
        headers = [
            *self.common_headers(head),
            ("X-Response-Signature", f"s.{request_id}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        await asyncio.sleep(PREFILL_S)
        writer.write(encode_message("HTTP/1.1 200 OK", headers, has_length=False))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def build_configuration():
    document = configuration()
    document["Routes"].append(
        route(
            "plan",
            "/plan/",
            "streaming",
            "drum-pool",
            TimeoutMs=6000,
            SloMs=2000,
            Phases=[{"Service": "ledger", "After": [], "Length": 8000}],
            SessionAffinity=True,
            ItlTargetMs=250,
        )
    )
    document["Services"] += [
        {
            "Name": "drum-pool",
            "HealthCheck": "/healthz",
            "MaxConnections": 620,
            "Engine": {
                "Concurrency": 128,
                "KvCapacityTokens": 550262,
                "KvTokenBytes": 35136,
                "Stride": 3,
                "Models": [{"Name": "m"}],
            },
        },
        {
            "Name": "ledger",
            "HealthCheck": "/healthz",
            "MaxConnections": 620,
            "Params": {
                "Concurrency": 1,
                "QueueLimit": 2,
                "Batch": 8,
                "CallMs": 200.0,
                "ItemMs": 21.0,
                "HeadroomMb": 18.0,
                "HandleTtlS": 4.0,
                "LinkMbps": 10000,
            },
        },
    ]
    return document


async def main():
    record = Record(FOLDER / "record.txt")
    system = Deployment(record, entries=2, engines=1)
    address = f"{system.network}.6%d:8080"
    stages = [
        StageServer(f"st-{i}", "ledger", address % i, "lautoka-a", record)
        for i in range(3)
    ]
    models = [
        ModelEngine(f"m-{i}", "drum-pool", address % (5 + i), "lautoka-a", record)
        for i in range(2)
    ]
    for server in stages:
        server.results, server.writers = set(), set()
        server.concurrency = 1
    for engine in models:
        engine.stage_servers = stages
        engine.concurrency = 128
    system.engines += stages + models
    async with system:
        document = build_configuration()
        if not await system.configure(document) or not await system.wait_served():
            record("the deployment does not serve")
            return 2
        answers = {}

        async def send(number):
            request_id, headers = request_headers(6000)
            headers += [
                ("X-Model", "m"),
                ("X-Token-Usage", "900,20"),
                ("X-Prefix-Hash", f"5c1e07a2:800,{number + 99:x}:100"),
                ("X-Chunks", "1"),
                ("X-Chunk-Key", f"key{number + 99:x}"),
            ]
            status, _, body = await call(
                system.front(), "POST", "/plan/a", headers, b"{}", timeout_s=7
            )
            record(f"client was answered {status} for {request_id}, {len(body)} bytes")
            answers[request_id] = status

        for number in range(REQUESTS):
            await send(number)
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(0.5)
        runs = {
            request_id: sum(len(m.ran.get(request_id, ())) for m in models)
            for request_id in answers
        }
        twice = [request_id for request_id, count in runs.items() if count > 1]
        if not any(runs.values()):
            record("no request ran")
            return 2
        record(f"answers of the engines: {[m.answers for m in models]}")
        if TROUBLE and not models[0].has_crashed[0]:
            record("no stage server crashed")
            return 2
        record(f"{len(twice)} of {len(runs)} requests ran more than once: {twice}")
        record("BROKEN" if twice else "held")
        return int(bool(twice))


run_case(main)
