"""A disk in memory that loses or tears what was not synced."""


class DiskCrashed(Exception):
    """The process died in the middle of a file operation."""


class _File:
    def __init__(self):
        self.content = b""
        self.synced_size = 0


class FakeDisk:
    """Implements the disk of the replicated log's storage."""

    def __init__(self):
        self._files_by_name = {}
        self._synced_files_by_name = {}
        self._operations_left = None

    def crash_after(self, operations):
        """Raise `DiskCrashed` at a later operation."""
        self._operations_left = operations

    def _count(self):
        if self._operations_left is None:
            return
        self._operations_left -= 1
        if self._operations_left < 0:
            raise DiskCrashed

    def lose_power(self, rng):
        """Keep what was synced and a random, damaged part of the rest."""
        self._operations_left = None
        if rng.random() < 0.5:
            self._files_by_name = dict(self._synced_files_by_name)
        for file in self._files_by_name.values():
            unsynced = bytearray(file.content[file.synced_size :])
            del unsynced[rng.randint(0, len(unsynced)) :]
            if unsynced and rng.random() < 0.5:
                start = rng.randrange(len(unsynced))
                unsynced[start:] = bytes(len(unsynced) - start)
            file.content = file.content[: file.synced_size] + bytes(unsynced)
            file.synced_size = len(file.content)
        self._synced_files_by_name = dict(self._files_by_name)

    def kill_process(self):
        """Keep everything: only the process died."""
        self._operations_left = None

    def names(self):
        return tuple(sorted(self._files_by_name))

    def read(self, name):
        return self._files_by_name[name].content

    def append(self, name, data):
        file = self._files_by_name.setdefault(name, _File())
        if self._operations_left == 0:
            file.content += data[: len(data) // 2]
        self._count()
        file.content += data

    def overwrite(self, name, offset, data):
        """Damage a file."""
        file = self._files_by_name[name]
        end = offset + len(data)
        file.content = file.content[:offset] + data + file.content[end:]

    def sync(self, name):
        self._count()
        file = self._files_by_name[name]
        file.synced_size = len(file.content)

    def truncate(self, name, size):
        self._count()
        file = self._files_by_name[name]
        file.content = file.content[:size]
        file.synced_size = size

    def rename(self, old, new):
        self._count()
        self._files_by_name[new] = self._files_by_name.pop(old)

    def remove(self, name):
        self._count()
        del self._files_by_name[name]

    def sync_folder(self):
        self._count()
        self._synced_files_by_name = dict(self._files_by_name)

    def close(self):
        pass
