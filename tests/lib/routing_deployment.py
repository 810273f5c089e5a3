"""Deployments of the routing daemons in one process, for functional tests.

Control hosts and entry hosts communicate over loopback sockets. Engines and callers
come from `platform_engine`.
"""

import asyncio

from galenadrum._internal.control.routing.daemon import RoutingControlDaemon
from galenadrum._internal.gateway.daemon import GatewayDaemon
from galenadrum._internal.models.routing_settings import (
    GatewaySettings,
    RoutingBounds,
    RoutingControlSettings,
)
from galenadrum._internal.network.http1.client import BackendError
from galenadrum_platform.api_app import build_app
from galenadrum_platform.dialect import PLATFORM_DIALECT
from lib.platform_engine import FakePlatformEngine, PlatformClient
from lib.processes import reserve_address

BOUNDS = RoutingBounds(
    announcement_interval_s=0.5,
    revocation_s=3.0,
    retry_slack=20.0,
    grace_s=4.0,
    evacuation_s=5.0,
)
WAIT_TIMEOUT_S = 20.0
ANNOUNCEMENT_INTERVAL_S = 0.3


def configuration(version=1, **changes):
    """Return a configuration with one route of each kind.

    Args:
        changes: Top-level fields to replace.
    """
    stage = {
        "Concurrency": 1,
        "QueueLimit": 2,
        "Batch": 6,
        "CallMs": 20.0,
        "ItemMs": 2.0,
        "HeadroomMb": 13.0,
        "HandleTtlS": 4.0,
        "LinkMbps": 10000,
    }
    document = {
        "Version": version,
        "Routes": [
            _build_route("stock", "/stock/", "idempotent", "plain", Attempts=2),
            _build_route("confirm", "/confirm/", "non_idempotent", "plain"),
            _build_route(
                "plan",
                "/plan/",
                "streaming",
                "llm",
                Phases=[
                    {"Service": "enc", "After": [], "Length": 1000},
                    {"Service": "enc", "After": [0], "Length": 1000},
                ],
                SessionAffinity=True,
            ),
            _build_route(
                "note",
                "/note/",
                "streaming",
                "llm",
                Attempts=2,
                SessionAffinity=True,
                StreamResume=True,
            ),
        ],
        "Services": [
            {"Name": "plain", "HealthCheck": "/healthz"},
            {"Name": "llm", "Engine": {"Concurrency": 8, "KvCapacityTokens": 90000}},
            {"Name": "enc", "Params": stage},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "t1", "ApiKeys": ["k1", "k2"]}],
    }
    return {**document, **changes}


def _build_route(name, prefix, kind, service, **more):
    return {
        "Name": name,
        "Hostname": "x.example",
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 5000,
        "SloMs": 2000,
        "Priority": 0,
        "Service": service,
        "Attempts": 1,
        **more,
    }


