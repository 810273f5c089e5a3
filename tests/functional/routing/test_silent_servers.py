"""Sound servers that fall silent for a second, and the sockets that wait for them."""

import asyncio
import os
import socket

from lib.process_deployment import ProcessDeployment
from lib.routing_deployment import run_deployment
from lib.stream_caller import PROMPT_HEADERS, StreamCaller

SILENCE_S = 1.2


def run_processes(folder, service, steps):
    async def run():
        async with ProcessDeployment(folder) as deployment:
            engines = [
                await deployment.add_engine(service, names_version=True)
                for _ in range(2)
            ]
            await deployment.configure()
            path = "/stock/x" if service == "plain" else "/note/x"
            more = {}
            if service == "llm":
                more = {"method": b"POST", "headers": PROMPT_HEADERS}
            await deployment.wait_served(path, **more)
            await steps(deployment, engines)

    asyncio.run(run())


def count_lines(deployment, text):
    return sum(
        (host.folder / "log").read_text().count(text) for host in deployment.entries
    )


class TestServerSilentForASecond:
    def test_stream_goes_on_at_the_same_server(self, tmp_path):
        async def steps(deployment, engines):
            caller = StreamCaller()
            for engine in engines:
                engine.silence_s = SILENCE_S
                engine.silent_before = 3
            streams = await asyncio.gather(
                *(caller.begin(deployment.caller_address(n)) for n in range(4))
            )
            assert all(s.is_complete and s.is_in_order() for s in streams)
            for stream in streams:
                runs = [e.run_count_by_request_id[stream.request_id] for e in engines]
                assert sum(runs) == 1
            assert count_lines(deployment, "is cut off") == 0
            assert count_lines(deployment, "crashed") == 0

        run_processes(tmp_path, "llm", steps)

    def test_reservation_is_answered_and_runs_once(self, tmp_path):
        async def steps(deployment, engines):
            for engine in engines:
                engine.work_s = SILENCE_S
            statuses = await asyncio.gather(
                *(
                    deployment.request_status(n, "/confirm/x", method=b"POST")
                    for n in range(4)
                )
            )
            assert statuses == [200] * 4
            counts = [e.run_count_by_request_id for e in engines]
            assert all(n == 1 for count in counts for n in count.values())
            for engine in engines:
                engine.work_s = 0.0
            # It is chosen again as before, by hosts that send to it themselves.
            for number in range(8):
                assert await deployment.request_status(number, "/stock/x") == 200
            assert count_lines(deployment, "is cut off") == 0

        run_processes(tmp_path, "plain", steps)


class TestSocketsOfHosts:
    def test_no_connection_is_ended_by_a_user_timeout(self, tmp_path):
        # Such a timeout, set by a library, would end a connection that is only silent.
        async def steps(deployment):
            await deployment.send_request("/stock/x")
            timeouts, keepalives = [], []
            for name in os.listdir("/proc/self/fd"):
                try:
                    sock = socket.socket(fileno=os.dup(int(name)))
                except OSError:
                    continue
                with sock:
                    if sock.family != socket.AF_INET:
                        continue
                    if sock.type == socket.SOCK_STREAM:
                        level = socket.IPPROTO_TCP
                        timeouts.append(sock.getsockopt(level, socket.TCP_USER_TIMEOUT))
                        keepalives.append(
                            sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                        )
            assert len(timeouts) > 20
            assert set(timeouts) == set(keepalives) == {0}

        run_deployment(tmp_path, steps, [("p1", "plain", "a")])
