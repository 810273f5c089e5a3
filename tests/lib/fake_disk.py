"""In-memory disk that loses or tears unsynced writes."""


class DiskCrashed(Exception):
    """Raised where a simulated crash interrupts a file operation."""


class _File:
    def __init__(self):
        self.content = b""
        self.synced_size = 0


class FakeDisk:
    """In-memory implementation of the `Disk` protocol, with fault injection."""

    def __init__(self):
        self._files_by_name = {}
        self._synced_files_by_name = {}
        self._operations_left = None

    def crash_after(self, operations):
        """Raise `DiskCrashed` once ``operations`` more operations have succeeded."""
        self._operations_left = operations

    def _count_operation(self):
        if self._operations_left is None:
            return
        self._operations_left -= 1
        if self._operations_left < 0:
            raise DiskCrashed

    def lose_power(self, rng):
        """Keep synced data and a random prefix of unsynced data, possibly damaged."""
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
        """Keep all data, as the kernel does when only the process dies."""
        self._operations_left = None

    def list_files(self):
        return tuple(sorted(self._files_by_name))

    def read(self, name):
        return self._files_by_name[name].content

    def append(self, name, data):
        file = self._files_by_name.setdefault(name, _File())
        if self._operations_left == 0:
            file.content += data[: len(data) // 2]
        self._count_operation()
        file.content += data

    def overwrite(self, name, offset, data):
        """Overwrite part of a file, to simulate damage."""
        file = self._files_by_name[name]
        end = offset + len(data)
        file.content = file.content[:offset] + data + file.content[end:]

    def sync(self, name):
        self._count_operation()
        file = self._files_by_name[name]
        file.synced_size = len(file.content)

    def truncate(self, name, size):
        self._count_operation()
        file = self._files_by_name[name]
        file.content = file.content[:size]
        file.synced_size = size

    def rename(self, old, new):
        self._count_operation()
        self._files_by_name[new] = self._files_by_name.pop(old)

    def remove(self, name):
        self._count_operation()
        del self._files_by_name[name]

    def sync_folder(self):
        self._count_operation()
        self._synced_files_by_name = dict(self._files_by_name)

    def close(self):
        pass
