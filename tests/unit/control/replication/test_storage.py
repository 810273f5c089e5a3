import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.control.replication.disk import FolderDisk
from galenadrum._internal.control.replication.entries import (
    Entry,
    EntryKind,
    HardState,
    Snapshot,
)
from galenadrum._internal.control.replication.membership import Member, Membership
from galenadrum._internal.control.replication.messages import Persist
from galenadrum._internal.control.replication.storage import open_storage
from galenadrum._internal.exceptions import LogDamagedError, StorageError
from lib.fake_disk import DiskCrashed, FakeDisk

SEGMENT = "segment-00000000000000000000"


def batch(sequence, first, count=1, term=1, **more):
    entries = tuple(
        Entry(index, term, EntryKind.COMMAND, b"data-%d" % index)
        for index in range(first, first + count)
    )
    return Persist(sequence, HardState(term, "a"), entries, **more)


def snapshot_at(index):
    return Snapshot(index, 1, Membership((Member("a", "", "disk"),)), b"state")


def open_disk(disk):
    return open_storage(disk, random.Random(1))


def write_batches(disk, *batches):
    storage, _ = open_disk(disk)
    for each in batches:
        storage.write((each,))
    return storage


class TestStorage:
    def test_keeps_disk_id_vote_and_entries(self):
        disk = FakeDisk()
        write_batches(disk, batch(1, 1, 3), batch(2, 3, 2, term=2))
        disk.lose_power(random.Random(1))
        _, stored = open_disk(disk)
        assert stored.hard_state == HardState(2, "a")
        assert [(e.index, e.term) for e in stored.entries] == [
            (1, 1),
            (2, 1),
            (3, 2),
            (4, 2),
        ]
        assert open_disk(disk)[1].disk_id == stored.disk_id

    def test_truncates_torn_tail_and_continues(self):
        disk = FakeDisk()
        write_batches(disk, batch(1, 1))
        size = len(disk.read(SEGMENT))
        disk.append(SEGMENT, disk.read(SEGMENT)[:30])
        storage, stored = open_disk(disk)
        assert [e.index for e in stored.entries] == [1]
        assert len(disk.read(SEGMENT)) == size
        storage.write((batch(1, 2),))
        assert [e.index for e in open_disk(disk)[1].entries] == [1, 2]

    @pytest.mark.parametrize("damaged", [1, 2, 3])
    def test_rejects_damage_to_synced_data(self, damaged):
        disk = FakeDisk()
        storage, _ = open_disk(disk)
        offsets = []
        for number in (1, 2, 3):
            offsets.append(len(disk.read(SEGMENT)) if number > 1 else 0)
            storage.write((batch(number, number),))
        offset = offsets[damaged - 1]
        disk.overwrite(SEGMENT, offset + 30, b"\xff\xff")
        with pytest.raises(LogDamagedError, match=f"{SEGMENT}.*byte {offset}$"):
            open_disk(disk)

    def test_rejects_damaged_or_missing_snapshot(self):
        disk = FakeDisk()
        storage = write_batches(disk, batch(1, 6, snapshot=snapshot_at(5), reset=True))
        storage.close()
        disk.overwrite("snapshot", 30, b"\xff\xff")
        with pytest.raises(LogDamagedError, match="snapshot: damaged"):
            open_disk(disk)
        disk.remove("snapshot")
        with pytest.raises(LogDamagedError, match="entries from 6"):
            open_disk(disk)

    @given(operations=st.integers(0, 12), seed=st.integers(0, 10_000))
    def test_crash_leaves_state_before_or_after_write(self, operations, seed):
        disk = FakeDisk()
        storage = write_batches(disk, batch(1, 1, 4), batch(2, 4, 3, term=2))
        before = open_disk(disk)[1]
        final_batches = (
            batch(3, 9, 2, term=3, snapshot=snapshot_at(8), reset=True),
            batch(4, 11, 1, term=3),
        )
        disk.crash_after(operations)
        try:
            storage.write(final_batches)
            finished = True
        except DiskCrashed:
            finished = False
        disk.lose_power(random.Random(seed))
        _, stored = open_disk(disk)
        indices = [e.index for e in stored.entries]
        if finished:
            assert indices == [9, 10, 11]
        else:
            assert indices in ([e.index for e in before.entries], [9, 10, 11])
        if stored.entries[-1].index == 11:
            assert stored.snapshot == snapshot_at(8)
            assert stored.hard_state.term == 3

    def test_discards_segments_covered_by_snapshot(self, monkeypatch):
        module = "galenadrum._internal.control.replication.storage"
        monkeypatch.setattr(f"{module}._SEGMENT_MAX_BYTES", 200)
        disk = FakeDisk()
        storage = write_batches(disk, *(batch(n, n) for n in range(1, 50)))
        file_count_before = len(disk.list_files())
        storage.write((batch(50, 50, snapshot=snapshot_at(45), discard_before=40),))
        assert len(disk.list_files()) < file_count_before / 2
        _, stored = open_disk(disk)
        assert stored.entries[0].index <= 40
        assert stored.entries[-1].index == 50


class TestFolderDisk:
    def test_locks_folder_exclusively(self, tmp_path):
        first = FolderDisk(tmp_path)
        with pytest.raises(StorageError, match="another process holds"):
            FolderDisk(tmp_path)
        first.close()
        FolderDisk(tmp_path).close()

    def test_state_is_kept_when_folder_is_reopened(self, tmp_path):
        disk = FolderDisk(tmp_path)
        write_batches(
            disk, batch(1, 1, 2), batch(2, 3, snapshot=snapshot_at(2))
        ).close()
        disk = FolderDisk(tmp_path)
        _, stored = open_disk(disk)
        disk.close()
        assert [e.index for e in stored.entries] == [1, 2, 3]
        assert stored.snapshot == snapshot_at(2)
