"""Backend servers as they announce themselves, and what zones tell of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

# The region of zones whose settings name none.
DEFAULT_REGION = "default"


class ServerState(StrEnum):
    """Whether a backend server takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of a backend server, as it last reported it.

    Attributes:
        running: Calls being served.
        queued: Calls accepted and waiting.
        age_s: Age of the report when it was announced, in seconds.
    """

    running: int
    queued: int
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change in a server's prefix cache; events come late and with gaps.

    Attributes:
        sequence: Counts the server's events; a gap means that some were lost.
        stored: Hashes of prefix blocks that are now held.
        evicted: Hashes of prefix blocks that are no longer held.
    """

    sequence: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a backend server says of itself, first and at each renewal.

    Attributes:
        server_id: Unique name that the server keeps over restarts.
        incarnation: Rises at each restart of the server.
        sequence: Rises at each announcement of one incarnation.
        address: IP number and port, such as ``10.0.0.7:9000``.
        stages: Names of the stages that it serves.
        capacity: Calls that it serves at once, at least 1.
        ttl_s: Seconds for which the announcement stands without renewal.
        model_versions: Pairs of model name and version that are loaded.
        checks_fencing: Whether it refuses orders with an old fencing number; None
            when it says nothing of it.
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
    """What one zone tells the others of one stage.

    Attributes:
        free_capacity: Calls that could start at once.
        queue_delay_s: Expected wait of a new call, in seconds.
        entry_address: An entry host of that zone that forwards calls.
        sent_at: Loop time of the receiver at which it arrived, in seconds.
        capacity: Calls that the zone's servers run at once.
        service_s: Recent mean service time of the stage, 0 when not known.
        failure_share: Recent share of the zone's calls that failed, 0 to 1.
        region: Region of the zone.
    """

    zone: str
    stage: str
    free_capacity: int
    queue_delay_s: float
    entry_address: str
    sent_at: float
    capacity: int = 0
    service_s: float = 0.0
    failure_share: float = 0.0
    region: str = DEFAULT_REGION
