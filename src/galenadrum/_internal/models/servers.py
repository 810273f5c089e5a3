"""Announcements of backend servers, and load digests exchanged by zones."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

# Region of zones without a region in their settings.
DEFAULT_REGION = "default"


class ServerState(StrEnum):
    """Whether a backend server accepts new calls."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Last reported load of a backend server.

    Attributes:
        running: Number of running calls.
        queued: Number of accepted calls that wait.
        age_s: Age of the report in seconds at the time of the announcement.
    """

    running: int
    queued: int
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change in a server's prefix cache; events can be delayed or lost.

    Attributes:
        sequence: Sequence number of the event; a gap shows lost events.
        stored: Hashes of the prefix blocks added to the cache.
        evicted: Hashes of the prefix blocks evicted from the cache.
    """

    sequence: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Announcement:
    """Announcement of a backend server, sent at registration and renewals.

    Attributes:
        server_id: Unique name, kept across restarts.
        incarnation: Number that increases with each restart of the server.
        sequence: Number that increases with each announcement of an incarnation.
        address: IP address and port, such as ``10.0.0.7:9000``.
        stages: Names of the stages that it serves.
        capacity: Maximum number of concurrent calls, at least 1.
        ttl_s: Seconds after which the announcement expires without renewal.
        model_versions: Pairs of name and version of the loaded models.
        checks_fencing: Whether it refuses orders with an outdated fencing number,
            or None if it doesn't announce this.
    """

    server_id: str
    incarnation: int
    sequence: int
    address: str
    zone: str
    stages: tuple[str, ...]
    capacity: int
    ttl_s: float
    state: ServerState = ServerState.SERVING
    model_versions: tuple[tuple[str, str], ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "both"
    checks_fencing: bool | None = None
    checks_orderer: bool = False
    load: LoadReport | None = None
    cache_events: tuple[CacheEvent, ...] = ()


@dataclass(frozen=True, slots=True)
class ZoneDigest:
    """Load summary of one stage that a zone sends to the other zones.

    Attributes:
        free_capacity: Number of calls that could start immediately.
        queue_delay_s: Expected queueing delay of a new call, in seconds.
        entry_address: Address of an entry host of the zone that accepts
            forwarded calls.
        received_at: Loop time of the receiver at which the digest arrived, in seconds.
        capacity: Maximum number of concurrent calls of the zone's servers.
        service_s: Recent mean service time of the stage in seconds, 0 if unknown.
        failure_share: Recent share of the zone's calls that failed, 0 to 1.
        region: Region of the zone.
    """

    zone: str
    stage: str
    free_capacity: int
    queue_delay_s: float
    entry_address: str
    received_at: float
    capacity: int = 0
    service_s: float = 0.0
    failure_share: float = 0.0
    region: str = DEFAULT_REGION
