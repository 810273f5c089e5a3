"""Permits for requests to plain servers that name a limit.

One control host, the same for all entry hosts, spaces these requests. An entry host
that is cut off from all control hosts uses its share of the limit.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from galenadrum._internal.network.host_link import HostLink
from galenadrum._internal.protocol import gateway_pb2 as pb
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.server_room import ServerRoom

logger = logging.getLogger(__name__)

_MS_PER_S = 1_000
_ANSWER_TIMEOUT_S = 0.1
# Reported to the caller when the control host gave no answer.
_RETRY_AFTER_NO_ANSWER_S = 1.0
# A permit that isn't used this long after its time has run out: the control host has
# let others send since, and a host that was suspended doesn't know how many.
_TERM_S = 0.25
# Interval at which a request asks again for room at a brittle server.
_ROOM_RETRY_S = 0.05


@dataclass(frozen=True, slots=True)
class Permit:
    """Answer to a request for a permit.

    Attributes:
        is_granted: Whether a request may be sent after ``wait_s``.
        wait_s: Seconds until the next request may be sent.
        number: Number of a permit that is to be released; 0 for none.
        server_id: Server of that permit.
        is_for_room: Whether the server lacks room, so that the wait isn't certain.
        usable_until: Loop time in seconds after which it no longer holds.
    """

    is_granted: bool
    wait_s: float
    number: int = 0
    server_id: str = ""
    is_for_room: bool = False
    usable_until: float = math.inf


def grant_permit(
    room: ServerRoom,
    pacer: RequestPacer,
    holder: str,
    number: int,
    server_id: str,
    max_wait_s: float,
) -> Permit:
    """Grant a permit for one request, or refuse it.

    Args:
        room: Requests at brittle servers.
        pacer: Spaces the requests to servers that name a rate.
        holder: Id of the host that sends the request; empty for this one.
        number: Number of the permit, unique for its holder.
        server_id: Id of the server.
        max_wait_s: Longest wait in seconds for which a permit is of use.
    """
    now = asyncio.get_running_loop().time()
    is_brittle = room.is_brittle(server_id)
    if is_brittle and not room.reserve(server_id, holder, number, now):
        return Permit(False, _ROOM_RETRY_S, is_for_room=True)
    is_granted, wait_s = pacer.reserve_request(server_id, max_wait_s, now)
    if not is_brittle:
        return Permit(is_granted, wait_s)
    if not is_granted:
        room.release(server_id, holder, number, False, now)
        return Permit(False, wait_s)
    return Permit(True, wait_s, number, server_id, is_for_room=True)


class PermitClient:
    """Requests permits from a control host.

    Args:
        choose_link: Returns the link to the control host that spaces the requests;
            None if no link is up.
        pacer: Spaces the requests of this host alone, without a link.
        room: Counts the requests of this host alone at brittle servers.
    """

    def __init__(
        self,
        choose_link: Callable[[], HostLink | None],
        pacer: RequestPacer,
        room: ServerRoom,
    ) -> None:
        self._choose_link = choose_link
        self._pacer = pacer
        self._room = room
        self._links_by_number: dict[int, HostLink | None] = {}
        self._numbers = itertools.count(1)
        self._answers_by_number: dict[int, asyncio.Future[Permit]] = {}
        self._loop = asyncio.get_running_loop()

    def find_last_resorts(self, server_ids: Iterable[str]) -> set[str]:
        """Return the servers that this host shouldn't use without a link.

        Args:
            server_ids: The servers that a request may use.
        """
        if self._choose_link() is not None:
            return set()
        return self._pacer.find_last_resorts(server_ids)

    async def request_permit(self, server_id: str, max_wait_s: float) -> Permit:
        """Request a permit to send one request to a server.

        Args:
            server_id: Id of the server.
            max_wait_s: Longest wait in seconds for which a permit is of use.
        """
        link = self._choose_link()
        asked_at = self._loop.time()
        number = next(self._numbers)
        if link is None:
            answer = grant_permit(
                self._room, self._pacer, "", number, server_id, max_wait_s
            )
            return self._keep(link, answer, asked_at)
        answer = self._answers_by_number[number] = self._loop.create_future()
        link.send(
            pb.LinkMessage(
                permit_request=pb.PermitRequest(
                    number=number,
                    server_id=server_id,
                    max_wait_ms=int(max_wait_s * _MS_PER_S),
                )
            )
        )
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                permit = replace(await answer, server_id=server_id)
                return self._keep(link, permit, asked_at)
        except TimeoutError:
            logger.info(
                "no permit for server %s from host %s within %.1f s; using others",
                server_id,
                link.peer.host_id if link.peer else link.address,
                _ANSWER_TIMEOUT_S,
            )
            return Permit(False, _RETRY_AFTER_NO_ANSWER_S)
        finally:
            del self._answers_by_number[number]

    def _keep(self, link: HostLink | None, permit: Permit, asked_at: float) -> Permit:
        """Return a permit with its term, or a refusal if that has run out."""
        if not permit.is_granted:
            return permit
        if permit.number:
            self._links_by_number[permit.number] = link
        granted_by = asked_at + _ANSWER_TIMEOUT_S + _TERM_S
        permit = replace(permit, usable_until=granted_by + permit.wait_s)
        if self._loop.time() <= granted_by:
            return permit
        self.release(permit)
        return Permit(False, _RETRY_AFTER_NO_ANSWER_S)

    def release_expired(self, permit: Permit) -> bool:
        """Release a permit whose term has run out, and return whether it has."""
        if self._loop.time() <= permit.usable_until:
            return False
        logger.info("the permit for server %s has run out", permit.server_id)
        self.release(permit)
        return True

    def release(self, permit: Permit, is_rejected: bool = False) -> None:
        """Release a permit; without effect for a server that isn't brittle.

        Args:
            permit: The permit.
            is_rejected: Whether the server had no room for the request.
        """
        if permit.number not in self._links_by_number:
            return
        link = self._links_by_number.pop(permit.number)
        if link is None:
            self._room.release(
                permit.server_id, "", permit.number, is_rejected, self._loop.time()
            )
        else:
            self._send_release(link, permit.number, permit.server_id, is_rejected)

    def _send_release(
        self, link: HostLink, number: int, server_id: str, is_rejected: bool
    ) -> None:
        release = pb.PermitRelease(
            number=number, server_id=server_id, is_rejected=is_rejected
        )
        link.send(pb.LinkMessage(permit_release=release))

    def handle_permit(self, link: HostLink, record: pb.Permit) -> None:
        """Handle the answer of a control host."""
        answer = self._answers_by_number.get(record.number)
        if answer is not None and not answer.done():
            answer.set_result(
                Permit(
                    record.is_granted,
                    record.wait_ms / _MS_PER_S,
                    record.number if record.is_for_room else 0,
                    is_for_room=record.is_for_room,
                )
            )
        elif record.is_granted and record.is_for_room:
            # It came too late, and the request is sent elsewhere.
            self._send_release(link, record.number, record.server_id, False)
