"""Chooses another zone for a call, by the digests of the zones."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field
from random import Random

from galenadrum._internal.models.servers import DEFAULT_REGION, ZoneDigest
from galenadrum._internal.routing.counters import CallKey

# What a digest may be old when one comes each second; it may be older by the rest
# of the interval, up to a limit, where they come more rarely.
_DIGEST_MAX_AGE_S = 3.0
_SHORT_INTERVAL_S = 1.0
_LATE_SHARE = 1.2
_OLDEST_DIGEST_S = 25.0
_FAILURE_STEP = 0.2
_MAX_FAILURE_SHARE = 0.5
_FAILURE_FADE_S = 5.0
_USABLE_SHARE = 0.5
ZONE_HOP_S = 0.005
ZONE_SERVER_PREFIX = "zone/"


def zone_server_id(zone: str) -> str:
    """Return the server id under which calls forwarded to a zone are counted."""
    return ZONE_SERVER_PREFIX + zone


@dataclass(slots=True)
class _ZoneStage:
    """One stage of another zone.

    Attributes:
        sent_at_by_key: When the calls that are there now were forwarded.
        interval_s: Seconds between the last two digests, 0 before the second.
    """

    digest: ZoneDigest
    sent_at_by_key: dict[CallKey, float] = field(default_factory=dict)
    failure_share: float = 0.0
    failed_at: float = 0.0
    interval_s: float = 0.0

    def is_fresh(self, now: float) -> bool:
        """Whether the digest is no older than usual when the next one comes."""
        late_s = _LATE_SHARE * max(0.0, self.interval_s - _SHORT_INTERVAL_S)
        limit_s = min(_DIGEST_MAX_AGE_S + late_s, _OLDEST_DIGEST_S)
        return now - self.digest.sent_at <= limit_s


class ZoneDigests:
    """What other zones told of their stages, and what was sent there since.

    Zones of the own region are near; those of others are taken when no near one
    will do.
    """

    def __init__(self, own_zone: str, own_region: str = DEFAULT_REGION) -> None:
        self._own_zone = own_zone
        self._own_region = own_region
        self._by_stage: dict[str, dict[str, _ZoneStage]] = {}

    def update(self, digests: tuple[ZoneDigest, ...]) -> None:
        """Take the latest digests in; older ones than known are skipped."""
        for digest in digests:
            if digest.zone == self._own_zone:
                continue
            by_zone = self._by_stage.setdefault(digest.stage, {})
            known = by_zone.get(digest.zone)
            if known is None:
                by_zone[digest.zone] = _ZoneStage(digest)
            elif digest.sent_at > known.digest.sent_at:
                interval_s = digest.sent_at - known.digest.sent_at
                # A longer one was an interruption.
                known.interval_s = interval_s if interval_s < _OLDEST_DIGEST_S else 0.0
                known.digest = digest

    def fresh(self, stage: str, now: float) -> list[ZoneDigest]:
        """Return the digests of a stage that are not outdated."""
        return [entry.digest for entry in self._fresh(stage, now)]

    def near(self, stage: str, now: float) -> list[ZoneDigest]:
        """Return those of them that come from the own region."""
        return [entry.digest for entry in self._near(self._fresh(stage, now))]

    def best(
        self,
        stage: str,
        tried_server_ids: frozenset[str],
        now: float,
        random: Random,
        *,
        even_full: bool,
    ) -> ZoneDigest | None:
        """Return a zone that should take a call.

        Zones are drawn in proportion to what they have free, so that the
        entry hosts that saw the same digest don't all choose one zone.

        Args:
            stage: The stage of the call.
            tried_server_ids: Zones among them are left out.
            now: Loop time in seconds.
            random: Source of the draw.
            even_full: Whether a zone without free capacity will do; the one
                with the least queue delay is taken then.
        """
        entries = [
            entry
            for entry in self._fresh(stage, now)
            if zone_server_id(entry.digest.zone) not in tried_server_ids
        ]
        roomy = [entry for entry in entries if _free(entry, now) >= 1.0]
        roomy = self._near(roomy) or roomy
        if roomy:
            weights = [_free(entry, now) for entry in roomy]
            return random.choices(roomy, weights)[0].digest
        if not (even_full and entries):
            return None
        entries = self._near(entries) or entries
        return min(entries, key=lambda e: _full_delay_s(e, random)).digest

    def delay_s(self, stage: str, zone: str) -> float:
        """Return the expected wait in a zone, with what was sent there since."""
        entry = self._by_stage[stage][zone]
        digest = entry.digest
        over = max(0.0, _sent_since(entry) - digest.free_capacity)
        return digest.queue_delay_s + over * digest.service_s / max(1, digest.capacity)

    def free(self, stage: str, now: float) -> float:
        """Return the calls that other zones can start for this host."""
        return sum(_free(entry, now) for entry in self._fresh(stage, now))

    def sent(self, stage: str, zone: str, key: CallKey, now: float) -> None:
        """Count a call forwarded to a zone."""
        self._by_stage[stage][zone].sent_at_by_key[key] = now

    def ended(
        self, stage: str, zone: str, key: CallKey, failed: bool, now: float
    ) -> None:
        """Count the end of a forwarded call."""
        entry = self._by_stage[stage][zone]
        del entry.sent_at_by_key[key]
        if failed:
            entry.failed_at = now
        entry.failure_share += _FAILURE_STEP * (float(failed) - entry.failure_share)

    def _near(self, entries: list[_ZoneStage]) -> list[_ZoneStage]:
        return [e for e in entries if e.digest.region == self._own_region]

    def _fresh(self, stage: str, now: float) -> list[_ZoneStage]:
        return [
            entry
            for entry in self._by_stage.get(stage, {}).values()
            if entry.is_fresh(now)
        ]


def _free(entry: _ZoneStage, now: float) -> float:
    """Return the share of a zone's free capacity that this host may use."""
    fade = math.exp(-max(0.0, now - entry.failed_at) / _FAILURE_FADE_S)
    if entry.failure_share * fade > _MAX_FAILURE_SHARE:
        return 0.0
    # What is free becomes less certain with each second that nothing is heard.
    age_s = max(_DIGEST_MAX_AGE_S, now - entry.digest.sent_at)
    usable = _USABLE_SHARE * _DIGEST_MAX_AGE_S / age_s
    return entry.digest.free_capacity * usable - _sent_since(entry)


