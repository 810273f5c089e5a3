"""Protobuf codec for the messages between entry hosts."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from galenadrum._internal.membership.digests import PeerDigest, StageLoad
from galenadrum._internal.membership.entries import (
    PeerCacheEvents,
    PeerEntry,
    PeerRenewal,
    PeerTombstone,
)
from galenadrum._internal.membership.hosts import (
    ControlReach,
    HostBeat,
    HostRecord,
    PeerHost,
)
from galenadrum._internal.membership.messages import Hello, ZoneMessage
from galenadrum._internal.models.servers import (
    Announcement,
    CacheEvent,
    LoadReport,
    ServerState,
)
from galenadrum._internal.protocol import zone_pb2

_MS_PER_S = 1_000
_MAX_UINT32_MS = 2**32 - 1

_REACH_TO_PROTO = {
    ControlReach.UNKNOWN: zone_pb2.CONTROL_REACH_UNKNOWN,
    ControlReach.REACHED: zone_pb2.CONTROL_REACH_REACHED,
    ControlReach.UNREACHED: zone_pb2.CONTROL_REACH_UNREACHED,
}
_REACH_FROM_PROTO = {value: key for key, value in _REACH_TO_PROTO.items()}


def encode_message(message: ZoneMessage) -> zone_pb2.ZoneMessage:
    """Encode a message as protobuf."""
    encoded = zone_pb2.ZoneMessage(digest=message.digest, wanted=message.wanted)
    if message.hello is not None:
        encoded.hello.host_id = message.hello.host_id
        encoded.hello.zone = message.hello.zone
        encoded.hello.peer_address = message.hello.peer_address
    encoded.servers.extend(_encode_server(entry) for entry in message.servers)
    if message.renewals:
        _encode_renewals(message.renewals, encoded.server_renewals)
    encoded.hosts.extend(_encode_host(host) for host in message.hosts)
    if message.beats:
        encoded.host_beats.refs.extend(beat.ref for beat in message.beats)
        encoded.host_beats.beats.extend(beat.beat for beat in message.beats)
        encoded.host_beats.ages_ms.extend(_to_ms(beat.age_s) for beat in message.beats)
    if message.held is not None:
        encoded.held.SetInParent()
        encoded.held.refs.extend(message.held)
    encoded.cache_events.extend(
        _encode_cache_events(item) for item in message.cache_events
    )
    encoded.gone.extend(_encode_tombstone(item) for item in message.gone)
    _encode_digests(message.digests, encoded)
    return encoded


def decode_message(encoded: zone_pb2.ZoneMessage) -> ZoneMessage:
    """Decode a message from protobuf.

    Raises:
        ValueError: Parallel lists differ in length, or the position of a digest's
            stage is beyond the message's list of stage names.
    """
    hello = None
    if encoded.HasField("hello"):
        hello = Hello(
            encoded.hello.host_id, encoded.hello.zone, encoded.hello.peer_address
        )
    beats = encoded.host_beats
    return ZoneMessage(
        digest=encoded.digest,
        hello=hello,
        servers=tuple(_decode_server(record) for record in encoded.servers),
        renewals=_decode_renewals(encoded.server_renewals),
        hosts=tuple(_decode_host(record) for record in encoded.hosts),
        beats=tuple(
            HostBeat(ref, beat, age_ms / _MS_PER_S)
            for ref, beat, age_ms in zip(
                beats.refs, beats.beats, beats.ages_ms, strict=True
            )
        ),
        held=tuple(encoded.held.refs) if encoded.HasField("held") else None,
        wanted=tuple(encoded.wanted),
        cache_events=tuple(_decode_cache_events(item) for item in encoded.cache_events),
        gone=tuple(_decode_tombstone(item) for item in encoded.gone),
        digests=tuple(
            _build_peer_digest(record, _get_stage_names(record, encoded.stage_names))
            for record in encoded.digests
        ),
    )


def encode_digest(digest: PeerDigest) -> zone_pb2.ZoneDigestRecord:
    """Encode a zone's digest as protobuf, with its stages by name."""
    loads = digest.stages
    return zone_pb2.ZoneDigestRecord(
        zone=digest.zone,
        entry_address=digest.entry_address,
        serial=digest.serial,
        age_ms=_to_ms(digest.age_s),
        stages=[load.stage for load in loads],
        free_capacities=[load.free_capacity for load in loads],
        queue_delays_ms=[_to_ms(load.queue_delay_s) for load in loads],
        capacities=[load.capacity for load in loads],
        service_times_ms=[_to_ms(load.service_s) for load in loads],
        failure_percents=[round(load.failure_share * 100) for load in loads],
        region=digest.region,
    )


