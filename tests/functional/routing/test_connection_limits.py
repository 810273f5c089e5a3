"""Servers that take a limited number of connections from all hosts together."""

import asyncio

import pytest

from lib.routing_deployment import configuration, run_deployment

ZONES = ("a", "b", "c")
MAX_CONNECTIONS = 8
PLAIN = [("p-1", "plain", "a"), ("p-2", "plain", "b")]


async def limit_connections(deployment):
    """Apply a configuration that limits the connections to each plain server."""
    document = configuration(2)
    document["Services"][0]["MaxConnections"] = MAX_CONNECTIONS
    await deployment.replace_configuration(document)
    await deployment.wait_ready(2)
    await deployment.wait_until(
        lambda: all(
            daemon.links.entry_hosts == len(ZONES)
            for daemon in deployment.entry_daemon_by_zone.values()
        )
    )


async def send_burst(deployment, path, size):
    """Send requests through all hosts at once.

    Returns:
        Status of each request and the number of its runs.
    """
    requests = [
        deployment.send_request(path, ZONES[number % len(ZONES)])
        for number in range(size)
    ]
    engines = deployment.engines.values()
    return [
        (status, sum(engine.run_count_by_request_id[request_id] for engine in engines))
        for request_id, status, _, _ in await asyncio.gather(*requests)
    ]


class TestBurst:
    # Each host kept up to eight idle connections to a server and opened any number.
    @pytest.mark.parametrize("path", ["/stock/x", "/confirm/x"])
    def test_server_gets_more_connections_than_it_takes(self, path, tmp_path):
        async def steps(deployment):
            await limit_connections(deployment)
            for engine in deployment.engines.values():
                engine.work_s = 0.02
            outcomes = await send_burst(deployment, path, 60)
            most = [engine.most_connections for engine in deployment.engines.values()]
            assert max(most) <= MAX_CONNECTIONS
            # What reached no server is refused, and may be repeated.
            assert set(outcomes) <= {(200, 1), (503, 0)}
            # Each host has a connection to each server at least.
            assert outcomes.count((200, 1)) >= len(ZONES) * len(PLAIN)

        run_deployment(tmp_path, steps, PLAIN)

    def test_small_load_is_refused(self, tmp_path):
        async def steps(deployment):
            await limit_connections(deployment)
            for engine in deployment.engines.values():
                engine.work_s = 0.02
            for _ in range(10):
                assert await send_burst(deployment, "/confirm/x", 6) == [(200, 1)] * 6

        run_deployment(tmp_path, steps, PLAIN)
