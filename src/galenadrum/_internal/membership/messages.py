"""Messages between the entry hosts of a zone, and actions for the driver."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.membership.digests import PeerDigest
from galenadrum._internal.membership.entries import (
    PeerCacheEvents,
    PeerEntry,
    PeerRenewal,
    PeerTombstone,
)
from galenadrum._internal.membership.hosts import HostBeat, PeerHost


@dataclass(frozen=True, slots=True)
class Hello:
    """Identity of a host, which each side sends first on a new link."""

    host_id: str
    zone: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class ZoneMessage:
    """One message on a link; a message without entries is a heartbeat.

    Attributes:
        digest: XOR of the references of all entries that the sender holds.
        held: All references that the sender holds, or None when they are omitted.
        wanted: References of the full entries that the sender requests.
        gone: Tombstones of servers whose entries the recipient still held.
    """

    digest: int
    hello: Hello | None = None
    servers: tuple[PeerEntry, ...] = ()
    renewals: tuple[PeerRenewal, ...] = ()
    hosts: tuple[PeerHost, ...] = ()
    beats: tuple[HostBeat, ...] = ()
    held: tuple[int, ...] | None = None
    wanted: tuple[int, ...] = ()
    gone: tuple[PeerTombstone, ...] = ()
    cache_events: tuple[PeerCacheEvents, ...] = ()
    digests: tuple[PeerDigest, ...] = ()


class CloseReason(StrEnum):
    """Reason to close a link."""

    SILENT = "silent"
    WRONG_ZONE = "wrong_zone"
    OWN_HOST = "own_host"
    NO_HELLO = "no_hello"


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; the driver calls ``message_sent`` once it has been written."""

    link_id: int
    message: ZoneMessage


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link at once; the driver may open a new connection."""

    link_id: int
    reason: CloseReason


Action = Send | CloseLink
