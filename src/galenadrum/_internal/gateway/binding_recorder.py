"""Records the bindings of an entry host's streams at the control hosts."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable

from galenadrum._internal.gateway.link_codec import encode_bindings
from galenadrum._internal.models.stream_bindings import StreamBinding
from galenadrum._internal.network.host_link import HostLink
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.streams.binding_table import BindingTable

logger = logging.getLogger(__name__)

# Longest time for which the first event of a stream waits for a control host. Without
# an answer the stream goes on; if this host is lost, it can't be taken up.
_ANSWER_TIMEOUT_S = 0.1
# Bindings in one message, about 100 bytes each.
_MESSAGE_BINDINGS = 500


class BindingRecorder:
    """Keeps the bindings of this host's streams, here and at the control hosts.

    Args:
        table: Bindings that this host knows.
        links: Returns the links to control hosts that are up.
        metrics: Counts the bindings by outcome.
    """

    def __init__(
        self,
        table: BindingTable,
        links: Callable[[], list[HostLink]],
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._links_up = links
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._answers_by_number: dict[int, asyncio.Future[None]] = {}
        self._loop = asyncio.get_running_loop()

    def find(self, organisation: str, request_id: str) -> StreamBinding | None:
        """Return the certain binding of a request that this host knows."""
        known = self._table.find(organisation, request_id, self._loop.time())
        return known if known is not None and not known.is_ambiguous else None

    async def record(self, bindings: tuple[StreamBinding, ...]) -> None:
        """Record bindings and wait until a control host has them, or for 0.1 s."""
        for binding in bindings:
            self._table.put(binding)
        links = self._links_up()
        started_at = self._loop.time()
        outcome = "not_linked"
        if links:
            is_answered = await self._send(links, bindings)
            outcome = "recorded" if is_answered else "not_answered"
            self._metrics.record_duration(
                "stream_binding_seconds", self._loop.time() - started_at
            )
        self._metrics.increment("stream_bindings_recorded", outcome=outcome)
        first = bindings[0]
        logger.info(
            "stream bound to version %s by server %s: %s",
            first.software_version or "unknown",
            first.server_id,
            outcome,
            extra={"request_id": first.request_id},
        )

    def is_certain(self, binding: StreamBinding) -> bool:
        """Return whether a stream may go on at the version that it is bound to."""
        return self.find(binding.organisation, binding.request_id) is not None

    async def _send(
        self, links: list[HostLink], bindings: tuple[StreamBinding, ...]
    ) -> bool:
        number = next(self._numbers)
        answer = self._answers_by_number[number] = self._loop.create_future()
        message = encode_bindings(bindings, number, self._loop.time())
        for link in links:
            link.send(message)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await answer
        except TimeoutError:
            return False
        finally:
            del self._answers_by_number[number]
        return True

    def handle_answer(self, number: int) -> None:
        """Handle the answer of a control host that has recorded bindings."""
        answer = self._answers_by_number.get(number)
        if answer is not None and not answer.done():
            answer.set_result(None)

    def hand_over(self, link: HostLink) -> None:
        """Send all bindings to a control host that may lack them."""
        send_all_bindings(link, self._table, self._loop.time())


def send_all_bindings(link: HostLink, table: BindingTable, now: float) -> None:
    """Send all bindings of a host on a link that came up."""
    bindings = table.list_bindings(now)
    for start in range(0, len(bindings), _MESSAGE_BINDINGS):
        part = bindings[start : start + _MESSAGE_BINDINGS]
        link.send(encode_bindings(part, 0, now))
