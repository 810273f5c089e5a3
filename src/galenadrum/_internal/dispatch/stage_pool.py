"""The servers of one stage service and the pieces that wait for them.

Load pattern: many requests of few pieces each, against calls whose fixed time
is far longer than that of a piece. A server that is sent each piece by itself
serves a fifth of what it could; so pieces of all requests wait in one queue,
and a server that becomes free takes as many as a call may hold, the most
urgent first.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from galenadrum._internal.models.announcements import Announcement
from galenadrum._internal.models.routing import StageLimits

# A rank of priority weighs as much as this much time to the objective.
PRIORITY_WEIGHT_S = 0.35
# Results are kept for the time of their way; a little room stays for results
# whose release is on its way.
_ROOM_SHARE = 0.9
# Pause before a server without any room is called again.
_NO_ROOM_PAUSE_S = 0.1
# A call that takes this much longer than expected is given up, and its pieces
# are made elsewhere.
_OVERDUE_FACTOR = 2.5
_OVERDUE_SLACK_S = 0.3
_SLOWNESS_WEIGHT = 0.4
_SLOWNESS_HALF_LIFE_S = 3.0
# A lost answer looks like a slow server; one that is slower than this is found out
# again by its next call.
_MAX_OVERDUE_SLOWNESS = 4.0
# Pause before a server that refused, broke off or could not be reached is tried
# again; doubled with each failure in a row.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
# A server of another zone is worth its way only where those of the dispatcher's
# own zone are behind.
OTHER_ZONE_PENALTY_S = 0.5
# What the way to another zone is worth where servers of all zones are shared, and
# what each byte of inputs that takes it is worth beyond.
_SHARED_ZONE_PENALTY_S = 0.02
ZONE_PENALTY_S_PER_BYTE = 20e-9
# First guess of the time for which a result is held after its call, until what it
# is for has taken it in.
_FIRST_HOLD_S = 0.3
_HOLD_WEIGHT = 0.05
# Share of a full call that a piece waits at a busy pool before its call starts,
# where the queue itself would not delay it.
_RESIDUAL_SHARE = 0.5
# Share of the even spacing that is kept; a little over it makes up for calls that
# were short.
_SPACING_SHARE = 1.2


@dataclass(slots=True)
class WaitingPiece:
    """A piece in the queue.

    Attributes:
        objective_at: Loop time in seconds by which the request's first event
            is due.
        remaining_s: Time from the piece's call to that event, at best.
        zone: Where its inputs are, or where the request came in.
        input_bytes: Size of what all pieces of its stage and request fetch.
        failures: Calls for it that brought no result.
        fallback_due_at: Loop time in seconds by which that event is due once it
            can't come in time.
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

    def urgency(self, now: float) -> float:
        """Return the place in the queue.

        That is the loop time in seconds by which the call should start. The piece
        of a request that can't be in time any more gives way to those that can.
        """
        due_at = self.objective_at
        if now > due_at - self.remaining_s:
            due_at = max(due_at, self.fallback_due_at)
        return due_at - self.remaining_s + self.priority * PRIORITY_WEIGHT_S


@dataclass(slots=True)
class WaitingGroup:
    """Pieces of one stage of one request; they are alike but for their number.

    Attributes:
        is_begun: Whether others of them were taken before: their results hold
            room until the rest is made.
    """

    pieces: list[WaitingPiece] = field(default_factory=list)
    is_begun: bool = False


