"""Software versions that the servers of each service had recently."""

from __future__ import annotations

from collections.abc import Iterable

from galenadrum._internal.directory.registry import REMOVE_AFTER_S, ServerEntry
from galenadrum._internal.streams.binding_table import MAX_BINDING_AGE_S


class VersionHistory:
    """Versions by service, and the time since which none was missed.

    Servers that left stay known for as long as a stream of theirs may be taken up.

    Args:
        covered_since: Loop time in seconds since which this host has known all servers;
            minus infinity if there were none before it started.
    """

    def __init__(self, covered_since: float) -> None:
        self.covered_since = covered_since
        self._versions_by_server: dict[str, tuple[str, str]] = {}
        self._left_at_by_version: dict[tuple[str, str], float] = {}

    def record_entry(self, entry: ServerEntry, now: float) -> bool:
        """Record the version of a server.

        Returns:
            Whether the server restarted at another version.
        """
        announcement = entry.announcement
        version = (announcement.service, announcement.software_version)
        known = self._versions_by_server.get(entry.server_id)
        self._versions_by_server[entry.server_id] = version
        if known is None or known == version:
            return False
        self._left_at_by_version[known] = now
        return known[0] == version[0]

    def remove_servers(self, server_ids: Iterable[str], now: float) -> None:
        """Forget servers that were removed from the directory."""
        for server_id in server_ids:
            version = self._versions_by_server.pop(server_id, None)
            if version is not None:
                self._left_at_by_version[version] = now - REMOVE_AFTER_S
        for version, left_at in list(self._left_at_by_version.items()):
            if now - left_at > MAX_BINDING_AGE_S:
                del self._left_at_by_version[version]

    def restart(self, now: float) -> None:
        """Record that servers may have been missed until now."""
        self.covered_since = now

    def adopt_coverage(self, covered_s: float, now: float) -> None:
        """Record that another host, which has told all its servers, missed none.

        Args:
            covered_s: Time for which the other host has missed no server, in seconds.
            now: Loop time in seconds.
        """
        self.covered_since = min(self.covered_since, now - covered_s)

    def covered_s(self, now: float) -> float:
        """Return the time for which this host has missed no server, in seconds."""
        return min(now - self.covered_since, MAX_BINDING_AGE_S)

    def find_only_version(self, service: str, now: float) -> str | None:
        """Return the only version that a service had while its streams may go on.

        Returns:
            None if it had none or several, or if this host may have missed one.
        """
        if now - self.covered_since < MAX_BINDING_AGE_S:
            return None
        versions = {
            version
            for name, version in (
                *self._versions_by_server.values(),
                *self._left_at_by_version,
            )
            if name == service
        }
        return versions.pop() if len(versions) == 1 else None
