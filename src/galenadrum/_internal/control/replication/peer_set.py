"""The streams to all other members: links for requests, inbound for answers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

from galenadrum._internal.control.replication.messages import REQUEST_BODIES, Message
from galenadrum._internal.control.replication.peers import InboundStream, PeerLink


class PeerSet:
    """Sends each message on the stream that it belongs to.

    Args:
        deliver: Called with each message of another member.
        silence_s: As for `PeerLink`.
        rng: As for `PeerLink`.
    """

    def __init__(
        self,
        deliver: Callable[[Message], None],
        silence_s: float,
        rng: random.Random,
    ) -> None:
        self._deliver = deliver
        self._silence_s = silence_s
        self._rng = rng
        self._links_by_id: dict[str, tuple[PeerLink, asyncio.Task[None]]] = {}
        self._inbound_by_id: dict[str, InboundStream] = {}

    def receive_inbound(self, message: Message, inbound: InboundStream) -> None:
        """Take a request; its answer goes back on the same stream."""
        self._inbound_by_id[message.sender_id] = inbound
        self._deliver(message)

    def inbound_closed(self, inbound: InboundStream) -> None:
        """Forget a stream that has ended."""
        for member_id, known in list(self._inbound_by_id.items()):
            if known is inbound:
                del self._inbound_by_id[member_id]

    def send(self, message: Message, address: str) -> None:
        """Send a message; it is dropped when there is no way to its recipient."""
        member_id = message.recipient_id
        if not isinstance(message.body, REQUEST_BODIES):
            inbound = self._inbound_by_id.get(member_id)
            if inbound is not None:
                inbound.send(message)
            return
        if address:
            self._link(member_id, address).send(message)

    def _link(self, member_id: str, address: str) -> PeerLink:
        known = self._links_by_id.get(member_id)
        if known is not None and known[0].address == address:
            return known[0]
        if known is not None:
            known[1].cancel()
        link = PeerLink(address, self._deliver, self._silence_s, self._rng)
        self._links_by_id[member_id] = (link, asyncio.create_task(link.run()))
        return link

    def keep_only(self, member_ids: Collection[str]) -> None:
        """Close the links to all others."""
        for member_id in set(self._links_by_id) - set(member_ids):
            self._links_by_id.pop(member_id)[1].cancel()

    def cancel(self) -> None:
        """Stop sending."""
        for _, task in self._links_by_id.values():
            task.cancel()

    async def close(self) -> None:
        """Close all links and wait for their end."""
        self.cancel()
        tasks = [task for _, task in self._links_by_id.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
        self._links_by_id.clear()
