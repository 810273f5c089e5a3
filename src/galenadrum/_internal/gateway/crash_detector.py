"""Detection of servers that crashed while they ran requests.

A server whose response broke off may go on serving others. It is therefore connected
to once more: where its process has ended, the connection is refused. A host that is
cut off or has lost power doesn't answer at all, and counts as neither. Where this host
is cut off itself, connections may be refused as well: another host is asked.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.models.quarantine import ServerCrash
from galenadrum._internal.network.http1.client import (
    ConnectError,
    ConnectionPool,
    ConnectionRefusedByServerError,
)
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)

# Times in seconds between a broken response and the checks of its server. A process
# that ends may close its listening socket after its connections.
_CHECK_DELAYS_S = (0.02, 0.3)
_CONNECT_TIMEOUT_S = 0.4
# Hosts see the end of the same server within this time of each other.
_CRASH_RETENTION_S = 5.0
# Prompts of one server that are kept until its check ends.
_MAX_PROMPTS = 64

_ServerKey = tuple[str, int]


class CrashDetector:
    """Checks the servers of broken responses and reports those that crashed.

    Args:
        pool: Connections to the backend servers; keeps those that a check opens.
        find_server: Returns the directory entry of a server id, None if unknown.
        on_crash: Called with each crash, and again with the prompts of later reports.
        metrics: Counts the checked servers by their state.
        is_reachable_elsewhere: Returns whether another host reaches a server that
            this one does not, which is then cut off itself.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        find_server: Callable[[str], ServerEntry | None],
        on_crash: Callable[[ServerCrash], None],
        metrics: Metrics,
        is_reachable_elsewhere: Callable[[str], Awaitable[bool]] | None = None,
    ) -> None:
        self._pool = pool
        self._find_server = find_server
        self._on_crash = on_crash
        self._metrics = metrics
        self._is_reachable_elsewhere = is_reachable_elsewhere
        self._loop = asyncio.get_running_loop()
        self._prompts_by_server: dict[_ServerKey, list[tuple[str, ...]]] = {}
        self._crashed_at_by_server: dict[_ServerKey, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_break(self, server_id: str, prompt: tuple[str, ...]) -> None:
        """Record that the response to a prompt broke off before it had well begun.

        Args:
            server_id: Id of the server. One that was leaving is not checked.
            prompt: Ids of the prompt's parts, in order.
        """
        entry = self._find_server(server_id)
        if entry is None or not entry.accepts_requests:
            return
        key = (server_id, entry.announcement.incarnation_ms)
        prompts = self._prompts_by_server.get(key)
        if prompts is not None:
            if len(prompts) < _MAX_PROMPTS:
                prompts.append(prompt)
            return
        self._prompts_by_server[key] = [prompt]
        task = self._loop.create_task(self._check_server(key, entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_server(self, key: _ServerKey, entry: ServerEntry) -> None:
        broken_at = self._loop.time()
        try:
            state = await self._find_state(key, entry.announcement.address, broken_at)
        finally:
            prompts = self._prompts_by_server.pop(key)
        self._metrics.increment("checked_servers", state=state)
        logger.info(
            "server %s is %s %.3f s after a response broke off; prompts that had not "
            "begun: %s",
            entry.server_id,
            state,
            self._loop.time() - broken_at,
            " ".join(",".join(prompt) for prompt in prompts),
        )
        if state == "refusing" and self._is_still_known(key):
            self._crashed_at_by_server[key] = self._loop.time()
            self._on_crash(ServerCrash(*key, broken_at, tuple(prompts)))

    async def _find_state(self, key: _ServerKey, address: str, broken_at: float) -> str:
        self._remove_old_crashes(broken_at)
        if key in self._crashed_at_by_server:
            return "refusing"
        for delay_s in _CHECK_DELAYS_S:
            await asyncio.sleep(broken_at + delay_s - self._loop.time())
            try:
                await self._pool.open_idle(address, _CONNECT_TIMEOUT_S)
            except ConnectionRefusedByServerError:
                return await self._judge_refusal(key[0])
            except ConnectError:
                return "unreachable"
        return "listening"

    async def _judge_refusal(self, server_id: str) -> str:
        if self._is_reachable_elsewhere is None:
            return "refusing"
        is_cut_off = await self._is_reachable_elsewhere(server_id)
        return "cut_off" if is_cut_off else "refusing"

    def _is_still_known(self, key: _ServerKey) -> bool:
        """Return whether the server hasn't said meanwhile that it leaves."""
        entry = self._find_server(key[0])
        return (
            entry is not None
            and entry.accepts_requests
            and entry.announcement.incarnation_ms == key[1]
        )

    def _remove_old_crashes(self, now: float) -> None:
        for key, crashed_at in list(self._crashed_at_by_server.items()):
            if now - crashed_at > _CRASH_RETENTION_S:
                del self._crashed_at_by_server[key]
