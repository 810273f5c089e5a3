"""Durable state of one member in one data folder.

The folder holds its identity, segments of frames and one snapshot. A frame is
written only after the one before it was synced, so only the last frame of the
last segment may be torn; damage anywhere else is refused.
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
# Each write is a frame with an even number and then, when that is synced, an
# empty frame with an odd one, not synced itself. The mark tells a frame that
# was damaged after its sync from one that was torn before.
_NUMBERS_PER_WRITE = 2
_SYNCED_MARK = b""


@dataclass(slots=True)
class _Segment:
    """A segment file and the highest entry index in it."""

    name: str
    last_index: int = 0
    size: int = 0


class Storage:
    """Reads and writes one data folder; not safe for use by two threads.

    Args:
        disk: The folder.
        rng: Draws the disk id of a new folder; must not be predictable
            between members.
    """

    def __init__(self, disk: Disk, rng: random.Random) -> None:
        self._disk = disk
        self._rng = rng
        self._segments: list[_Segment] = []
        self._next_number = 0

    def load(self) -> StoredState:
        """Read the folder, and cut a torn frame off its end.

        Raises:
            LogDamagedError: When something is damaged that was synced.
        """
        names = self._disk.names()
        for name in names:
            if name.endswith(_TEMPORARY_SUFFIX):
                self._disk.remove(name)
        disk_id = self._load_identity(names)
        snapshot = self._load_snapshot(names)
        replay = _Replay()
        segment_names = [n for n in names if n.startswith(_SEGMENT_PREFIX)]
        for name in segment_names:
            self._load_segment(name, name == segment_names[-1], replay)
        _check_joined(replay, snapshot)
        return StoredState(disk_id, replay.hard_state, snapshot, tuple(replay.entries))

    def _load_identity(self, names: tuple[str, ...]) -> str:
        if _IDENTITY_NAME in names:
            data = self._disk.read(_IDENTITY_NAME)
            return self._only_frame(_IDENTITY_NAME, data).decode()
        if any(name.startswith(_SEGMENT_PREFIX) for name in names):
            raise LogDamagedError(f"{_IDENTITY_NAME}: missing beside a log")
        disk_id = f"{self._rng.getrandbits(_DISK_ID_BITS):016x}"
        self._replace(_IDENTITY_NAME, disk_id.encode())
        return disk_id

    def _load_snapshot(self, names: tuple[str, ...]) -> Snapshot | None:
        if _SNAPSHOT_NAME not in names:
            return None
        data = self._disk.read(_SNAPSHOT_NAME)
        return codec.snapshot_from_bytes(self._only_frame(_SNAPSHOT_NAME, data))

    def _only_frame(self, name: str, data: bytes) -> bytes:
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
                self._cut_torn_tail(segment, data, offset, is_last)
                break
            self._check_number(segment, frame)
            self._next_number = frame.number + 1
            if frame.payload:
                batch = pb.StoredBatch.FromString(frame.payload)
                replay.add(batch, name, offset)
                segment.last_index = max(
                    [segment.last_index, *(e.index for e in batch.entries)]
                )
            offset = frame.end
        self._segments.append(segment)
        if is_last and self._next_number % _NUMBERS_PER_WRITE == 1:
            self._append(segment, _SYNCED_MARK)
            self._disk.sync(segment.name)

    def _check_number(self, segment: _Segment, frame: frames.Frame) -> None:
        first_of_folder = not self._segments and frame.offset == 0
        if frame.number != self._next_number and not first_of_folder:
            raise LogDamagedError(
                f"{segment.name}: frame {frame.number} in place of "
                f"{self._next_number} at byte {frame.offset}"
            )

    def _cut_torn_tail(
        self, segment: _Segment, data: bytes, offset: int, is_last: bool
    ) -> None:
        number = self._next_number
        if number % _NUMBERS_PER_WRITE == 1:
            # The mark and the next write may be torn together.
            number += 1
        if not is_last or frames.has_frame_after(data, offset, number):
            raise LogDamagedError(f"{segment.name}: damaged at byte {offset}")
        logger.info(
            "cut %d bytes of an unfinished write off %s at byte %d",
            len(data) - offset,
            segment.name,
            offset,
        )
        self._disk.truncate(segment.name, offset)
        segment.size = offset

    def write(self, batches: tuple[Persist, ...]) -> None:
        """Store batches in order; all is durable when this returns."""
        pending: list[Persist] = []
        for batch in batches:
            if batch.snapshot is not None:
                self._write_frame(pending)
                pending = []
                self._replace(_SNAPSHOT_NAME, codec.snapshot_to_bytes(batch.snapshot))
            if batch.reset:
                self._write_frame(pending)
                pending = []
            pending.append(batch)
        self._write_frame(pending)
        if batches:
            self._discard(batches[-1].discard_before)

    def _write_frame(self, batches: list[Persist]) -> None:
        if not batches:
            return
        record = _encode_batches(batches)
        segment = self._current_segment()
        is_new = segment.size == 0
        self._append(segment, record.SerializeToString())
        self._disk.sync(segment.name)
        if is_new:
            self._disk.sync_folder()
        self._append(segment, _SYNCED_MARK)
        indices = [e.index for batch in batches for e in batch.entries]
        segment.last_index = max([segment.last_index, *indices])

    def _append(self, segment: _Segment, payload: bytes) -> None:
        data = frames.encode_frame(self._next_number, payload)
        self._next_number += 1
        self._disk.append(segment.name, data)
        segment.size += len(data)

    def _current_segment(self) -> _Segment:
        if self._segments and self._segments[-1].size < _SEGMENT_MAX_BYTES:
            return self._segments[-1]
        if self._segments:
            self._disk.sync(self._segments[-1].name)
        segment = _Segment(f"{_SEGMENT_PREFIX}{self._next_number:020d}")
        self._segments.append(segment)
        return segment

    def _replace(self, name: str, payload: bytes) -> None:
        temporary = name + _TEMPORARY_SUFFIX
        self._disk.append(temporary, frames.encode_frame(0, payload))
        self._disk.sync(temporary)
        self._disk.rename(temporary, name)
        self._disk.sync_folder()

    def _discard(self, discard_before: int) -> None:
        while len(self._segments) > 1 and self._segments[0].last_index < discard_before:
            self._disk.remove(self._segments.pop(0).name)
            # In order, so that no gap between segments can appear.
            self._disk.sync_folder()

    @property
    def size_bytes(self) -> int:
        """Size of all segments."""
        return sum(segment.size for segment in self._segments)

    def close(self) -> None:
        """Give the folder up."""
        self._disk.close()


class _Replay:
    """Rebuilds hard state and entries from stored batches."""

    def __init__(self) -> None:
        self.hard_state = HardState()
        self.entries: list[Entry] = []

    def add(self, batch: pb.StoredBatch, name: str, offset: int) -> None:
        """Take one batch from a file's place."""
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
                    f"{name}: entry {entry.index} after {self.entries[-1].index} "
                    f"at byte {offset}"
                )
            del self.entries[entry.index - first :]
        self.entries.append(entry)


def _check_joined(replay: _Replay, snapshot: Snapshot | None) -> None:
    if not replay.entries:
        return
    covered = snapshot.index if snapshot else 0
    if replay.entries[0].index > covered + 1:
        raise LogDamagedError(
            f"{_SNAPSHOT_NAME}: entries from {replay.entries[0].index} follow a "
            f"snapshot at {covered}"
        )


def _encode_batches(batches: list[Persist]) -> pb.StoredBatch:
    hard_state = batches[-1].hard_state
    return pb.StoredBatch(
        term=hard_state.term,
        voted_for=hard_state.voted_for,
        reset=batches[0].reset,
        entries=[codec.encode_entry(e) for batch in batches for e in batch.entries],
    )


def open_storage(disk: Disk, rng: random.Random) -> tuple[Storage, StoredState]:
    """Open a folder and read it.

    Raises:
        StorageError: When the folder can't be read.
        LogDamagedError: When something is damaged that was synced.
    """
    storage = Storage(disk, rng)
    try:
        return storage, storage.load()
    except OSError as error:
        raise StorageError(f"can't read the data folder: {error}") from error
