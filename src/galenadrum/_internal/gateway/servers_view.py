"""Backend servers as an entry host hears of them on its links."""

from __future__ import annotations

from collections.abc import Callable

from galenadrum._internal.directory.registry import Registry, ServerEntry
from galenadrum._internal.gateway.link_codec import decode_announcement
from galenadrum._internal.protocol.gateway_pb2 import ServerAnnouncement


class ServersView:
    """Merges what several control hosts tell.

    A server is silent if none of them hears it; without any link the last view
    stays.

    Args:
        on_changed: Called with each entry that changed.
    """

    def __init__(self, on_changed: Callable[[ServerEntry], None]) -> None:
        # The control hosts measure the silence.
        self.registry = Registry(float("inf"), on_changed)
        self._silent_ids_by_link: dict[str, set[str]] = {}

    def take(self, link_address: str, record: ServerAnnouncement, now: float) -> None:
        """Take what one control host tells of a server."""
        self.registry.announce(decode_announcement(record), now)
        silent_ids = self._silent_ids_by_link.setdefault(link_address, set())
        if record.is_silent:
            silent_ids.add(record.server_id)
        else:
            silent_ids.discard(record.server_id)
        is_silent = all(
            record.server_id in ids for ids in self._silent_ids_by_link.values()
        )
        self.registry.set_silent(record.server_id, is_silent)

    def link_lost(self, link_address: str) -> None:
        """Leave out what that control host told."""
        if len(self._silent_ids_by_link) > 1:
            self._silent_ids_by_link.pop(link_address, None)
