"""A document of version 0, which once stood for no document."""

import asyncio
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
    encode_evacuation_command,
    was_accepted,
)
from galenadrum._internal.configuration.versions import (
    NO_VERSION,
    decode_version,
    encode_version,
)
from galenadrum._internal.control.routing.configurations import (
    ACCEPTED,
    SUPERSEDED,
    UNSUPPORTED,
    Configurations,
)
from galenadrum._internal.exceptions import StorageError
from galenadrum._internal.gateway.control_links import ControlLinks
from galenadrum._internal.gateway.lease import ConfigurationLease
from galenadrum._internal.protocol import gateway_pb2 as pb


def build_command(version, text=b"{}"):
    return VersionedDocument.from_bytes(version, text).to_command()


ORDER = encode_evacuation_command("b", True, 1_000)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("document"), st.integers(0, 3), st.binary(max_size=4)),
        st.tuples(st.just("order"), st.sampled_from("ab"), st.booleans()),
        st.tuples(st.just("restart")),
    ),
    max_size=16,
)


class TestState:
    @given(steps)
    def test_random_documents_orders_and_restarts_lose_something(self, steps):
        state, version, text, is_active_by_zone = ConfigurationState(), -1, None, {}
        for index, step in enumerate(steps, 1):
            match step:
                case ("document", new, data):
                    result = state.apply(index, build_command(new, data))
                    assert was_accepted(result) == (new > version)
                    if new > version:
                        version, text = new, data
                case ("order", zone, is_active):
                    command = encode_evacuation_command(zone, is_active, 1_000)
                    assert was_accepted(state.apply(index, command))
                    is_active_by_zone[zone] = is_active
                case ("restart",):
                    restored = ConfigurationState()
                    restored.restore(state.snapshot())
                    assert restored.snapshot() == state.snapshot()
                    state = restored
            found = None if state.current is None else state.current.document()
            assert (state.version, found) == (version, text)
            evacuated = sorted(z for z, active in is_active_by_zone.items() if active)
            assert list(state.find_evacuated_zones()) == evacuated

    def test_earlier_build_cannot_read_the_records_of_a_snapshot(self):
        state = ConfigurationState()
        state.apply(1, build_command(0))
        state.apply(2, ORDER)
        version, records = state.snapshot()[:8], state.snapshot()[8:]
        assert int.from_bytes(version) == 0
        # What that build reads of each record.
        active = [
            str(record["zone"])
            for record in json.loads(records)
            if (int(record["order"]), int(record["changed_at_ms"]))
            and bool(record["is_active"])
        ]
        assert active == ["b"]

    def test_snapshot_with_an_unreadable_document_is_accepted(self):
        record = {"zone": "", "is_active": False, "order": 0, "changed_at_ms": 0}
        data = bytes(8) + json.dumps([{**record, "document": "%"}]).encode()
        with pytest.raises(StorageError):
            ConfigurationState().restore(data)


class TestMessages:
    @pytest.mark.parametrize("version", [NO_VERSION, 0, 1, 2**63 - 1])
    @pytest.mark.parametrize(
        "kind", [pb.LinkHello, pb.LinkPong, pb.NewestVersionResponse]
    )
    def test_version_0_reads_as_none(self, kind, version):
        data = kind(version=encode_version(version)).SerializeToString()
        assert decode_version(kind.FromString(data)) == version

    def test_message_of_an_earlier_build_without_a_version_reads_as_version_0(self):
        assert decode_version(pb.LinkPong.FromString(b"\x10\x01")) == NO_VERSION


class TestLease:
    def test_confirmation_of_version_0_counts_before_it_is_applied(self):
        lease = ConfigurationLease(5.0)
        lease.record_confirmation(0, 10.0)
        assert not lease.is_valid(10.1)
        lease.record_applied_version(0)
        assert lease.is_valid(10.1)

    def test_pong_without_a_version_confirms_version_0(self):
        async def run():
            confirmed = []
            links = ControlLinks(
                pb.LinkHello,
                tuple,
                lambda link, message: None,
                lambda version, at: confirmed.append(version),
                lambda link: None,
                random.Random(1),
            )

            class Link:
                address = "10.0.0.1:7740"

                def pop_ping_sent_at(self, token):
                    return 1.0

            for version in (None, 0, 4):
                pong = pb.LinkPong(is_confirmed=True, version=version)
                links._handle_message(Link(), pb.LinkMessage(pong=pong))
            return confirmed

        assert asyncio.run(run()) == [NO_VERSION, 0, 4]


class FakeLeader:
    """A log that commits each command at once."""

    is_leader = True
    leader_address = None

    def __init__(self, state):
        self._state = state
        self._index = 0

    async def propose(self, command, timeout_s):
        self._index += 1
        return self._state.apply(self._index, command)

    async def wait_until_settled(self, timeout_s):
        pass

    async def read_barrier(self, timeout_s):
        pass


class TestSubmission:
    def test_version_0_is_acknowledged_but_not_kept(self):
        async def run():
            state = ConfigurationState()
            log = FakeLeader(state)
            configurations = Configurations(lambda: log, state, lambda: True)
            response = await configurations.confirm_newest_version()
            assert decode_version(response) == NO_VERSION
            assert await configurations.read() is None
            for version, outcome, kept in (
                (0, ACCEPTED, 0),
                (0, SUPERSEDED, 0),
                (5, ACCEPTED, 5),
                (0, SUPERSEDED, 5),
            ):
                document = VersionedDocument.from_bytes(version, b"%d" % version)
                assert await configurations.submit(document) == outcome
                assert (await configurations.read()).document() == b"%d" % kept

        asyncio.run(run())

    def test_version_0_is_acknowledged_where_an_earlier_build_would_ignore_it(self):
        async def run():
            state, supports = ConfigurationState(), [False]
            log = FakeLeader(state)
            configurations = Configurations(lambda: log, state, lambda: supports[0])
            zero, one = (VersionedDocument.from_bytes(v, b"") for v in (0, 1))
            assert await configurations.submit(zero) == UNSUPPORTED
            assert state.current is None
            supports[0] = True
            assert await configurations.submit(zero) == ACCEPTED
            supports[0] = False
            assert await configurations.submit(zero) == SUPERSEDED
            assert await configurations.submit(one) == ACCEPTED
            assert await configurations.submit(zero) == SUPERSEDED

        asyncio.run(run())
