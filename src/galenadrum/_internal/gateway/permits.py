"""Permits for requests to plain servers that name a limit.

One control host, the same for all entry hosts, spaces these requests. An entry host
that is cut off from all control hosts uses its share of the limit.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass

from galenadrum._internal.network.host_link import HostLink
from galenadrum._internal.protocol import gateway_pb2 as pb
from galenadrum._internal.routing.request_pacer import RequestPacer

logger = logging.getLogger(__name__)

_MS_PER_S = 1_000
_ANSWER_TIMEOUT_S = 0.1
# Reported to the caller when the control host gave no answer.
_RETRY_AFTER_NO_ANSWER_S = 1.0


@dataclass(frozen=True, slots=True)
class Permit:
    """Answer to a request for a permit.

    Attributes:
        is_granted: Whether a request may be sent after ``wait_s``.
        wait_s: Seconds until the next request may be sent.
    """

    is_granted: bool
    wait_s: float


class PermitClient:
    """Requests permits from a control host.

    Args:
        choose_link: Returns the link to the control host that spaces the requests;
            None if no link is up.
        pacer: Spaces the requests of this host alone, without a link.
    """

    def __init__(
        self, choose_link: Callable[[], HostLink | None], pacer: RequestPacer
    ) -> None:
        self._choose_link = choose_link
        self._pacer = pacer
        self._numbers = itertools.count(1)
        self._answers_by_number: dict[int, asyncio.Future[Permit]] = {}
        self._loop = asyncio.get_running_loop()

    async def request_permit(self, server_id: str, max_wait_s: float) -> Permit:
        """Request a permit to send one request to a server.

        Args:
            server_id: Id of the server.
            max_wait_s: Longest wait in seconds for which a permit is of use.
        """
        link = self._choose_link()
        if link is None:
            return Permit(
                *self._pacer.reserve_request(server_id, max_wait_s, self._loop.time())
            )
        number = next(self._numbers)
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
                return await answer
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

    def handle_permit(self, record: pb.Permit) -> None:
        """Handle the answer of a control host."""
        answer = self._answers_by_number.get(record.number)
        if answer is not None and not answer.done():
            answer.set_result(Permit(record.is_granted, record.wait_ms / _MS_PER_S))
