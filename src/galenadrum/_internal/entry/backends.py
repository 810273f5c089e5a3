"""The zone's backend servers on their way from announcements to the policy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

from galenadrum._internal.entry.execution import Action, PipelineExecutor
from galenadrum._internal.entry.loaded_models import LoadedModels
from galenadrum._internal.membership.digests import StageLoad
from galenadrum._internal.membership.renewal_inbox import DRAIN_INTERVAL_S
from galenadrum._internal.membership.zone_service import ZoneService
from galenadrum._internal.models.servers import Announcement, ZoneDigest
from galenadrum._internal.routing.policy import Policy

# Reports of many servers and digests of zones are handed on together.
_REFRESH_INTERVAL_S = DRAIN_INTERVAL_S


class BackendDirectory:
    """Keeps the policy's view of the backend servers equal to the zone's.

    Args:
        policy: Takes the servers and what they report.
        executor: Turns the policy's decisions into actions.
        carry_out: Carries the actions out.
        loaded_models: Says which stages each server may be sent.
    """

    def __init__(
        self,
        policy: Policy,
        executor: PipelineExecutor,
        carry_out: Callable[[tuple[Action, ...]], None],
        loaded_models: LoadedModels,
    ) -> None:
        self._policy = policy
        self._executor = executor
        self._carry_out = carry_out
        self._loaded_models = loaded_models
        self._seen_version = -1

    def apply_server_changes(self, zone: ZoneService) -> None:
        """Tell the policy at once when servers joined, left or changed.

        Reports alone wait for the next refresh: a zone's servers renew many
        times a second.
        """
        if zone.registry.version != self._seen_version:
            self.refresh(zone)

    def apply_declarations(self, zone: ZoneService) -> None:
        """Work out anew which stages servers may be sent."""
        self._seen_version = -1
        self.refresh(zone)

    def refresh(self, zone: ZoneService) -> None:
        """Tell the policy what servers there are and what they reported."""
        now = asyncio.get_running_loop().time()
        registry = zone.registry
        reports = registry.drain_reports(now)
        if not reports and registry.version == self._seen_version:
            return
        self._seen_version = registry.version
        reports_by_id = {report.server_id: report for report in reports}
        servers = [
            reports_by_id.get(server.server_id) or _without_reports(server)
            for server in registry.servers(now)
        ]
        offered = self._loaded_models.offered(servers)
        decisions = self._policy.update_servers(offered, now)
        self._carry_out(self._executor.carry_out(decisions, now))

    async def run(self, zone: ZoneService) -> None:
        """Expire leases and pass reports and digests on until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            zone.take_renewals()
            zone.registry.tick(loop.time())
            self.refresh(zone)
            self._policy.update_digests(_all_digests(zone), loop.time())
            await asyncio.sleep(_REFRESH_INTERVAL_S)

    def local_loads(self) -> Iterable[StageLoad]:
        """Return the load of the own zone by stage, for other zones."""
        now = asyncio.get_running_loop().time()
        return tuple(
            _stage_load(digest) for digest in self._policy.zone_digests("", now)
        )


def _all_digests(zone: ZoneService) -> Iterable[ZoneDigest]:
    for digests in zone.digests_by_stage().values():
        yield from digests


def _without_reports(server: Announcement) -> Announcement:
    return replace(server, load=None, cache_events=())


def _stage_load(digest: ZoneDigest) -> StageLoad:
    return StageLoad(
        digest.stage,
        digest.free_capacity,
        digest.queue_delay_s,
        digest.capacity,
        digest.service_s,
        digest.failure_share,
    )