def _sent_since(entry: _ZoneStage) -> int:
    """Return the calls away that the zone's digest doesn't show yet."""
    return sum(
        sent_at >= entry.digest.sent_at for sent_at in entry.sent_at_by_key.values()
    )


def _full_delay_s(entry: _ZoneStage, random: Random) -> float:
    """Return the queue delay of a zone, with noise against common choices."""
    digest = entry.digest
    queued = len(entry.sent_at_by_key) / max(1, digest.capacity)
    noise_s = random.uniform(0.0, 0.2 * max(digest.service_s, 0.01))
    return digest.queue_delay_s + queued * digest.service_s + noise_s


def home_zone(prefix_hashes: tuple[str, ...], capacity_by_zone: dict[str, int]) -> str:
    """Return the zone that keeps a prefix, by weighted rendezvous hashing.

    The block in the middle of the prefix stands for it: the first blocks may
    be common to all calls and the last ones unique to one.
    """
    middle = prefix_hashes[len(prefix_hashes) // 2]
    return max(
        sorted(capacity_by_zone),
        key=lambda zone: _rendezvous(middle, zone, capacity_by_zone[zone]),
    )


def _rendezvous(block: str, name: str, weight: int) -> float:
    digest = hashlib.blake2b(f"{block}/{name}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -max(weight, 1) / math.log(uniform)