def decode_digest(record: zone_pb2.ZoneDigestRecord) -> PeerDigest:
    """Decode a digest that holds its stages by name.

    Raises:
        ValueError: Parallel lists differ in length.
    """
    return _build_peer_digest(record, record.stages)


def _encode_digests(
    digests: Iterable[PeerDigest], encoded: zone_pb2.ZoneMessage
) -> None:
    """Add digests, with their stages as positions in the message's list of names."""
    position_by_name: dict[str, int] = {}
    for digest in digests:
        record = encode_digest(digest)
        record.stage_positions.extend(
            position_by_name.setdefault(name, len(position_by_name))
            for name in record.stages
        )
        del record.stages[:]
        encoded.digests.append(record)
    encoded.stage_names.extend(position_by_name)


def _get_stage_names(
    record: zone_pb2.ZoneDigestRecord, names: Sequence[str]
) -> list[str]:
    if any(position >= len(names) for position in record.stage_positions):
        raise ValueError("a digest names a stage that isn't listed")
    return [names[position] for position in record.stage_positions]


def _build_peer_digest(
    record: zone_pb2.ZoneDigestRecord, stages: Sequence[str]
) -> PeerDigest:
    columns = zip(
        stages,
        record.free_capacities,
        record.queue_delays_ms,
        record.capacities,
        record.service_times_ms,
        record.failure_percents,
        strict=True,
    )
    return PeerDigest(
        zone=record.zone,
        entry_address=record.entry_address,
        serial=record.serial,
        age_s=record.age_ms / _MS_PER_S,
        region=record.region,
        stages=tuple(
            StageLoad(
                stage=stage,
                free_capacity=free_capacity,
                queue_delay_s=queue_delay_ms / _MS_PER_S,
                capacity=capacity,
                service_s=service_ms / _MS_PER_S,
                failure_share=failure_percent / 100,
            )
            for (
                stage,
                free_capacity,
                queue_delay_ms,
                capacity,
                service_ms,
                failure_percent,
            ) in columns
        ),
    )


def _encode_server(entry: PeerEntry) -> zone_pb2.ServerRecord:
    announcement = entry.announcement
    running_plus_one, queued, load_age_ms = _encode_load(announcement.load)
    return zone_pb2.ServerRecord(
        server_id=announcement.server_id,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
        address=announcement.address,
        zone=announcement.zone,
        stages=announcement.stages,
        capacity=announcement.capacity,
        ttl_s=announcement.ttl_s,
        leaving=announcement.state is ServerState.LEAVING,
        model_versions=[
            zone_pb2.ModelVersion(model=model, version=version)
            for model, version in announcement.model_versions
        ],
        adapters=announcement.adapters,
        role=announcement.role,
        checks_fencing=announcement.checks_fencing,
        checks_orderer=announcement.checks_orderer,
        running_plus_one=running_plus_one,
        queued=queued,
        load_age_ms=load_age_ms,
        age_ms=_to_ms(entry.age_s),
    )


def _decode_server(record: zone_pb2.ServerRecord) -> PeerEntry:
    announcement = Announcement(
        server_id=record.server_id,
        incarnation=record.incarnation,
        sequence=record.sequence,
        address=record.address,
        zone=record.zone,
        stages=tuple(record.stages),
        capacity=record.capacity,
        ttl_s=record.ttl_s,
        state=ServerState.LEAVING if record.leaving else ServerState.SERVING,
        model_versions=tuple(
            (item.model, item.version) for item in record.model_versions
        ),
        adapters=tuple(record.adapters),
        role=record.role,
        checks_fencing=record.checks_fencing
        if record.HasField("checks_fencing")
        else None,
        checks_orderer=record.checks_orderer,
        load=_decode_load(record.running_plus_one, record.queued, record.load_age_ms),
    )
    return PeerEntry(announcement, record.age_ms / _MS_PER_S)


