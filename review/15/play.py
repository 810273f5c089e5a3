"""The first configuration has the version 0."""

import asyncio
import json
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import stand_ins as s  # noqa: E402

READ_BACK_S = 20.0


async def play(deployment, record, has_trouble):
    deployment.start()
    # The core has elected a leader by then.
    await asyncio.sleep(s.BOUNDS["ContactMs"] / 1000)
    version = 0 if has_trouble else 1
    document = s.build_configuration(
        version, [s.build_route("stock", "/stock/", "desk")], [s.build_service("desk")]
    )
    await deployment.add_engine("i-desk-0", "desk")
    if not await deployment.configure(document):
        raise s.CannotRunError("no configuration was acknowledged")
    record.write(f"configuration of version {version}: 200")
    await asyncio.sleep(s.BOUNDS["ConfigApplyMs"] / 1000)
    reads, served = Counter(), Counter()
    is_read_back = False
    until = time.monotonic() + READ_BACK_S
    while time.monotonic() < until:
        for answer in await deployment.read_configuration():
            reads[answer.status if answer else "none"] += 1
            if answer is not None and answer.status == 200:
                is_read_back = json.loads(answer.body) == document
        for edge in deployment.edges:
            headers = deployment.request_headers(deployment.new_attempt())
            answer = await s.call(edge.front, "POST", "/stock/x", headers, timeout_s=2)
            served[answer.status if answer else "none"] += 1
        await asyncio.sleep(0.5)
    record.write(f"reads {dict(reads)}, as it was sent: {is_read_back}")
    record.write(f"requests on its route {dict(served)}")
    return not is_read_back


s.main(play, FOLDER)
