"""Entry hosts that are cut off from all backend servers, with hosts as processes."""

import asyncio

import pytest

from lib.process_deployment import ProcessDeployment
from lib.stream_caller import PROMPT_HEADERS, StreamCaller

ENTRIES = 4
CUT_OFF = (0, 1)
CONTACT_S = 3.0
ROUNDS = 12
STREAM_EVENTS = 4
STREAM = {"method": b"POST", "headers": PROMPT_HEADERS}


def run_processes(folder, steps):
    async def run():
        async with ProcessDeployment(folder, ENTRIES) as deployment:
            for _ in range(3):
                await deployment.add_engine("plain")
            for _ in range(3):
                await deployment.add_engine("llm", names_version=True)
            await deployment.configure()
            await deployment.wait_served()
            await deployment.wait_served("/note/x", **STREAM)
            await steps(deployment)

    asyncio.run(run())


def cut_off(deployment, mode, numbers=CUT_OFF):
    for number in numbers:
        deployment.entries[number].cut_off(mode)


async def count_served(deployment, numbers):
    """Send plain requests and streams to hosts; return the shares that are served."""

    async def serve_stream(caller, number):
        stream = await caller.begin(
            deployment.caller_address(number), deadline_ms=1_500, timeout_s=2.0
        )
        return stream.is_complete and len(stream.events) == STREAM_EVENTS

    async def serve_plain(number, path, method):
        status = await deployment.request_status(
            number, path, method=method, deadline_ms=1_500, timeout_s=2.0
        )
        return status == 200

    caller = StreamCaller()
    served = {"lookup": [], "reservation": [], "stream": []}
    for _ in range(ROUNDS):
        results = await asyncio.gather(
            *(serve_plain(number, "/stock/x", b"GET") for number in numbers),
            *(serve_plain(number, "/confirm/x", b"POST") for number in numbers),
            *(serve_stream(caller, number) for number in numbers),
        )
        for index, kind in enumerate(served):
            served[kind] += results[index * len(numbers) : (index + 1) * len(numbers)]
        await asyncio.sleep(0.1)
    return {kind: sum(values) / len(values) for kind, values in served.items()}


async def use_for(deployment, seconds):
    """Send requests to all hosts for some time; their answers don't matter."""
    end_at = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end_at:
        await asyncio.gather(
            *(
                deployment.request_status(
                    number, path, deadline_ms=800, timeout_s=1.0, **more
                )
                for number in range(ENTRIES)
                for path, more in (("/stock/x", {}), ("/note/x", STREAM))
            )
        )
        await asyncio.sleep(0.1)


class TestCutOffHost:
    # A host that lost its links to the servers refused what others can pass on.
    @pytest.mark.parametrize("mode", ["hang", "refuse", "live"])
    def test_callers_of_a_cut_off_host_are_not_served(self, tmp_path, mode):
        async def steps(deployment):
            cut_off(deployment, mode)
            await use_for(deployment, CONTACT_S)
            cut, others = await asyncio.gather(
                count_served(deployment, CUT_OFF),
                count_served(deployment, range(len(CUT_OFF), ENTRIES)),
            )
            for kind, share in cut.items():
                assert share >= others[kind] * 2 / 3, (kind, cut, others)
            # Hosts that aren't cut off serve as before.
            assert all(share >= 0.9 for share in others.values()), others

        run_processes(tmp_path, steps)

    # Engines were paused for all hosts on the word of those that were cut off.
    def test_other_hosts_lose_their_engines_to_a_cut(self, tmp_path):
        async def steps(deployment):
            cut_off(deployment, "refuse", (0, 1, 2))
            load = asyncio.ensure_future(use_for(deployment, 6.0))
            served = await count_served(deployment, (3,))
            await load
            assert all(share >= 0.9 for share in served.values()), served

        run_processes(tmp_path, steps)