def _encode_renewals(
    renewals: tuple[PeerRenewal, ...], encoded: zone_pb2.ServerRenewals
) -> None:
    for renewal in renewals:
        running_plus_one, queued, load_age_ms = _encode_load(renewal.load)
        encoded.refs.append(renewal.ref)
        encoded.sequences.append(renewal.sequence)
        encoded.ages_ms.append(_to_ms(renewal.age_s))
        encoded.running_plus_one.append(running_plus_one)
        encoded.queued.append(queued)
        encoded.load_ages_ms.append(load_age_ms)


def _decode_renewals(encoded: zone_pb2.ServerRenewals) -> tuple[PeerRenewal, ...]:
    columns = zip(
        encoded.refs,
        encoded.sequences,
        encoded.ages_ms,
        encoded.running_plus_one,
        encoded.queued,
        encoded.load_ages_ms,
        strict=True,
    )
    return tuple(
        PeerRenewal(
            ref,
            sequence,
            age_ms / _MS_PER_S,
            _decode_load(running_plus_one, queued, load_age_ms),
        )
        for ref, sequence, age_ms, running_plus_one, queued, load_age_ms in columns
    )


def _encode_load(load: LoadReport | None) -> tuple[int, int, int]:
    """Return running plus 1, queued and the age in ms; zeros without a load."""
    if load is None:
        return (0, 0, 0)
    return (load.running + 1, load.queued, _to_ms(load.age_s))


def _decode_load(
    running_plus_one: int, queued: int, load_age_ms: int
) -> LoadReport | None:
    if running_plus_one == 0:
        return None
    return LoadReport(running_plus_one - 1, queued, load_age_ms / _MS_PER_S)


def _encode_host(host: PeerHost) -> zone_pb2.EntryHostRecord:
    record = host.record
    return zone_pb2.EntryHostRecord(
        host_id=record.host_id,
        peer_address=record.peer_address,
        beat=record.beat,
        revision=record.revision,
        control=_REACH_TO_PROTO[record.control],
        leaving=record.leaving,
        age_ms=_to_ms(host.age_s),
    )


def _decode_host(encoded: zone_pb2.EntryHostRecord) -> PeerHost:
    record = HostRecord(
        host_id=encoded.host_id,
        peer_address=encoded.peer_address,
        beat=encoded.beat,
        revision=encoded.revision,
        control=_REACH_FROM_PROTO.get(encoded.control, ControlReach.UNKNOWN),
        leaving=encoded.leaving,
    )
    return PeerHost(record, encoded.age_ms / _MS_PER_S)


def _encode_cache_events(item: PeerCacheEvents) -> zone_pb2.ServerCacheEvents:
    return zone_pb2.ServerCacheEvents(
        ref=item.ref,
        events=[
            zone_pb2.CacheEventRecord(
                sequence=event.sequence, stored=event.stored, evicted=event.evicted
            )
            for event in item.events
        ],
    )


def _decode_cache_events(item: zone_pb2.ServerCacheEvents) -> PeerCacheEvents:
    events = tuple(
        CacheEvent(event.sequence, tuple(event.stored), tuple(event.evicted))
        for event in item.events
    )
    return PeerCacheEvents(item.ref, events)


def _encode_tombstone(tombstone: PeerTombstone) -> zone_pb2.ServerTombstone:
    incarnation, left, sequence, ref = tombstone.rank
    return zone_pb2.ServerTombstone(
        server_id=tombstone.server_id,
        incarnation=incarnation,
        left=left,
        sequence=sequence,
        ref=ref,
    )


def _decode_tombstone(item: zone_pb2.ServerTombstone) -> PeerTombstone:
    rank = (item.incarnation, item.left, item.sequence, item.ref)
    return PeerTombstone(item.server_id, rank)


def _to_ms(seconds: float) -> int:
    """Return milliseconds, clamped to the range of a uint32 field."""
    return min(max(0, round(seconds * _MS_PER_S)), _MAX_UINT32_MS)
