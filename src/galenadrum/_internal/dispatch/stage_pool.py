"""Queue and servers of one stage service; batches pieces into calls.

Load pattern: many requests with few pieces each, and calls whose fixed time is far
longer than the time per piece. A server that receives each piece in a call of its
own reaches a fifth of its throughput. Pieces of all requests therefore share one
queue, and a free server is sent as many as a call may contain, the most urgent
first.
"""

from __future__ import annotations

import copy
import math
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from galenadrum._internal.dispatch.transfer_costs import estimate_transfer_penalty
from galenadrum._internal.dispatch.upcoming_work import ArrivalRates, UpcomingWork
from galenadrum._internal.models.announcements import Announcement
from galenadrum._internal.models.routing import StageLimits
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.rest_schedule import Rests

# Each priority rank delays the due time of a piece by this much.
PRIORITY_WEIGHT_S = 0.35
# Share of a server's result memory that is filled; the rest is a reserve for results
# that are still in transit or whose release has not arrived.
_MEMORY_FILL_SHARE = 0.9
# Pause before a server whose result memory is full is called again.
_MEMORY_FULL_PAUSE_S = 0.1
# A call is overdue when it exceeds its expected time by this factor and this slack;
# its pieces are then queued again for other servers.
_OVERDUE_FACTOR = 2.5
_OVERDUE_SLACK_S = 0.3
_SLOWNESS_SMOOTHING = 0.4
_SLOWNESS_HALF_LIFE_S = 3.0
# Limits the slowness inferred from an overdue call, as a lost response looks like a
# slow server. The next call detects a server that is slower than this.
_MAX_OVERDUE_SLOWNESS = 4.0
# Backoff after a server refused a call, broke the connection or was unreachable;
# doubled with each consecutive failure.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
# Delay added to the expected start at a server in another zone. Such a server is used
# only if the servers in the dispatcher's own zone are at least this far behind.
OTHER_ZONE_PENALTY_S = 0.5
# Initial estimate of the time from the end of a call until its results have been
# consumed and are released.
_INITIAL_HOLD_S = 0.3
_HOLD_SMOOTHING = 0.05
# Share of a full call that a piece waits for a busy server even if no other pieces
# are queued ahead of it.
_RESIDUAL_WAIT_SHARE = 0.5
# Factor on the even spacing of call starts; more than 1 compensates for calls that
# were shorter than expected.
_SPACING_FACTOR = 1.2


@dataclass(slots=True)
class WaitingPiece:
    """A queued piece of a stage.

    Attributes:
        stage: Index of the stage in the route.
        number: Index of the piece within the stage.
        priority: Priority rank; 0 is the most urgent.
        objective_at: Loop time in seconds by which the request's first event
            is due.
        remaining_s: Shortest time in seconds from the start of the piece's call to
            the first event.
        result_bytes: Approximate size of its result.
        zone: Zone that holds its inputs or the results of other pieces of its stage,
            or in which the request arrived.
        input_bytes: Size of the inputs that all pieces of its stage and request
            fetch together, or of those results.
        failures: Number of calls for it that returned no result.
        fallback_due_at: Loop time in seconds by which the first event is due once
            ``objective_at`` can't be met.
    """

    request_id: str
    stage: int
    number: int
    priority: int
    objective_at: float
    remaining_s: float
    result_bytes: float
    zone: str = ""
    input_bytes: float = 0.0
    failures: int = 0
    fallback_due_at: float = math.inf

    def slack_s(self, now: float) -> float:
        """Return the time in seconds that its call can wait without being late."""
        return max(0.0, self.objective_at - self.remaining_s - now)

    def start_due_at(self, now: float) -> float:
        """Return the loop time in seconds by which the piece's call should start.

        The queue is ordered by this time. A piece whose request can't meet its
        objective any more uses the fallback due time, so that it yields to pieces of
        requests that can.
        """
        due_at = self.objective_at
        if now > due_at - self.remaining_s:
            due_at = max(due_at, self.fallback_due_at)
        return due_at - self.remaining_s + self.priority * PRIORITY_WEIGHT_S


