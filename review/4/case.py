"""A server that has left gets work again after the control processes were killed."""

import asyncio
import itertools
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (  # noqa: E402
    BOUNDS,
    CONTACT_S,
    HOST,
    KEY,
    Deployment,
    Engine,
    ModelEngine,
    Request,
    call,
    run_case,
)

DRAIN_S = BOUNDS["DrainMs"] / 1000
KILL_AFTER_S = 0.3
DOWN_S = 0.9
PING_LATE_S = 3.5
# "It continues serving for DrainMs after the acknowledgement and a little longer (at times
# many seconds)."
LINGER_S = 10.0
PER_S = 12.0


class StageEngine(Engine):
    """An engine of a stage: one call at a time, up to two wait."""

    numbers = itertools.count(1)

    async def start(self):
        self.lock = asyncio.Lock()
        self.waiting = 0
        self.calls = []
        await super().start()

    async def handle(self, writer, method, target, headers, body):
        if target == "/api/stage-free":
            self.respond(writer, 200, [("Content-Type", "application/json")], b"{}")
            return
        if target != "/api/stage-run":
            await super().handle(writer, method, target, headers, body)
            return
        ids = {entry["Id"] for entry in json.loads(body)["Entries"]}
        self.calls.append((time.monotonic(), ids))
        self.deployment.record(f"stage-run at {self.server_id}")
        if headers.get("x-expect-instance") not in (None, self.server_id):
            self.respond(writer, 421, [("X-Not-Executed", "1")])
            return
        if self.waiting > 2:
            self.respond(writer, 503, [("X-Not-Executed", "1")])
            return
        self.waiting += 1
        try:
            async with self.lock:
                entries = json.loads(body)["Entries"]
                await asyncio.sleep(0.2 + 0.021 * len(entries))
                address = f"{self.address[0]}:{self.address[1]}"
                answers = [
                    {"Handle": f"{address}/{next(self.numbers):08x}"} for _ in entries
                ]
                answer = json.dumps({"Entries": answers}).encode()
                self.respond(
                    writer, 200, [("Content-Type", "application/json")], answer
                )
        finally:
            self.waiting -= 1


def configuration():
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "r-plan",
                "Hostname": HOST,
                "PathPrefix": "/puxa400/",
                "RouteType": "streaming",
                "TimeoutMs": 6_000,
                "SloMs": 1_800,
                "Priority": 0,
                "Service": "huvo11a",
                "Attempts": 1,
                "Phases": [{"Service": "kafi81c", "After": [], "Length": 8_000}],
                "Public": False,
                "SessionAffinity": True,
                "StreamResume": False,
                "ItlTargetMs": 200,
            }
        ],
        "Services": [
            {
                "Name": "huvo11a",
                "HealthCheck": "/healthz",
                "MaxConnections": 620,
                "Engine": {
                    "Concurrency": 64,
                    "KvCapacityTokens": 541_375,
                    "Stride": 3,
                    "Models": [{"Name": "m"}],
                },
            },
            {
                "Name": "kafi81c",
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
                    "LinkMbps": 10_000,
                },
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": "bozi300", "ApiKeys": [KEY], "Priority": 1}],
    }


def make_request():
    request = Request("/puxa400/2f", 6_000, patience_s=6.0)
    request.headers = (
        ("X-Model", "m"),
        ("X-Token-Usage", "260,12"),
        ("X-Prefix-Hash", f"5c1e07a2:200,{request.id}:60"),
        ("X-Chunks", "1"),
        ("X-Chunk-Key", request.id),
    )
    return request


async def main(record, trouble):
    async with Deployment(record) as deployment:
        for number in range(2):
            await deployment.add_engine(ModelEngine(f"i-m{number}", "huvo11a", 64))
        stages = [
            await deployment.add_engine(StageEngine(f"i-s{number}", "kafi81c", 1))
            for number in range(3)
        ]
        await deployment.configure(configuration())
        await deployment.wait_served(make_request)
        requests, tasks = [], []

        async def send_load(until):
            while time.monotonic() < until:
                request = make_request()
                requests.append(request)
                front = deployment.entries[len(requests) % 2].front
                tasks.append(asyncio.ensure_future(request.run(front)))
                await asyncio.sleep(1 / PER_S)

        load = asyncio.ensure_future(send_load(time.monotonic() + 5.0 + LINGER_S))
        # Nothing of the core was started within ContactMs before the acknowledgement.
        await asyncio.sleep(4.5)
        leaving = stages[0]
        # The last ping is sent now and arrives late.
        leaving.is_beating = False
        await asyncio.sleep(0.4)
        late_ping = json.dumps(leaving.heartbeat()).encode()
        status, _ = await call(
            deployment.controls[0].admin,
            "POST",
            f"/api/instances/{leaving.server_id}/deregister",
            json.dumps({"born": leaving.born}).encode(),
        )
        left_at = time.monotonic()
        record.say(f"{leaving.server_id} deregistered: status {status}")
        core_events = []
        if trouble:
            await asyncio.sleep(KILL_AFTER_S)
            core_events.append(time.monotonic())
            for host in deployment.controls:
                host.signal(signal.SIGKILL)
            for host in deployment.controls:
                await host.wait_ended()
            await asyncio.sleep(DOWN_S)
            for host in deployment.controls:
                host.start()
            core_events.append(time.monotonic())
        await asyncio.sleep(left_at + PING_LATE_S - time.monotonic())
        ping_status, _ = await call(
            deployment.controls[0].admin,
            "POST",
            f"/api/instances/{leaving.server_id}/heartbeat",
            late_ping,
        )
        record.say(f"the late ping arrives: status {ping_status}")
        await asyncio.sleep(left_at + LINGER_S - time.monotonic())
        leaving.end()
        record(f"{leaving.server_id} exits")
        await load
        await asyncio.gather(*tasks)
        return judge(record, requests, leaving, status, left_at, core_events)


def judge(record, requests, leaving, status, left_at, core_events):
    ends = {}
    for r in requests:
        ends[(r.status, r.end)] = ends.get((r.status, r.end), 0) + 1
    sent_at = {r.id: r.sent_at for r in requests}
    late = [(at, ids) for at, ids in leaving.calls if at > left_at + DRAIN_S]
    # In touch from the moment at which its first request was sent by the client.
    counted = [
        at
        for at, ids in late
        if not any(
            min(sent_at[i] for i in ids) - CONTACT_S <= e <= at for e in core_events
        )
    ]
    record.say(f"requests: {len(requests)}, ends (status, end): {ends}")
    record.say(f"calls that reached {leaving.server_id} over DrainMs after its "
               f"acknowledged deregistration: {len(late)}, of these sent by machines in "
               f"touch: {len(counted)}")
    if counted:
        record.say(f"the last of them {counted[-1] - left_at:.3f} s after it")
    return status == 200 and len(counted) > 0


run_case(main, Path(__file__).resolve().parent)
