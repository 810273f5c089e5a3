"""Paths from this host to backend servers: direct, or through another host.

Load pattern: a host loses its links to servers that others still reach, for seconds,
while callers go on sending to it. A connection that fails sent nothing, so the request
is passed to another host at once. When that host reaches the server, this one is cut
off from it: its requests go through other hosts until a probe connects again.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.gateway.reachability import Reachability
from galenadrum._internal.network.http1.client import (
    BackendConnection,
    BackendError,
    ConnectError,
    ConnectionLimitError,
    ConnectionPool,
)
from galenadrum._internal.network.http1.heads import encode_request
from galenadrum._internal.network.http1.memory_account import MemoryAccount
from galenadrum._internal.network.relayed_connection import (
    CHECK_HEADER,
    NotForwardedError,
    RelayedConnection,
    RelayHost,
    RelayOutcome,
    relay_headers,
)
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 0.4
# Hosts connect within milliseconds; an unreachable one is then avoided for a while.
_RELAY_CONNECT_TIMEOUT_S = 0.1
_CHECK_TIMEOUT_S = 0.8
_MAX_RELAYS_TRIED = 3
# Time for which a host that could not forward a request is avoided.
_RELAY_PAUSE_S = 1.0
# Time for which a server that another host failed to reach as well counts as down.
_DOWN_S = 1.0
# Hosts that can't reach a server either, after which it counts as down.
_MAX_UNREACHABLE_ANSWERS = 2
# A request without a response for this long, from a server that sends nothing else
# either, has its path checked.
_SILENCE_S = 0.4
# Servers that this host must be cut off from, while none answers, to presume that it is
# cut off from all.
_MIN_CUT_SERVERS = 2
_PROBE_INTERVAL_S = 0.5
_MAX_PROBES = 8


@dataclass(slots=True)
class PathAttempts:
    """Ways on which one request was tried to be sent to one server.

    Attributes:
        request_id: Id by which responses name the request; empty if it has none.
        is_direct_tried: Whether this host tried to connect itself.
        relay_addresses: Hosts through which it was tried.
        error: Last error; None before any.
        is_limited: Whether this host may not open another connection itself.
    """

    request_id: str = ""
    is_direct_tried: bool = False
    relay_addresses: set[str] = field(default_factory=set)
    error: ConnectError | None = None
    is_limited: bool = False


class ServerPaths:
    """Opens connections to servers and finds out from which this host is cut off.

    Args:
        host_id: Id of this host.
        own_address: Address on which this host forwards requests of others.
        pool: Direct connections to the backend servers.
        find_server: Returns the directory entry of a server id, None if unknown.
        find_by_address: Returns the directory entry of the server that uses an
            address, None if unknown.
        list_server_ids: Returns the ids of all servers that take requests.
        relays: Returns the hosts that forward requests.
        reachability: Records failed and established connections.
        metrics: Counts the requests through other hosts by outcome.
        rng: Source of randomness for the choice of hosts.
        memory: Limits what responses hold; None for no limit.
    """

    def __init__(
        self,
        host_id: str,
        own_address: str,
        pool: ConnectionPool,
        find_server: Callable[[str], ServerEntry | None],
        find_by_address: Callable[[str], ServerEntry | None],
        list_server_ids: Callable[[], list[str]],
        relays: Callable[[], tuple[RelayHost, ...]],
        reachability: Reachability,
        metrics: Metrics,
        rng: random.Random,
        memory: MemoryAccount | None = None,
    ) -> None:
        self._host_id = host_id
        self._own_address = own_address
        self._pool = pool
        self._relay_pool = ConnectionPool(
            connection_class=RelayedConnection, memory=memory
        )
        self._find_server = find_server
        self._find_by_address = find_by_address
        self._list_server_ids = list_server_ids
        self._relays = relays
        self._reachability = reachability
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._cut_since_by_server: dict[str, float] = {}
        self._heard_at_by_server: dict[str, float] = {}
        self._heard_at = float("-inf")
        self._checks_by_server: dict[str, asyncio.Task[None]] = {}
        self._paused_until_by_relay: dict[str, float] = {}
        self._down_until_by_server: dict[str, float] = {}
        self._cut_added = asyncio.Event()
        metrics.register_gauge(
            "servers_cut_off", lambda: len(self._cut_since_by_server)
        )

    def is_cut_off(self, server_id: str) -> bool:
        """Return whether this host can't reach a server that others reach."""
        return server_id in self._cut_since_by_server

    def accepts_requests(self, server_id: str) -> bool:
        """Return whether a server is not known to leave."""
        entry = self._find_server(server_id)
        return entry is None or entry.accepts_requests

    def select_cache_source(self, address: str) -> str:
        """Return the address of a cache source, empty if its server takes no work."""
        entry = self._find_by_address(address) if address else None
        return "" if entry is not None and not entry.accepts_requests else address

    def find_incarnation(self, server_id: str) -> int | None:
        """Return the start time of a server in Unix milliseconds, None if unknown."""
        entry = self._find_server(server_id)
        return entry.announcement.incarnation_ms if entry is not None else None

    def has_room(self, server_id: str, address: str) -> bool:
        """Return whether this host may send a request to a server itself now."""
        return self.is_cut_off(server_id) or self._pool.has_room(address)

    async def wait_for_room(self, address: str, timeout_s: float) -> bool:
        """Wait until this host may send a request to a server, up to a timeout."""
        return await self._pool.wait_for_room(address, timeout_s)

    async def connect(
        self,
        server_id: str,
        address: str,
        timeout_s: float,
        max_idle_s: float | None,
        attempts: PathAttempts,
    ) -> BackendConnection:
        """Return a connection on which a request may be sent to a server.

        Args:
            server_id: Id of the server.
            address: IP address and port of the server.
            timeout_s: Timeout for opening a direct connection.
            max_idle_s: Limit on the idle time of a reused connection, None for the
                limit of the connection itself.
            attempts: Ways that were tried; the next one is added.

        Raises:
            ConnectionLimitError: No host that was asked may open another connection to
                the server. Nothing was sent.
            ConnectError: No way is left. Nothing was sent.
        """
        if not attempts.is_direct_tried and not self.is_cut_off(server_id):
            attempts.is_direct_tried = True
            try:
                connection = await self._pool.get(
                    address, timeout_s, max_idle_s, attempts.request_id
                )
            except ConnectionLimitError as error:
                self._metrics.increment("connection_limit_reached")
                attempts.error = error
                attempts.is_limited = True
            except ConnectError as error:
                self._reachability.record_failure(server_id, str(error))
                attempts.error = error
            else:
                if connection.is_fresh:
                    self._reachability.record_success(server_id)
                return connection
        connection = None
        if not self._is_down(server_id):
            connection = await self._connect_relay(server_id, max_idle_s, attempts)
        if connection is not None:
            return connection
        if attempts.is_limited:
            raise ConnectionLimitError(
                f"{address}: no host that was asked may open another connection to "
                f"server {server_id}"
            )
        raise attempts.error or ConnectError(
            f"{address}: no host forwards requests to server {server_id}"
        )

    async def _connect_relay(
        self,
        server_id: str,
        max_idle_s: float | None,
        attempts: PathAttempts,
        prefers_control: bool = False,
    ) -> RelayedConnection | None:
        while len(attempts.relay_addresses) < _MAX_RELAYS_TRIED:
            relay = self._choose_relay(attempts.relay_addresses, prefers_control)
            if relay is None:
                return None
            attempts.relay_addresses.add(relay.address)
            try:
                connection = await self._relay_pool.get(
                    relay.address,
                    _RELAY_CONNECT_TIMEOUT_S,
                    max_idle_s,
                    attempts.request_id,
                )
            except ConnectError as error:
                self._pause_relay(relay.address)
                attempts.error = attempts.error or error
                continue
            connection.on_outcome = functools.partial(
                self._record_outcome, relay.address, server_id
            )
            return connection
        return None

    def _choose_relay(self, tried: set[str], prefers_control: bool) -> RelayHost | None:
        """Return a host that may reach the server, None if none is left.

        Hosts that have just failed are left out, so that a request in an availability
        zone that is cut off as a whole doesn't wait for one after the other.
        """
        now = self._loop.time()
        candidates = [
            relay
            for relay in self._relays()
            if relay.address not in tried
            and relay.address != self._own_address
            and now >= self._paused_until_by_relay.get(relay.address, 0.0)
        ]
        return min(
            candidates,
            key=lambda relay: (
                relay.is_control is not prefers_control,
                self._rng.random(),
            ),
            default=None,
        )

    def _pause_relay(self, address: str) -> None:
        self._paused_until_by_relay[address] = self._loop.time() + _RELAY_PAUSE_S

    def _record_outcome(
        self, relay_address: str, server_id: str, outcome: RelayOutcome
    ) -> None:
        self._metrics.increment("relayed_requests", outcome=outcome.value)
        if outcome in (RelayOutcome.FORWARDED, RelayOutcome.REACHABLE):
            if self._reachability.is_failing(server_id):
                self._record_cut(server_id)
        elif outcome not in (RelayOutcome.FULL, RelayOutcome.RESTING):
            self._pause_relay(relay_address)
            if outcome is RelayOutcome.UNREACHABLE and not self.is_cut_off(server_id):
                self._down_until_by_server[server_id] = self._loop.time() + _DOWN_S

    def _is_down(self, server_id: str) -> bool:
        """Return whether another host has just failed to reach a server as well."""
        return self._loop.time() < self._down_until_by_server.get(server_id, 0.0)

    def request_headers(
        self, connection: BackendConnection, server_id: str
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to add to a request that passes another host."""
        if not connection.is_relayed:
            return []
        return relay_headers(server_id, self._host_id)

    def put(self, connection: BackendConnection) -> None:
        """Return a connection after its response was read completely."""
        if connection.is_relayed:
            self._relay_pool.put(connection)
        else:
            self._pool.put(connection)

    def put_unused(self, connection: BackendConnection) -> None:
        """Return a connection on which nothing was sent."""
        if connection.is_relayed:
            self._relay_pool.put_unused(connection)
        else:
            self._pool.put_unused(connection)

    def record_response(self, connection: BackendConnection, server_id: str) -> None:
        """Record that a server has sent something on a connection."""
        if not connection.is_relayed:
            self._heard_at = self._heard_at_by_server[server_id] = self._loop.time()

    def watch(
        self, connection: BackendConnection, server_id: str, is_repeatable: bool
    ) -> asyncio.TimerHandle:
        """Check the path of a request that was sent, if no response begins in time.

        Returns:
            Handle to cancel when the response has begun. If this host is cut off, the
            connection of a repeatable request fails; another one goes on waiting, as
            it may have run.
        """
        return self._loop.call_later(
            _SILENCE_S,
            self._check_silence,
            connection,
            server_id,
            is_repeatable,
            self._loop.time(),
        )

    def _check_silence(
        self,
        connection: BackendConnection,
        server_id: str,
        is_repeatable: bool,
        sent_at: float,
    ) -> None:
        if connection.is_relayed or connection.has_response:
            return
        if self._heard_at_by_server.get(server_id, sent_at) > sent_at:
            return
        check = self._checks_by_server.get(server_id)
        if check is None:
            check = self._loop.create_task(self._check_path(server_id))
            self._checks_by_server[server_id] = check
            check.add_done_callback(lambda _: self._checks_by_server.pop(server_id))

        def fail_if_cut_off(_: asyncio.Task[None]) -> None:
            if self.is_cut_off(server_id) and not connection.has_response:
                connection.fail("this host is cut off from the server")

        if is_repeatable:
            check.add_done_callback(fail_if_cut_off)

    async def _check_path(self, server_id: str) -> None:
        entry = self._find_server(server_id)
        if entry is None or self.is_cut_off(server_id):
            return
        try:
            await self._pool.open_idle(entry.announcement.address, _CONNECT_TIMEOUT_S)
        except ConnectError as error:
            await self.verify_cut(server_id, str(error))
            return
        self._heard_at = self._heard_at_by_server[server_id] = self._loop.time()
        self._reachability.record_success(server_id)

    async def verify_cut(self, server_id: str, reason: str) -> bool:
        """Return whether this host is cut off from a server that it failed to reach."""
        self._reachability.record_failure(server_id, reason)
        return await self.is_reachable_elsewhere(server_id)

    async def is_reachable_elsewhere(self, server_id: str) -> bool:
        """Ask other hosts whether they reach a server that this host does not.

        Control hosts are asked first, as they are rarely cut off with entry hosts.
        """
        attempts = PathAttempts()
        refusals = 0
        while refusals < _MAX_UNREACHABLE_ANSWERS:
            connection = await self._connect_relay(server_id, None, attempts, True)
            if connection is None:
                return False
            headers = relay_headers(server_id, self._host_id)
            headers += [(CHECK_HEADER, b"1"), (b"Host", connection.address.encode())]
            try:
                connection.send(encode_request(b"GET", b"/", headers))
                async with asyncio.timeout(_CHECK_TIMEOUT_S):
                    await connection.read_head()
            except NotForwardedError as error:
                connection.close()
                if error.outcome is RelayOutcome.REACHABLE:
                    return True
                refusals += error.outcome is RelayOutcome.UNREACHABLE
            except (BackendError, TimeoutError):
                connection.close()
                self._pause_relay(connection.address)
        return False

    def _record_cut(self, server_id: str) -> None:
        if server_id in self._cut_since_by_server:
            return
        now = self._loop.time()
        self._add_cut(server_id, now)
        logger.warning(
            "this host is cut off from server %s, which other hosts reach; its "
            "requests go through them (cut off from %d servers, last response %.3f s "
            "ago)",
            server_id,
            len(self._cut_since_by_server),
            now - self._heard_at,
        )
        is_silent = now - self._heard_at > _SILENCE_S
        if is_silent and len(self._cut_since_by_server) >= _MIN_CUT_SERVERS:
            self._presume_cut_from_all(now)

    def _add_cut(self, server_id: str, now: float) -> None:
        self._cut_since_by_server[server_id] = now
        self._cut_added.set()
        entry = self._find_server(server_id)
        if entry is not None:
            self._pool.close_idle(entry.announcement.address)

    def _presume_cut_from_all(self, now: float) -> None:
        others = [
            server_id
            for server_id in self._list_server_ids()
            if server_id not in self._cut_since_by_server
        ]
        for server_id in others:
            self._add_cut(server_id, now)
        if others:
            logger.warning(
                "this host seems to be cut off from all %d servers; their requests go "
                "through other hosts until probes connect",
                len(self._cut_since_by_server),
            )

    def remove_server(self, server_id: str) -> None:
        """Forget a server that left."""
        self._cut_since_by_server.pop(server_id, None)
        self._heard_at_by_server.pop(server_id, None)
        self._down_until_by_server.pop(server_id, None)
        self._reachability.remove_server(server_id)

    async def run(self) -> None:
        """Probe the servers that this host is cut off from, until cancelled."""
        while True:
            await self._cut_added.wait()
            await asyncio.sleep(_PROBE_INTERVAL_S)
            if not self._cut_since_by_server:
                self._cut_added.clear()
                continue
            await self._probe_servers()

    async def _probe_servers(self) -> None:
        """Probe some servers; while probes connect, go on with the others."""
        left = list(self._cut_since_by_server)
        self._rng.shuffle(left)
        while left:
            batch, left = left[:_MAX_PROBES], left[_MAX_PROBES:]
            connected = await asyncio.gather(*map(self._probe_server, batch))
            if not any(connected):
                return

    async def _probe_server(self, server_id: str) -> bool:
        entry = self._find_server(server_id)
        if entry is None or not entry.accepts_requests:
            self.remove_server(server_id)
            return False
        try:
            await self._pool.open_idle(entry.announcement.address, _CONNECT_TIMEOUT_S)
        except ConnectError as error:
            self._reachability.record_failure(server_id, str(error))
            return False
        since = self._cut_since_by_server.pop(server_id, self._loop.time())
        self._reachability.record_success(server_id)
        logger.info(
            "this host reaches server %s itself again after %.3f s; cut off from %d "
            "servers",
            server_id,
            self._loop.time() - since,
            len(self._cut_since_by_server),
        )
        return True