@dataclass(slots=True)
class WaitingGroup:
    """Queued pieces of one stage of one request, which differ only in number.

    Attributes:
        pieces: Pieces in the order in which they were queued.
        is_started: Whether other pieces of the stage were sent before. Their results
            occupy memory until the remaining pieces are complete.
    """

    pieces: list[WaitingPiece] = field(default_factory=list)
    is_started: bool = False


@dataclass(slots=True)
class StageServer:
    """One server of the pool.

    Attributes:
        is_silent: Whether its announcements have stopped.
        slowness: Ratio of observed to expected time of its calls.
        slowness_at: Loop time in seconds of the last slowness update.
        untracked_bytes: Size of results at the server that this dispatcher doesn't
            track, such as those of a previous dispatcher, as of ``untracked_at``;
            they expire.
        busy_until: Loop time in seconds at which its last call should end.
        calls: Running calls that occupy one of its slots; overdue calls don't.
        reserved_bytes_by_call: Expected result size of each unanswered call.
        results_by_handle: Size in bytes and loop time of expiry of each result
            that the server holds.
        consecutive_failures: Number of consecutive failed calls.
        paused_until: Loop time in seconds before which it is sent no calls.
    """

    announcement: Announcement
    is_silent: bool = False
    slowness: float = 1.0
    slowness_at: float = 0.0
    calls: set[int] = field(default_factory=set)
    busy_until: float = 0.0
    reserved_bytes_by_call: dict[int, float] = field(default_factory=dict)
    results_by_handle: dict[str, tuple[float, float]] = field(default_factory=dict)
    untracked_bytes: float = 0.0
    untracked_at: float = 0.0
    consecutive_failures: int = 0
    paused_until: float = 0.0

    @property
    def held_bytes(self) -> float:
        """Memory used by its tracked results and reserved for running calls."""
        results = self.results_by_handle.values()
        return sum(self.reserved_bytes_by_call.values()) + sum(
            size for size, _ in results
        )

    def remove_expired_results(self, now: float) -> None:
        """Remove results that have expired."""
        for handle, (_, expires_at) in list(self.results_by_handle.items()):
            if now >= expires_at:
                del self.results_by_handle[handle]

    def current_slowness(self, now: float) -> float:
        """Return the slowness, decayed exponentially towards 1."""
        if self.slowness == 1.0:
            return 1.0
        age_s = max(0.0, now - self.slowness_at)
        return 1.0 + (self.slowness - 1.0) * math.exp2(-age_s / _SLOWNESS_HALF_LIFE_S)


@dataclass(slots=True)
class RunningCall:
    """A call that is not answered yet.

    Attributes:
        started_at: Loop time in seconds.
        expected_s: Expected duration in seconds.
        is_overdue: Whether its pieces have been queued again.
        suspended_s: Time in seconds for which this process was suspended meanwhile.
    """

    call_id: int
    server_id: str
    pieces: list[WaitingPiece]
    started_at: float
    expected_s: float
    is_overdue: bool = False
    suspended_s: float = 0.0

    @property
    def overdue_at(self) -> float:
        """Loop time in seconds at which its pieces are queued again."""
        allowed_s = self.expected_s * _OVERDUE_FACTOR + _OVERDUE_SLACK_S
        return self.started_at + allowed_s + self.suspended_s


