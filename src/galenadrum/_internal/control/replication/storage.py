"""Durable state of one member in one data folder.

The folder holds the disk id, log segments made of frames, and at most one
snapshot. A write starts only after the one before it was synced, so only the
last write in the last segment may be torn; damage anywhere else is an error.
"""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass

from galenadrum._internal.control.replication import codec, frames
from galenadrum._internal.control.replication.disk import Disk
from galenadrum._internal.control.replication.entries import (
    Entry,
    HardState,
    Snapshot,
    StoredState,
)
from galenadrum._internal.control.replication.messages import Persist
from galenadrum._internal.exceptions import LogDamagedError, StorageError
from galenadrum._internal.protocol import replication_pb2 as pb

logger = logging.getLogger(__name__)

_IDENTITY_NAME = "identity"
_SNAPSHOT_NAME = "snapshot"
_TEMPORARY_SUFFIX = ".new"
_SEGMENT_PREFIX = "segment-"
_SEGMENT_MAX_BYTES = 4 * 1024 * 1024
_DISK_ID_BITS = 64
# Each write appends a data frame with an even number, syncs it, and appends an
# empty frame with an odd number, which isn't synced itself. This marker
# distinguishes a data frame that was damaged after its sync from a torn write.
_FRAME_NUMBERS_PER_WRITE = 2
_SYNC_MARKER = b""


@dataclass(slots=True)
class _Segment:
    """A segment file with its highest entry index and its size in bytes."""

    name: str
    last_index: int = 0
    size: int = 0


class Storage:
    """Reads and writes one data folder; not thread-safe.

    Args:
        disk: File operations on the folder.
        rng: Random generator for the disk id of a new folder; must be seeded
            differently on each member.
    """

    def __init__(self, disk: Disk, rng: random.Random) -> None:
        self._disk = disk
        self._rng = rng
        self._segments: list[_Segment] = []
        self._next_frame_number = 0

    def load(self) -> StoredState:
        """Read the folder and truncate a torn write at its end.

        Raises:
            LogDamagedError: If synced data is damaged or missing.
        """
        names = self._disk.list_files()
        for name in names:
            if name.endswith(_TEMPORARY_SUFFIX):
                self._disk.remove(name)
        disk_id = self._load_identity(names)
        snapshot = self._load_snapshot(names)
        replay = _Replay()
        segment_names = [n for n in names if n.startswith(_SEGMENT_PREFIX)]
        for name in segment_names:
            self._load_segment(name, name == segment_names[-1], replay)
        _check_snapshot_gap(replay, snapshot)
        return StoredState(disk_id, replay.hard_state, snapshot, tuple(replay.entries))

    def _load_identity(self, names: tuple[str, ...]) -> str:
        if _IDENTITY_NAME in names:
            data = self._disk.read(_IDENTITY_NAME)
            return self._read_single_frame(_IDENTITY_NAME, data).decode()
        if any(name.startswith(_SEGMENT_PREFIX) for name in names):
            raise LogDamagedError(
                f"{_IDENTITY_NAME}: file is missing, but log segments exist"
            )
        disk_id = f"{self._rng.getrandbits(_DISK_ID_BITS):016x}"
        self._replace_file(_IDENTITY_NAME, disk_id.encode())
        return disk_id

    def _load_snapshot(self, names: tuple[str, ...]) -> Snapshot | None:
        if _SNAPSHOT_NAME not in names:
            return None
        data = self._disk.read(_SNAPSHOT_NAME)
        return codec.snapshot_from_bytes(self._read_single_frame(_SNAPSHOT_NAME, data))

    def _read_single_frame(self, name: str, data: bytes) -> bytes:
        frame = frames.read_frame(data, 0)
        if frame is None or frame.end != len(data):
            raise LogDamagedError(f"{name}: damaged at byte 0")
        return frame.payload

    def _load_segment(self, name: str, is_last: bool, replay: _Replay) -> None:
        data = self._disk.read(name)
        segment = _Segment(name, size=len(data))
        offset = 0
        while offset < len(data):
            frame = frames.read_frame(data, offset)
            if frame is None:
                self._truncate_torn_tail(segment, data, offset, is_last)
                break
            self._check_frame_number(segment, frame)
            self._next_frame_number = frame.number + 1
            if frame.payload:
                batch = pb.StoredBatch.FromString(frame.payload)
                replay.add_batch(batch, name, offset)
                segment.last_index = max(
                    [segment.last_index, *(e.index for e in batch.entries)]
                )
            offset = frame.end
        self._segments.append(segment)
        if is_last and self._next_frame_number % _FRAME_NUMBERS_PER_WRITE == 1:
            self._append(segment, _SYNC_MARKER)
            self._disk.sync(segment.name)

    def _check_frame_number(self, segment: _Segment, frame: frames.Frame) -> None:
        is_first_frame = not self._segments and frame.offset == 0
        if frame.number != self._next_frame_number and not is_first_frame:
            raise LogDamagedError(
                f"{segment.name}: found frame {frame.number}, expected "
                f"{self._next_frame_number} at byte {frame.offset}"
            )

    def _truncate_torn_tail(
        self, segment: _Segment, data: bytes, offset: int, is_last: bool
    ) -> None:
        number = self._next_frame_number
        if number % _FRAME_NUMBERS_PER_WRITE == 1:
            # The marker isn't synced, so it may be torn together with the next write.
            number += 1
        if not is_last or frames.has_later_frame(data, offset, number):
            raise LogDamagedError(f"{segment.name}: damaged at byte {offset}")
        logger.info(
            "discarded %d bytes of a torn write at the end of %s; truncated to byte %d",
            len(data) - offset,
            segment.name,
            offset,
        )
        self._disk.truncate(segment.name, offset)
        segment.size = offset

    def write(self, batches: tuple[Persist, ...]) -> None:
        """Store batches in order; all are durable when this returns."""
        pending: list[Persist] = []
        for batch in batches:
            if batch.snapshot is not None:
                self._write_frame(pending)
                pending = []
                self._replace_file(
                    _SNAPSHOT_NAME, codec.snapshot_to_bytes(batch.snapshot)
                )
            if batch.reset:
                self._write_frame(pending)
                pending = []
            pending.append(batch)
        self._write_frame(pending)
        if batches:
            self._discard_segments(batches[-1].discard_before)

    def _write_frame(self, batches: list[Persist]) -> None:
        if not batches:
            return
        record = _merge_batches(batches)
        segment = self._current_segment()
        is_new = segment.size == 0
        self._append(segment, record.SerializeToString())
        self._disk.sync(segment.name)
        if is_new:
            self._disk.sync_folder()
        self._append(segment, _SYNC_MARKER)
        indices = [e.index for batch in batches for e in batch.entries]
        segment.last_index = max([segment.last_index, *indices])

    def _append(self, segment: _Segment, payload: bytes) -> None:
        data = frames.encode_frame(self._next_frame_number, payload)
        self._next_frame_number += 1
        self._disk.append(segment.name, data)
        segment.size += len(data)

    def _current_segment(self) -> _Segment:
        if self._segments and self._segments[-1].size < _SEGMENT_MAX_BYTES:
            return self._segments[-1]
        if self._segments:
            self._disk.sync(self._segments[-1].name)
        segment = _Segment(f"{_SEGMENT_PREFIX}{self._next_frame_number:020d}")
        self._segments.append(segment)
        return segment

    def _replace_file(self, name: str, payload: bytes) -> None:
        temporary = name + _TEMPORARY_SUFFIX
        self._disk.append(temporary, frames.encode_frame(0, payload))
        self._disk.sync(temporary)
        self._disk.rename(temporary, name)
        self._disk.sync_folder()

    def _discard_segments(self, discard_before: int) -> None:
        while len(self._segments) > 1 and self._segments[0].last_index < discard_before:
            self._disk.remove(self._segments.pop(0).name)
            # Each removal is synced before the next one, so that a crash can't leave a
            # gap between segments.
            self._disk.sync_folder()

    @property
    def size_bytes(self) -> int:
        """Total size of the segments, in bytes."""
        return sum(segment.size for segment in self._segments)

    def close(self) -> None:
        """Close the folder and release its lock."""
        self._disk.close()


