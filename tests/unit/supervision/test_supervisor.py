import asyncio
import random

import pytest

from galenadrum._internal.supervision.restarts import RestartPolicy
from galenadrum._internal.supervision.supervisor import (
    ChildFailedError,
    Restart,
    Supervisor,
)
from lib.paused_loop import run_paused

POLICY = RestartPolicy(initial_delay_s=1, max_delay_s=4, max_failures=4, window_s=60)


def _build_supervisor(name="root", policy=POLICY):
    return Supervisor(name, random.Random(7), policy)


class TestRestarts:
    def test_delay_grows_with_jitter_until_the_supervisor_gives_up(self):
        started_at = []

        async def fail():
            started_at.append(asyncio.get_running_loop().time())
            raise OSError("broken")

        async def scenario():
            supervisor = _build_supervisor()
            supervisor.add("failing", fail)
            with pytest.raises(ChildFailedError) as caught:
                await supervisor.run()
            assert isinstance(caught.value.__cause__, OSError)

        run_paused(scenario())
        gaps = [b - a for a, b in zip(started_at, started_at[1:], strict=False)]
        assert len(gaps) == POLICY.max_failures
        for gap, base in zip(gaps, (1, 2, 4, 4), strict=True):
            assert base <= gap <= base * (1 + POLICY.jitter)

    def test_failures_outside_the_window_do_not_count(self):
        runs = []

        async def fail_slowly():
            runs.append(None)
            if len(runs) > 20:
                return
            await asyncio.sleep(POLICY.window_s)
            raise OSError("broken")

        async def scenario():
            supervisor = _build_supervisor()
            supervisor.add("slow", fail_slowly, restart=Restart.ON_FAILURE)
            await supervisor.run()

        run_paused(scenario())
        assert len(runs) == 21

    def test_restarts_a_child_that_raises_cancelled_error(self):
        runs = []

        async def cancel_itself():
            runs.append(None)
            if len(runs) == 1:
                raise asyncio.CancelledError

        async def scenario():
            supervisor = _build_supervisor()
            supervisor.add("child", cancel_itself, restart=Restart.ON_FAILURE)
            await supervisor.run()

        run_paused(scenario())
        assert len(runs) == 2


class TestTree:
    def test_restarts_the_whole_subtree_when_a_supervisor_gives_up(self):
        log = []

        async def sibling():
            log.append("start")
            try:
                await asyncio.Event().wait()
            finally:
                log.append("stop")

        async def fail():
            if log.count("start") < 3:
                raise OSError("broken")
            await asyncio.Event().wait()

        async def scenario():
            inner = _build_supervisor("inner", RestartPolicy(max_failures=1))
            inner.add("sibling", sibling)
            inner.add("failing", fail)
            root = _build_supervisor()
            root.add_supervisor(inner)
            task = asyncio.create_task(root.run())
            await asyncio.sleep(30)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

        run_paused(scenario())
        assert log == ["start", "stop"] * 3

    def test_stops_children_in_reverse_order_of_start(self):
        stopped = []

        def child(name):
            async def run():
                try:
                    await asyncio.Event().wait()
                finally:
                    await asyncio.sleep(1)
                    stopped.append(name)

            return run

        async def scenario():
            inner = _build_supervisor("inner")
            inner.add("b", child("b"))
            inner.add("c", child("c"))
            root = _build_supervisor()
            root.add("a", child("a"))
            root.add_supervisor(inner)
            root.add("d", child("d"))
            task = asyncio.create_task(root.run())
            await asyncio.sleep(1)
            task.cancel()
            await asyncio.wait({task})

        run_paused(scenario())
        assert stopped == ["d", "c", "b", "a"]

    def test_lets_a_child_drain_and_abandons_one_that_ignores_cancellation(self):
        events = []

        async def scenario():
            loop = asyncio.get_running_loop()
            draining = asyncio.Event()

            async def drain():
                await draining.wait()
                await asyncio.sleep(2)
                events.append("drained")

            async def ask_to_drain():
                draining.set()

            async def stuck():
                while True:
                    try:
                        await asyncio.Event().wait()
                    except asyncio.CancelledError:
                        events.append("ignored")
                        if events.count("ignored") > 2:
                            raise

            root = _build_supervisor()
            root.add("draining", drain, stop=ask_to_drain, stop_timeout_s=5)
            root.add("stuck", stuck, stop_timeout_s=3)
            task = asyncio.create_task(root.run())
            await asyncio.sleep(1)
            began = loop.time()
            task.cancel()
            await asyncio.wait({task})
            assert loop.time() - began == pytest.approx(5)

        run_paused(scenario())
        assert "drained" in events
