"""Forwards requests of plain services; buffers each response before sending it."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.directory.server_limits import ServerLimits
from galenadrum._internal.directory.server_notices import SentRequest, ServerNotices
from galenadrum._internal.directory.server_rests import ServerRests
from galenadrum._internal.gateway.attempts import Attempts, RequestContext
from galenadrum._internal.gateway.balancer import PlainBalancer
from galenadrum._internal.gateway.crash_detector import CrashDetector
from galenadrum._internal.gateway.dialect import (
    Dialect,
    ForwardingFields,
    ResponseMetadata,
)
from galenadrum._internal.gateway.error_responder import ErrorResponder
from galenadrum._internal.gateway.forwarding import (
    MIN_SEND_TIME_S,
    check_signature,
    connect,
    forwarded_headers,
    limit_wait,
    read_response_head,
    send_failure,
)
from galenadrum._internal.gateway.permits import Permit, PermitClient
from galenadrum._internal.gateway.request_lifetime import RequestLifetime
from galenadrum._internal.gateway.retry_budgets import RetryBudgets
from galenadrum._internal.gateway.server_paths import PathAttempts, ServerPaths
from galenadrum._internal.network.http1.client import (
    BackendConnection,
    BrokenResponseError,
    ConnectError,
    ConnectionLimitError,
)
from galenadrum._internal.network.http1.heads import (
    ResponseHead,
    encode_request,
)
from galenadrum._internal.network.http1.server import (
    CallerDisconnectedError,
    Exchange,
)
from galenadrum._internal.network.relayed_connection import NotForwardedError
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine
from galenadrum._internal.quarantine.request_digest import describe_suspect
from galenadrum._internal.quarantine.request_successes import RequestSuccesses

logger = logging.getLogger(__name__)

# A server that has not responded within this many median latencies counts as hung, if
# the request may still be sent to another one.
_HANG_TIMEOUT_FACTOR = 4.0
_MIN_HANG_TIMEOUT_S = 0.25
_RETRY_AFTER_S = 0.3
_MIN_RETRY_AFTER_S = 0.05
# Failures after which a request is refused for want of a server.
_NO_SERVER_FAILURES = frozenset({"no_server", "overloaded", "resting"})
# Longest wait for the first response of a server after its rest.
_MAX_PROBE_WAIT_S = 0.5
_PROBE_POLL_S = 0.02
# Longest wait for one of this host's connections to a server; most requests to plain
# servers end sooner.
_MAX_ROOM_WAIT_S = 0.05
# Requests of this host that wait for room at brittle servers; more are refused.
_MAX_WAITING_FOR_ROOM = 12


@dataclass(frozen=True, slots=True)
class _Reply:
    """A complete response of a backend server."""

    head: ResponseHead
    body: bytes
    metadata: ResponseMetadata


@dataclass(frozen=True, slots=True)
class _Choice:
    """A server for a request.

    Attributes:
        entry: The server, None if there is none.
        permit: Permit to send the request, to be released when it has ended.
        wait_s: Seconds until one may be sent a request, None if no limit is the reason.
    """

    entry: ServerEntry | None
    permit: Permit = Permit(True, 0.0)
    wait_s: float | None = None


class PlainForwarder:
    """Sends a request to one server after another until one responds."""

    def __init__(
        self,
        dialect: Dialect,
        paths: ServerPaths,
        balancer: PlainBalancer,
        budgets: RetryBudgets,
        crashes: CrashDetector,
        quarantine: PartQuarantine,
        successes: RequestSuccesses,
        limits: ServerLimits,
        rests: ServerRests,
        notices: ServerNotices,
        permits: PermitClient,
        answers: ErrorResponder,
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._paths = paths
        self._balancer = balancer
        self._budgets = budgets
        self._crashes = crashes
        self._quarantine = quarantine
        self._successes = successes
        self._limits = limits
        self._rests = rests
        self._notices = notices
        self._permits = permits
        self._answers = answers
        self._metrics = metrics
        self._waiting = 0
        self._loop = asyncio.get_running_loop()

    async def forward(
        self, exchange: Exchange, context: RequestContext, lifetime: RequestLifetime
    ) -> None:
        """Forward a request and respond to its caller."""
        attempts = lifetime.attempts
        self._budgets.deposit(context.service)
        failure = "no_server"
        retry_after_s = _RETRY_AFTER_S
        while attempts.may_send:
            lifetime.check_caller()
            now = self._loop.time()
            if now + MIN_SEND_TIME_S >= context.deadline_at:
                failure = "deadline"
                break
            choice = await self._choose_server(context, attempts)
            if choice.entry is None:
                if choice.wait_s is not None:
                    failure, retry_after_s = "limited", choice.wait_s
                break
            if self._quarantine.find_in_force(context.suspect_ids, now):
                failure = "quarantined"
            elif self._permits.release_expired(choice.permit):
                failure, retry_after_s = "limited", _RETRY_AFTER_S
            elif not attempts.is_first and not self._budgets.withdraw_for(
                context.service, attempts
            ):
                failure = "retry_budget"
            else:
                failure = ""
            if failure:
                self._permits.release(choice.permit)
                break
            entry = choice.entry
            attempts.excluded_ids.add(entry.server_id)
            try:
                reply, failure = await self._send_request(context, entry, lifetime)
            finally:
                self._permits.release(choice.permit, failure == "overloaded")
            if reply is not None and not self._should_retry(reply, attempts):
                self._send_reply(exchange, context, reply, entry)
                return
        self._send_failure(exchange, context, attempts, failure, retry_after_s)

    def _send_failure(
        self,
        exchange: Exchange,
        context: RequestContext,
        attempts: Attempts,
        failure: str,
        retry_after_s: float,
    ) -> None:
        if failure in _NO_SERVER_FAILURES:
            rest_s = self._find_common_rest(context.service)
            if rest_s is not None:
                failure, retry_after_s = "resting", max(rest_s, _MIN_RETRY_AFTER_S)
        send_failure(
            self._answers,
            exchange,
            context,
            attempts,
            failure,
            retry_after_s,
            self._loop.time(),
        )

    def _find_common_rest(self, service: str) -> float | None:
        """Return the seconds until the first rest ends if all servers are at rest."""
        now = self._loop.time()
        waits_s = [
            self._rests.wait_s(server_id, now)
            for server_id in self._balancer.list_servers(service)
        ]
        return min(waits_s) if waits_s and all(waits_s) else None

    async def _wait_for_probe(
        self, context: RequestContext, attempts: Attempts
    ) -> bool:
        """Wait while servers whose rest has ended answer a first request.

        Returns:
            Whether one of them may be sent this request.
        """
        now = self._loop.time()
        until = min(now + _MAX_PROBE_WAIT_S, context.deadline_at - MIN_SEND_TIME_S)
        while now < until:
            left_ids = [
                server_id
                for server_id in self._balancer.list_servers(context.service)
                if server_id not in attempts.excluded_ids
                and not self._rests.is_resting(server_id, now)
            ]
            waits_s = [self._rests.wait_s(server_id, now) for server_id in left_ids]
            if not any(waits_s):
                return False
            await asyncio.sleep(_PROBE_POLL_S)
            now = self._loop.time()
            if any(not self._rests.wait_s(server_id, now) for server_id in left_ids):
                return True
        return False

    async def _choose_server(
        self, context: RequestContext, attempts: Attempts
    ) -> _Choice:
        """Choose a server; wait while those that rested answer a first request."""
        while True:
            choice = await self._choose_usable_server(context, attempts)
            if choice.entry is not None or choice.wait_s is not None:
                return choice
            if not await self._wait_for_probe(context, attempts):
                return choice

    async def _choose_usable_server(
        self, context: RequestContext, attempts: Attempts
    ) -> _Choice:
        """Choose a server that may be sent the request now.

        If all servers are at the limits that they name, wait for the first of them
        while the objective or, once that is missed, the deadline allows.
        """
        wait_s_by_server: dict[str, float] = {}
        without_room: list[ServerEntry] = []
        excluded_ids = set(attempts.excluded_ids)
        excluded_ids.update(self._rests.list_waiting(self._loop.time()))
        if self._limits.has_limits:
            usable_ids = set(self._balancer.list_servers(context.service))
            excluded_ids |= self._permits.find_last_resorts(usable_ids - excluded_ids)
        while True:
            entry = self._balancer.choose_server(
                context.service, excluded_ids, self._loop.time()
            )
            if entry is None and without_room:
                entry, without_room = without_room[0], []
                await self._wait_for_room(context, entry)
            elif entry is not None and not self._has_room(entry):
                self._balancer.cancel_choice(entry.server_id)
                excluded_ids.add(entry.server_id)
                without_room.append(entry)
                continue
            if entry is None:
                break
            excluded_ids.add(entry.server_id)
            permit = await self._request_permit(entry.server_id, 0.0)
            if permit.is_granted:
                return _Choice(entry, permit)
            wait_s_by_server[entry.server_id] = permit.wait_s
        if not wait_s_by_server:
            return _Choice(None)
        return await self._wait_for_server(context, wait_s_by_server)

    def _has_room(self, entry: ServerEntry) -> bool:
        """Return whether this host may open a connection to a server, or has one."""
        return self._paths.has_room(entry.server_id, entry.announcement.address)

    async def _wait_for_room(self, context: RequestContext, entry: ServerEntry) -> None:
        """Wait for a connection to a server; without one, another host forwards."""
        left_s = context.deadline_at - MIN_SEND_TIME_S - self._loop.time()
        address = entry.announcement.address
        await self._paths.wait_for_room(address, min(_MAX_ROOM_WAIT_S, left_s))

    async def _wait_for_server(
        self, context: RequestContext, wait_s_by_server: dict[str, float]
    ) -> _Choice:
        now = self._loop.time()
        objective_at = context.first_requested_at + context.route.objective_s
        due_at = objective_at if objective_at > now else context.deadline_at
        due_at = min(due_at, context.deadline_at) - MIN_SEND_TIME_S
        self._waiting += 1
        try:
            return await self._poll_for_permit(wait_s_by_server, due_at)
        finally:
            self._waiting -= 1

    async def _poll_for_permit(
        self, wait_s_by_server: dict[str, float], due_at: float
    ) -> _Choice:
        while True:
            server_id = min(wait_s_by_server, key=wait_s_by_server.__getitem__)
            left_s = due_at - self._loop.time()
            permit = await self._request_permit(server_id, left_s)
            if permit.is_granted:
                break
            is_crowded = self._waiting > _MAX_WAITING_FOR_ROOM
            if is_crowded or not permit.is_for_room or permit.wait_s >= left_s:
                return _Choice(None, wait_s=max(permit.wait_s, _RETRY_AFTER_S))
            # The others may have room first.
            wait_s_by_server[server_id] = permit.wait_s + max(wait_s_by_server.values())
            await asyncio.sleep(permit.wait_s)
        try:
            await asyncio.sleep(permit.wait_s)
        except asyncio.CancelledError:
            self._permits.release(permit)
            self._balancer.cancel_choice(server_id)
            raise
        if self._permits.release_expired(permit):
            self._balancer.cancel_choice(server_id)
            return _Choice(None, wait_s=_RETRY_AFTER_S)
        # It may have left meanwhile.
        entry = self._balancer.find_server(server_id)
        if entry is None:
            self._permits.release(permit)
        return _Choice(entry, permit)

    async def _request_permit(self, server_id: str, max_wait_s: float) -> Permit:
        if not self._limits.is_limited(server_id):
            return Permit(True, 0.0)
        if max_wait_s < 0:
            return Permit(False, _RETRY_AFTER_S)
        try:
            permit = await self._permits.request_permit(server_id, max_wait_s)
        except asyncio.CancelledError:
            self._balancer.cancel_choice(server_id)
            raise
        if not permit.is_granted:
            self._balancer.cancel_choice(server_id)
        return permit

    def _should_retry(self, reply: _Reply, attempts: Attempts) -> bool:
        """Return whether a 5xx response is discarded and the request sent again."""
        return reply.head.status >= 500 and attempts.may_send

    def _send_reply(
        self,
        exchange: Exchange,
        context: RequestContext,
        reply: _Reply,
        entry: ServerEntry,
    ) -> None:
        status = reply.head.status
        elapsed_s = self._loop.time() - context.received_at
        self._metrics.increment("answers", route=context.route.name, status=str(status))
        self._metrics.record_duration("answer_seconds", elapsed_s)
        logger.info(
            "responded with status %d from server %s after %.3f s",
            status,
            entry.server_id,
            elapsed_s,
            extra={"request_id": context.metadata.request_id},
        )
        if exchange.is_caller_disconnected:
            return
        exchange.respond(status, forwarded_headers(reply.head), reply.body)

    async def _send_request(
        self, context: RequestContext, entry: ServerEntry, lifetime: RequestLifetime
    ) -> tuple[_Reply | None, str]:
        """Send the request to one server.

        Returns:
            The response, or None if there is none, and the failure reason.
        """
        self._balancer.started(entry.server_id)
        paths = PathAttempts(context.metadata.request_id)
        while True:
            try:
                lifetime.check_caller()
                return await self._send_on_path(context, entry, lifetime, paths)
            except CallerDisconnectedError:
                self._balancer.not_sent(entry.server_id)
                raise
            except NotForwardedError as error:
                paths.error = error
                logger.info(
                    "%s", error, extra={"request_id": context.metadata.request_id}
                )

    async def _send_on_path(
        self,
        context: RequestContext,
        entry: ServerEntry,
        lifetime: RequestLifetime,
        paths: PathAttempts,
    ) -> tuple[_Reply | None, str]:
        """Send the request on the next path to a server.

        Raises:
            NotForwardedError: Another host has not sent it.
        """
        attempts = lifetime.attempts
        server_id = entry.server_id
        started_at = self._loop.time()
        try:
            connection = await connect(
                self._paths,
                server_id,
                entry.announcement.address,
                context,
                context.deadline_at - started_at,
                paths,
            )
        except ConnectError as error:
            attempts.rejections += 1
            is_limited = isinstance(error, ConnectionLimitError)
            if is_limited:
                self._balancer.not_sent(server_id)
            else:
                self._balancer.rejected(server_id, None, self._loop.time())
            logger.info(
                "failed to connect to server %s: %s",
                server_id,
                error,
                extra={"request_id": context.metadata.request_id},
            )
            return None, "connections" if is_limited else "unreachable"
        except asyncio.CancelledError:
            self._balancer.not_sent(server_id)
            raise
        # It may leave or rest since it was chosen.
        has_left = self._balancer.find_server(server_id) is None
        if has_left or not self._rests.may_send(server_id, "plain", self._loop.time()):
            self._paths.put_unused(connection)
            self._balancer.not_sent(server_id)
            return None, "no_server" if has_left else "resting"
        try:
            with lifetime.sending():
                reply = await self._exchange(context, entry, connection, attempts)
        except (BrokenResponseError, TimeoutError) as error:
            connection.close()
            attempts.possible_runs += 1
            if isinstance(error, BrokenResponseError):
                attempts.early_breaks += 1
                self._crashes.record_break(server_id, context.suspect_ids)
            now = self._loop.time()
            self._balancer.ended(server_id, True, now - started_at, None, now)
            logger.info(
                "no response from server %s after %.3f s: %s (%s)",
                server_id,
                now - started_at,
                str(error) or "timed out",
                describe_suspect(context.digest),
                extra={"request_id": context.metadata.request_id},
            )
            return None, "timeout" if isinstance(error, TimeoutError) else "broken"
        except CallerDisconnectedError:
            self._paths.put_unused(connection)
            raise
        except NotForwardedError:
            connection.close()
            raise
        except asyncio.CancelledError:
            connection.close()
            self._balancer.ended(
                server_id, False, self._loop.time() - started_at, None, started_at
            )
            raise
        return self._record_reply(context, entry, reply, attempts, started_at)

    async def _exchange(
        self,
        context: RequestContext,
        entry: ServerEntry,
        connection: BackendConnection,
        attempts: Attempts,
    ) -> _Reply:
        now = self._loop.time()
        remaining_s = max(0.001, context.deadline_at - now)
        organisation = context.organisation
        forwarding = ForwardingFields(
            entry.server_id, remaining_s, organisation.name if organisation else None
        )
        head = context.head
        headers = self._dialect.request_headers(head, forwarding)
        if context.body or head.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers.append((b"Content-Length", b"%d" % len(context.body)))
        headers += self._paths.request_headers(connection, entry.server_id)
        data = encode_request(head.method, head.target, headers) + context.body
        connection.send(data, head.method == b"HEAD", context.metadata.request_id)
        watch = self._paths.watch(
            connection, entry.server_id, context.route.is_repeatable
        )
        ends_at = hangs_at = now + remaining_s
        if context.route.is_repeatable and attempts.possible_runs + 1 < (
            context.route.max_attempts
        ):
            median_s = self._balancer.median_latency_s(context.service)
            hangs_at = now + max(_MIN_HANG_TIMEOUT_S, _HANG_TIMEOUT_FACTOR * median_s)
        try:
            async with limit_wait(
                ends_at, hangs_at, lambda: self._may_send_elsewhere(context, attempts)
            ):
                reply = await self._read_reply(connection)
        finally:
            watch.cancel()
        self._paths.record_response(connection, entry.server_id)
        if reply.metadata.did_not_run:
            logger.info(
                "server %s rejected the request with status %d (%s)",
                entry.server_id,
                reply.head.status,
                connection.use,
                extra={"request_id": context.metadata.request_id},
            )
        self._paths.put(connection)
        return reply

    def _may_send_elsewhere(self, context: RequestContext, attempts: Attempts) -> bool:
        """Return whether a request that hangs may be sent to another server."""
        entries = [
            self._balancer.find_server(server_id)
            for server_id in self._balancer.list_servers(context.service)
            if server_id not in attempts.excluded_ids
        ]
        if not any(entry is not None and self._has_room(entry) for entry in entries):
            return False
        return self._budgets.withdraw_for_hung(context.service, attempts)

    async def _read_reply(self, connection: BackendConnection) -> _Reply:
        head, metadata = await read_response_head(connection, self._dialect)
        check_signature(head, metadata)
        return _Reply(head, await connection.read_body(), metadata)

    def _record_reply(
        self,
        context: RequestContext,
        entry: ServerEntry,
        reply: _Reply,
        attempts: Attempts,
        started_at: float,
    ) -> tuple[_Reply | None, str]:
        now = self._loop.time()
        server_id = entry.server_id
        incarnation_ms = entry.announcement.incarnation_ms
        sent = SentRequest(
            server_id, incarnation_ms, started_at, context.metadata.request_id
        )
        self._notices.record_response(sent, reply.metadata, now)
        if reply.metadata.did_not_run or reply.head.status == 421:
            attempts.rejections += 1
            self._balancer.rejected(server_id, reply.metadata, now)
            if reply.head.status == 421:
                self._balancer.remove_server(server_id)
            return None, "overloaded"
        attempts.possible_runs += 1
        failed = reply.head.status >= 500
        self._successes.record(context.digest, now)
        self._balancer.ended(server_id, failed, now - started_at, reply.metadata, now)
        return reply, "server_error"