class _Replay:
    """Rebuilds the hard state and the entries from stored batches."""

    def __init__(self) -> None:
        self.hard_state = HardState()
        self.entries: list[Entry] = []

    def add_batch(self, batch: pb.StoredBatch, name: str, offset: int) -> None:
        """Apply one batch, read from file ``name`` at byte ``offset``.

        Raises:
            LogDamagedError: If the index of an entry is out of order.
        """
        self.hard_state = HardState(batch.term, batch.voted_for)
        if batch.reset:
            self.entries.clear()
        for record in batch.entries:
            self._add_entry(codec.decode_entry(record), name, offset)

    def _add_entry(self, entry: Entry, name: str, offset: int) -> None:
        if self.entries:
            first = self.entries[0].index
            if not first <= entry.index <= self.entries[-1].index + 1:
                raise LogDamagedError(
                    f"{name}: entry {entry.index} is out of order after "
                    f"{self.entries[-1].index} at byte {offset}"
                )
            del self.entries[entry.index - first :]
        self.entries.append(entry)


def _check_snapshot_gap(replay: _Replay, snapshot: Snapshot | None) -> None:
    if not replay.entries:
        return
    snapshot_index = snapshot.index if snapshot else 0
    if replay.entries[0].index > snapshot_index + 1:
        raise LogDamagedError(
            f"{_SNAPSHOT_NAME}: entries from {replay.entries[0].index} leave a gap "
            f"after the snapshot at index {snapshot_index}"
        )


def _merge_batches(batches: list[Persist]) -> pb.StoredBatch:
    hard_state = batches[-1].hard_state
    return pb.StoredBatch(
        term=hard_state.term,
        voted_for=hard_state.voted_for,
        reset=batches[0].reset,
        entries=[codec.encode_entry(e) for batch in batches for e in batch.entries],
    )


def open_storage(disk: Disk, rng: random.Random) -> tuple[Storage, StoredState]:
    """Open a data folder and load its state.

    Raises:
        StorageError: If the folder can't be read.
        LogDamagedError: If synced data is damaged or missing.
    """
    storage = Storage(disk, rng)
    try:
        return storage, storage.load()
    except OSError as error:
        raise StorageError(f"can't read the data folder: {error}") from error