class StagePool:
    """Queue and servers of one stage service, as one dispatcher uses them.

    Args:
        service: Name of the service.
        zone: Zone whose servers the dispatcher owns; empty if it owns all zones.
        limits: Capacity limits of each server of the service.
        pacer: Spaces the requests to servers that name a limit.
        rests: Rests that servers asked this host for.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        limits: StageLimits,
        pacer: RequestPacer,
        rests: Rests,
    ) -> None:
        self.service = service
        self._pacer = pacer
        self._rests = rests
        self.limits = limits
        self._zone = zone
        self.upcoming = UpcomingWork()
        self.arrivals = ArrivalRates()
        self._hold_s = _INITIAL_HOLD_S
        self._last_start_at = -math.inf
        self.servers_by_id: dict[str, StageServer] = {}
        self._server_id_by_address: dict[str, str] = {}
        self._groups_by_request: dict[str, dict[int, WaitingGroup]] = {}
        self.waiting_count = 0
        self.calls_by_id: dict[int, RunningCall] = {}

    def copy_for_reading(self, pacer: RequestPacer) -> StagePool:
        """Return a copy for estimates only, which uses a pacer of its own."""
        copied = copy.copy(self)
        copied._pacer = pacer
        return copied

    def list_usable_ids(self, start_s: float, now: float) -> tuple[str, ...]:
        """Return the ids of the servers that may be called.

        Args:
            start_s: Seconds from now by which rests must have ended.
            now: Loop time in seconds.
        """
        usable = self._usable_servers(now, start_s)
        return tuple(s.announcement.server_id for s in usable)

    def put_server(self, announcement: Announcement, is_silent: bool) -> None:
        """Add a server, or update it; a restarted server starts afresh."""
        known = self.servers_by_id.get(announcement.server_id)
        if known is None or (
            known.announcement.incarnation_ms != announcement.incarnation_ms
        ):
            self.servers_by_id[announcement.server_id] = StageServer(announcement)
        else:
            known.announcement = announcement
        self.servers_by_id[announcement.server_id].is_silent = is_silent
        self._server_id_by_address[announcement.address] = announcement.server_id

    def remove_server(self, server_id: str) -> None:
        """Stop sending calls to a server; its running calls continue."""
        server = self.servers_by_id.pop(server_id, None)
        if server is not None:
            self._server_id_by_address.pop(server.announcement.address, None)

    def queue_piece(self, piece: WaitingPiece) -> None:
        """Queue a piece."""
        groups = self._groups_by_request.setdefault(piece.request_id, {})
        groups.setdefault(piece.stage, WaitingGroup()).pieces.append(piece)
        self.waiting_count += 1

    def remove_request(self, request_id: str) -> None:
        """Remove all queued pieces of a request."""
        for group in self._groups_by_request.pop(request_id, {}).values():
            self.waiting_count -= len(group.pieces)

    def _replace_pieces(
        self, request_id: str, stage: int, kept: list[WaitingPiece]
    ) -> None:
        """Replace the queued pieces of a group by a subset of them."""
        groups = self._groups_by_request[request_id]
        self.waiting_count -= len(groups[stage].pieces) - len(kept)
        if kept:
            groups[stage].pieces = kept
            return
        del groups[stage]
        if not groups:
            del self._groups_by_request[request_id]

    def _waiting_groups(self) -> list[WaitingGroup]:
        return [
            group
            for groups in self._groups_by_request.values()
            for group in groups.values()
        ]

    def remove_unready_pieces(
        self, request_id: str, is_ready: Callable[[int], bool]
    ) -> list[WaitingPiece]:
        """Remove and return a request's queued pieces whose stage isn't ready."""
        unready: list[WaitingPiece] = []
        for stage, group in list(self._groups_by_request.get(request_id, {}).items()):
            if not is_ready(stage):
                unready += group.pieces
                self._replace_pieces(request_id, stage, [])
        return unready

    def remove_piece(self, request_id: str, stage: int, number: int) -> None:
        """Remove a queued piece whose result arrived from an overdue call."""
        group = self._groups_by_request.get(request_id, {}).get(stage)
        if group is not None:
            kept = [piece for piece in group.pieces if piece.number != number]
            self._replace_pieces(request_id, stage, kept)

    def call_time(self, pieces: int) -> float:
        """Return the nominal duration in seconds of a call with ``pieces`` pieces."""
        return self.limits.call_s + pieces * self.limits.piece_s

    def dequeue_call(self, now: float) -> tuple[StageServer, list[WaitingPiece]] | None:
        """Dequeue the next call.

        Returns:
            The server to call and the pieces to send; None if no call should start
            now.
        """
        if not self.waiting_count or not self._has_free_server(now):
            return None
        if not self._may_start_call(now):
            return None
        groups = self._waiting_groups()
        groups.sort(key=lambda group: self._queue_key(group, now))
        for head in self._first_pieces(groups):
            server = self._choose_server(head, now)
            if server is None:
                continue
            if not self._zone:
                groups = self._select_for_zone(groups, server.announcement.zone, now)
            batch = self._dequeue_pieces(groups, server, now)
            return (server, batch) if batch else None
        return None

    def _first_pieces(self, groups: list[WaitingGroup]) -> Iterator[WaitingPiece]:
        """Yield the first piece of the queue, and the first one of each other zone.

        While the first piece waits for a busy server of its zone, pieces of other
        zones may use the servers there.
        """
        zones: set[str] = set()
        for group in groups:
            piece = group.pieces[0]
            if piece.zone not in zones:
                zones.add(piece.zone)
                yield piece
            if self._zone:
                return

    def _select_for_zone(
        self, groups: list[WaitingGroup], zone: str, now: float
    ) -> list[WaitingGroup]:
        """Return the groups that a call in a zone may take, in order.

        A group whose inputs are in another zone is left to the servers there if these
        are expected to take it before the delay that a transfer counts for.

        Args:
            groups: All groups in the order of the queue.
            zone: Zone of the server that is called.
            now: Loop time in seconds.
        """
        waits_by_zone = self._zone_waits(now)
        pieces_ahead_by_zone: Counter[str] = Counter()
        selected: list[tuple[tuple[bool, float], WaitingGroup]] = []
        for group in groups:
            piece = group.pieces[0]
            is_new, start_due_at = self._queue_key(group, now)
            if piece.zone != zone and piece.zone in waits_by_zone:
                penalty_s = self._zone_penalty_s(piece, zone, now)
                free_in_s, servers = waits_by_zone[piece.zone]
                ahead = pieces_ahead_by_zone[piece.zone]
                rounds = ahead // self.limits.batch_size / servers
                wait_s = free_in_s + rounds * self.call_time(self.limits.batch_size)
                pieces_ahead_by_zone[piece.zone] += len(group.pieces)
                if wait_s < penalty_s:
                    continue
                start_due_at += penalty_s
            selected.append(((is_new, start_due_at), group))
        selected.sort(key=lambda pair: pair[0])
        return [group for _, group in selected]

    def _zone_waits(self, now: float) -> dict[str, tuple[float, int]]:
        """Return when the next server is free and the number of servers, by zone."""
        waits_by_zone: dict[str, tuple[float, int]] = {}
        for server in self._usable_servers(now):
            zone = server.announcement.zone
            known_s, servers = waits_by_zone.get(zone, (math.inf, 0))
            free_in_s = max(0.0, server.busy_until - now) if server.calls else 0.0
            waits_by_zone[zone] = (min(known_s, free_in_s), servers + 1)
        return waits_by_zone

    def _has_free_server(self, now: float) -> bool:
        return any(
            self._is_free(s, now) and now >= s.paused_until
            for s in self.servers_by_id.values()
        )

    def _is_free(self, server: StageServer, now: float) -> bool:
        """Return whether a server has a free slot, no limit in force and no rest."""
        if len(server.calls) >= self.limits.concurrency:
            return False
        server_id = server.announcement.server_id
        if self._rests.wait_s(server_id, now) > 0:
            return False
        return self._pacer.wait_s(server_id, now) == 0

    def _may_start_call(self, now: float) -> bool:
        """Return whether enough time has passed since the last call started.

        Servers that become free together would each be sent the few pieces queued at
        that moment, and all would be busy when the next pieces arrive. Starts are
        therefore spread over the duration of a call, further apart the more servers
        are busy. A full batch is not delayed.
        """
        if self.waiting_count >= self.limits.batch_size:
            return True
        servers = len(self.servers_by_id)
        busy = sum(bool(s.calls) for s in self.servers_by_id.values())
        spacing_s = self.call_time(self.waiting_count) / servers * busy / servers
        return now - self._last_start_at >= spacing_s * _SPACING_FACTOR

    def _queue_key(self, group: WaitingGroup, now: float) -> tuple[bool, float]:
        return not group.is_started, group.pieces[0].start_due_at(now)

    def _zone_penalty_s(self, piece: WaitingPiece, zone: str, now: float) -> float:
        """Return the delay in seconds added for moving a piece's inputs to a zone."""
        if piece.zone == zone:
            return 0.0
        return estimate_transfer_penalty(piece.input_bytes, piece.slack_s(now))

    def _dequeue_pieces(
        self, groups: list[WaitingGroup], server: StageServer, now: float
    ) -> list[WaitingPiece]:
        """Remove and return the pieces of the next call.

        The call is limited by the batch size and the server's free result memory.
        """
        server.remove_expired_results(now)
        held_bytes = server.held_bytes
        untracked_bytes = self._untracked_bytes(server, now)
        room = (
            self.limits.result_memory_bytes * _MEMORY_FILL_SHARE
            - held_bytes
            - untracked_bytes
        )
        batch: list[WaitingPiece] = []
        for group in groups:
            count = self.limits.batch_size - len(batch)
            piece = group.pieces[0]
            if piece.result_bytes > 0:
                count = min(count, math.floor(room / piece.result_bytes))
            if count <= 0 and not (batch or held_bytes or untracked_bytes):
                # A result larger than the whole memory is tried on an empty server.
                count = 1
            if count > 0:
                chosen = group.pieces[:count]
                room -= piece.result_bytes * len(chosen)
                batch += chosen
                group.is_started = True
                kept = group.pieces[count:]
                self._gather_in_zone(kept, len(chosen), server.announcement.zone)
                self._replace_pieces(piece.request_id, piece.stage, kept)
            if len(batch) >= self.limits.batch_size:
                break
        return batch

    def _gather_in_zone(
        self, pieces: list[WaitingPiece], started: int, zone: str
    ) -> None:
        """Prefer the zone of a stage's first results for its other pieces."""
        for piece in pieces:
            size = started * piece.result_bytes
            if size > piece.input_bytes:
                piece.zone, piece.input_bytes = zone, size

    def _choose_server(self, head: WaitingPiece, now: float) -> StageServer | None:
        """Return the free server that would finish first.

        Returns:
            None if there is no free server, if busy servers are expected to finish
            the queue sooner, or if the server is in another zone and the own zone
            keeps up.
        """
        usable = self._usable_servers(now)
        free = [s for s in usable if self._is_free(s, now)]
        if not free:
            return None
        finish_at, server = min(
            (
                (
                    self._estimate_start(s, head, now)
                    + self._estimate_duration(s, now),
                    s,
                )
                for s in free
            ),
            key=lambda pair: pair[0],
        )
        busy = [s for s in usable if len(s.calls) >= self.limits.concurrency]
        if busy and finish_at > self._estimate_queue_end(head, busy, now):
            return None
        if self._is_in_other_zone(server) and not self._own_zone_is_behind(head, now):
            return None
        return server

    def _estimate_queue_end(
        self, head: WaitingPiece, busy: list[StageServer], now: float
    ) -> float:
        """Return the loop time at which busy servers would finish the queue."""
        free_at = min(self._estimate_start(s, head, now) for s in busy)
        calls = math.ceil(self.waiting_count / self.limits.batch_size)
        rounds = math.ceil(calls / len(busy))
        slowness = min(s.current_slowness(now) for s in busy)
        pieces = min(self.waiting_count, self.limits.batch_size)
        return free_at + rounds * slowness * self.call_time(pieces)

    def _is_in_other_zone(self, server: StageServer) -> bool:
        return bool(self._zone) and server.announcement.zone != self._zone

    def _own_zone_is_behind(self, head: WaitingPiece, now: float) -> bool:
        own = [s for s in self._usable_servers(now) if not self._is_in_other_zone(s)]
        if not own:
            return True
        wait_s = min(self._estimate_start(s, head, now) for s in own) - now
        calls = math.ceil(self.waiting_count / self.limits.batch_size)
        return wait_s + (calls - 1) * self.call_time(self.limits.batch_size) > (
            OTHER_ZONE_PENALTY_S
        )

    def _usable_servers(self, now: float, start_s: float = 0.0) -> list[StageServer]:
        """Return the servers that may be called, if any those that aren't silent.

        Args:
            now: Loop time in seconds.
            start_s: Seconds from now by which rests must have ended.
        """
        usable = [
            s
            for s in self.servers_by_id.values()
            if now >= s.paused_until
            and not self._is_paced_elsewhere(s)
            and self._rests.left_s(s.announcement.server_id, now) <= start_s
        ]
        usable = self._pacer.skip_last_resorts(usable)
        responsive = [s for s in usable if not s.is_silent]
        return responsive or usable

    def find_common_rest(self, now: float) -> float | None:
        """Return the seconds until the first rest ends if all servers are at rest."""
        first_end_s = math.inf
        for server_id in self.servers_by_id:
            rest_s = self._rests.left_s(server_id, now)
            if not rest_s:
                return None
            first_end_s = min(first_end_s, rest_s)
        return first_end_s if self.servers_by_id else None

    def list_waiting_pieces(self) -> Iterator[WaitingPiece]:
        """Yield the first queued piece of each stage of each request."""
        for group in self._waiting_groups():
            yield group.pieces[0]

    def _is_paced_elsewhere(self, server: StageServer) -> bool:
        """Return whether the dispatcher of another zone spaces a server's calls."""
        if not self._is_in_other_zone(server):
            return False
        return self._pacer.find_rate(server.announcement.server_id) is not None

    def _estimate_start(
        self, server: StageServer, piece: WaitingPiece, now: float
    ) -> float:
        start_at = max(now, server.busy_until) if server.calls else now
        if self._is_in_other_zone(server):
            return start_at + OTHER_ZONE_PENALTY_S
        if not self._zone:
            start_at += self._zone_penalty_s(piece, server.announcement.zone, now)
        return start_at

    def _estimate_duration(self, server: StageServer, now: float) -> float:
        pieces = min(self.waiting_count, self.limits.batch_size)
        return self.call_time(pieces) * server.current_slowness(now)

    def start_call(
        self, call_id: int, server: StageServer, pieces: list[WaitingPiece], now: float
    ) -> RunningCall:
        """Record the start of a call."""
        expected_s = self.call_time(len(pieces)) * server.current_slowness(now)
        server_id = server.announcement.server_id
        self._last_start_at = now
        self._pacer.record_request(server_id, now)
        self._rests.record_send(server_id, now)
        call = RunningCall(call_id, server_id, pieces, now, expected_s)
        self.calls_by_id[call_id] = call
        server.calls.add(call_id)
        server.busy_until = max(now, server.busy_until) + expected_s
        server.reserved_bytes_by_call[call_id] = sum(p.result_bytes for p in pieces)
        return call

    def record_suspension(self, suspended_s: float) -> None:
        """Record that this process was suspended while calls were running.

        Their responses weren't read in time, which tells nothing of their servers.
        """
        for call in self.calls_by_id.values():
            call.suspended_s += suspended_s

    def end_call(self, call_id: int, now: float) -> RunningCall | None:
        """Record the response to a call.

        Returns:
            The call; None if it is unknown.
        """
        call = self.calls_by_id.pop(call_id, None)
        if call is None:
            return None
        server = self.servers_by_id.get(call.server_id)
        if server is not None and call_id in server.reserved_bytes_by_call:
            self._remove_call(server, call_id, now)
            server.consecutive_failures = 0
            if not call.suspended_s:
                self._update_slowness(server, call, now)
        return call

    def _update_slowness(
        self, server: StageServer, call: RunningCall, now: float
    ) -> None:
        observed = (now - call.started_at) / self.call_time(len(call.pieces))
        slowness = server.current_slowness(now)
        server.slowness = slowness + _SLOWNESS_SMOOTHING * (observed - slowness)
        server.slowness_at = now

    def fail_call(
        self, call_id: int, now: float, is_sent: bool = True
    ) -> RunningCall | None:
        """Record the failure of a call and pause its server with backoff.

        The server of a call that was not sent isn't paused.

        The server of an overdue call was paused when the call became overdue. That of
        a call during which this process was suspended isn't paused: the call may have
        timed out for that reason only.

        Returns:
            The call; None if it is unknown.
        """
        call = self.calls_by_id.pop(call_id, None)
        if call is None:
            return None
        server = self.servers_by_id.get(call.server_id)
        if server is not None and call_id in server.reserved_bytes_by_call:
            self._remove_call(server, call_id, now)
            if is_sent and not call.is_overdue and not call.suspended_s:
                self._back_off(server, now)
        return call

    def _remove_call(self, server: StageServer, call_id: int, now: float) -> None:
        server.reserved_bytes_by_call.pop(call_id)
        if call_id in server.calls:
            server.calls.discard(call_id)
            server.busy_until = now

    def _back_off(self, server: StageServer, now: float) -> None:
        pause_s = _INITIAL_BACKOFF_S * 2**server.consecutive_failures
        brittle = self._pacer.find_brittle(server.announcement.server_id)
        if brittle is not None:
            pause_s = max(pause_s, brittle.rejection_pause_s)
        server.paused_until = now + min(pause_s, _MAX_BACKOFF_S)
        server.consecutive_failures += 1

    def mark_overdue_calls(self, now: float) -> list[RunningCall]:
        """Mark calls that have become overdue and return each of them once.

        An overdue call frees its slot, and its server may be called again after a
        pause. Otherwise a lost response would occupy the slot until the call times
        out.
        """
        overdue = []
        for call in self.calls_by_id.values():
            if call.is_overdue or now < call.overdue_at:
                continue
            call.is_overdue = True
            overdue.append(call)
            server = self.servers_by_id.get(call.server_id)
            if server is not None:
                observed = (now - call.started_at) / self.call_time(len(call.pieces))
                server.slowness = min(
                    max(server.current_slowness(now), observed), _MAX_OVERDUE_SLOWNESS
                )
                server.slowness_at = now
                server.calls.discard(call.call_id)
                self._back_off(server, now)
        return overdue

    def record_result(
        self, handle: str, result_bytes: float, expires_at: float
    ) -> None:
        """Record a result that its server keeps until ``expires_at``."""
        server = self._server_of_result(handle)
        if server is not None:
            server.results_by_handle[handle] = (result_bytes, expires_at)

    def earliest_expiry(self, handles: tuple[str, ...]) -> float:
        """Return the loop time in seconds at which the first result expires.

        Returns:
            Negative infinity if no result is known.
        """
        known = (
            server.results_by_handle.get(handle)
            for handle in handles
            if (server := self._server_of_result(handle)) is not None
        )
        return min((found[1] for found in known if found), default=-math.inf)

    def start_release(self, handle: str, now: float) -> str | None:
        """Record that the release of a result is requested.

        The result counts against the server's memory until the server has confirmed
        the release.

        Returns:
            The address of the server that holds it; None if the result is unknown.
        """
        server = self._server_of_result(handle)
        tracked = server.results_by_handle.get(handle) if server else None
        if tracked is None:
            return None
        held_s = now - (tracked[1] - self.limits.result_ttl_s)
        self._hold_s += _HOLD_SMOOTHING * (held_s - self._hold_s)
        return server.announcement.address

    def confirm_release(self, handle: str) -> None:
        """Remove a released result from its server's memory account."""
        server = self._server_of_result(handle)
        if server is not None:
            server.results_by_handle.pop(handle, None)

    def has_room_for_call(self, address: str) -> bool:
        """Return whether the server at an address has room for a full call's results.

        The results that it holds tell how large those of the next call may be.
        """
        server_id = self._server_id_by_address.get(address)
        server = self.servers_by_id.get(server_id) if server_id else None
        if server is None:
            return False
        sizes = [size for size, _ in server.results_by_handle.values()]
        call_bytes = max(sizes, default=0.0) * self.limits.batch_size
        usable_bytes = self.limits.result_memory_bytes * _MEMORY_FILL_SHARE
        return server.held_bytes + call_bytes <= usable_bytes

    def describe_memory(self, server_id: str, now: float) -> str:
        """Return a description of a server's memory use for log messages."""
        server = self.servers_by_id.get(server_id)
        if server is None:
            return "the server is gone"
        return (
            f"{len(server.results_by_handle)} results and "
            f"{len(server.calls)} calls use {server.held_bytes:.0f} of "
            f"{self.limits.result_memory_bytes:.0f} B"
            f", untracked results {self._untracked_bytes(server, now):.0f} B"
        )

    def record_full_memory(self, server_id: str, now: float) -> None:
        """Record that a server's result memory is full.

        Memory that the tracked results don't account for is counted as used by
        untracked ones.
        """
        server = self.servers_by_id.get(server_id)
        if server is not None:
            free_bytes = self.limits.result_memory_bytes - server.held_bytes
            server.untracked_bytes = max(0.0, free_bytes)
            server.untracked_at = now
            server.paused_until = max(server.paused_until, now + _MEMORY_FULL_PAUSE_S)

    def _untracked_bytes(self, server: StageServer, now: float) -> float:
        """Return the estimated size of a server's untracked results, in bytes."""
        left = 1.0 - (now - server.untracked_at) / self.limits.result_ttl_s
        return server.untracked_bytes * left if left > 0 else 0.0

    def zone_of_result(self, handle: str) -> str | None:
        """Return the zone of the server that holds a result, if it is known."""
        server = self._server_of_result(handle)
        return server.announcement.zone if server is not None else None

    def find_server_id(self, address: str) -> str | None:
        """Return the id of the server at an address, None if there is none."""
        return self._server_id_by_address.get(address)

    def _server_of_result(self, handle: str) -> StageServer | None:
        server_id = self._server_id_by_address.get(handle.partition("/")[0])
        return self.servers_by_id.get(server_id) if server_id else None

    def estimate_duration(
        self,
        pieces: int,
        result_bytes: float,
        due_at: float,
        start_s: float,
        now: float,
    ) -> float:
        """Estimate the time from the moment pieces are queued to their completion.

        Pieces with an earlier due time are served first, whether they are queued or
        will be, as their requests are admitted or expected. The servers process part of
        them before the pieces are queued.

        Args:
            pieces: Number of pieces.
            result_bytes: Size of the result of each piece.
            due_at: Loop time in seconds that orders the pieces in the queue.
            start_s: Seconds from now at which the pieces are queued.
            now: Loop time in seconds.

        Returns:
            Seconds; infinite if there is no server.
        """
        usable = self._usable_servers(now, start_s)
        if not usable:
            return math.inf
        own = [s for s in usable if not self._is_in_other_zone(s)] or usable
        slowness = min(s.current_slowness(now) for s in own)
        ahead = self.upcoming.count_due(due_at) + sum(
            len(group.pieces)
            for group in self._waiting_groups()
            if group.pieces[0].start_due_at(now) <= due_at
        )
        first_free_s = min(
            max(
                max(0.0, s.busy_until - now) if s.calls else 0.0,
                self._pacer.wait_s(s.announcement.server_id, now),
            )
            for s in own
        )
        rate = self._throughput(own, result_bytes, now)
        queue_s = self.arrivals.estimate_wait_s(ahead, due_at - now, rate, now)
        wait_s = max(0.0, first_free_s + queue_s - start_s)
        count = min(self.limits.batch_size, ahead + pieces)
        busy_share = sum(bool(s.calls) for s in own) / len(own)
        residual_s = (
            _RESIDUAL_WAIT_SHARE * busy_share * self.call_time(count) / len(own)
        )
        rounds_s = (math.ceil(pieces / self.limits.batch_size) - 1) * self.call_time(
            self.limits.batch_size
        )
        call_s = self.call_time(count) + rounds_s / len(own)
        return max(wait_s, residual_s) + slowness * call_s

    def _throughput(
        self, servers: list[StageServer], result_bytes: float, now: float
    ) -> float:
        """Return the throughput of servers with full calls, in pieces a second."""
        call_s = self.call_time(self.limits.batch_size)
        rate = self.limits.batch_size / call_s
        if result_bytes > 0:
            room = self.limits.result_memory_bytes * _MEMORY_FILL_SHARE / result_bytes
            rate = min(rate, max(1.0, room) / (call_s + self._hold_s))
        return sum(
            min(rate / s.current_slowness(now), self._limited_throughput(s))
            for s in servers
        )

    def _limited_throughput(self, server: StageServer) -> float:
        """Return the most pieces a second that a server's own limit allows.

        Each call is followed by a release of its results, which counts as well.
        """
        rate_per_s = self._pacer.find_rate(server.announcement.server_id)
        if rate_per_s is None:
            return math.inf
        return rate_per_s / 2 * self.limits.batch_size
