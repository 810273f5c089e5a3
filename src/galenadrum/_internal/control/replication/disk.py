"""File operations on one data folder, as storage needs them."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from galenadrum._internal.exceptions import StorageError

_LOCK_NAME = "lock"


class Disk(Protocol):
    """Files of one folder; unsynced writes may be lost or torn in a crash."""

    def list_files(self) -> tuple[str, ...]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; create it if it is missing."""

    def sync(self, name: str) -> None:
        """Sync the content of a file to stable storage."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Sync the folder: creations, renames and removals become durable."""

    def close(self) -> None:
        """Close all files and release the folder."""


class FolderDisk:
    """A folder of the file system, locked exclusively for this process.

    Raises:
        StorageError: If another process has locked the folder, or it can't be
            created.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._files_by_name: dict[str, int] = {}
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(folder / _LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise StorageError(f"can't open the data folder: {error}") from error
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise StorageError(
                f"another process holds the data folder {folder}"
            ) from error

    def list_files(self) -> tuple[str, ...]:
        """Return the names of all files except the lock file, sorted."""
        names = (p.name for p in self._folder.iterdir() if p.name != _LOCK_NAME)
        return tuple(sorted(names))

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; create it if it is missing."""
        file = self._open(name)
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def sync(self, name: str) -> None:
        """Sync the content of a file to stable storage."""
        os.fdatasync(self._open(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""
        file = self._open(name)
        os.ftruncate(file, size)
        os.fsync(file)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name."""
        self._close(old)
        self._close(new)
        os.replace(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close(name)
        (self._folder / name).unlink()

    def sync_folder(self) -> None:
        """Sync the folder: creations, renames and removals become durable."""
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._files_by_name):
            self._close(name)
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _open(self, name: str) -> int:
        file = self._files_by_name.get(name)
        if file is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            file = os.open(self._folder / name, flags, 0o600)
            self._files_by_name[name] = file
        return file

    def _close(self, name: str) -> None:
        file = self._files_by_name.pop(name, None)
        if file is not None:
            os.close(file)