@dataclass(slots=True)
class StageServer:
    """One server of the pool.

    Attributes:
        slowness: Observed over expected time of its calls.
        foreign_bytes: Results that others hold there, such as a dispatcher before
            this one, as of ``foreign_at``; they expire.
        busy_until: Loop time in seconds at which its last call should end.
        calls: Calls under way that take a place.
        making_bytes_by_call: Results of all calls without an answer.
        results_by_handle: Size in bytes and loop time of expiry of each result
            that it holds.
        paused_until: Loop time in seconds before which it is left alone.
    """

    announcement: Announcement
    is_silent: bool = False
    slowness: float = 1.0
    slowness_at: float = 0.0
    calls: set[int] = field(default_factory=set)
    busy_until: float = 0.0
    making_bytes_by_call: dict[int, float] = field(default_factory=dict)
    results_by_handle: dict[str, tuple[float, float]] = field(default_factory=dict)
    foreign_bytes: float = 0.0
    foreign_at: float = 0.0
    consecutive_failures: int = 0
    paused_until: float = 0.0

    @property
    def held_bytes(self) -> float:
        """Memory that results take, those being made included."""
        results = self.results_by_handle.values()
        return sum(self.making_bytes_by_call.values()) + sum(
            size for size, _ in results
        )

    def forget_expired(self, now: float) -> None:
        """Forget results whose lifetime has passed."""
        for handle, (_, expires_at) in list(self.results_by_handle.items()):
            if now >= expires_at:
                del self.results_by_handle[handle]

    def current_slowness(self, now: float) -> float:
        """Return the slowness, which is forgotten over time."""
        if self.slowness == 1.0:
            return 1.0
        age_s = max(0.0, now - self.slowness_at)
        return 1.0 + (self.slowness - 1.0) * math.exp2(-age_s / _SLOWNESS_HALF_LIFE_S)


@dataclass(slots=True)
class RunningCall:
    """A call that has no answer yet."""

    call_id: int
    server_id: str
    pieces: list[WaitingPiece]
    started_at: float
    expected_s: float
    is_overdue: bool = False

    @property
    def overdue_at(self) -> float:
        """Loop time in seconds from which its pieces are made elsewhere."""
        return self.started_at + self.expected_s * _OVERDUE_FACTOR + _OVERDUE_SLACK_S


