"""Simulate the load of a site on a dispatcher, without sockets.

Prints, for each kind of request, the shares with a first event in time, with a late
one, and refused, and the processor time per request of the dispatcher and its
simulation.
"""

import argparse
import json
import math
import random
import time

from galenadrum._internal.dispatch.messages import PlacementRequest, PromptPart
from galenadrum._internal.models.routing import (
    EngineLimits,
    RouteStage,
    Service,
    StageLimits,
)
from lib.dispatch_simulation import DispatchSimulation
from lib.routing_values import entry, route

FIRST_EVENT_DELAY_S = 0.15
WARM_UP_S = 2.0

CHAIN_STAGES = (
    RouteStage("first", (), 8_000.0),
    RouteStage("second", (0,), 60_000.0),
    RouteStage("third", (1,), 6_000.0),
)


def limits(batch_size, piece_s, memory_mb):
    """Return the limits of one server of a stage."""
    return StageLimits(1, 2, batch_size, 0.2, piece_s, memory_mb * 1e6, 4.0)


# The users' data sheets give these sizes: the restocking fleet after its growth, one
# of its zones, and the small fleet. Rates are requests per second.
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
    """Draw a number of pieces, at least one, from a log-normal distribution.

    ``spread`` is the standard deviation divided by the mean.
    """
    sigma = math.sqrt(math.log(1 + spread * spread))
    return max(1, round(rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)))


def draw_stages(kind, rng):
    """Draw the stages of one request and their numbers of pieces."""
    first_stage = RouteStage("first", (), 1.5e6)
    if kind == "plan":
        count = draw_count(rng, 2.5, 0.6) if rng.random() < 0.7 else 0
        return (first_stage,), (count,)
    chain_pieces = (1, 6, draw_count(rng, 10, 0.4))
    if kind == "note":
        return CHAIN_STAGES, chain_pieces
    shifted_stages = tuple(
        RouteStage(s.service, tuple(a + 1 for a in s.after), s.result_bytes)
        for s in CHAIN_STAGES
    )
    count = draw_count(rng, 1.5, 0.6) if rng.random() < 0.4 else 0
    return (first_stage, *shifted_stages), (count, *chain_pieces)


def make_request(number, kind, now, rng):
    """Return a request of a kind that arrives at ``now``."""
    kind_settings = KINDS[kind]
    stages, pieces = draw_stages(kind, rng)
    return PlacementRequest(
        request_id=f"{kind}-{number}",
        route=route(stages, name=kind),
        service="generate",
        pieces=pieces,
        piece_key="key",
        prompt=(PromptPart(f"shared-{rng.randrange(8)}", 3_000),),
        prompt_tokens=6_000,
        priority=kind_settings["priority"],
        objective_at=now + kind_settings["objective_s"],
        give_up_at=now + kind_settings["patience_s"],
        zone="a",
    )


def build(site):
    """Return a simulation of a dispatcher and the site's servers."""
    services = {
        name: Service(name, stage=stage_limits)
        for name, stage_limits in site["limits"].items()
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
    return DispatchSimulation(services, entries, first_event_s=FIRST_EVENT_DELAY_S)


def simulate_load(site, burst_kind, burst_factor, length_s, seed):
    """Simulate a load with a burst in its middle third and return the figures."""
    rng = random.Random(seed)
    world = build(site)
    submitted = {}
    number = 0
    for kind, rate in site["rates"].items():
        now = 0.0
        while now < length_s:
            in_burst = length_s / 3 < now < 2 * length_s / 3
            load_factor = burst_factor if kind == burst_kind and in_burst else 1.0
            now += rng.expovariate(rate * load_factor)
            request = make_request(number, kind, now, rng)
            submitted[request.request_id] = request
            world.submit_at(now, request)
            number += 1
    started = time.process_time()
    world.run(length_s + 10)
    cpu_s = time.process_time() - started
    figures = {}
    for kind in site["rates"]:
        requests = [r for r in submitted.values() if r.request_id.startswith(kind)]
        in_time = sum(
            world.placed_at.get(r.request_id, 1e9) + FIRST_EVENT_DELAY_S
            <= r.objective_at
            for r in requests
        )
        refused = sum(r.request_id in world.refused_at for r in requests)
        figures[kind] = {
            "in_time": round(in_time / len(requests), 3),
            "late": round(1 - (in_time + refused) / len(requests), 3),
            "refused": round(refused / len(requests), 3),
        }
    figures["ms_per_request"] = round(cpu_s * 1_000 / len(submitted), 3)
    return figures


def main():
    """Print one JSON line for each load: without a burst and with one of each kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=sorted(SITES), default="grown-zone")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--length-s", type=float, default=18.0)
    parser.add_argument("--burst", type=float, default=2.4, help="times the usual")
    options = parser.parse_args()
    for kind in (None, "plan", "note", "chat"):
        burst_factor = options.burst if kind else 1.0
        figures = simulate_load(
            SITES[options.site], kind, burst_factor, options.length_s, options.seed
        )
        print(json.dumps({"site": options.site, "burst": kind, **figures}))


if __name__ == "__main__":
    main()
