"""Selection of another zone for a call, based on zone digests."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field
from random import Random

from galenadrum._internal.models.servers import DEFAULT_REGION, ZoneDigest
from galenadrum._internal.routing.counters import CallKey

# Maximum age of a digest when digests arrive every second. Longer intervals extend
# it by _INTERVAL_AGE_FACTOR times their excess over a second, up to
# _MAX_DIGEST_AGE_S.
_BASE_MAX_DIGEST_AGE_S = 3.0
_BASE_DIGEST_INTERVAL_S = 1.0
_INTERVAL_AGE_FACTOR = 1.2
_MAX_DIGEST_AGE_S = 25.0
_FAILURE_SHARE_SMOOTHING = 0.2
_MAX_FAILURE_SHARE = 0.5
_FAILURE_DECAY_S = 5.0
_USABLE_CAPACITY_SHARE = 0.5
ZONE_HOP_LATENCY_S = 0.005
ZONE_SERVER_PREFIX = "zone/"


def zone_server_id(zone: str) -> str:
    """Return the server id that stands for a zone in forwarded calls."""
    return ZONE_SERVER_PREFIX + zone


@dataclass(slots=True)
class _RemoteStage:
    """State of one stage in another zone.

    Attributes:
        digest: Latest digest of the stage.
        sent_at_by_key: Loop times at which the calls in flight were forwarded.
        failure_share: Recent share of forwarded calls that failed, 0 to 1.
        failed_at: Loop time of the last failure.
        interval_s: Seconds between the last two digests; 0 before the second one
            and after an interruption.
    """

    digest: ZoneDigest
    sent_at_by_key: dict[CallKey, float] = field(default_factory=dict)
    failure_share: float = 0.0
    failed_at: float = 0.0
    interval_s: float = 0.0

    def is_fresh(self, now: float) -> bool:
        """Return whether the digest is recent enough for its usual interval."""
        extension_s = _INTERVAL_AGE_FACTOR * max(
            0.0, self.interval_s - _BASE_DIGEST_INTERVAL_S
        )
        limit_s = min(_BASE_MAX_DIGEST_AGE_S + extension_s, _MAX_DIGEST_AGE_S)
        return now - self.digest.received_at <= limit_s


class ZoneDigests:
    """Digests of other zones' stages, and the calls forwarded to them.

    Zones of the own region are preferred; zones of other regions are chosen only
    if none of the own region is suitable.
    """

    def __init__(self, own_zone: str, own_region: str = DEFAULT_REGION) -> None:
        self._own_zone = own_zone
        self._own_region = own_region
        self._by_stage: dict[str, dict[str, _RemoteStage]] = {}

    def update(self, digests: tuple[ZoneDigest, ...]) -> None:
        """Store the given digests, skipping those that are not newer than known."""
        for digest in digests:
            if digest.zone == self._own_zone:
                continue
            by_zone = self._by_stage.setdefault(digest.stage, {})
            known = by_zone.get(digest.zone)
            if known is None:
                by_zone[digest.zone] = _RemoteStage(digest)
            elif digest.received_at > known.digest.received_at:
                interval_s = digest.received_at - known.digest.received_at
                # A longer interval was an interruption.
                known.interval_s = interval_s if interval_s < _MAX_DIGEST_AGE_S else 0.0
                known.digest = digest

    def list_fresh(self, stage: str, now: float) -> list[ZoneDigest]:
        """Return the digests of a stage that are fresh."""
        return [entry.digest for entry in self._list_fresh_entries(stage, now)]

    def list_same_region(self, stage: str, now: float) -> list[ZoneDigest]:
        """Return the fresh digests of a stage from the own region."""
        return [
            entry.digest
            for entry in self._filter_same_region(self._list_fresh_entries(stage, now))
        ]

    def choose_zone(
        self,
        stage: str,
        tried_server_ids: frozenset[str],
        now: float,
        random: Random,
        *,
        allow_full: bool,
    ) -> ZoneDigest | None:
        """Return the digest of the zone chosen for a call, or None.

        Zones are drawn at random in proportion to their usable capacity, so that
        entry hosts with the same digests don't all choose the same zone.

        Args:
            stage: The stage of the call.
            tried_server_ids: Servers and zones of earlier attempts; these zones
                are excluded.
            now: Loop time in seconds.
            random: Random source of the choice.
            allow_full: Fall back to the zone with the least queue delay if none
                has free capacity.
        """
        entries = [
            entry
            for entry in self._list_fresh_entries(stage, now)
            if zone_server_id(entry.digest.zone) not in tried_server_ids
        ]
        with_capacity = [
            entry for entry in entries if _estimate_usable_capacity(entry, now) >= 1.0
        ]
        with_capacity = self._filter_same_region(with_capacity) or with_capacity
        if with_capacity:
            weights = [_estimate_usable_capacity(entry, now) for entry in with_capacity]
            return random.choices(with_capacity, weights)[0].digest
        if not (allow_full and entries):
            return None
        entries = self._filter_same_region(entries) or entries
        return min(entries, key=lambda e: _estimate_noisy_delay_s(e, random)).digest

    def estimate_delay_s(self, stage: str, zone: str) -> float:
        """Return the expected queue delay in a zone, in seconds.

        It includes the calls forwarded since the zone's digest.
        """
        entry = self._by_stage[stage][zone]
        digest = entry.digest
        excess_calls = max(0.0, _count_unreported_calls(entry) - digest.free_capacity)
        return digest.queue_delay_s + excess_calls * digest.service_s / max(
            1, digest.capacity
        )

    def sum_usable_capacity(self, stage: str, now: float) -> float:
        """Return the number of calls that other zones can start for this host."""
        return sum(
            _estimate_usable_capacity(entry, now)
            for entry in self._list_fresh_entries(stage, now)
        )

    def record_forward(self, stage: str, zone: str, key: CallKey, now: float) -> None:
        """Record that a call was forwarded to a zone."""
        self._by_stage[stage][zone].sent_at_by_key[key] = now

    def record_forward_end(
        self, stage: str, zone: str, key: CallKey, failed: bool, now: float
    ) -> None:
        """Record the end of a forwarded call."""
        entry = self._by_stage[stage][zone]
        del entry.sent_at_by_key[key]
        if failed:
            entry.failed_at = now
        entry.failure_share += _FAILURE_SHARE_SMOOTHING * (
            float(failed) - entry.failure_share
        )

    def _filter_same_region(self, entries: list[_RemoteStage]) -> list[_RemoteStage]:
        return [e for e in entries if e.digest.region == self._own_region]

    def _list_fresh_entries(self, stage: str, now: float) -> list[_RemoteStage]:
        return [
            entry
            for entry in self._by_stage.get(stage, {}).values()
            if entry.is_fresh(now)
        ]


def _estimate_usable_capacity(entry: _RemoteStage, now: float) -> float:
    """Return the free capacity of a zone that this host may use."""
    decay = math.exp(-max(0.0, now - entry.failed_at) / _FAILURE_DECAY_S)
    if entry.failure_share * decay > _MAX_FAILURE_SHARE:
        return 0.0
    # The reported free capacity becomes less certain as the digest ages.
    age_s = max(_BASE_MAX_DIGEST_AGE_S, now - entry.digest.received_at)
    usable = _USABLE_CAPACITY_SHARE * _BASE_MAX_DIGEST_AGE_S / age_s
    return entry.digest.free_capacity * usable - _count_unreported_calls(entry)


def _count_unreported_calls(entry: _RemoteStage) -> int:
    """Return the number of forwarded calls not yet counted in the digest."""
    return sum(
        sent_at >= entry.digest.received_at for sent_at in entry.sent_at_by_key.values()
    )


def _estimate_noisy_delay_s(entry: _RemoteStage, random: Random) -> float:
    """Return a zone's queue delay with random noise.

    The noise keeps entry hosts from all choosing the same zone.
    """
    digest = entry.digest
    queued = len(entry.sent_at_by_key) / max(1, digest.capacity)
    noise_s = random.uniform(0.0, 0.2 * max(digest.service_s, 0.01))
    return digest.queue_delay_s + queued * digest.service_s + noise_s


def select_home_zone(
    prefix_hashes: tuple[str, ...], capacity_by_zone: dict[str, int]
) -> str:
    """Return the home zone of a prefix by weighted rendezvous hashing.

    The middle block of the prefix is the hash key, because the first blocks may
    be common to all calls and the last ones unique to a single call.
    """
    middle = prefix_hashes[len(prefix_hashes) // 2]
    return max(
        sorted(capacity_by_zone),
        key=lambda zone: _compute_rendezvous_score(
            middle, zone, capacity_by_zone[zone]
        ),
    )


def _compute_rendezvous_score(block: str, name: str, weight: int) -> float:
    digest = hashlib.blake2b(f"{block}/{name}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -max(weight, 1) / math.log(uniform)
