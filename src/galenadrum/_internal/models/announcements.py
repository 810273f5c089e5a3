"""Announcements that backend servers send to control hosts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.exceptions import InvalidAnnouncementError

# Bounds of what one server may announce; other writers share the servers' interface.
MAX_TEXT_CHARACTERS = 256
MAX_INCARNATION_MS = 2**53
MAX_SEQUENCE = 2**62
MAX_CONCURRENCY = 2**20
MAX_WARM_UP_S = 86_400.0
_MAX_QUOTED_DIGITS = 24


class ServerState(StrEnum):
    """Lifecycle state of a backend server; only READY accepts new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Announcement:
    """One announcement of a backend server, sent at a regular interval.

    Attributes:
        incarnation_ms: Start time of the server process, in Unix milliseconds by
            its own clock; distinguishes the incarnations of one server id.
        sequence: Number that increases with each announcement of an incarnation.
        concurrency: Maximum number of requests that run at the same time.
        warm_up_s: Remaining warm-up time, in seconds, during which the server
            is slow.
        software_version: Version of the server's software; empty if not given.

    Raises:
        InvalidAnnouncementError: A value is out of its bounds.
    """

    server_id: str
    incarnation_ms: int
    sequence: int
    service: str
    address: str
    zone: str
    concurrency: int
    state: ServerState
    warm_up_s: float = 0.0
    software_version: str = ""

    def __post_init__(self) -> None:
        if not self.server_id:
            raise InvalidAnnouncementError("the id of a server is empty")
        for name in ("server_id", "service", "address", "zone", "software_version"):
            _check_text(self.server_id, name, getattr(self, name))
        for name, value, maximum in (
            ("incarnation_ms", self.incarnation_ms, MAX_INCARNATION_MS),
            ("sequence", self.sequence, MAX_SEQUENCE),
            ("concurrency", self.concurrency, MAX_CONCURRENCY),
            ("warm_up_s", self.warm_up_s, MAX_WARM_UP_S),
        ):
            _check_number(self.server_id, name, value, maximum)

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of announcements of one server; the newest has the highest."""
        return self.incarnation_ms, self.sequence

    def supersedes(self, known: Announcement) -> bool:
        """Return whether this announcement replaces a known one of the same server.

        A host that has a server's departure changes the state of an announcement that
        others may know as it came. So of two that are equally new, one that drains
        replaces one that is ready.
        """
        if self.order != known.order:
            return self.order > known.order
        drains = self.state is ServerState.DRAINING
        return drains and known.state is ServerState.READY


@dataclass(frozen=True, slots=True)
class Deregistration:
    """Deregistration of a backend server that is about to stop.

    Attributes:
        incarnation_ms: Start time of the server process in Unix milliseconds, or
            0 if the server didn't send it.
    """

    server_id: str
    incarnation_ms: int


@dataclass(frozen=True, slots=True)
class Departure:
    """An incarnation of a backend server that takes no new work any more.

    Attributes:
        incarnation_ms: Start time of the server process, in Unix milliseconds.
        sequence: Sequence of the announcement that said so. Announcements up to it
            can't restore the server.
        state: DRAINING or GONE.
        service: Service of the server, if no configuration named it when the departure
            was recorded; None for the server of any service.

    Raises:
        InvalidAnnouncementError: A value is out of its bounds.
    """

    server_id: str
    incarnation_ms: int
    sequence: int
    state: ServerState
    service: str | None = None

    def __post_init__(self) -> None:
        _check_text(self.server_id, "server_id", self.server_id)
        if self.service is not None:
            _check_text(self.server_id, "service", self.service)
        _check_number(
            self.server_id, "incarnation_ms", self.incarnation_ms, MAX_INCARNATION_MS
        )
        _check_number(self.server_id, "sequence", self.sequence, MAX_SEQUENCE)

    @property
    def order(self) -> tuple[int, bool, int]:
        """Sort key of the departures of one server; the one that counts is highest."""
        return self.incarnation_ms, self.state is ServerState.GONE, self.sequence

    def concerns(self, announcement: Announcement) -> bool:
        """Return whether this departure is that of the server of an announcement."""
        return self.server_id == announcement.server_id and (
            self.service in (None, announcement.service)
        )


@dataclass(frozen=True, slots=True)
class LeavingServer:
    """A backend server whose responses say that it is about to stop.

    Attributes:
        incarnation_ms: Start time of the server process, in Unix milliseconds.
    """

    server_id: str
    incarnation_ms: int


def _check_text(server_id: str, name: str, value: str) -> None:
    if len(value) > MAX_TEXT_CHARACTERS:
        raise InvalidAnnouncementError(
            f"{name} of server {server_id[:MAX_TEXT_CHARACTERS]!r} has {len(value)} "
            f"characters, expected {MAX_TEXT_CHARACTERS} at most"
        )
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise InvalidAnnouncementError(
            f"{name} of server {server_id!r} is not Unicode text: {error}"
        ) from error


def _check_number(server_id: str, name: str, value: float, maximum: float) -> None:
    if not 0 <= value <= maximum:
        found = str(value)[:_MAX_QUOTED_DIGITS]
        raise InvalidAnnouncementError(
            f"{name} of server {server_id!r} is {found}, expected 0 to {maximum}"
        )
