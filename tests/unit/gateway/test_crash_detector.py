"""Detection of servers that crashed while they ran requests."""

import asyncio

import pytest

from galenadrum._internal.gateway.crash_detector import CrashDetector
from galenadrum._internal.models.announcements import ServerState
from galenadrum._internal.network.http1.client import (
    ConnectError,
    ConnectionRefusedByServerError,
)
from galenadrum._internal.observability.metrics import Metrics
from lib.paused_loop import run_paused
from lib.routing_values import entry

REFUSED = ConnectionRefusedByServerError("refused")
UNREACHABLE = ConnectError("timed out")
PROMPT = ("first", "own")


class FakePool:
    """Pool whose connections fail with the given errors, in order; None succeeds."""

    def __init__(self, errors):
        self._errors = iter(errors)
        self.checks = 0

    async def open_idle(self, address, timeout_s):
        self.checks += 1
        error = next(self._errors)
        if error is not None:
            raise error


class Server:
    """A server in the directory, and the crashes that are reported of it."""

    def __init__(self, errors, state=ServerState.READY):
        self.entry = entry("s", state=state)
        self.pool = FakePool(errors)
        self.crashes = []
        self.detector = CrashDetector(
            self.pool, lambda server_id: self.entry, self.crashes.append, Metrics()
        )


class TestCheck:
    @pytest.mark.parametrize(
        ("errors", "is_crash", "checks"),
        [
            ([REFUSED], True, 1),
            ([None, REFUSED], True, 2),
            ([None, None], False, 2),
            ([UNREACHABLE], False, 1),
        ],
        ids=["refusing", "refusing later", "listening", "unreachable"],
    )
    def test_only_a_refused_connection_shows_a_crash(self, errors, is_crash, checks):
        async def run():
            server = Server(errors)
            server.detector.record_break("s", PROMPT)
            await asyncio.sleep(1.0)
            assert bool(server.crashes) == is_crash
            assert server.pool.checks == checks

        run_paused(run())

    def test_breaks_at_one_server_share_a_check(self):
        async def run():
            server = Server([REFUSED])
            broken_at = asyncio.get_running_loop().time()
            server.detector.record_break("s", PROMPT)
            server.detector.record_break("s", ("first", "other"))
            await asyncio.sleep(1.0)
            (crash,) = server.crashes
            assert crash.prompts == (PROMPT, ("first", "other"))
            assert crash.broken_at == broken_at

        run_paused(run())

    def test_later_break_at_a_crashed_server_is_reported_without_a_check(self):
        async def run():
            server = Server([REFUSED])
            server.detector.record_break("s", PROMPT)
            await asyncio.sleep(1.0)
            server.detector.record_break("s", ("first", "other"))
            await asyncio.sleep(1.0)
            assert len(server.crashes) == 2
            assert server.pool.checks == 1

        run_paused(run())

    def test_leaving_server_is_not_checked(self):
        async def run():
            server = Server([REFUSED], ServerState.DRAINING)
            server.detector.record_break("s", PROMPT)
            await asyncio.sleep(1.0)
            assert not server.crashes
            assert server.pool.checks == 0

        run_paused(run())

    def test_server_that_says_meanwhile_that_it_leaves_has_not_crashed(self):
        async def run():
            server = Server([REFUSED])
            server.detector.record_break("s", PROMPT)
            server.entry = entry("s", state=ServerState.GONE)
            await asyncio.sleep(1.0)
            assert not server.crashes

        run_paused(run())
