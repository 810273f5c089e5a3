"""Join requests to hosts of which some don't answer."""

import asyncio
import socket

from galenadrum._internal.control.replication import joining
from lib.log_cluster import running_cluster, wait_until

_TIMEOUT_S = 20


class TestJoining:
    # A newcomer waited for a lost host's answer before it asked the next one.
    def test_host_that_does_not_answer_delays_a_join(self, tmp_path, monkeypatch):
        monkeypatch.setattr(joining, "_JOIN_TIMEOUT_S", 2 * _TIMEOUT_S)

        async def scenario():
            with socket.create_server(("127.0.0.1", 0)) as silent:
                host, port = silent.getsockname()
                async with running_cluster(tmp_path, ["a", "b", "c"]) as cluster:
                    leader = await cluster.leader()
                    new = cluster.add_joining_member("d", silent=f"{host}:{port}")
                    await new.start()
                    await wait_until(lambda: len(leader.log.status.members) == 4)

        async def bounded():
            async with asyncio.timeout(_TIMEOUT_S):
                await scenario()

        asyncio.run(bounded())
