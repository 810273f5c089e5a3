"""What the entry hosts of a zone say to each other, and what a driver must do."""

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
    """Who is at the other end of a link; the first thing that each side says."""

    host_id: str
    zone: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class ZoneMessage:
    """One message on a link; without content it is a heartbeat.

    Attributes:
        digest: XOR of the references of all entries that the sender holds.
        held: All references that the sender holds, or None when it doesn't say.
        wanted: References whose full entries the sender asks for.
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
    """Why a link has to be closed."""

    SILENT = "silent"
    WRONG_ZONE = "wrong_zone"
    OWN_HOST = "own_host"
    NO_HELLO = "no_hello"


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; the driver reports ``message_sent`` when it has left."""

    link_id: int
    message: ZoneMessage


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link at once; the driver may open a new connection."""

    link_id: int
    reason: CloseReason


Action = Send | CloseLink
