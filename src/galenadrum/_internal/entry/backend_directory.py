"""Passes the announced backend servers of the zone to the routing policy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

from galenadrum._internal.entry.pipeline_executor import Action, PipelineExecutor
from galenadrum._internal.entry.servable_stages import ServableStageFilter
from galenadrum._internal.membership.digests import StageLoad
from galenadrum._internal.membership.renewal_inbox import DRAIN_INTERVAL_S
from galenadrum._internal.membership.zone_service import ZoneService
from galenadrum._internal.models.servers import Announcement, ZoneDigest
from galenadrum._internal.routing.policy import Policy

# Load reports and zone digests are passed to the policy in batches.
_REFRESH_INTERVAL_S = DRAIN_INTERVAL_S


class BackendDirectory:
    """Keeps the policy's set of backend servers in step with the zone's registry.

    Args:
        policy: Routing policy that receives the servers and their reports.
        executor: Turns the policy's decisions into actions.
        apply_actions: Applies the actions to the requests in flight.
        loaded_models: Determines the stages that each server may be sent.
    """

    def __init__(
        self,
        policy: Policy,
        executor: PipelineExecutor,
        apply_actions: Callable[[tuple[Action, ...]], None],
        loaded_models: ServableStageFilter,
    ) -> None:
        self._policy = policy
        self._executor = executor
        self._apply_actions = apply_actions
        self._loaded_models = loaded_models
        self._applied_version = -1

    def apply_server_changes(self, zone: ZoneService) -> None:
        """Refresh the policy at once if servers joined, left or changed.

        Load reports alone wait for the next periodic refresh, because the
        servers of a zone renew many times a second.
        """
        if zone.registry.version != self._applied_version:
            self.refresh(zone)

    def apply_declarations(self, zone: ZoneService) -> None:
        """Recompute the stages that each server may be sent."""
        self._applied_version = -1
        self.refresh(zone)

    def refresh(self, zone: ZoneService) -> None:
        """Pass the current servers and their new reports to the policy.

        Does nothing if the registry is unchanged and there are no new reports.
        """
        now = asyncio.get_running_loop().time()
        registry = zone.registry
        reports = registry.drain_reports(now)
        if not reports and registry.version == self._applied_version:
            return
        self._applied_version = registry.version
        reports_by_id = {report.server_id: report for report in reports}
        servers = [
            reports_by_id.get(server.server_id) or _remove_reports(server)
            for server in registry.servers(now)
        ]
        offered = self._loaded_models.select_servable_stages(servers)
        decisions = self._policy.update_servers(offered, now)
        self._apply_actions(self._executor.apply_decisions(decisions, now))

    async def run(self, zone: ZoneService) -> None:
        """Expire leases and pass reports and digests to the policy until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            zone.apply_renewals()
            zone.registry.expire(loop.time())
            self.refresh(zone)
            self._policy.update_digests(_iterate_digests(zone), loop.time())
            await asyncio.sleep(_REFRESH_INTERVAL_S)

    def get_stage_loads(self) -> Iterable[StageLoad]:
        """Return the load of each stage in this zone, to be sent to other zones."""
        now = asyncio.get_running_loop().time()
        return tuple(
            _build_stage_load(digest)
            for digest in self._policy.build_zone_digests("", now)
        )


def _iterate_digests(zone: ZoneService) -> Iterable[ZoneDigest]:
    for digests in zone.digests_by_stage().values():
        yield from digests


def _remove_reports(server: Announcement) -> Announcement:
    return replace(server, load=None, cache_events=())


def _build_stage_load(digest: ZoneDigest) -> StageLoad:
    return StageLoad(
        digest.stage,
        digest.free_capacity,
        digest.queue_delay_s,
        digest.capacity,
        digest.service_s,
        digest.failure_share,
    )