class RoutingDeployment:
    """One control host and one entry host per zone, and engines.

    Attributes:
        control_daemon_by_zone: Control daemons by zone.
        entry_daemon_by_zone: Entry host daemons by zone.
        api_address_by_zone: Configuration API addresses of control hosts by zone.
        engines: Engines by id.
    """

    def __init__(self, folder, zones=("a", "b", "c"), bounds=BOUNDS):
        self._folder = folder
        self._bounds = bounds
        self.zones = zones
        self.peer_address_by_zone = {zone: reserve_address() for zone in zones}
        self.api_address_by_zone = {zone: reserve_address() for zone in zones}
        self.caller_address_by_zone = {zone: reserve_address() for zone in zones}
        self.ready_address_by_zone = {zone: reserve_address() for zone in zones}
        self.control_daemon_by_zone = {}
        self.entry_daemon_by_zone = {}
        self.engines = {}
        self.caller = PlatformClient()
        self._tasks = []

    def _get_seed_addresses(self):
        return tuple(self.peer_address_by_zone.values())

    async def __aenter__(self):
        for zone in self.zones:
            await self.start_control(zone)
        for zone in self.zones:
            await self.start_gateway(zone)
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        for engine in self.engines.values():
            engine.stop()
        for daemon in [
            *self.entry_daemon_by_zone.values(),
            *self.control_daemon_by_zone.values(),
        ]:
            await daemon.stop()

    async def start_control(self, zone, first=True):
        settings = RoutingControlSettings(
            host_id=f"control-{zone}",
            zone=zone,
            api_address=self.api_address_by_zone[zone],
            peer_address=self.peer_address_by_zone[zone],
            metrics_address=reserve_address(),
            seed_addresses=self._get_seed_addresses(),
            data_folder=self._folder / zone,
            is_first_start=first,
            bounds=self._bounds,
            relay_address=reserve_address(),
            zones=self.zones,
        )
        daemon = RoutingControlDaemon(
            settings, PLATFORM_DIALECT, build_app, self._get_seed_addresses
        )
        self.control_daemon_by_zone[zone] = daemon
        await daemon.start()

    async def start_gateway(self, zone):
        settings = GatewaySettings(
            host_id=f"entry-{zone}",
            zone=zone,
            caller_address=self.caller_address_by_zone[zone],
            ready_address=self.ready_address_by_zone[zone],
            metrics_address=reserve_address(),
            control_addresses=self._get_seed_addresses(),
            bounds=self._bounds,
            relay_address=reserve_address(),
        )
        self.entry_daemon_by_zone[zone] = GatewayDaemon(
            settings, PLATFORM_DIALECT, self._get_seed_addresses
        )
        await self.entry_daemon_by_zone[zone].start()

    async def add_engine(self, server_id, service, zone="a", address=None, **more):
        address = address or reserve_address()
        engine = FakePlatformEngine(server_id, service, address, zone, **more)
        self.engines[server_id] = engine
        await engine.start()
        self._tasks.append(asyncio.ensure_future(self._announce_repeatedly(engine)))
        return engine

    async def _announce_repeatedly(self, engine):
        while not engine.has_crashed:
            for address in self.api_address_by_zone.values():
                try:
                    if await self.caller.send_heartbeat(address, engine) == 200:
                        break
                except Exception:
                    continue
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    async def replace_configuration(self, document, zone="a"):
        """Send a configuration to a zone's control host until it is accepted."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not await self._is_accepted(document, zone):
                await asyncio.sleep(0.05)

    async def _is_accepted(self, document, zone):
        try:
            return (
                await self.caller.replace_configuration(
                    self.api_address_by_zone[zone], document
                )
                == 200
            )
        except BackendError:
            # The host is not listening yet.
            return False

    async def wait_until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_ready(self, version=1):
        """Wait until all hosts have a configuration version and know all engines."""

        def knows_all_engines(registry):
            known = {entry.server_id for entry in registry if entry.accepts_requests}
            return known >= set(self.engines)

        def is_ready(gateway):
            return (
                gateway.is_ready
                and gateway.lease.version >= version
                and knows_all_engines(gateway.servers.registry)
            )

        # A control host places requests on the engines of its own registry.
        def can_dispatch(control):
            return control.state.version >= version and knows_all_engines(
                control.registry
            )

        await self.wait_until(
            lambda: (
                all(map(is_ready, self.entry_daemon_by_zone.values()))
                and all(map(can_dispatch, self.control_daemon_by_zone.values()))
            )
        )

    async def send_request(self, path, zone="a", key="k1", **more):
        """Send a request through a zone's entry host."""
        return await self.caller.send_request(
            self.caller_address_by_zone[zone], "x.example", path, key=key, **more
        )


def run_deployment(folder, steps, engines=(), bounds=BOUNDS, **changes):
    """Run steps against a deployment with a configuration and engines.

    Args:
        folder: Folder for the data of control hosts.
        steps: Coroutine function that takes the deployment.
        engines: Id, service and zone of each engine.
        bounds: Bounds of all hosts.
        changes: Top-level fields of the configuration to replace.
    """

    async def run():
        async with RoutingDeployment(folder, bounds=bounds) as deployment:
            for server_id, service, zone in engines:
                await deployment.add_engine(server_id, service, zone)
            await deployment.replace_configuration(configuration(**changes))
            await deployment.wait_ready()
            await steps(deployment)

    asyncio.run(run())
