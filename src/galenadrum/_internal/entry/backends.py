"""The zone's backend servers on their way from announcements to the policy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

from galenadrum._internal.entry.execution import Action, PipelineExecutor
from galenadrum._internal.membership.registry import ServerRegistry
from galenadrum._internal.membership.verdicts import Verdict
from galenadrum._internal.models.servers import Announcement, ZoneDigest
from galenadrum._internal.routing.policy import Policy

# Renewals of many servers are handed to the policy together.
_REPORT_INTERVAL_S = 0.1


class BackendDirectory:
    """Keeps the policy's view of the backend servers equal to the registry's.

    Args:
        registry: Who stands announced in the zone.
        policy: Takes the servers and what they report.
        executor: Turns the policy's decisions into actions.
        carry_out: Carries the actions out.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        policy: Policy,
        executor: PipelineExecutor,
        carry_out: Callable[[tuple[Action, ...]], None],
    ) -> None:
        self._registry = registry
        self._policy = policy
        self._executor = executor
        self._carry_out = carry_out
        self._version = -1

    async def announce(
        self, announcement: Announcement, peer_ip: str | None
    ) -> Verdict:
        """Take an announcement of a backend server."""
        now = asyncio.get_running_loop().time()
        verdict = self._registry.announce(announcement, now, peer_ip)
        self.refresh()
        return verdict

    def refresh(self) -> None:
        """Tell the policy at once when a server joined, left or changed."""
        if self._registry.version != self._version:
            self._update_policy()

    def update_digests(self, digests: Iterable[ZoneDigest]) -> None:
        """Tell the policy what other zones can take."""
        now = asyncio.get_running_loop().time()
        self._policy.update_digests(digests, now)

    async def run(self) -> None:
        """Expire leases and pass reports on until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._registry.tick(loop.time())
            self._update_policy()
            await asyncio.sleep(_REPORT_INTERVAL_S)

    def _update_policy(self) -> None:
        now = asyncio.get_running_loop().time()
        reports = self._registry.drain_reports(now)
        if not reports and self._registry.version == self._version:
            return
        self._version = self._registry.version
        reports_by_id = {report.server_id: report for report in reports}
        servers = [
            reports_by_id.get(server.server_id) or _without_reports(server)
            for server in self._registry.servers(now)
        ]
        decisions = self._policy.update_servers(servers, now)
        self._carry_out(self._executor.carry_out(decisions, now))


def _without_reports(server: Announcement) -> Announcement:
    return replace(server, load=None, cache_events=())
