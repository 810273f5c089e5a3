"""Follower that keeps an entry host's declarations current through watches."""

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
_RETRY_DELAY_MIN_S = 0.1
_RETRY_DELAY_MAX_S = 5.0
_SWITCH_BACK_AFTER_S = 60.0
_CONFIRM_INTERVAL_S = 10.0
_CONFIRM_TIMEOUT_S = 3.0
_CONFIRM_BATCH_DELAY_S = 0.25
_CONFIRM_RETRY_DELAY_S = 1.0
_MAX_RELAYS = 2
_MAX_QUEUED_CONFIRMATIONS = 400
# Above any real revision: a source answers with its revision but no resources.
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
        address: Peer address of the process.
        is_relay: Whether the process is an entry host of the zone; otherwise it
            is a control host.
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

    A host follows only hosts of its zone whose address sorts before its own, so
    that no two hosts can follow each other. The first host of a zone follows
    control hosts and thereby relays for the others.
    """
    before = sorted(address for address in zone_addresses if address < own_address)
    relays = [Source(address, True) for address in before[:_MAX_RELAYS]]
    control_sources = [Source(address, False) for address in control_addresses]
    rng.shuffle(control_sources)
    return (*relays, *control_sources)


class DeclarationsFollower:
    """Watches one source at a time and switches to another when it goes silent.

    Args:
        host_id: Name of this entry host.
        zone: Availability zone of this entry host.
        view: View of the resources; only the follower applies events to it.
        sources: Sources to watch, the preferred one first.
        peers: Addresses of further processes that may hold newer resources at
            startup.
        open_watch: Opens a watch over a new connection.
        send_confirmation: Sends confirmations to a source.
        on_applied: Called after each event that changed the view.
        rng: Draws the jitter of delays.

    Attributes:
        signal: Set after each event that changed the view.
        reconnect_count: Number of watches that ended or could not be opened.
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
        self._current_source = self._sources[0]
        self._last_contact_at: float | None = None
        self._confirmations_by_host: dict[str, HostRevision] = {}
        self._confirm_signal = asyncio.Event()
        self.signal = ChangeSignal()
        self.reconnect_count = 0

    def source_age_ms(self) -> int:
        """Return the milliseconds since the last contact with control.

        Contact through relays counts with the age that they report.
        """
        if self._last_contact_at is None:
            return MAX_SOURCE_AGE_MS
        age_s = asyncio.get_running_loop().time() - self._last_contact_at
        return int(min(max(age_s, 0.0) * 1_000, MAX_SOURCE_AGE_MS))

    @property
    def follows_control(self) -> bool:
        """Whether the host watches a control host and recently had contact."""
        has_recent_contact = self.source_age_ms() < STALE_SOURCE_S * 1_000
        return has_recent_contact and not self._current_source.is_relay

    def add_confirmations(self, hosts: Sequence[HostRevision]) -> None:
        """Queue confirmations of other hosts to forward with this host's own."""
        for host in hosts:
            if (
                host.host_id in self._confirmations_by_host
                or len(self._confirmations_by_host) < _MAX_QUEUED_CONFIRMATIONS
            ):
                self._confirmations_by_host[host.host_id] = host
        self._confirm_signal.set()

    async def run(self) -> None:
        """Catch up with the newest resources, then follow sources until cancelled."""
        await self._catch_up()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_forever())
            group.create_task(self._confirm_forever())

    async def _catch_up(self) -> None:
        """Fetch the newest resources that any source or peer holds."""
        addresses = {source.address for source in self._sources} | set(self._peers)
        try:
            async with asyncio.timeout(_CATCH_UP_TIMEOUT_S):
                revisions = await asyncio.gather(
                    *(self._probe_revision(address) for address in sorted(addresses))
                )
                for revision, address in sorted(revisions, reverse=True):
                    if revision <= self._view.revision:
                        return
                    await self._fetch_event(address)
        except TimeoutError:
            logger.warning(
                "timed out fetching the newest declarations; following the sources"
            )

    async def _probe_revision(self, address: str) -> tuple[int, str]:
        """Return a source's revision, or 0 if it doesn't answer, and its address."""
        request = self._build_request(_PROBE_REVISION)
        try:
            async with (
                asyncio.timeout(_CONNECT_TIMEOUT_S),
                self._open_watch(address, request) as events,
            ):
                async for event in events:
                    return event.revision, address
        except _CALL_ERRORS as error:
            logger.info("could not read the revision of %s: %r", address, error)
        return 0, address

    async def _fetch_event(self, address: str) -> None:
        """Fetch and apply one event of a source."""
        target = self._view.revision
        try:
            async with self._open_watch(
                address, self._build_request(self._view.revision)
            ) as events:
                self._view.discard_parts()
                async for event in events:
                    self._apply_event(event)
                    if not event.more or self._view.revision > target:
                        return
        except _CALL_ERRORS as error:
            logger.info("could not fetch declarations from %s: %r", address, error)

    async def _follow_forever(self) -> None:
        loop = asyncio.get_running_loop()
        index = failures = 0
        while True:
            self._current_source = self._sources[index]
            initial_contact_at = self._last_contact_at
            switch_back_at = None if index == 0 else loop.time() + _SWITCH_BACK_AFTER_S
            switched_back = await self._follow(self._current_source, switch_back_at)
            self.reconnect_count += 1
            if self._last_contact_at != initial_contact_at:
                failures = 0
            if switched_back:
                index = 0
                continue
            index = (index + 1) % len(self._sources)
            await self._back_off(failures)
            failures += 1

    async def _follow(self, source: Source, switch_back_at: float | None) -> bool:
        """Follow a source until its watch ends or it is time to switch back.

        Args:
            source: The source to watch.
            switch_back_at: Event loop time in seconds at which to switch back to the
                preferred source; None to keep following.

        Returns:
            Whether the watch ended to switch back to the preferred source.
        """
        request = self._build_request(self._view.revision)
        try:
            async with self._open_watch(source.address, request) as events:
                self._view.discard_parts()
                return await self._apply_events(events, switch_back_at)
        except TimeoutError:
            logger.warning(
                "the watch of %s timed out; trying the next source", source.address
            )
        except _CALL_ERRORS as error:
            logger.warning(
                "the watch of %s failed; trying the next source: %r",
                source.address,
                error,
            )
        return False

    async def _apply_events(
        self, events: AsyncIterator[WatchEvent], switch_back_at: float | None
    ) -> bool:
        loop = asyncio.get_running_loop()
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                event = await anext(events, None)
            if event is None:
                return False
            self._apply_event(event)
            if event.more:
                continue
            if event.source_age_ms > STALE_SOURCE_S * 1_000:
                logger.warning(
                    "the watched source lost contact with control; trying the next one"
                )
                return False
            if switch_back_at is not None and loop.time() >= switch_back_at:
                return True

    def _apply_event(self, event: WatchEvent) -> None:
        now = asyncio.get_running_loop().time()
        contact_at = now - event.source_age_ms / 1_000
        if self._last_contact_at is None or contact_at > self._last_contact_at:
            self._last_contact_at = contact_at
        result = self._view.apply_event(event)
        if isinstance(result, Applied):
            self._on_applied(result)
            self.signal.notify()
            self._confirm_signal.set()

    async def _confirm_forever(self) -> None:
        delay_s = 0.0
        while True:
            try:
                async with asyncio.timeout(delay_s):
                    await self._confirm_signal.wait()
                await asyncio.sleep(_CONFIRM_BATCH_DELAY_S)
            except TimeoutError:
                pass
            confirmed = await self._confirm()
            delay_s = _CONFIRM_INTERVAL_S if confirmed else _CONFIRM_RETRY_DELAY_S

    async def _confirm(self) -> bool:
        self._confirm_signal.clear()
        own_confirmation = HostRevision(
            host_id=self._host_id, zone=self._zone, revision=self._view.revision
        )
        other_confirmations = self._confirmations_by_host
        self._confirmations_by_host = {}
        request = ConfirmRequest(
            hosts=[own_confirmation, *other_confirmations.values()]
        )
        try:
            async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                await self._send_confirmation(self._current_source, request)
        except _CALL_ERRORS as error:
            logger.info("sending confirmations failed; retrying: %r", error)
            # Newer confirmations of the same hosts take precedence over these.
            self._confirmations_by_host = (
                other_confirmations | self._confirmations_by_host
            )
            return False
        return True

    def _build_request(self, from_revision: int) -> WatchRequest:
        return WatchRequest(
            host_id=self._host_id,
            zone=self._zone,
            from_revision=from_revision,
            cluster_id=self._view.cluster_id,
        )

    async def _back_off(self, failures: int) -> None:
        delay_s = min(_RETRY_DELAY_MIN_S * 2 ** min(failures, 10), _RETRY_DELAY_MAX_S)
        await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))


@asynccontextmanager
async def open_watch(
    address: str, request: WatchRequest
) -> AsyncIterator[AsyncIterator[WatchEvent]]:
    """Open a watch over a dedicated connection that is closed on exit."""
    channel = open_channel(address)
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await channel.__connect__()
        async with DeclarationsStub(channel).Watch.open() as stream:
            await stream.send_message(request, end=True)
            try:
                yield aiter(stream)
            finally:
                # On exit an uncancelled stream would wait for the watch, which never
                # ends.
                with suppress(ProtocolError, StreamTerminatedError, TimeoutError):
                    async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                        await stream.cancel()
    finally:
        channel.close()


def build_send_confirmation(client: ControlClient) -> SendConfirmation:
    """Return a function that sends confirmations to a relay or to the leader."""

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
