"""Submits and reads routing configurations from any control host."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from grpclib.client import Channel

from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
    was_accepted,
)
from galenadrum._internal.configuration.versions import (
    NO_VERSION,
    decode_version,
    encode_version,
)
from galenadrum._internal.control.replication.driver import ReplicatedLog
from galenadrum._internal.control.replication.peer_streams import STREAM_ERRORS
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

# An operator's client tries another host after one second.
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
# A linked control host runs a build that would ignore the change.
UNSUPPORTED = "unsupported"


class Configurations:
    """Submits documents to the leader of the log and reads them locally.

    Args:
        log: Returns the log member of this host; None while it isn't running.
        state: Configuration state that the log replicates.
        keeps_version_zero: Returns whether all linked control hosts keep a document of
            version 0.

    Attributes:
        confirmed_at: Loop time in seconds at which this host was last confirmed
            to know the newest version; negative infinity if never.
    """

    def __init__(
        self,
        log: Callable[[], ReplicatedLog | None],
        state: ConfigurationState,
        keeps_version_zero: Callable[[], bool],
    ) -> None:
        self._log = log
        self._state = state
        self._keeps_version_zero = keeps_version_zero
        self._loop = asyncio.get_running_loop()
        self._confirmed_version = NO_VERSION
        self.confirmed_at = float("-inf")

    # Submitting.

    async def submit(self, document: VersionedDocument) -> str:
        """Submit a document to the leader; return an outcome constant."""
        response = await self.submit_if_leader(document)
        if response.outcome == NOT_LEADER and response.leader_address:
            return await self._forward(document, response.leader_address)
        return response.outcome

    async def submit_if_leader(self, document: VersionedDocument) -> pb.SubmitResponse:
        """Submit a document to the log if this host is the leader."""
        log = self._log()
        if log is None:
            return pb.SubmitResponse(outcome=NOT_LEADER)
        # Also where another host leads: of the build before, it would acknowledge the
        # document and not keep it.
        if self._would_be_lost(document):
            return pb.SubmitResponse(outcome=UNSUPPORTED)
        try:
            if document.version <= self._state.version and log.is_leader:
                await log.wait_until_settled(_PROPOSE_TIMEOUT_S)
                return pb.SubmitResponse(outcome=SUPERSEDED)
            result = await log.propose(document.to_command(), _PROPOSE_TIMEOUT_S)
        except NotLeaderError as error:
            return pb.SubmitResponse(
                outcome=NOT_LEADER, leader_address=error.leader_address or ""
            )
        except LogBusyError as error:
            logger.warning(
                "configuration version %d was rejected: %s", document.version, error
            )
            return pb.SubmitResponse(outcome=BUSY)
        except OutcomeUnknownError as error:
            logger.warning(
                "outcome of configuration version %d is unknown: %s",
                document.version,
                error,
            )
            return pb.SubmitResponse(outcome=UNKNOWN)
        outcome = ACCEPTED if was_accepted(result) else SUPERSEDED
        return pb.SubmitResponse(outcome=outcome)

    def _would_be_lost(self, document: VersionedDocument) -> bool:
        """Return whether a linked control host would ignore a document in the log."""
        is_new = document.version > self._state.version
        return is_new and document.version == 0 and not self._keeps_version_zero()

    async def _forward(self, document: VersionedDocument, address: str) -> str:
        request = pb.SubmitRequest(
            version=document.version, compressed=document.compressed
        )
        response = await call_leader(address, "Submit", request, _FORWARD_TIMEOUT_S)
        return response.outcome if response is not None else UNKNOWN

    # Reading.

    async def read(self) -> VersionedDocument | None:
        """Return the newest document; reflects all accepted before the call.

        Raises:
            ControlUnreachableError: If the newest version can't be determined or
                hasn't arrived here in time.
        """
        version = await self._fetch_newest_version()
        try:
            async with asyncio.timeout(_CATCH_UP_TIMEOUT_S):
                while self._state.version < version:
                    await asyncio.sleep(_CATCH_UP_INTERVAL_S)
        except TimeoutError:
            raise ControlUnreachableError(
                f"configuration version {version} is accepted but not yet applied here"
            ) from None
        return self._state.current

    async def _fetch_newest_version(self) -> int:
        """Return the newest accepted version; `NO_VERSION` if there is none."""
        response = await self.confirm_newest_version()
        if response.is_confirmed:
            return decode_version(response)
        log = self._log()
        leader_address = log.leader_address if log is not None else None
        if leader_address:
            response = await call_leader(
                leader_address,
                "NewestVersion",
                pb.NewestVersionRequest(),
                _READ_TIMEOUT_S,
            )
            if response is not None and response.is_confirmed:
                return decode_version(response)
        raise ControlUnreachableError(
            "no leader of the control hosts confirmed the newest configuration version"
        )

    async def confirm_newest_version(self) -> pb.NewestVersionResponse:
        """Return the newest version, confirmed only if this host leads."""
        log = self._log()
        if log is None or not log.is_leader:
            return pb.NewestVersionResponse()
        requested_at = self._loop.time()
        try:
            await log.read_barrier(_READ_TIMEOUT_S)
        except (NotLeaderError, LogBusyError, ControlUnreachableError) as error:
            logger.debug(
                "could not confirm the newest configuration version: %s", error
            )
            return pb.NewestVersionResponse()
        version = self._state.version
        self.confirm(version, requested_at)
        return pb.NewestVersionResponse(
            is_confirmed=True, version=encode_version(version)
        )

    # Confirmations.

    async def run(self) -> None:
        """Confirm the newest version periodically while this host leads."""
        while True:
            await self.confirm_newest_version()
            await asyncio.sleep(_CONFIRM_INTERVAL_S)

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Record that ``version`` was the newest at loop time ``confirmed_at``."""
        if confirmed_at > self.confirmed_at:
            self._confirmed_version = version
            self.confirmed_at = confirmed_at

    def pong(self, ping: pb.LinkPing) -> pb.LinkMessage:
        """Build the answer to a ping: last confirmed version and its age."""
        age_s = self._loop.time() - self.confirmed_at
        if age_s == float("inf"):
            return pb.LinkMessage(pong=pb.LinkPong(token=ping.token))
        return pb.LinkMessage(
            pong=pb.LinkPong(
                token=ping.token,
                is_confirmed=True,
                version=encode_version(self._confirmed_version),
                # Rounded up, so that the age is never understated.
                age_ms=int(age_s * 1_000) + 1,
            )
        )


async def call_leader(address: str, method: str, request, timeout_s: float):
    """Call a method of the leader; return its response, None after a failure."""
    host, port = split_address(address)
    channel = Channel(host, port)
    try:
        return await getattr(GatewayControlStub(channel), method)(
            request, timeout=timeout_s
        )
    except STREAM_ERRORS as error:
        logger.info("call of %s to the leader %s failed: %r", method, address, error)
        return None
    finally:
        channel.close()
