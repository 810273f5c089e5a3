"""API of a control host for operators and backend servers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from galenadrum._internal.configuration.checks import find_problems
from galenadrum._internal.configuration.state import VersionedDocument
from galenadrum._internal.control.routing.configurations import Configurations
from galenadrum._internal.control.routing.departures import DepartureRecorder
from galenadrum._internal.control.routing.evacuations import EvacuationOrders
from galenadrum._internal.directory.registry import Registry
from galenadrum._internal.exceptions import CheckFailedError, UnknownZoneError
from galenadrum._internal.models.announcements import (
    MAX_SEQUENCE,
    Announcement,
    Departure,
    Deregistration,
    ServerState,
)
from galenadrum._internal.models.routing import RoutingConfiguration
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)


class RoutingApi:
    """API calls of a control host, independent of the transport.

    Args:
        decode: Decodes a document; raises `CheckFailedError` with its findings.
        configurations: Accepts and reads configurations.
        registry: Directory of the backend servers.
        departures: Records departures on most control hosts.
        evacuations: Submits orders to evacuate zones.
        zones: Known availability zones; empty if any is accepted.
        on_announcement: Called with the server id of each accepted announcement.
        metrics: Metrics of this host.
    """

    def __init__(
        self,
        decode: Callable[[bytes], RoutingConfiguration],
        configurations: Configurations,
        registry: Registry,
        departures: DepartureRecorder,
        evacuations: EvacuationOrders,
        zones: tuple[str, ...],
        on_announcement: Callable[[str], None],
        metrics: Metrics,
    ) -> None:
        self._decode = decode
        self._configurations = configurations
        self._registry = registry
        self._departures = departures
        self._evacuations = evacuations
        self._zones = zones
        self._on_announcement = on_announcement
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    async def record_announcement(self, announcement: Announcement) -> bool:
        """Register or renew a backend server; ignore an outdated announcement.

        An announcement whose service isn't named is held, and the departure that it
        tells of concerns no server of another service.

        Returns:
            Whether it may be acknowledged. What a server says of its departure may
            be, once it outlives the processes of the control hosts.
        """
        is_named = self._registry.names_service(announcement.service)
        if self._registry.apply_announcement(announcement, self._loop.time()):
            self._on_announcement(announcement.server_id)
        elif is_named:
            logger.info(
                "ignored outdated announcement of %s (incarnation %d, sequence %d)",
                announcement.server_id,
                announcement.incarnation_ms,
                announcement.sequence,
            )
        if announcement.state is ServerState.READY:
            return True
        return await self._departures.record(
            Departure(
                announcement.server_id,
                announcement.incarnation_ms,
                announcement.sequence,
                announcement.state,
                None if is_named else announcement.service,
            )
        )

    async def deregister_server(self, deregistration: Deregistration) -> bool:
        """Deregister a backend server.

        Returns:
            Whether it may be acknowledged, as for `record_announcement`. One that
            names no incarnation of a server that isn't known here may not.

        Raises:
            InvalidAnnouncementError: A value is out of its bounds.
        """
        server_id = deregistration.server_id
        incarnation_ms = deregistration.incarnation_ms
        if not incarnation_ms:
            known_ms = self._registry.find_incarnation(server_id)
            if known_ms is None:
                logger.warning(
                    "can't tell which incarnation of server %s deregisters: it names "
                    "none and isn't known here",
                    server_id,
                )
                return False
            incarnation_ms = known_ms
        departure = Departure(server_id, incarnation_ms, MAX_SEQUENCE, ServerState.GONE)
        is_recorded = await self._departures.record(departure)
        logger.info(
            "server %s (incarnation %d) deregistered (on most disks: %s)",
            server_id,
            incarnation_ms,
            is_recorded,
        )
        return is_recorded

    async def replace_configuration(self, document: bytes) -> str:
        """Check a configuration and submit it to the replicated log.

        Returns:
            An outcome constant of the `configurations` module.

        Raises:
            CheckFailedError: If the document is invalid; holds all findings.
        """
        configuration = self._decode(document)
        findings = find_problems(configuration)
        if findings:
            raise CheckFailedError(findings)
        started_at = self._loop.time()
        versioned = VersionedDocument.from_bytes(configuration.version, document)
        outcome = await self._configurations.submit(versioned)
        self._metrics.increment("configurations", outcome=outcome)
        logger.info(
            "configuration version %d was submitted: outcome %s after %.3f s",
            configuration.version,
            outcome,
            self._loop.time() - started_at,
        )
        return outcome

    async def begin_evacuation(
        self, zone: str, is_wanted: Callable[[], bool] = lambda: True
    ) -> str:
        """Order that nothing more is sent to the servers of a zone.

        Args:
            zone: The zone.
            is_wanted: Returns whether the operator's client still waits.

        Returns:
            An outcome constant of the modules `configurations` and `evacuations`.

        Raises:
            UnknownZoneError: The settings name zones, but not this one.
        """
        return await self._submit_evacuation(zone, True, is_wanted)

    async def finish_evacuation(
        self, zone: str, is_wanted: Callable[[], bool] = lambda: True
    ) -> str:
        """Withdraw the evacuation of a zone; see `begin_evacuation`."""
        return await self._submit_evacuation(zone, False, is_wanted)

    async def _submit_evacuation(
        self, zone: str, is_active: bool, is_wanted: Callable[[], bool]
    ) -> str:
        if not zone or (self._zones and zone not in self._zones):
            self._metrics.increment("evacuations", outcome="unknown_zone")
            raise UnknownZoneError(zone, self._zones)
        started_at = self._loop.time()
        outcome = await self._evacuations.submit(zone, is_active, is_wanted)
        self._metrics.increment("evacuations", outcome=outcome)
        logger.info(
            "an operator ordered to %s the evacuation of zone %s: outcome %s after "
            "%.3f s",
            "begin" if is_active else "finish",
            zone,
            outcome,
            self._loop.time() - started_at,
        )
        return outcome

    async def read_configuration(self) -> bytes | None:
        """Return the newest accepted document; None if there is none yet.

        Raises:
            ControlUnreachableError: If the newest version can't be determined.
        """
        document = await self._configurations.read()
        return document.document() if document is not None else None
