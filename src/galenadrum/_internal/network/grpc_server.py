"""gRPC server of a daemon, run as a task under its supervisor."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from typing import Any

from grpclib.server import Server

from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)


class GrpcServer:
    """Serves grpclib handlers on an address for other hosts.

    Args:
        address: IP address and port to listen on.
        handlers: grpclib service implementations.
    """

    def __init__(self, address: str, handlers: Sequence[Any]) -> None:
        self._address = address
        self._handlers = handlers

    async def run(self) -> None:
        """Listen and serve requests until cancelled.

        Raises:
            OSError: The server can't listen on the address.
        """
        host, port = split_address(self._address)
        server = Server(list(self._handlers))
        await server.start(host, port, reuse_address=True)
        logger.info("listening for peers on %s", self._address)
        try:
            await asyncio.Event().wait()
        finally:
            server.close()
