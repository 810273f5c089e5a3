"""Measure the processor time of placing one request at one of many engines.

Prints, for each number of engines, the median and the 99th percentile in milliseconds
of the time to choose an engine and record the placement and the first event; and the
median for a dispatcher that also admits the request.
"""

import argparse
import itertools
import json
import logging
import random
import statistics
import time

from galenadrum._internal.dispatch.engine_pool import EngineDemand, EnginePool
from galenadrum._internal.dispatch.messages import Placement, PromptPart
from galenadrum._internal.dispatch.zone_dispatcher import ZoneDispatcher
from galenadrum._internal.models.routing import EngineLimits, Service
from galenadrum._internal.routing.request_pacer import RequestPacer
from lib.routing_values import announcement, entry, request

# Figures of deployment K in docs/design/hard-load.md: its largest prompts, of which
# most tokens are shared, and the engines' slots and memory.
LIMITS = EngineLimits(64, 332_590)
LINKED_LIMITS = EngineLimits(64, 332_590, 1, 35_136.0, 46e9)
SHARED_TOKENS = 6_300
OWN_TOKENS = 2_890
SHARED_PARTS = 40
# Requests that each engine runs while placements are measured.
RUNNING_PER_ENGINE = 12


def build_demand(rng, number):
    """Return a request with two parts of which other requests share the first."""
    shared = PromptPart(f"shared-{rng.randrange(SHARED_PARTS)}", SHARED_TOKENS)
    prompt = (shared, PromptPart(f"own-{number}", OWN_TOKENS))
    return EngineDemand(prompt, SHARED_TOKENS + OWN_TOKENS, "a", {}, 1.0)


def measure_placements(engines, placements, limits):
    """Return the time in milliseconds of each placement at a loaded pool."""
    rng = random.Random(1)
    pool = EnginePool("generate", "", limits, RequestPacer(lambda _: None))
    for number in range(engines):
        known = announcement(
            f"g-{number}",
            "generate",
            "abc"[number % 3],
            address=f"10.0.{number // 250}.{number % 250 + 1}:80",
            concurrency=limits.concurrency,
        )
        pool.put_server(known, False, 0.0)
    running = []
    times_ms = []
    for number in range(engines * RUNNING_PER_ENGINE + placements):
        now = number * 0.002
        demand = build_demand(rng, number)
        if len(running) > engines * RUNNING_PER_ENGINE - 1:
            pool.record_end(*running.pop(rng.randrange(len(running))))
        began = time.thread_time()
        choice = pool.choose_engine(demand, frozenset(), now)
        if choice is None:
            continue
        pool.place(choice, f"r{number}", demand, now)
        pool.record_start(choice.server_id, f"r{number}", now + 0.2)
        if number >= engines * RUNNING_PER_ENGINE:
            times_ms.append((time.thread_time() - began) * 1_000)
        running.append((choice.server_id, f"r{number}"))
    return times_ms


def measure_submissions(engines, submissions, limits):
    """Return the time in milliseconds of each request at a dispatcher."""
    logging.disable(logging.INFO)
    rng = random.Random(1)
    dispatcher = ZoneDispatcher("")
    dispatcher.configure({"generate": Service("generate", engine=limits)})
    for number in range(engines):
        address = f"10.0.{number // 250}.{number % 250 + 1}:80"
        known = entry(
            f"g-{number}",
            "generate",
            "abc"[number % 3],
            address=address,
            concurrency=limits.concurrency,
        )
        dispatcher.put_server(known)
    times_ms = []
    for number in range(submissions):
        now = number * 0.002
        demand = build_demand(rng, number)
        submitted = request(
            f"r{number}",
            (),
            now,
            (),
            prompt=demand.prompt,
            prompt_tokens=demand.prompt_tokens,
        )
        began = time.thread_time()
        dispatcher.submit(submitted, now)
        times_ms.append((time.thread_time() - began) * 1_000)
    placed = sum(isinstance(a, Placement) for a in dispatcher.collect_actions())
    if placed < submissions:
        raise RuntimeError(f"{placed} of {submissions} requests were placed")
    return times_ms


def main():
    """Print one JSON line for each number of engines, with and without fetches."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, nargs="+", default=[70, 600])
    parser.add_argument("--placements", type=int, default=1_000)
    options = parser.parse_args()
    limits_by_name = {"none": LIMITS, "fetches": LINKED_LIMITS}
    for engines, (name, limits) in itertools.product(
        options.engines, limits_by_name.items()
    ):
        times_ms = measure_placements(engines, options.placements, limits)
        submitted_ms = measure_submissions(engines, options.placements, limits)
        figures = {
            "engines": engines,
            "cache_link": name,
            "median_ms": round(statistics.median(times_ms), 3),
            "p99_ms": round(statistics.quantiles(times_ms, n=100)[98], 3),
            "admitted_ms": round(statistics.median(submitted_ms), 3),
        }
        print(json.dumps(figures))


if __name__ == "__main__":
    main()
