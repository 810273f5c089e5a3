"""Directory of backend servers on an entry host, fed by its links."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from galenadrum._internal.directory.registry import Registry, ServerEntry
from galenadrum._internal.gateway.link_codec import decode_announcement
from galenadrum._internal.protocol.gateway_pb2 import ServerAnnouncement


class ServerDirectory:
    """Merges the server announcements that several control hosts relay.

    A server is silent if all linked control hosts report it as silent; without any
    link the last known state is kept.

    Args:
        on_changed: Called with each entry that changed.
        find_longest_warm_up: Returns the longest warm-up in seconds of a service whose
            cold servers are limited, 0 for any other.
    """

    def __init__(
        self,
        on_changed: Callable[[ServerEntry], None],
        find_longest_warm_up: Callable[[str], float] = lambda service: 0.0,
    ) -> None:
        # Control hosts detect silence, so detection is off in this registry.
        self.registry = Registry(float("inf"), on_changed, find_longest_warm_up)
        # Ids and services of the servers that each linked control host calls silent.
        self._silent_by_link: dict[str, set[tuple[str, str]]] = {}

    def record_announcement(
        self, link_address: str, record: ServerAnnouncement, now: float
    ) -> None:
        """Record a server announcement relayed by one control host."""
        self.registry.apply_announcement(decode_announcement(record), now)
        silent = self._silent_by_link.setdefault(link_address, set())
        server = (record.server_id, record.service)
        if record.is_silent:
            silent.add(server)
        else:
            silent.discard(server)
        self._update_silence(*server)

    def set_services(self, services: Iterable[str]) -> None:
        """Set the services that the configuration names."""
        for server_id in self.registry.set_services(services):
            service = self.registry.get(server_id).announcement.service
            self._update_silence(server_id, service)

    def _update_silence(self, server_id: str, service: str) -> None:
        """Apply the silence reports to a server unless its id is another service's."""
        entry = self.registry.get(server_id)
        if entry is not None and entry.announcement.service == service:
            reports = self._silent_by_link.values()
            is_silent = all((server_id, service) in silent for silent in reports)
            self.registry.set_silent(server_id, is_silent)

    def remove_link(self, link_address: str) -> None:
        """Discard the silence reports of a lost link, unless it is the last one."""
        if len(self._silent_by_link) > 1:
            self._silent_by_link.pop(link_address, None)
