"""Streams to all other members.

Requests are sent on links that this member opens. Answers are sent on the inbound
streams on which the requests arrived.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

from galenadrum._internal.control.replication.messages import REQUEST_BODIES, Message
from galenadrum._internal.control.replication.peer_streams import (
    InboundStream,
    PeerLink,
)


class PeerSet:
    """Sends requests on outgoing links and answers on inbound streams.

    Args:
        on_message: Called with each message received from another member.
        silence_timeout_s: As for `PeerLink`.
        rng: As for `PeerLink`.
    """

    def __init__(
        self,
        on_message: Callable[[Message], None],
        silence_timeout_s: float,
        rng: random.Random,
    ) -> None:
        self._on_message = on_message
        self._silence_timeout_s = silence_timeout_s
        self._rng = rng
        self._links_by_id: dict[str, tuple[PeerLink, asyncio.Task[None]]] = {}
        self._inbound_by_id: dict[str, InboundStream] = {}

    def receive_inbound(self, message: Message, inbound: InboundStream) -> None:
        """Deliver a request and record its stream for the answer."""
        self._inbound_by_id[message.sender_id] = inbound
        self._on_message(message)

    def remove_inbound(self, inbound: InboundStream) -> None:
        """Remove a stream that has ended."""
        for member_id, known in list(self._inbound_by_id.items()):
            if known is inbound:
                del self._inbound_by_id[member_id]

    def send(self, message: Message, address: str) -> None:
        """Send a message; drop it if there is no address or stream for it."""
        member_id = message.recipient_id
        if not isinstance(message.body, REQUEST_BODIES):
            inbound = self._inbound_by_id.get(member_id)
            if inbound is not None:
                inbound.send(message)
            return
        if address:
            self._get_link(member_id, address).send(message)

    def _get_link(self, member_id: str, address: str) -> PeerLink:
        known = self._links_by_id.get(member_id)
        if known is not None and known[0].address == address:
            return known[0]
        if known is not None:
            known[1].cancel()
        link = PeerLink(address, self._on_message, self._silence_timeout_s, self._rng)
        self._links_by_id[member_id] = (link, asyncio.create_task(link.run()))
        return link

    def close_links_except(self, member_ids: Collection[str]) -> None:
        """Close the links to all members except those given."""
        for member_id in set(self._links_by_id) - set(member_ids):
            self._links_by_id.pop(member_id)[1].cancel()

    def cancel(self) -> None:
        """Cancel all links without waiting for their end."""
        for _, task in self._links_by_id.values():
            task.cancel()

    async def close(self) -> None:
        """Cancel all links and wait for their end."""
        self.cancel()
        tasks = [task for _, task in self._links_by_id.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
        self._links_by_id.clear()
