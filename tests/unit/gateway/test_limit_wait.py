"""Waits for servers that may hang."""

import asyncio

import pytest

from galenadrum._internal.gateway.forwarding import limit_wait
from lib.paused_loop import run_paused


def run_wait(wait, ends_s=60.0, hangs_s=0.1, may_send_elsewhere=lambda: True):
    """Run a wait inside the limits; times in seconds from now."""

    async def run():
        now = asyncio.get_running_loop().time()
        async with limit_wait(now + ends_s, now + hangs_s, may_send_elsewhere):
            await wait()

    run_paused(run())


class TestLimitWait:
    def test_hung_server_is_waited_for_although_another_can_be_asked(self):
        with pytest.raises(TimeoutError):
            run_wait(lambda: asyncio.sleep(60))

    def test_wait_goes_on_after_its_end(self):
        with pytest.raises(TimeoutError):
            run_wait(lambda: asyncio.sleep(60), 0.2, 0.1, lambda: False)

    def test_wait_ends_although_no_other_server_can_be_asked(self):
        run_wait(lambda: asyncio.sleep(0.4), may_send_elsewhere=lambda: False)

    def test_wait_goes_on_when_another_server_can_be_asked_later(self):
        checks = iter([False, False, True])
        with pytest.raises(TimeoutError):
            run_wait(lambda: asyncio.sleep(60), may_send_elsewhere=lambda: next(checks))

    def test_suspension_of_this_process_counts_against_the_server(self):
        async def wait():
            # The response comes soon after it.
            asyncio.get_running_loop().advance(1.0)
            await asyncio.sleep(0.2)

        run_wait(wait)

    def test_wait_that_begins_late_is_taken_for_a_suspension(self):
        # The second wait of an exchange may begin when the server counts as hung.
        with pytest.raises(TimeoutError):
            run_wait(lambda: asyncio.sleep(1.0), 60.0, -10.0)
