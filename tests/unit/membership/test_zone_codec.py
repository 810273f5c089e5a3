import pytest
from hypothesis import given
from hypothesis import strategies as st

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
from galenadrum._internal.membership.zone_codec import decode_message, encode_message
from galenadrum._internal.models.servers import (
    Announcement,
    CacheEvent,
    LoadReport,
    ServerState,
)
from galenadrum._internal.protocol import zone_pb2

_TEXT = st.text(max_size=6)
_TEXTS = st.lists(_TEXT, max_size=2).map(tuple)
_COUNT = st.integers(0, 2**53)
_REF = st.integers(0, 2**64 - 1)
_SECONDS = st.integers(0, 2**31).map(lambda ms: ms / 1_000)
_LOAD = st.none() | st.builds(LoadReport, _COUNT, _COUNT, _SECONDS)
_ANNOUNCEMENT = st.builds(
    Announcement,
    incarnation=_COUNT,
    sequence=_COUNT,
    stages=_TEXTS,
    capacity=st.integers(0, 2**32 - 1),
    ttl_s=st.floats(0, 60),
    state=st.sampled_from(ServerState),
    model_versions=st.lists(st.tuples(_TEXT, _TEXT), max_size=2).map(tuple),
    adapters=_TEXTS,
    role=_TEXT,
    checks_fencing=st.none() | st.booleans(),
    checks_orderer=st.booleans(),
    load=_LOAD,
    cache_events=st.just(()),
)
_HOST = st.builds(
    HostRecord,
    beat=_COUNT,
    revision=_COUNT,
    control=st.sampled_from(ControlReach),
    leaving=st.booleans(),
)
_STAGE_LOAD = st.builds(
    StageLoad,
    free_capacity=st.integers(0, 2**32 - 1),
    queue_delay_s=_SECONDS,
    capacity=st.integers(0, 2**32 - 1),
    service_s=_SECONDS,
    failure_share=st.integers(0, 100).map(lambda percent: percent / 100),
)
_EVENT = st.builds(CacheEvent, _COUNT, _TEXTS, _TEXTS)


def _up_to_two(strategy):
    return st.lists(strategy, max_size=2).map(tuple)


_MESSAGE = st.builds(
    ZoneMessage,
    digest=_REF,
    hello=st.none() | st.builds(Hello),
    servers=_up_to_two(st.builds(PeerEntry, _ANNOUNCEMENT, _SECONDS)),
    renewals=_up_to_two(st.builds(PeerRenewal, _REF, _COUNT, _SECONDS, _LOAD)),
    hosts=_up_to_two(st.builds(PeerHost, _HOST, _SECONDS)),
    beats=_up_to_two(st.builds(HostBeat, _REF, _COUNT, _SECONDS)),
    held=st.none() | _up_to_two(_REF),
    wanted=_up_to_two(_REF),
    gone=_up_to_two(
        st.builds(PeerTombstone, _TEXT, st.tuples(_COUNT, st.booleans(), _COUNT, _REF))
    ),
    cache_events=_up_to_two(st.builds(PeerCacheEvents, _REF, _up_to_two(_EVENT))),
    digests=_up_to_two(
        st.builds(PeerDigest, _TEXT, _TEXT, _REF, _SECONDS, _up_to_two(_STAGE_LOAD))
    ),
)


class TestZoneCodec:
    @given(_MESSAGE)
    def test_decoding_an_encoded_message_returns_it(self, message):
        data = encode_message(message).SerializeToString()
        assert decode_message(zone_pb2.ZoneMessage.FromString(data)) == message

    def test_digests_share_one_list_of_stage_names(self):
        loads = tuple(StageLoad(name, 1, 0.0) for name in ("encode", "generate"))
        digests = tuple(
            PeerDigest(z, "a:1", 1, 0.0, loads, f"of-{z}") for z in ("ba", "nadi")
        )
        encoded = encode_message(ZoneMessage(0, digests=digests))
        assert list(encoded.stage_names) == ["encode", "generate"]
        assert decode_message(encoded).digests == digests
        encoded.digests[1].stage_positions[0] = 2
        with pytest.raises(ValueError, match="listed"):
            decode_message(encoded)
