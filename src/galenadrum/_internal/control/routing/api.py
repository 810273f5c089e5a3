"""What operators and backend servers can ask of a control host."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from galenadrum._internal.configuration.checks import find_problems
from galenadrum._internal.configuration.state import VersionedDocument
from galenadrum._internal.control.routing.configurations import Configurations
from galenadrum._internal.directory.registry import Registry
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.models.announcements import Announcement, Farewell
from galenadrum._internal.models.routing import RoutingConfiguration
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)


class RoutingApi:
    """The calls of a control host, free of their transport.

    Args:
        decode: Reads a document; raises `CheckFailedError` with its findings.
        heard: Called with the id of each server that announced itself.
    """

    def __init__(
        self,
        decode: Callable[[bytes], RoutingConfiguration],
        configurations: Configurations,
        registry: Registry,
        heard: Callable[[str], None],
        metrics: Metrics,
    ) -> None:
        self._decode = decode
        self._configurations = configurations
        self._registry = registry
        self._heard = heard
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def announce(self, announcement: Announcement) -> None:
        """Take a server's announcement."""
        if self._registry.announce(announcement, self._loop.time()):
            self._heard(announcement.server_id)
        else:
            logger.info(
                "outdated announcement of %s (incarnation %d, sequence %d)",
                announcement.server_id,
                announcement.incarnation_ms,
                announcement.sequence,
            )

    def leave(self, farewell: Farewell) -> None:
        """Take a server's last word."""
        changed = self._registry.leave(farewell)
        logger.info("server %s leaves (news: %s)", farewell.server_id, changed)

    async def replace_configuration(self, document: bytes) -> str:
        """Have a configuration accepted.

        Returns:
            An outcome of `Configurations`.

        Raises:
            CheckFailedError: It is invalid; holds all findings.
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
            "configuration version %d: %s after %.3f s",
            configuration.version,
            outcome,
            self._loop.time() - started_at,
        )
        return outcome

    async def read_configuration(self) -> bytes | None:
        """Return the newest accepted configuration; None before the first.

        Raises:
            ControlUnreachableError: It can't be known which one that is.
        """
        document = await self._configurations.read()
        return document.document() if document is not None else None
