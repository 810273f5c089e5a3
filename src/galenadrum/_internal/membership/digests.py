"""Digests of other zones: what each could take over, and how old that is."""

from __future__ import annotations

from dataclasses import dataclass, replace

from galenadrum._internal.models.servers import DEFAULT_REGION, ZoneDigest

DIGEST_TTL_S = 30.0
MAX_STAGES = 256
_MAX_ZONES = 64
_MIN_INTERVAL_S = 1.0
_MAX_INTERVAL_S = 15.0
_BYTES_PER_S = 400
_STAGE_BYTES = 8
_MIN_PROGRESS_S = 0.05


@dataclass(frozen=True, slots=True)
class StageLoad:
    """The load of one stage in a zone.

    Attributes:
        free_capacity: Calls that could start at once.
        queue_delay_s: Expected wait of a new call, in seconds.
        capacity: Calls that run at once when nothing else does.
        service_s: Recent mean service time, in seconds; 0 when not known.
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
    """The digest of a zone on its way between hosts.

    Attributes:
        serial: Identifies the digest; only compared for equality.
        age_s: Seconds since the zone made it.
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
    made_at: float


class DigestTable:
    """The newest digest of each other zone.

    Args:
        zone: The zone of this host, whose digests are ignored.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._held_by_zone: dict[str, _HeldDigest] = {}

    def merge(self, digest: PeerDigest, now: float) -> bool:
        """Take a digest; return whether it is newer than what was known."""
        if digest.zone == self._zone or len(digest.stages) > MAX_STAGES:
            return False
        made_at = now - max(0.0, digest.age_s)
        held = self._held_by_zone.get(digest.zone)
        if held is None:
            is_news = len(self._held_by_zone) < _MAX_ZONES
        else:
            is_other = held.digest.serial != digest.serial
            is_news = is_other and made_at > held.made_at + _MIN_PROGRESS_S
        if not is_news or now - made_at >= DIGEST_TTL_S:
            return False
        self._held_by_zone[digest.zone] = _HeldDigest(digest, made_at)
        return True

    def holds(self, digest: PeerDigest) -> bool:
        """Return whether this is the digest that is held of its zone."""
        held = self._held_by_zone.get(digest.zone)
        return held is not None and held.digest.serial == digest.serial

    def expire(self, now: float) -> None:
        """Forget digests that are too old to act on."""
        for zone, held in list(self._held_by_zone.items()):
            if now - held.made_at >= DIGEST_TTL_S:
                del self._held_by_zone[zone]

    def peer_digest(self, zone: str, now: float) -> PeerDigest | None:
        """Return the digest of a zone in the form that is passed on."""
        held = self._held_by_zone.get(zone)
        if held is None:
            return None
        return replace(held.digest, age_s=now - held.made_at)

    def digests_by_stage(self, now: float) -> dict[str, tuple[ZoneDigest, ...]]:
        """Return the digests that are young enough, by stage name."""
        digests: dict[str, list[ZoneDigest]] = {}
        for zone, held in sorted(self._held_by_zone.items()):
            if now - held.made_at >= DIGEST_TTL_S:
                continue
            for load in held.digest.stages:
                digests.setdefault(load.stage, []).append(
                    ZoneDigest(
                        zone=zone,
                        stage=load.stage,
                        free_capacity=load.free_capacity,
                        queue_delay_s=load.queue_delay_s,
                        entry_address=held.digest.entry_address,
                        sent_at=held.made_at,
                        capacity=load.capacity,
                        service_s=load.service_s,
                        failure_share=load.failure_share,
                        region=held.digest.region,
                    )
                )
        return {stage: tuple(items) for stage, items in digests.items()}

    def interval_s(self) -> float:
        """Return how often digests should be exchanged, in seconds.

        The more there is to tell, the more rarely it is told, so that the cost
        of spreading it inside the zone stays bounded.
        """
        digests = [held.digest for held in self._held_by_zone.values()]
        # Inside the zone the digests of a message share one list of names.
        names = {load.stage for digest in digests for load in digest.stages}
        size_bytes = sum(map(len, names)) + _STAGE_BYTES * sum(
            len(digest.stages) for digest in digests
        )
        return min(max(size_bytes / _BYTES_PER_S, _MIN_INTERVAL_S), _MAX_INTERVAL_S)

    def zones(self) -> tuple[str, ...]:
        """Return the zones with a digest."""
        return tuple(self._held_by_zone)
