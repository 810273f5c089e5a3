"""Keeps an entry host's declarations current over long-lived watches."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from galenadrum._internal.entry.control_client import ControlClient, open_channel
from galenadrum._internal.entry.declarations import Applied, DeclarationsView
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    OutcomeUnknownError,
)
from galenadrum._internal.network.watch_stream import (
    HEARTBEAT_INTERVAL_S,
    MAX_SOURCE_AGE_MS,
    ChangeSignal,
)
from galenadrum._internal.protocol.declarations_grpc import DeclarationsStub
from galenadrum._internal.protocol.declarations_pb2 import (
    ConfirmRequest,
    HostRevision,
    WatchEvent,
    WatchRequest,
)

logger = logging.getLogger(__name__)

SILENCE_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S + 2.0
STALE_SOURCE_S = 10.0
_CONNECT_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 0.5
_CATCH_UP_TIMEOUT_S = 5.0
_DELAY_MIN_S = 0.1
_DELAY_MAX_S = 5.0
_RETURN_INTERVAL_S = 60.0
_CONFIRM_INTERVAL_S = 10.0
_CONFIRM_TIMEOUT_S = 3.0
_CONFIRM_GATHER_S = 0.25
_CONFIRM_RETRY_S = 1.0
_MAX_RELAYS = 2
_MAX_GATHERED_HOSTS = 400
# Asks a source for its revision without its resources.
_PROBE_REVISION = 2**63

_CALL_ERRORS = (
    ControlUnreachableError,
    GRPCError,
    OSError,
    OutcomeUnknownError,
    ProtocolError,
    StreamTerminatedError,
)


@dataclass(frozen=True, slots=True)
class Source:
    """A process that serves watches.

    Attributes:
        is_relay: Whether it is an entry host of the zone.
    """

    address: str
    is_relay: bool


OpenWatch = Callable[
    [str, WatchRequest], AbstractAsyncContextManager[AsyncIterator[WatchEvent]]
]
SendConfirmation = Callable[[Source, ConfirmRequest], Awaitable[None]]


def choose_sources(
    own_address: str,
    zone_addresses: Sequence[str],
    control_addresses: Sequence[str],
    rng: random.Random,
) -> tuple[Source, ...]:
    """Return the sources of a host, the preferred one first.

    A host follows only hosts of its zone whose address comes before its own,
    so that no two hosts can follow each other. The first host of a zone
    follows control hosts, and so relays for the others.
    """
    before = sorted(address for address in zone_addresses if address < own_address)
    relays = [Source(address, True) for address in before[:_MAX_RELAYS]]
    controls = [Source(address, False) for address in control_addresses]
    rng.shuffle(controls)
    return (*relays, *controls)


class DeclarationsFollower:
    """Follows one source at a time and moves to another when it goes silent.

    Args:
        host_id: Name of this entry host.
        zone: Its availability zone.
        view: The resources; only this object applies events to it.
        sources: Where to watch, the preferred source first.
        peers: Further processes that may hold newer resources at the start.
        open_watch: Opens a watch over a new connection.
        send_confirmation: Sends confirmations to a source.
        on_applied: Called after each event that changed the view.
        rng: Draws the jitter of delays.
    """

    def __init__(
        self,
        host_id: str,
        zone: str,
        view: DeclarationsView,
        sources: Sequence[Source],
        peers: Sequence[str],
        open_watch: OpenWatch,
        send_confirmation: SendConfirmation,
        on_applied: Callable[[Applied], None],
        rng: random.Random,
    ) -> None:
        self._host_id = host_id
        self._zone = zone
        self._view = view
        self._sources = tuple(sources)
        self._peers = tuple(peers)
        self._open_watch = open_watch
        self._send_confirmation = send_confirmation
        self._on_applied = on_applied
        self._rng = rng
        self._current = self._sources[0]
        self._fresh_at: float | None = None
        self._gathered_by_host: dict[str, HostRevision] = {}
        self._confirm_signal = asyncio.Event()
        self.signal = ChangeSignal()
        self.reconnects = 0

    def source_age_ms(self) -> int:
        """Return how long ago control was last heard of, over any relays."""
        if self._fresh_at is None:
            return MAX_SOURCE_AGE_MS
        age_s = asyncio.get_running_loop().time() - self._fresh_at
        return int(min(max(age_s, 0.0) * 1_000, MAX_SOURCE_AGE_MS))

    @property
    def follows_control(self) -> bool:
        """Whether the newest event came from a control host, not long ago."""
        is_fresh = self.source_age_ms() < STALE_SOURCE_S * 1_000
        return is_fresh and not self._current.is_relay

    def gather(self, hosts: Sequence[HostRevision]) -> None:
        """Take confirmations of other hosts, to send on with the own one."""
        for host in hosts:
            if (
                host.host_id in self._gathered_by_host
                or len(self._gathered_by_host) < _MAX_GATHERED_HOSTS
            ):
                self._gathered_by_host[host.host_id] = host
        self._confirm_signal.set()

    async def run(self) -> None:
        """Catch up with the newest resources around, then follow for good."""
        await self._catch_up()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_forever())
            group.create_task(self._confirm_forever())

    async def _catch_up(self) -> None:
        """Take the newest resources that any source or peer shows."""
        addresses = {source.address for source in self._sources} | set(self._peers)
        try:
            async with asyncio.timeout(_CATCH_UP_TIMEOUT_S):
                revisions = await asyncio.gather(
                    *(self._probe(address) for address in sorted(addresses))
                )
                for revision, address in sorted(revisions, reverse=True):
                    if revision <= self._view.revision:
                        return
                    await self._fetch(address)
        except TimeoutError:
            logger.warning("no source showed its declarations in time")

    async def _probe(self, address: str) -> tuple[int, str]:
        """Return the revision that a source shows, 0 if it doesn't answer."""
        request = self._request(_PROBE_REVISION)
        try:
            async with (
                asyncio.timeout(_CONNECT_TIMEOUT_S),
                self._open_watch(address, request) as events,
            ):
                async for event in events:
                    return event.revision, address
        except _CALL_ERRORS as error:
            logger.info("no revision from %s: %r", address, error)
        return 0, address

    async def _fetch(self, address: str) -> None:
        """Take one event from a source."""
        target = self._view.revision
        try:
            async with self._open_watch(
                address, self._request(self._view.revision)
            ) as events:
                self._view.discard_parts()
                async for event in events:
                    self._apply(event)
                    if not event.more or self._view.revision > target:
                        return
        except _CALL_ERRORS as error:
            logger.info("no declarations from %s: %r", address, error)

    async def _follow_forever(self) -> None:
        loop = asyncio.get_running_loop()
        index = failures = 0
        while True:
            self._current = self._sources[index]
            started_fresh = self._fresh_at
            return_at = None if index == 0 else loop.time() + _RETURN_INTERVAL_S
            returned = await self._follow(self._current, return_at)
            self.reconnects += 1
            if self._fresh_at != started_fresh:
                failures = 0
            if returned:
                index = 0
                continue
            index = (index + 1) % len(self._sources)
            await self._pause(failures)
            failures += 1

    async def _follow(self, source: Source, return_at: float | None) -> bool:
        """Follow a source; return whether it was left for the preferred one."""
        request = self._request(self._view.revision)
        try:
            async with self._open_watch(source.address, request) as events:
                self._view.discard_parts()
                return await self._take_events(events, return_at)
        except TimeoutError:
            logger.warning("the watch of %s went silent", source.address)
        except _CALL_ERRORS as error:
            logger.warning("the watch of %s ended: %r", source.address, error)
        return False

    async def _take_events(
        self, events: AsyncIterator[WatchEvent], return_at: float | None
    ) -> bool:
        loop = asyncio.get_running_loop()
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                event = await anext(events, None)
            if event is None:
                return False
            self._apply(event)
            if event.more:
                continue
            if event.source_age_ms > STALE_SOURCE_S * 1_000:
                logger.warning("the source of declarations has lost control")
                return False
            if return_at is not None and loop.time() >= return_at:
                return True

    def _apply(self, event: WatchEvent) -> None:
        now = asyncio.get_running_loop().time()
        fresh_at = now - event.source_age_ms / 1_000
        if self._fresh_at is None or fresh_at > self._fresh_at:
            self._fresh_at = fresh_at
        result = self._view.apply_event(event)
        if isinstance(result, Applied):
            self._on_applied(result)
            self.signal.set()
            self._confirm_signal.set()

    async def _confirm_forever(self) -> None:
        delay_s = 0.0
        while True:
            try:
                async with asyncio.timeout(delay_s):
                    await self._confirm_signal.wait()
                await asyncio.sleep(_CONFIRM_GATHER_S)
            except TimeoutError:
                pass
            confirmed = await self._confirm()
            delay_s = _CONFIRM_INTERVAL_S if confirmed else _CONFIRM_RETRY_S

    async def _confirm(self) -> bool:
        self._confirm_signal.clear()
        own = HostRevision(
            host_id=self._host_id, zone=self._zone, revision=self._view.revision
        )
        gathered = self._gathered_by_host
        self._gathered_by_host = {}
        request = ConfirmRequest(hosts=[own, *gathered.values()])
        try:
            async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                await self._send_confirmation(self._current, request)
        except _CALL_ERRORS as error:
            logger.info("the confirmation was not taken: %r", error)
            # Later confirmations of the same hosts stand before these.
            self._gathered_by_host = gathered | self._gathered_by_host
            return False
        return True

    def _request(self, from_revision: int) -> WatchRequest:
        return WatchRequest(
            host_id=self._host_id,
            zone=self._zone,
            from_revision=from_revision,
            cluster_id=self._view.cluster_id,
        )

    async def _pause(self, failures: int) -> None:
        delay_s = min(_DELAY_MIN_S * 2 ** min(failures, 10), _DELAY_MAX_S)
        await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))


@asynccontextmanager
async def open_watch(
    address: str, request: WatchRequest
) -> AsyncIterator[AsyncIterator[WatchEvent]]:
    """Open a watch over a connection of its own, closed at the end."""
    channel = open_channel(address)
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await channel.__connect__()
        async with DeclarationsStub(channel).Watch.open() as stream:
            await stream.send_message(request, end=True)
            try:
                yield aiter(stream)
            finally:
                # Left open, the stream would wait for a watch that never ends.
                with suppress(ProtocolError, StreamTerminatedError, TimeoutError):
                    async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                        await stream.cancel()
    finally:
        channel.close()


def build_send_confirmation(client: ControlClient) -> SendConfirmation:
    """Return a function that confirms to a relay, or else to the leader."""

    async def send(source: Source, request: ConfirmRequest) -> None:
        if not source.is_relay:
            deadline = asyncio.get_running_loop().time() + _CONFIRM_TIMEOUT_S
            await client.call(_confirm_method, request, deadline)
            return
        channel = open_channel(source.address)
        try:
            await DeclarationsStub(channel).Confirm(request)
        finally:
            channel.close()

    return send


def _confirm_method(channel: Channel) -> Any:
    return DeclarationsStub(channel).Confirm