class StagePool:
    """Queue and servers of one service in one dispatcher.

    Args:
        zone: Whose servers the dispatcher owns; empty where it owns all.
    """

    def __init__(self, service: str, zone: str, limits: StageLimits) -> None:
        self.service = service
        self.limits = limits
        self._zone = zone
        # Pieces of requests that were taken whose stage is not due yet.
        self.upcoming = 0
        self._hold_s = _FIRST_HOLD_S
        self._last_start_at = -math.inf
        self.servers_by_id: dict[str, StageServer] = {}
        self._server_id_by_address: dict[str, str] = {}
        self._groups_by_request: dict[str, dict[int, WaitingGroup]] = {}
        self.waiting_count = 0
        self.calls_by_id: dict[int, RunningCall] = {}

    def put_server(self, announcement: Announcement, is_silent: bool) -> None:
        """Add a server or note what changed of it."""
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
        """Send nothing more to a server; calls under way go on."""
        server = self.servers_by_id.pop(server_id, None)
        if server is not None:
            self._server_id_by_address.pop(server.announcement.address, None)

    def add(self, piece: WaitingPiece) -> None:
        """Queue a piece."""
        groups = self._groups_by_request.setdefault(piece.request_id, {})
        groups.setdefault(piece.stage, WaitingGroup()).pieces.append(piece)
        self.waiting_count += 1

    def discard(self, request_id: str) -> None:
        """Drop the queued pieces of a request."""
        for group in self._groups_by_request.pop(request_id, {}).values():
            self.waiting_count -= len(group.pieces)

    def _keep(self, request_id: str, stage: int, kept: list[WaitingPiece]) -> None:
        """Leave only those pieces of a group in the queue."""
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

    def take_unready(
        self, request_id: str, is_ready: Callable[[int], bool]
    ) -> list[WaitingPiece]:
        """Take queued pieces of a request out whose stage isn't ready."""
        taken: list[WaitingPiece] = []
        for stage, group in list(self._groups_by_request.get(request_id, {}).items()):
            if not is_ready(stage):
                taken += group.pieces
                self._keep(request_id, stage, [])
        return taken

    def drop_piece(self, request_id: str, stage: int, number: int) -> None:
        """Drop a queued piece that was made meanwhile."""
        group = self._groups_by_request.get(request_id, {}).get(stage)
        if group is not None:
            kept = [piece for piece in group.pieces if piece.number != number]
            self._keep(request_id, stage, kept)

    def call_time(self, pieces: int) -> float:
        """Return the usual time of a call of that many pieces, in seconds."""
        return self.limits.call_s + pieces * self.limits.piece_s

    def next_call(self, now: float) -> tuple[StageServer, list[WaitingPiece]] | None:
        """Return a server that should be called now and its pieces."""
        if not self.waiting_count or not self._has_free_server(now):
            return None
        if not self._is_spaced(now):
            return None
        groups = self._waiting_groups()
        first = min(groups, key=lambda group: self._place(group, now)).pieces[0]
        server = self._choose_server(first, now)
        if server is None:
            return None
        zone = "" if self._zone else server.announcement.zone
        groups.sort(key=lambda group: self._place_at(group, zone, now))
        taken = self._take(groups, server, now)
        return (server, taken) if taken else None

    def _has_free_server(self, now: float) -> bool:
        return any(
            len(s.calls) < self.limits.concurrency and now >= s.paused_until
            for s in self.servers_by_id.values()
        )

    def _is_spaced(self, now: float) -> bool:
        """Return whether a call may start so soon after the last one.

        Servers that become free together would each take the few pieces of an
        instant, and all of them would be busy when the next ones come; so the
        starts are spread over the time of a call, the more of them are busy.
        """
        if self.waiting_count >= self.limits.batch_size:
            return True
        servers = len(self.servers_by_id)
        busy = sum(bool(s.calls) for s in self.servers_by_id.values())
        spacing_s = self.call_time(self.waiting_count) / servers * busy / servers
        return now - self._last_start_at >= spacing_s * _SPACING_SHARE

    def _place(self, group: WaitingGroup, now: float) -> tuple[bool, float]:
        return not group.is_begun, group.pieces[0].urgency(now)

    def _place_at(
        self, group: WaitingGroup, zone: str, now: float
    ) -> tuple[bool, float]:
        is_new, urgency = self._place(group, now)
        if zone:
            urgency += self._zone_penalty_s(group.pieces[0], zone)
        return is_new, urgency

    def _zone_penalty_s(self, piece: WaitingPiece, zone: str) -> float:
        """Return what the way of a piece's inputs to a zone is worth in time."""
        if piece.zone == zone:
            return 0.0
        return _SHARED_ZONE_PENALTY_S + piece.input_bytes * ZONE_PENALTY_S_PER_BYTE

    def _take(
        self, groups: list[WaitingGroup], server: StageServer, now: float
    ) -> list[WaitingPiece]:
        """Take the pieces of the next call out of the queue."""
        server.forget_expired(now)
        held_bytes = server.held_bytes
        foreign_bytes = self._foreign_bytes(server, now)
        room = self.limits.room_bytes * _ROOM_SHARE - held_bytes - foreign_bytes
        taken: list[WaitingPiece] = []
        for group in groups:
            count = self.limits.batch_size - len(taken)
            piece = group.pieces[0]
            if piece.result_bytes > 0:
                count = min(count, math.floor(room / piece.result_bytes))
            if count <= 0 and not (taken or held_bytes or foreign_bytes):
                # Larger than all room: it is tried where nothing else is held.
                count = 1
            if count > 0:
                chosen = group.pieces[:count]
                room -= piece.result_bytes * len(chosen)
                taken += chosen
                group.is_begun = True
                self._keep(piece.request_id, piece.stage, group.pieces[count:])
            if len(taken) >= self.limits.batch_size:
                break
        return taken

    def _choose_server(self, first: WaitingPiece, now: float) -> StageServer | None:
        """Return a free server, unless the busy ones would be done sooner."""
        usable = self._usable_servers(now)
        free = [s for s in usable if len(s.calls) < self.limits.concurrency]
        if not free:
            return None
        finish_at, server = min(
            ((self._start_at(s, first, now) + self._expected(s, now), s) for s in free),
            key=lambda pair: pair[0],
        )
        busy = [s for s in usable if len(s.calls) >= self.limits.concurrency]
        if busy and finish_at > self._worked_off_at(first, busy, now):
            return None
        if self._is_foreign(server) and not self._own_are_behind(first, now):
            return None
        return server

    def _worked_off_at(
        self, first: WaitingPiece, busy: list[StageServer], now: float
    ) -> float:
        """Return when busy servers would have made all that waits."""
        free_at = min(self._start_at(s, first, now) for s in busy)
        calls = math.ceil(self.waiting_count / self.limits.batch_size)
        rounds = math.ceil(calls / len(busy))
        slowness = min(s.current_slowness(now) for s in busy)
        pieces = min(self.waiting_count, self.limits.batch_size)
        return free_at + rounds * slowness * self.call_time(pieces)

    def _is_foreign(self, server: StageServer) -> bool:
        return bool(self._zone) and server.announcement.zone != self._zone

    def _own_are_behind(self, first: WaitingPiece, now: float) -> bool:
        own = [s for s in self._usable_servers(now) if not self._is_foreign(s)]
        if not own:
            return True
        wait_s = min(self._start_at(s, first, now) for s in own) - now
        calls = math.ceil(self.waiting_count / self.limits.batch_size)
        return wait_s + (calls - 1) * self.call_time(self.limits.batch_size) > (
            OTHER_ZONE_PENALTY_S
        )

    def _usable_servers(self, now: float) -> list[StageServer]:
        usable = [s for s in self.servers_by_id.values() if now >= s.paused_until]
        heard = [s for s in usable if not s.is_silent]
        return heard or usable

    def _start_at(self, server: StageServer, piece: WaitingPiece, now: float) -> float:
        start_at = max(now, server.busy_until) if server.calls else now
        if self._is_foreign(server):
            return start_at + OTHER_ZONE_PENALTY_S
        if not self._zone:
            start_at += self._zone_penalty_s(piece, server.announcement.zone)
        return start_at

    def _expected(self, server: StageServer, now: float) -> float:
        pieces = min(self.waiting_count, self.limits.batch_size)
        return self.call_time(pieces) * server.current_slowness(now)

    def start_call(
        self, call_id: int, server: StageServer, pieces: list[WaitingPiece], now: float
    ) -> RunningCall:
        """Note that a call is sent."""
        expected_s = self.call_time(len(pieces)) * server.current_slowness(now)
        server_id = server.announcement.server_id
        self._last_start_at = now
        call = RunningCall(call_id, server_id, pieces, now, expected_s)
        self.calls_by_id[call_id] = call
        server.calls.add(call_id)
        server.busy_until = max(now, server.busy_until) + expected_s
        server.making_bytes_by_call[call_id] = sum(p.result_bytes for p in pieces)
        return call

    def end_call(self, call_id: int, now: float) -> RunningCall | None:
        """Note that a call was answered; returns it."""
        call = self.calls_by_id.pop(call_id, None)
        if call is None:
            return None
        server = self.servers_by_id.get(call.server_id)
        if server is not None and call_id in server.making_bytes_by_call:
            self._end_at(server, call_id, now)
            server.consecutive_failures = 0
            usual_s = self.call_time(len(call.pieces))
            observed = (now - call.started_at) / usual_s
            slowness = server.current_slowness(now)
            server.slowness = slowness + _SLOWNESS_WEIGHT * (observed - slowness)
            server.slowness_at = now
        return call

    def fail_call(self, call_id: int, now: float) -> RunningCall | None:
        """Note that a call brought nothing; its server rests for a while."""
        call = self.calls_by_id.pop(call_id, None)
        if call is None:
            return None
        server = self.servers_by_id.get(call.server_id)
        if server is not None and call_id in server.making_bytes_by_call:
            self._end_at(server, call_id, now)
            if not call.is_overdue:
                self._rest(server, now)
        return call

    def _end_at(self, server: StageServer, call_id: int, now: float) -> None:
        server.making_bytes_by_call.pop(call_id)
        if call_id in server.calls:
            server.calls.discard(call_id)
            server.busy_until = now

    def _rest(self, server: StageServer, now: float) -> None:
        pause_s = _INITIAL_BACKOFF_S * 2**server.consecutive_failures
        server.paused_until = now + min(pause_s, _MAX_BACKOFF_S)
        server.consecutive_failures += 1

    def take_overdue(self, now: float) -> list[RunningCall]:
        """Return calls that have become overdue, once each.

        Their servers may be called again after a rest: an answer may be lost, and
        would else hold the place until the call is given up.
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
                self._rest(server, now)
        return overdue

    def hold(self, handle: str, result_bytes: float, expires_at: float) -> None:
        """Note a result that its server keeps until then."""
        server = self._server_at(handle)
        if server is not None:
            server.results_by_handle[handle] = (result_bytes, expires_at)

    def expires_at(self, handles: tuple[str, ...]) -> float:
        """Return the loop time in seconds at which the first result expires."""
        known = (
            server.results_by_handle.get(handle)
            for handle in handles
            if (server := self._server_at(handle)) is not None
        )
        return min((found[1] for found in known if found), default=-math.inf)

    def begin_release(self, handle: str, now: float) -> str | None:
        """Note that a result is given up; returns its server's address.

        It takes room until the server has heard of it.
        """
        server = self._server_at(handle)
        known = server.results_by_handle.get(handle) if server else None
        if known is None:
            return None
        held_s = now - (known[1] - self.limits.result_ttl_s)
        self._hold_s += _HOLD_WEIGHT * (held_s - self._hold_s)
        return server.announcement.address

    def end_release(self, handle: str) -> None:
        """Note that a result takes no room any more."""
        server = self._server_at(handle)
        if server is not None:
            server.results_by_handle.pop(handle, None)

    def describe_room(self, server_id: str, now: float) -> str:
        """Return what is known of a server's room, for logs."""
        server = self.servers_by_id.get(server_id)
        if server is None:
            return "the server is gone"
        return (
            f"{len(server.results_by_handle)} results and "
            f"{len(server.calls)} calls take {server.held_bytes:.0f} of "
            f"{self.limits.room_bytes:.0f} B"
            f", others {self._foreign_bytes(server, now):.0f} B"
        )

    def note_no_room(self, server_id: str, now: float) -> None:
        """Note that a server has no room but for what is counted here."""
        server = self.servers_by_id.get(server_id)
        if server is not None:
            free_bytes = self.limits.room_bytes - server.held_bytes
            server.foreign_bytes = max(0.0, free_bytes)
            server.foreign_at = now
            server.paused_until = max(server.paused_until, now + _NO_ROOM_PAUSE_S)

    def _foreign_bytes(self, server: StageServer, now: float) -> float:
        """Return what others should still hold at a server."""
        left = 1.0 - (now - server.foreign_at) / self.limits.result_ttl_s
        return server.foreign_bytes * left if left > 0 else 0.0

    def zone_of(self, handle: str) -> str | None:
        """Return the zone of the server that holds a result."""
        server = self._server_at(handle)
        return server.announcement.zone if server is not None else None

    def _server_at(self, handle: str) -> StageServer | None:
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
        """Return the time from when pieces are due until they are made.

        Pieces that are queued or will be due earlier go first; meanwhile the
        servers work some of them off.

        Args:
            pieces: Number of pieces.
            result_bytes: Size of the result of each.
            due_at: Their urgency.
            start_s: Seconds from now at which they are due.
            now: Loop time in seconds.

        Returns:
            Seconds; infinite where there is no server.
        """
        usable = self._usable_servers(now)
        if not usable:
            return math.inf
        own = [s for s in usable if not self._is_foreign(s)] or usable
        slowness = min(s.current_slowness(now) for s in own)
        ahead = self.upcoming + sum(
            len(group.pieces)
            for group in self._waiting_groups()
            if group.pieces[0].urgency(now) <= due_at
        )
        first_free_s = min(
            max(0.0, s.busy_until - now) if s.calls else 0.0 for s in own
        )
        rate = self._rate(own, result_bytes, now)
        wait_s = max(0.0, first_free_s + ahead / rate - start_s)
        count = min(self.limits.batch_size, ahead + pieces)
        busy_share = sum(bool(s.calls) for s in own) / len(own)
        residual_s = _RESIDUAL_SHARE * busy_share * self.call_time(count) / len(own)
        rounds_s = (math.ceil(pieces / self.limits.batch_size) - 1) * self.call_time(
            self.limits.batch_size
        )
        call_s = self.call_time(count) + rounds_s / len(own)
        return max(wait_s, residual_s) + slowness * call_s

    def _rate(
        self, servers: list[StageServer], result_bytes: float, now: float
    ) -> float:
        """Return the pieces that servers make in a second, with full calls."""
        call_s = self.call_time(self.limits.batch_size)
        rate = self.limits.batch_size / call_s
        if result_bytes > 0:
            room = self.limits.room_bytes * _ROOM_SHARE / result_bytes
            rate = min(rate, max(1.0, room) / (call_s + self._hold_s))
        return rate * sum(1.0 / s.current_slowness(now) for s in servers)
