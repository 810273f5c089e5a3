"""Client for control host calls that only the leader can answer."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    OutcomeUnknownError,
)
from galenadrum._internal.network.leader_redirect import (
    get_leader_address,
    is_redirect,
)
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

T = TypeVar("T")
SelectMethod = Callable[[Channel], UnaryUnaryMethod]

_ATTEMPT_TIMEOUT_S = 0.7
_CONNECT_TIMEOUT_S = 0.4
_RETRY_DELAY_MIN_S = 0.05
_RETRY_DELAY_MAX_S = 0.4
_MAX_CHANNELS = 16
_FINAL_STATUSES = frozenset(
    (Status.INVALID_ARGUMENT, Status.RESOURCE_EXHAUSTED, Status.UNIMPLEMENTED)
)


def open_channel(address: str) -> Channel:
    """Return a channel to ``address`` that connects on its first call."""
    host, port = split_address(address)
    return Channel(host, port)


class ControlClient:
    """Finds the leader among the control hosts and calls it.

    Calls must be idempotent: they are retried on other control hosts until one
    answers.

    Args:
        addresses: Peer addresses of the control hosts.
        rng: Draws the first control host and the jitter of retry delays.
    """

    def __init__(self, addresses: Sequence[str], rng: random.Random) -> None:
        self._addresses = list(addresses)
        self._rng = rng
        self._next_index = rng.randrange(len(self._addresses))
        self._leader_address: str | None = None
        self._channels_by_address: dict[str, Channel] = {}

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels_by_address.values():
            channel.close()
        self._channels_by_address.clear()

    async def call(
        self,
        select: SelectMethod,
        request: Any,
        deadline: float,
        stop_when_silent: bool = False,
    ) -> Any:
        """Call the leader and return its answer.

        Args:
            select: Returns the method to call on a channel.
            request: The request message.
            deadline: Event loop time in seconds at which to stop retrying.
            stop_when_silent: Whether to stop before the deadline once every
                control host failed to answer over a new connection. During an
                election control hosts answer, although none leads. Failures of
                pooled connections don't count: a pooled connection may be
                silent while new ones work.

        Returns:
            The leader's response message.

        Raises:
            ControlUnreachableError: No leader accepted the call; it had no
                effect.
            OutcomeUnknownError: A leader may have executed the call.
            GRPCError: The call was refused with a final status; it had no
                effect.
        """
        loop = asyncio.get_running_loop()
        may_have_run = False
        attempt = 0
        silent: set[str] = set()
        while loop.time() < deadline:
            if stop_when_silent and silent.issuperset(self._addresses):
                break
            address = self._choose_address()
            is_new_connection = address not in self._channels_by_address
            try:
                return await self._attempt_call(address, select, request, deadline)
            except _NotSentError as error:
                self._discard_channel(address, error)
                silent.add(address)
            except GRPCError as error:
                silent.clear()
                may_have_run |= self._handle_error_status(address, error)
            except (OSError, StreamTerminatedError, ProtocolError) as error:
                may_have_run = True
                self._discard_channel(address, error)
                if is_new_connection:
                    silent.add(address)
            attempt += 1
            if self._leader_address is None or attempt > len(self._addresses):
                await self._back_off(attempt, deadline)
        if may_have_run:
            raise OutcomeUnknownError("a control host may have executed the call")
        raise ControlUnreachableError("no control host answers as the leader")

    async def _attempt_call(
        self, address: str, select: SelectMethod, request: Any, deadline: float
    ) -> Any:
        remaining_s = deadline - asyncio.get_running_loop().time()
        channel = await self._connect(address, min(remaining_s, _CONNECT_TIMEOUT_S))
        timeout_s = max(0.001, min(remaining_s, _ATTEMPT_TIMEOUT_S))
        # TimeoutError is an OSError: the caller then closes this connection, and
        # the next attempt opens a new one.
        async with asyncio.timeout(timeout_s):
            return await select(channel)(request, timeout=timeout_s)

    async def _connect(self, address: str, timeout_s: float) -> Channel:
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = open_channel(address)
            while len(self._channels_by_address) >= _MAX_CHANNELS:
                oldest = next(iter(self._channels_by_address))
                self._channels_by_address.pop(oldest).close()
            self._channels_by_address[address] = channel
        try:
            async with asyncio.timeout(max(0.001, timeout_s)):
                await channel.__connect__()
        except OSError as error:
            raise _NotSentError from error
        return channel

    def _choose_address(self) -> str:
        if self._leader_address is not None:
            return self._leader_address
        self._next_index = (self._next_index + 1) % len(self._addresses)
        return self._addresses[self._next_index]

    def _handle_error_status(self, address: str, error: GRPCError) -> bool:
        """Handle an error status and return whether the call may have run.

        Follows a redirect to the leader, else closes the channel.

        Raises:
            GRPCError: The status is final.
        """
        if error.status in _FINAL_STATUSES:
            raise error
        if is_redirect(error):
            leader_address = get_leader_address(error)
            self._leader_address = leader_address if leader_address != address else None
            return False
        self._discard_channel(address, error)
        return True

    def _discard_channel(self, address: str, error: Exception) -> None:
        logger.debug("call of control host %s failed: %r", address, error)
        if self._leader_address == address:
            self._leader_address = None
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    async def _back_off(self, attempt: int, deadline: float) -> None:
        delay_s = min(_RETRY_DELAY_MIN_S * 2 ** min(attempt, 8), _RETRY_DELAY_MAX_S)
        remaining_s = deadline - asyncio.get_running_loop().time()
        await asyncio.sleep(
            max(0.0, min(delay_s * self._rng.uniform(0.5, 1.0), remaining_s))
        )


class _NotSentError(Exception):
    """Raised when no connection could be made, so nothing was sent."""
