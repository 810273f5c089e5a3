"""Requests that may not be repeated run long after their clients have left."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (  # noqa: E402
    HOST,
    KEY,
    Deployment,
    Engine,
    Request,
    run_case,
)

DEADLINE_MS = 1_500
SLO_MS = 300
PER_S = 150.0
LEAVE_SHARE = 0.3
LEAVE_S = 0.15
# "give_up", at most 5.5 s at a time
LEAVING_S = 5.5
DARK_S = 4.5
ROUNDS = 8
# "more than a few requests reach an engine over half a second later"
A_FEW = 5


class PlainEngine(Engine):
    async def work(self, writer, request_id, headers, body):
        await asyncio.sleep(0.06)
        self.respond(
            writer,
            200,
            [
                ("X-Attempt-Id", request_id),
                ("X-Response-Signature", self.signature(request_id)),
                ("X-Instance-Load", f"{self.running},0,{self.concurrency}"),
            ],
            b"confirmed " + request_id.encode(),
        )


def configuration():
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "r-confirm",
                "Hostname": HOST,
                "PathPrefix": "/puxa400/",
                "RouteType": "non_idempotent",
                "TimeoutMs": DEADLINE_MS,
                "SloMs": SLO_MS,
                "Priority": 0,
                "Service": "wuno96b",
                "Attempts": 1,
                "Public": False,
            }
        ],
        "Services": [
            {"Name": "wuno96b", "HealthCheck": "/healthz", "MaxConnections": 110}
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": "bozi300", "ApiKeys": [KEY], "Priority": 1}],
    }


def make_request(patience_s=None):
    return Request(
        "/puxa400/2f", DEADLINE_MS, body=b"x" * 600, patience_s=patience_s
    )


async def main(record, trouble):
    async with Deployment(record, entries=3) as deployment:
        engines = [
            await deployment.add_engine(PlainEngine(f"i-{n}", "wuno96b", 6))
            for n in range(3)
        ]
        await deployment.configure(configuration())
        await deployment.wait_served(make_request)
        requests, tasks = [], []
        leaving_until = 0.0

        async def send_load(until):
            while time.monotonic() < until:
                is_leaving = time.monotonic() < leaving_until
                leaves = is_leaving and len(requests) % 10 < LEAVE_SHARE * 10
                request = make_request(LEAVE_S if leaves else None)
                requests.append(request)
                front = deployment.entries[len(requests) % 3].front
                tasks.append(asyncio.ensure_future(request.run(front)))
                await asyncio.sleep(1 / PER_S)

        load = asyncio.ensure_future(send_load(time.monotonic() + 4.0 + ROUNDS * 9.0))
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            engine = engines[number % 3]
            if trouble:
                leaving_until = time.monotonic() + LEAVING_S
                await engine.go_dark()
            await asyncio.sleep(DARK_S)
            if trouble:
                await engine.come_back(f"i-{3 + number}")
            await asyncio.sleep(4.5)
        await load
        await asyncio.gather(*tasks)
        await asyncio.sleep(2.0)
        return judge(record, requests, engines)


def judge(record, requests, engines):
    arrived_at = {}
    for engine in engines:
        for at, request_id, _ in engine.runs:
            arrived_at[request_id] = at
    ends, late = {}, []
    for r in requests:
        ends[(r.status, r.end)] = ends.get((r.status, r.end), 0) + 1
        at = arrived_at.get(r.id)
        if r.end == "left" and at is not None and at > r.ended_at + 0.5:
            late.append(r)
            record(f"request {r.id} sent {r.sent_at - record.started_at:.3f}, its client "
                   f"left {r.ended_at - record.started_at:.3f}, runs at an engine "
                   f"{at - record.started_at:.3f}")
    left = sum(r.end == "left" for r in requests)
    record.say(f"requests: {len(requests)}, ends (status, end): {ends}")
    record.say(f"clients that left: {left}; requests of theirs that reached an engine over "
               f"half a second later, and ran: {len(late)}")
    return len(late) > A_FEW


run_case(main, Path(__file__).resolve().parent)
