"""Replicated state of the routing document."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
    was_accepted,
)
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
        assert state.version == 0

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
