"""Replicated state of the routing document."""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
    encode_evacuation_command,
    was_accepted,
)
from galenadrum._internal.configuration.versions import NO_VERSION
from galenadrum._internal.exceptions import InvariantError, StorageError


def command(version, text=b"{}"):
    return VersionedDocument.from_bytes(version, text).to_command()


class TestApply:
    def test_higher_version_replaces(self):
        state = ConfigurationState()
        assert was_accepted(state.apply(1, command(3, b"three")))
        assert was_accepted(state.apply(2, command(7, b"seven")))
        assert state.current.document() == b"seven"

    def test_same_or_lower_version_changes_nothing(self):
        state = ConfigurationState()
        state.apply(1, command(3, b"three"))
        assert not was_accepted(state.apply(2, command(3, b"other")))
        assert not was_accepted(state.apply(3, command(2, b"two")))
        assert state.current.document() == b"three"

    def test_command_without_a_version_violates_an_invariant(self):
        with pytest.raises(InvariantError):
            ConfigurationState().apply(1, b"x")

    @given(st.lists(st.tuples(st.integers(1, 9), st.binary(max_size=9)), max_size=20))
    def test_version_never_decreases_and_keeps_its_first_document(self, documents):
        state = ConfigurationState()
        first_by_version = {}
        before = 0
        for index, (version, text) in enumerate(documents, 1):
            if was_accepted(state.apply(index, command(version, text))):
                first_by_version.setdefault(version, text)
            assert state.version >= before
            before = state.version
            assert state.current.document() == first_by_version[state.version]


class TestSnapshot:
    def test_restore_returns_to_the_same_document(self):
        state = ConfigurationState()
        state.apply(1, command(4, b"four"))
        restored = ConfigurationState()
        restored.restore(state.snapshot())
        assert restored.current == state.current

    def test_empty_snapshot_restores_no_document(self):
        state = ConfigurationState()
        state.restore(ConfigurationState().snapshot())
        assert state.current is None
        assert state.version == NO_VERSION

    def test_older_snapshot_does_not_replace_a_newer_document(self):
        state = ConfigurationState()
        state.apply(1, command(4, b"four"))
        older = ConfigurationState()
        older.apply(1, command(2, b"two"))
        state.restore(older.snapshot())
        assert state.version == 4

    def test_truncated_snapshot_is_rejected(self):
        with pytest.raises(StorageError):
            ConfigurationState().restore(b"abc")


class TestListeners:
    def test_listener_receives_each_newer_document_once(self):
        state = ConfigurationState()
        received_versions = []
        state.add_listener(lambda document: received_versions.append(document.version))
        state.apply(1, command(1))
        state.apply(2, command(1))
        state.apply(3, command(5))
        assert received_versions == [1, 5]


def order(zone="b", is_active=True, changed_at_ms=1_000):
    return encode_evacuation_command(zone, is_active, changed_at_ms)


class TestEvacuations:
    def test_latest_order_of_each_zone_holds(self):
        state = ConfigurationState()
        for index, command_ in enumerate(
            (order("b"), order("c"), order("b", False), order("a"), order("b")), 1
        ):
            assert was_accepted(state.apply(index, command_))
        state.apply(6, order("c", False))
        assert state.find_evacuated_zones() == ("a", "b")
        assert state.evacuation_order == 6

    def test_repeated_order_neither_changes_its_index_nor_tells_listeners(self):
        state = ConfigurationState()
        calls = []
        state.add_evacuation_listener(lambda: calls.append(state.evacuation_order))
        for index in (3, 4, 5):
            assert was_accepted(state.apply(index, order()))
        assert state.evacuation_order == 3
        assert calls == [3]

    def test_unreadable_order_is_ignored_and_the_log_goes_on(self):
        state = ConfigurationState()
        for index, data in enumerate((b"", b"{}", b"[1]", b"\xff", b"null"), 1):
            assert not was_accepted(state.apply(index, bytes(8) + data))
        assert state.find_evacuated_zones() == ()

    def test_document_of_version_0_is_no_order(self):
        state = ConfigurationState()
        assert was_accepted(state.apply(1, command(0)))
        assert state.evacuation_order == 0

    def test_untagged_document_of_version_0_is_neither_order_nor_document(self):
        # Logs of earlier builds may hold one, which those builds ignored.
        state = ConfigurationState()
        untagged = bytes(8) + zlib.compress(b"{}")
        assert not was_accepted(state.apply(1, untagged))
        assert state.current is None
        assert state.evacuation_order == 0


class TestSnapshotOfEvacuations:
    @pytest.mark.parametrize("versions", [(), (4,)])
    def test_snapshot_loses_nothing(self, versions):
        state = ConfigurationState()
        for version in versions:
            state.apply(version, command(version, b"four"))
        state.apply(9, order("b"))
        state.apply(10, order("c", False))
        restored = ConfigurationState()
        restored.restore(state.snapshot())
        assert restored.current == state.current
        assert restored.find_evacuated_zones() == ("b",)
        assert restored.evacuation_order == 10
        assert restored.snapshot() == state.snapshot()

    def test_snapshot_without_evacuations_keeps_the_bytes_of_the_build_before(self):
        state = ConfigurationState()
        assert state.snapshot() == b""
        state.apply(1, command(4, b"four"))
        assert state.snapshot() == command(4, b"four")

    def test_build_before_reads_the_document_and_ignores_what_follows(self):
        state = ConfigurationState()
        state.apply(1, command(4, b"four"))
        state.apply(2, order())
        # What that build does with a snapshot.
        version, compressed = state.snapshot()[:8], state.snapshot()[8:]
        assert int.from_bytes(version) == 4
        assert zlib.decompress(compressed) == b"four"
        # It compares the version of a command with that of its document.
        assert int.from_bytes(order()[:8]) == 0

    def test_older_snapshot_takes_no_later_order_back(self):
        older = ConfigurationState()
        older.apply(1, order("b"))
        state = ConfigurationState()
        for index, command_ in enumerate((order("b"), order("b", False)), 1):
            state.apply(index, command_)
        state.restore(older.snapshot())
        assert state.find_evacuated_zones() == ()

    def test_snapshot_with_unreadable_evacuations_is_rejected(self):
        state = ConfigurationState()
        state.apply(1, command(4))
        with pytest.raises(StorageError):
            ConfigurationState().restore(state.snapshot() + b"[{}]")
