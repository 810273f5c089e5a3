"""Accepting and reading the routing configuration on any control host."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from grpclib.client import Channel

from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
    was_taken,
)
from galenadrum._internal.control.replication.driver import ReplicatedLog
from galenadrum._internal.control.replication.peers import STREAM_ERRORS
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    LogBusyError,
    NotLeaderError,
    OutcomeUnknownError,
)
from galenadrum._internal.protocol import gateway_pb2 as pb
from galenadrum._internal.protocol.gateway_grpc import GatewayControlStub
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

# The operator waits for a second before it turns to another host.
_PROPOSE_TIMEOUT_S = 3.0
_READ_TIMEOUT_S = 0.8
_FORWARD_TIMEOUT_S = 3.0
_CATCH_UP_TIMEOUT_S = 0.5
_CATCH_UP_INTERVAL_S = 0.01
_CONFIRM_INTERVAL_S = 0.3

ACCEPTED = "accepted"
SUPERSEDED = "superseded"
NOT_LEADER = "not_leader"
BUSY = "busy"
UNKNOWN = "unknown"


class Configurations:
    """Submits documents to the log, wherever its leader is, and reads them.

    Args:
        log: Returns the member of this host, if it runs.

    Attributes:
        confirmed_at: Loop time in seconds at which the newest version was last
            known here.
    """

    def __init__(
        self, log: Callable[[], ReplicatedLog | None], state: ConfigurationState
    ) -> None:
        self._log = log
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._confirmed_version = 0
        self.confirmed_at = float("-inf")

    # Submitting.

    async def submit(self, document: VersionedDocument) -> str:
        """Have a document accepted; returns one of the outcomes above."""
        if document.version <= self._state.version:
            return SUPERSEDED
        response = await self.submit_here(document)
        if response.outcome == NOT_LEADER and response.leader_address:
            return await self._forward(document, response.leader_address)
        return response.outcome

    async def submit_here(self, document: VersionedDocument) -> pb.SubmitResponse:
        """Have a document accepted if this host leads."""
        log = self._log()
        if log is None:
            return pb.SubmitResponse(outcome=NOT_LEADER)
        if document.version <= self._state.version:
            return pb.SubmitResponse(outcome=SUPERSEDED)
        try:
            result = await log.propose(document.to_command(), _PROPOSE_TIMEOUT_S)
        except NotLeaderError as error:
            return pb.SubmitResponse(
                outcome=NOT_LEADER, leader_address=error.leader_address or ""
            )
        except LogBusyError as error:
            logger.warning("version %d was not accepted: %s", document.version, error)
            return pb.SubmitResponse(outcome=BUSY)
        except OutcomeUnknownError as error:
            logger.warning("version %d: %s", document.version, error)
            return pb.SubmitResponse(outcome=UNKNOWN)
        outcome = ACCEPTED if was_taken(result) else SUPERSEDED
        return pb.SubmitResponse(outcome=outcome)

    async def _forward(self, document: VersionedDocument, address: str) -> str:
        request = pb.SubmitRequest(
            version=document.version, compressed=document.compressed
        )
        response = await self._call(address, "Submit", request, _FORWARD_TIMEOUT_S)
        return response.outcome if response is not None else UNKNOWN

    # Reading.

    async def read(self) -> VersionedDocument | None:
        """Return the newest document that was accepted before the call.

        Raises:
            ControlUnreachableError: It can't be known which one that is.
        """
        version = await self._newest_version()
        try:
            async with asyncio.timeout(_CATCH_UP_TIMEOUT_S):
                while self._state.version < version:
                    await asyncio.sleep(_CATCH_UP_INTERVAL_S)
        except TimeoutError:
            raise ControlUnreachableError(
                f"version {version} is accepted but not known here yet"
            ) from None
        return self._state.current

    async def _newest_version(self) -> int:
        response = await self.newest_version_here()
        if response.is_confirmed:
            return response.version
        log = self._log()
        leader_address = log.leader_address if log is not None else None
        if leader_address:
            response = await self._call(
                leader_address,
                "NewestVersion",
                pb.NewestVersionRequest(),
                _READ_TIMEOUT_S,
            )
            if response is not None and response.is_confirmed:
                return response.version
        raise ControlUnreachableError("the leader of the control hosts is not known")

    async def newest_version_here(self) -> pb.NewestVersionResponse:
        """Return the newest version if this host leads."""
        log = self._log()
        if log is None or not log.is_leader:
            return pb.NewestVersionResponse()
        asked_at = self._loop.time()
        try:
            await log.read_barrier(_READ_TIMEOUT_S)
        except (NotLeaderError, LogBusyError, ControlUnreachableError) as error:
            logger.debug("no confirmation of the newest version: %s", error)
            return pb.NewestVersionResponse()
        version = self._state.version
        self.confirm(version, asked_at)
        return pb.NewestVersionResponse(is_confirmed=True, version=version)

    async def _call(self, address: str, method: str, request, timeout_s: float):
        host, port = split_address(address)
        channel = Channel(host, port)
        try:
            return await getattr(GatewayControlStub(channel), method)(
                request, timeout=timeout_s
            )
        except STREAM_ERRORS as error:
            logger.info("%s at the leader %s failed: %r", method, address, error)
            return None
        finally:
            channel.close()

    # Confirmations.

    async def run(self) -> None:
        """While this host leads, keep confirming that its version is newest."""
        while True:
            await self.newest_version_here()
            await asyncio.sleep(_CONFIRM_INTERVAL_S)

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Note that no higher version was accepted at that loop time."""
        if confirmed_at > self.confirmed_at:
            self._confirmed_version = version
            self.confirmed_at = confirmed_at

    def pong(self, ping: pb.LinkPing) -> pb.LinkMessage:
        """Answer how sure this host is of the newest version."""
        age_s = self._loop.time() - self.confirmed_at
        if age_s == float("inf"):
            return pb.LinkMessage(pong=pb.LinkPong(token=ping.token))
        return pb.LinkMessage(
            pong=pb.LinkPong(
                token=ping.token,
                is_confirmed=True,
                version=self._confirmed_version,
                # Rounded up: an age must not look younger than it is.
                age_ms=int(age_s * 1_000) + 1,
            )
        )
