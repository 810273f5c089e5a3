"""Streams that an engine turned away are never answered if the control host that placed
them was killed meanwhile."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (  # noqa: E402
    CONTACT_S,
    KEY,
    HOST,
    Deployment,
    ModelEngine,
    Request,
    run_case,
)

TIMEOUT_MS = 6_000
SLO_MS = 1_700
GAP_MS = 200
DEADLINE_MS = 20_000
# "Clients abandon a stream after a gap of two seconds, four times the objective or eight
# times that pause, whichever is longest."
PATIENCE_S = max(2.0, 4 * SLO_MS / 1000, 8 * GAP_MS / 1000)
PER_S = 120.0
KILL_AFTER_S = float(os.environ.get("KILL_AFTER_S", "0.6"))
DOWN_S = 1.0
DARK_S = 4.5
ROUNDS = 2
ROUND_S = 10.0


def configuration():
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "r-chat",
                "Hostname": HOST,
                "PathPrefix": "/puxa400/",
                "RouteType": "streaming",
                "TimeoutMs": TIMEOUT_MS,
                "SloMs": SLO_MS,
                "Priority": 0,
                "Service": "huvo11a",
                "Attempts": 2,
                "Public": False,
                "SessionAffinity": True,
                "StreamResume": True,
                "ItlTargetMs": GAP_MS,
            }
        ],
        "Services": [
            {
                "Name": "huvo11a",
                "HealthCheck": "/healthz",
                "MaxConnections": 620,
                "Protocol": "h1",
                "TlsEnabled": False,
                "Engine": {
                    "Concurrency": 64,
                    "KvCapacityTokens": 541_375,
                    "KvTokenBytes": 35_136,
                    "LinkMbps": 550_000.0,
                    "Migrations": False,
                    "Replicas": False,
                    "Stride": 3,
                    "Models": [{"Name": "m"}],
                },
            }
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
    request = Request("/puxa400/2f", DEADLINE_MS, patience_s=PATIENCE_S)
    request.headers = (
        ("X-Model", "m"),
        ("X-Token-Usage", "260,12"),
        ("X-Prefix-Hash", f"5c1e07a2:200,{request.id}:60"),
    )
    return request


def find_dispatcher(deployment):
    """Return the control host that the entry hosts' logs name last as the dispatcher."""
    name = ""
    for line in deployment.entries[0].log_path.read_text().splitlines():
        if "as the dispatcher" in line:
            for host in deployment.controls:
                if host.name in line:
                    name = host.name
    return next((h for h in deployment.controls if h.name == name), None)


async def main(record, trouble):
    async with Deployment(record) as deployment:
        engines = [
            await deployment.add_engine(ModelEngine(f"i-{n}", "huvo11a", 64))
            for n in range(3)
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

        load = asyncio.ensure_future(send_load(time.monotonic() + 4.0 + ROUNDS * ROUND_S))
        core_events = []
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            next_at = time.monotonic() + ROUND_S
            dispatcher = find_dispatcher(deployment) or deployment.controls[0]
            record(f"the control host that places requests: {dispatcher.name}")
            if trouble:
                await engines[0].go_dark()
                await asyncio.sleep(KILL_AFTER_S)
                core_events.append(time.monotonic())
                dispatcher.signal(signal.SIGKILL)
                await dispatcher.wait_ended()
                await asyncio.sleep(DOWN_S)
                dispatcher.start()
                core_events.append(time.monotonic())
                await asyncio.sleep(DARK_S - KILL_AFTER_S - DOWN_S)
                await engines[0].come_back(f"i-{3 + number}")
            await asyncio.sleep(next_at - time.monotonic())
        await load
        await asyncio.gather(*tasks)
        return judge(record, requests, core_events)


def judge(record, requests, core_events):
    timeout_s = TIMEOUT_MS / 1000
    late, unanswered = [], []
    ends = {}
    for r in requests:
        lasted_s = r.ended_at - r.sent_at
        ends[(r.status, r.end)] = ends.get((r.status, r.end), 0) + 1
        record(f"request {r.id} sent to {r.host} at "
               f"{r.sent_at - record.started_at:.3f}: status {r.status}, {r.end} after "
               f"{lasted_s:.3f} s")
        # In touch: for ContactMs before the timeout no core machine was killed or started.
        due_at = r.sent_at + timeout_s
        is_out_of_touch = any(
            due_at - CONTACT_S <= at <= due_at + 0.5 for at in core_events
        )
        if is_out_of_touch or lasted_s < timeout_s:
            continue
        late.append(r)
        if lasted_s >= timeout_s + 0.5:
            unanswered.append(r)
    record.say(f"requests: {len(requests)}, ends (status, end): {ends}")
    record.say(f"requests that lasted longer than TimeoutMs: {len(late)}; without a final "
               f"answer 0.5 s after it: {len(unanswered)}, of these without any byte: "
               f"{sum(r.answered_at is None for r in unanswered)}")
    return len(unanswered) >= 8 and len(unanswered) * 4 > len(late)


run_case(main, Path(__file__).resolve().parent)
