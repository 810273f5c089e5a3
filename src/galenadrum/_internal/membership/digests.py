"""Digests of other zones: summaries of their free capacity and load."""

from __future__ import annotations

from dataclasses import dataclass, replace

from galenadrum._internal.models.servers import DEFAULT_REGION, ZoneDigest

DIGEST_TTL_S = 30.0
MAX_STAGES = 256
_MAX_ZONES = 64
_MIN_INTERVAL_S = 1.0
_MAX_INTERVAL_S = 15.0
_MAX_DIGEST_BYTES_PER_S = 400
_BYTES_PER_STAGE = 8
_AGE_TOLERANCE_S = 0.05


@dataclass(frozen=True, slots=True)
class StageLoad:
    """Load of one stage in a zone.

    Attributes:
        free_capacity: Number of calls that could start without queueing.
        queue_delay_s: Expected queueing delay of a new call, in seconds.
        capacity: Number of calls that can run concurrently on idle servers.
        service_s: Recent mean service time, in seconds; 0 if unknown.
        failure_share: Recent share of calls that failed, 0 to 1.
    """

    stage: str
    free_capacity: int
    queue_delay_s: float
    capacity: int = 0
    service_s: float = 0.0
    failure_share: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """Digest of a zone in the form sent between hosts.

    Attributes:
        serial: Identifier of the digest, only compared for equality.
        age_s: Seconds since the zone created the digest.
        region: Region of the zone.
    """

    zone: str
    entry_address: str
    serial: int
    age_s: float
    stages: tuple[StageLoad, ...]
    region: str = DEFAULT_REGION


@dataclass(frozen=True, slots=True)
class _HeldDigest:
    digest: PeerDigest
    created_at: float


class DigestTable:
    """Newest digest of each other zone.

    Args:
        zone: The zone of this host, whose digests are ignored.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._held_by_zone: dict[str, _HeldDigest] = {}

    def merge(self, digest: PeerDigest, now: float) -> bool:
        """Store a digest if it is newer than the stored one; return whether it was."""
        if digest.zone == self._zone or len(digest.stages) > MAX_STAGES:
            return False
        created_at = now - max(0.0, digest.age_s)
        held = self._held_by_zone.get(digest.zone)
        if held is None:
            is_newer = len(self._held_by_zone) < _MAX_ZONES
        else:
            is_different = held.digest.serial != digest.serial
            is_newer = is_different and created_at > held.created_at + _AGE_TOLERANCE_S
        if not is_newer or now - created_at >= DIGEST_TTL_S:
            return False
        self._held_by_zone[digest.zone] = _HeldDigest(digest, created_at)
        return True

    def is_stored(self, digest: PeerDigest) -> bool:
        """Return whether this digest is the stored one of its zone."""
        held = self._held_by_zone.get(digest.zone)
        return held is not None and held.digest.serial == digest.serial

    def expire(self, now: float) -> None:
        """Remove digests older than ``DIGEST_TTL_S``."""
        for zone, held in list(self._held_by_zone.items()):
            if now - held.created_at >= DIGEST_TTL_S:
                del self._held_by_zone[zone]

    def peer_digest(self, zone: str, now: float) -> PeerDigest | None:
        """Return the digest of a zone in the form sent to peers, or None."""
        held = self._held_by_zone.get(zone)
        if held is None:
            return None
        return replace(held.digest, age_s=now - held.created_at)

    def digests_by_stage(self, now: float) -> dict[str, tuple[ZoneDigest, ...]]:
        """Return the unexpired digests by stage name."""
        digests: dict[str, list[ZoneDigest]] = {}
        for zone, held in sorted(self._held_by_zone.items()):
            if now - held.created_at >= DIGEST_TTL_S:
                continue
            for load in held.digest.stages:
                digests.setdefault(load.stage, []).append(
                    ZoneDigest(
                        zone=zone,
                        stage=load.stage,
                        free_capacity=load.free_capacity,
                        queue_delay_s=load.queue_delay_s,
                        entry_address=held.digest.entry_address,
                        received_at=held.created_at,
                        capacity=load.capacity,
                        service_s=load.service_s,
                        failure_share=load.failure_share,
                        region=held.digest.region,
                    )
                )
        return {stage: tuple(items) for stage, items in digests.items()}

    def exchange_interval_s(self) -> float:
        """Return the interval between digest exchanges, in seconds.

        The interval grows with the total size of the digests, which bounds the
        bandwidth of forwarding them inside the zone.
        """
        digests = [held.digest for held in self._held_by_zone.values()]
        # Digests in one message between hosts of a zone share one list of stage names.
        names = {load.stage for digest in digests for load in digest.stages}
        size_bytes = sum(map(len, names)) + _BYTES_PER_STAGE * sum(
            len(digest.stages) for digest in digests
        )
        return min(
            max(size_bytes / _MAX_DIGEST_BYTES_PER_S, _MIN_INTERVAL_S), _MAX_INTERVAL_S
        )

    def zones(self) -> tuple[str, ...]:
        """Return the zones with a stored digest."""
        return tuple(self._held_by_zone)
