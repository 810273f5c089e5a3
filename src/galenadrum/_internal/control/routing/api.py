"""API of a control host for operators and backend servers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from galenadrum._internal.configuration.checks import find_problems
from galenadrum._internal.configuration.state import VersionedDocument
from galenadrum._internal.control.routing.configurations import Configurations
from galenadrum._internal.directory.registry import Registry
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.models.announcements import Announcement, Deregistration
from galenadrum._internal.models.routing import RoutingConfiguration
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)


class RoutingApi:
    """API calls of a control host, independent of the transport.

    Args:
        decode: Decodes a document; raises `CheckFailedError` with its findings.
        configurations: Accepts and reads configurations.
        registry: Directory of the backend servers.
        on_announcement: Called with the server id of each accepted announcement.
        metrics: Metrics of this host.
    """

    def __init__(
        self,
        decode: Callable[[bytes], RoutingConfiguration],
        configurations: Configurations,
        registry: Registry,
        on_announcement: Callable[[str], None],
        metrics: Metrics,
    ) -> None:
        self._decode = decode
        self._configurations = configurations
        self._registry = registry
        self._on_announcement = on_announcement
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def record_announcement(self, announcement: Announcement) -> None:
        """Register or renew a backend server; ignore an outdated announcement."""
        if self._registry.apply_announcement(announcement, self._loop.time()):
            self._on_announcement(announcement.server_id)
        else:
            logger.info(
                "ignored outdated announcement of %s (incarnation %d, sequence %d)",
                announcement.server_id,
                announcement.incarnation_ms,
                announcement.sequence,
            )

    def deregister_server(self, deregistration: Deregistration) -> None:
        """Deregister a backend server."""
        changed = self._registry.deregister_server(deregistration)
        logger.info(
            "server %s deregistered (directory changed: %s)",
            deregistration.server_id,
            changed,
        )

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

    async def read_configuration(self) -> bytes | None:
        """Return the newest accepted document; None if there is none yet.

        Raises:
            ControlUnreachableError: If the newest version can't be determined.
        """
        document = await self._configurations.read()
        return document.document() if document is not None else None
