"""The grpclib server of a daemon, as a child of its supervisor."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from typing import Any

from grpclib.server import Server

from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)


class GrpcServer:
    """Listens on a peer address and serves handlers until cancelled."""

    def __init__(self, address: str, handlers: Sequence[Any]) -> None:
        self._address = address
        self._handlers = handlers

    async def run(self) -> None:
        """Serve until cancelled.

        Raises:
            OSError: The address can't be listened on.
        """
        host, port = split_address(self._address)
        server = Server(list(self._handlers))
        await server.start(host, port, reuse_address=True)
        logger.info("listening for peers on %s", self._address)
        try:
            await asyncio.Event().wait()
        finally:
            server.close()
