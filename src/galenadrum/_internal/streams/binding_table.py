"""Bindings of recent streams that one host knows."""

from __future__ import annotations

from dataclasses import replace

from galenadrum._internal.models.stream_bindings import StreamBinding

# Longest time for which a caller may take up a stream.
MAX_BINDING_AGE_S = 60.0
# About 25 MB; the oldest are dropped beyond it, and their streams can't be taken up.
_MAX_BINDINGS = 100_000
# A server that restarts under its id announces itself within this time; until then,
# streams of its new process are bound to the version of the one before.
_RESTART_ANNOUNCEMENT_S = 5.0


class BindingTable:
    """Bindings by caller and request id."""

    def __init__(self) -> None:
        self._bindings_by_key: dict[tuple[str, str], StreamBinding] = {}

    def __len__(self) -> int:
        return len(self._bindings_by_key)

    def put(self, binding: StreamBinding) -> bool:
        """Add a binding; one that contradicts the known one makes it ambiguous.

        Returns:
            Whether it changed what is known of the version.
        """
        key = (binding.organisation, binding.request_id)
        known = self._bindings_by_key.pop(key, None)
        if known is None:
            if len(self._bindings_by_key) >= _MAX_BINDINGS:
                del self._bindings_by_key[next(iter(self._bindings_by_key))]
            self._bindings_by_key[key] = binding
            return True
        is_ambiguous = (
            known.is_ambiguous
            or binding.is_ambiguous
            or (known.service, known.software_version)
            != (binding.service, binding.software_version)
        )
        expires_at = max(known.expires_at, binding.expires_at)
        self._bindings_by_key[key] = replace(
            known, expires_at=expires_at, is_ambiguous=is_ambiguous
        )
        return is_ambiguous != known.is_ambiguous

    def find(
        self, organisation: str, request_id: str, now: float
    ) -> StreamBinding | None:
        """Return the binding of a request, None if it is unknown or has expired."""
        binding = self._bindings_by_key.get((organisation, request_id))
        return binding if binding is not None and now < binding.expires_at else None

    def distrust_server(self, server_id: str, now: float) -> list[StreamBinding]:
        """Mark recent bindings of a server ambiguous that restarted at a new version.

        Returns:
            The marked bindings.
        """
        since = now - _RESTART_ANNOUNCEMENT_S
        doubtful = [
            replace(binding, is_ambiguous=True)
            for binding in self._bindings_by_key.values()
            if binding.server_id == server_id and binding.bound_at >= since
        ]
        for binding in doubtful:
            key = (binding.organisation, binding.request_id)
            self._bindings_by_key[key] = binding
        return doubtful

    def list_bindings(self, now: float) -> list[StreamBinding]:
        """Return all bindings that have not expired."""
        return [b for b in self._bindings_by_key.values() if now < b.expires_at]

    def remove_expired(self, now: float) -> None:
        """Remove the bindings that have expired."""
        for key, binding in list(self._bindings_by_key.items()):
            if now >= binding.expires_at:
                del self._bindings_by_key[key]
