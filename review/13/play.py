"""Another writer announces a service that isn't named, at the engines' addresses."""

import asyncio
import json
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import stand_ins as s  # noqa: E402

DESK_ENGINES = 3
# All requests of that time count, also those before the pings.
TRAFFIC_S = 60.0
PAUSE_S = 0.1


async def announce_other(deployment, record, engine):
    """Send one heartbeat of another writer, with valid fields but an unknown service."""
    beat = {
        **engine.build_beat(),
        "Service": "node-exporter",
        "Sequence": 1,
        "born": int(time.time() * 1000),
    }
    path = f"/api/instances/exporter-{engine.engine_id}/heartbeat"
    core = deployment.cores[0]
    answer = await s.call(core.admin, "POST", path, body=json.dumps(beat).encode())
    record.write(
        f"another writer's ping to {core.name}: {path} {json.dumps(beat)}: "
        f"{answer.status if answer else 'no answer'}"
    )


async def send(deployment, target, statuses):
    number = 0
    while True:
        number += 1
        edge = deployment.edges[number % len(deployment.edges)]
        headers = deployment.request_headers(deployment.new_attempt())
        answer = await s.call(edge.front, "POST", target, headers, timeout_s=2.0)
        statuses[answer.status if answer is not None else "none"] += 1
        await asyncio.sleep(PAUSE_S)


async def play(deployment, record, has_trouble):
    deployment.start()
    routes = [
        s.build_route("confirm", "/confirm/", "dispatch-desk"),
        s.build_route("track", "/track/", "van-tracker"),
    ]
    services = [s.build_service("dispatch-desk"), s.build_service("van-tracker")]
    document = s.build_configuration(1, routes, services)
    desk = [
        await deployment.add_engine(f"i-desk-{i}", "dispatch-desk")
        for i in range(DESK_ENGINES)
    ]
    await deployment.add_engine("i-van-0", "van-tracker")
    if not await deployment.configure(document):
        raise s.CannotRunError("no configuration was acknowledged")
    await deployment.wait_served("/confirm/x")
    await deployment.wait_served("/track/x")
    confirm, track = Counter(), Counter()
    tasks = [
        asyncio.create_task(send(deployment, "/confirm/x", confirm)),
        asyncio.create_task(send(deployment, "/track/x", track)),
    ]
    until = time.monotonic() + TRAFFIC_S
    await asyncio.sleep(s.BOUNDS["ContactMs"] / 1000)
    if has_trouble:
        for engine in desk:
            await announce_other(deployment, record, engine)
    ran_before = {engine.engine_id: len(engine.ran) for engine in desk}
    while time.monotonic() < until:
        await asyncio.sleep(5.0)
        record.write(f"answers to confirm {dict(confirm)}, to track {dict(track)}")
    for task in tasks:
        task.cancel()
    for engine in desk:
        core = await engine.say(
            f"/api/instances/{engine.engine_id}/heartbeat", engine.build_beat()
        )
        record.write(
            f"{engine.engine_id} at {engine.address} is ready and has since run "
            f"{len(engine.ran) - ran_before[engine.engine_id]} requests; its heartbeat "
            f"is acknowledged by {core.name if core else 'nobody'}"
        )
    served = confirm[200] / max(1, confirm.total())
    both = confirm + track
    served_of_all = both[200] / max(1, both.total())
    record.write(f"served: {served:.2f} of confirm, {served_of_all:.2f} of all")
    return served < served_of_all / 4


s.main(play, FOLDER)
