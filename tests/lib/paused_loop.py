"""An event loop with a simulated clock that advances only while the loop is idle."""

import asyncio
import selectors


class _ClockAdvancingSelector(selectors.DefaultSelector):
    """Selector that advances the loop's clock instead of sleeping."""

    def __init__(self, advance):
        super().__init__()
        self._advance = advance

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self._advance(timeout)
        return ready


class PausedLoop(asyncio.SelectorEventLoop):
    """Event loop for tests without sockets, in which sleeping takes no real time."""

    def __init__(self):
        self._now = 1_000.0
        super().__init__(_ClockAdvancingSelector(self.advance))

    def time(self):
        return self._now

    def advance(self, seconds):
        self._now += seconds


def run_paused(coroutine):
    """Run ``coroutine`` on a `PausedLoop` and return its result."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(coroutine)
