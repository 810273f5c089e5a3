"""Replays the load of a site against dispatchers, without sockets.

Prints, for each kind of request, the share that is placed in time, late and
refused, and the processor time of a dispatcher for each request.
"""

import argparse
import json
import math
import random
import time

from galenadrum._internal.dispatch.messages import PlacementRequest, PromptPart
from galenadrum._internal.models.routing import (
    EngineLimits,
    Service,
    StageLimits,
    StageSpec,
)
from lib.dispatch_world import DispatchWorld
from lib.routing_values import entry, route

FIRST_EVENT_S = 0.15
WARM_S = 2.0

LEDGER_CHAIN = (
    StageSpec("first", (), 8_000.0),
    StageSpec("second", (0,), 60_000.0),
    StageSpec("third", (1,), 6_000.0),
)


def limits(batch, piece_s, room_mb):
    """Return the limits of one server of a stage."""
    return StageLimits(1, 2, batch, 0.2, piece_s, room_mb * 1e6, 4.0)


# From the users' sheets: the grown restocking fleet, one zone of it, and the small
# one. Rates are requests a second.
SITES = {
    "grown": {
        "servers": {"first": 9, "second": 8, "third": 8, "generate": 30},
        "limits": {
            "first": limits(15, 0.01173, 33.75),
            "second": limits(51, 0.00339, 6.7),
            "third": limits(69, 0.00247, 0.92),
        },
        "rates": {"plan": 66.4, "note": 75.2, "chat": 31.4},
        "concurrency": 64,
    },
    "grown-zone": {
        "servers": {"first": 3, "second": 3, "third": 3, "generate": 10},
        "limits": {
            "first": limits(15, 0.01173, 33.75),
            "second": limits(51, 0.00339, 6.7),
            "third": limits(69, 0.00247, 0.92),
        },
        "rates": {"plan": 22.0, "note": 25.0, "chat": 10.5},
        "concurrency": 64,
    },
    "small": {
        "servers": {"first": 3, "second": 3, "third": 3, "generate": 5},
        "limits": {
            "first": limits(8, 0.021, 18.0),
            "second": limits(22, 0.0078, 2.96),
            "third": limits(37, 0.00464, 0.496),
        },
        "rates": {"plan": 8.0, "note": 9.1, "chat": 4.7},
        "concurrency": 128,
    },
}
KINDS = {
    "plan": {"priority": 1, "objective_s": 1.0, "patience_s": 4.0},
    "note": {"priority": 0, "objective_s": 1.8, "patience_s": 6.0},
    "chat": {"priority": 2, "objective_s": 1.7, "patience_s": 6.8},
}


def draw_count(rng, mean, spread):
    """Return a number of pieces, at least one."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return max(1, round(rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)))


def stages_of(kind, rng):
    """Return the stages and numbers of pieces of one request."""
    big = StageSpec("first", (), 1.5e6)
    if kind == "plan":
        count = draw_count(rng, 2.5, 0.6) if rng.random() < 0.7 else 0
        return (big,), (count,)
    chain = (1, 6, draw_count(rng, 10, 0.4))
    if kind == "note":
        return LEDGER_CHAIN, chain
    shifted = tuple(
        StageSpec(s.service, tuple(a + 1 for a in s.after), s.result_bytes)
        for s in LEDGER_CHAIN
    )
    count = draw_count(rng, 1.5, 0.6) if rng.random() < 0.4 else 0
    return (big, *shifted), (count, *chain)


def make_request(number, kind, now, rng):
    """Return a request of a kind that comes in at ``now``."""
    facts = KINDS[kind]
    stages, pieces = stages_of(kind, rng)
    return PlacementRequest(
        request_id=f"{kind}-{number}",
        route=route(stages, name=kind),
        service="generate",
        pieces=pieces,
        piece_key="key",
        prompt=(PromptPart(f"shared-{rng.randrange(8)}", 3_000),),
        prompt_tokens=6_000,
        priority=facts["priority"],
        objective_at=now + facts["objective_s"],
        give_up_at=now + facts["patience_s"],
        zone="a",
    )


def build(site):
    """Return a world of the site's servers."""
    services = {
        name: Service(name, stage=found) for name, found in site["limits"].items()
    }
    services["generate"] = Service(
        "generate", engine=EngineLimits(site["concurrency"], 500_000)
    )
    entries = [
        entry(
            f"{name}-{i}",
            name,
            "a",
            address=f"10.0.{sum(map(ord, name)) % 250}.{i + 1}:80",
            concurrency=site["concurrency"] if name == "generate" else 1,
        )
        for name, count in site["servers"].items()
        for i in range(count)
    ]
    return DispatchWorld(services, entries, first_event_s=FIRST_EVENT_S)


def play(site, burst_kind, burst_x, length_s, seed):
    """Play a load with a burst in its middle third; returns the figures."""
    rng = random.Random(seed)
    world = build(site)
    submitted = {}
    number = 0
    for kind, rate in site["rates"].items():
        now = 0.0
        while now < length_s:
            in_burst = length_s / 3 < now < 2 * length_s / 3
            x = burst_x if kind == burst_kind and in_burst else 1.0
            now += rng.expovariate(rate * x)
            request = make_request(number, kind, now, rng)
            submitted[request.request_id] = request
            world.submit_at(now, request)
            number += 1
    started = time.process_time()
    world.run(length_s + 10)
    spent = time.process_time() - started
    figures = {}
    for kind in site["rates"]:
        rows = [r for r in submitted.values() if r.request_id.startswith(kind)]
        in_time = sum(
            world.placed_at.get(r.request_id, 1e9) + FIRST_EVENT_S <= r.objective_at
            for r in rows
        )
        refused = sum(r.request_id in world.refused_at for r in rows)
        figures[kind] = {
            "in_time": round(in_time / len(rows), 3),
            "late": round(1 - (in_time + refused) / len(rows), 3),
            "refused": round(refused / len(rows), 3),
        }
    figures["ms_per_request"] = round(spent * 1_000 / len(submitted), 3)
    return figures


def main():
    """Print one JSON line for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=sorted(SITES), default="grown-zone")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--length-s", type=float, default=18.0)
    parser.add_argument("--burst", type=float, default=2.4, help="times the usual")
    options = parser.parse_args()
    for kind in (None, "plan", "note", "chat"):
        x = options.burst if kind else 1.0
        figures = play(SITES[options.site], kind, x, options.length_s, options.seed)
        print(json.dumps({"site": options.site, "burst": kind, **figures}))


if __name__ == "__main__":
    main()
