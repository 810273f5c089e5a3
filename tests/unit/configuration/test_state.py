"""The replicated document of the highest version."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
    was_taken,
)
from galenadrum._internal.exceptions import InvariantError, StorageError


def command(version, text=b"{}"):
    return VersionedDocument.from_bytes(version, text).to_command()


class TestApply:
    def test_higher_version_replaces(self):
        state = ConfigurationState()
        assert was_taken(state.apply(1, command(3, b"three")))
        assert was_taken(state.apply(2, command(7, b"seven")))
        assert state.current.document() == b"seven"

    def test_same_or_lower_version_changes_nothing(self):
        state = ConfigurationState()
        state.apply(1, command(3, b"three"))
        assert not was_taken(state.apply(2, command(3, b"other")))
        assert not was_taken(state.apply(3, command(2, b"two")))
        assert state.current.document() == b"three"

    def test_entry_without_a_version_is_an_invariant(self):
        with pytest.raises(InvariantError):
            ConfigurationState().apply(1, b"x")

    @given(st.lists(st.tuples(st.integers(1, 9), st.binary(max_size=9)), max_size=20))
    def test_versions_never_fall_and_keep_their_first_document(self, documents):
        state = ConfigurationState()
        first_by_version = {}
        before = 0
        for index, (version, text) in enumerate(documents, 1):
            if was_taken(state.apply(index, command(version, text))):
                first_by_version.setdefault(version, text)
            assert state.version >= before
            before = state.version
            assert state.current.document() == first_by_version[state.version]


class TestSnapshot:
    def test_snapshot_restores_the_same(self):
        state = ConfigurationState()
        state.apply(1, command(4, b"four"))
        copy = ConfigurationState()
        copy.restore(state.snapshot())
        assert copy.current == state.current

    def test_empty_snapshot_holds_nothing(self):
        state = ConfigurationState()
        state.restore(ConfigurationState().snapshot())
        assert state.version == 0

    def test_older_snapshot_does_not_take_a_newer_document_back(self):
        state = ConfigurationState()
        state.apply(1, command(4, b"four"))
        older = ConfigurationState()
        older.apply(1, command(2, b"two"))
        state.restore(older.snapshot())
        assert state.version == 4

    def test_damaged_snapshot_is_refused(self):
        with pytest.raises(StorageError):
            ConfigurationState().restore(b"abc")


class TestListeners:
    def test_each_newer_document_is_told_once(self):
        state = ConfigurationState()
        told = []
        state.add_listener(lambda document: told.append(document.version))
        state.apply(1, command(1))
        state.apply(2, command(1))
        state.apply(3, command(5))
        assert told == [1, 5]
