"""Servers that may still be named in a request that is about to be sent."""

import asyncio
import random

from galenadrum._internal.directory.registry import Registry
from galenadrum._internal.gateway.reachability import Reachability
from galenadrum._internal.gateway.server_paths import ServerPaths
from galenadrum._internal.network.http1.client import ConnectionPool
from galenadrum._internal.observability.metrics import Metrics
from lib.routing_values import announcement


def create_paths(registry):
    metrics = Metrics()
    return ServerPaths(
        "h1",
        "",
        ConnectionPool(),
        registry.get,
        registry.find_by_address,
        list,
        tuple,
        Reachability(metrics),
        metrics,
        random.Random(1),
    )


class TestEvacuatedServers:
    def test_engine_fetches_a_prompt_from_an_evacuated_engine(self):
        async def run():
            registry = Registry(1.0, lambda entry: None)
            registry.set_services(["generate"])
            registry.apply_announcement(announcement("g", "generate", "b"), 0.0)
            address = registry.get("g").announcement.address
            paths = create_paths(registry)
            assert paths.select_cache_source(address) == address
            registry.set_evacuated_zones(["b"], 1.0)
            assert paths.select_cache_source(address) == ""
            assert not paths.accepts_requests("g")
            assert paths.select_cache_source("10.9.9.9:80") == "10.9.9.9:80"
            assert paths.select_cache_source("") == ""

        asyncio.run(run())
