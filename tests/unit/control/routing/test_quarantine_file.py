"""Quarantines on a control host's disk."""

import asyncio
import errno
import os

import pytest

from galenadrum._internal.control.routing.quarantine_file import QuarantineFile
from galenadrum._internal.models.quarantine import NamedPart
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine


def write(folder, *part_ids, lifted=()):
    async def run():
        now = asyncio.get_running_loop().time()
        quarantine = PartQuarantine("c-1")
        for part_id in part_ids:
            quarantine.impose(NamedPart(part_id, ("s1", "s2"), now - 2.0), now)
        quarantine.acquit(lifted, now)
        file = QuarantineFile(folder, quarantine.list_records)
        task = asyncio.ensure_future(file.run())
        file.request_write()
        await asyncio.sleep(0.1)
        task.cancel()

    asyncio.run(run())


def load(folder):
    """Return a quarantine that has merged what is on disk, and the loop time."""

    async def run():
        now = asyncio.get_running_loop().time()
        quarantine = PartQuarantine("c-2")
        for record in QuarantineFile(folder, lambda now: ()).load():
            assert quarantine.merge(record, now)
        return quarantine, now

    return asyncio.run(run())


class TestQuarantineFile:
    def test_quarantines_end_with_all_processes(self, tmp_path):
        write(tmp_path / "data", "p1", "p2", lifted=("p2",))
        quarantine, now = load(tmp_path / "data")
        record = quarantine.find_in_force(["p1"], now)
        assert (record.named_by, record.term, record.crashes) == ("c-1", 1, 2)
        assert 595 < record.expires_at - now <= 600.5
        assert 1.5 < now - record.suspected_since < 3.0
        assert quarantine.find_in_force(["p2"], now) is None

    def test_torn_or_foreign_lines_stop_the_start(self, tmp_path):
        write(tmp_path, "p1")
        path = tmp_path / "quarantines"
        path.write_bytes(b"\n\xff\n00000000 [1]" + path.read_bytes() + b"\n1234 [")
        quarantine, now = load(tmp_path)
        assert quarantine.find_in_force(["p1"], now) is not None

    def test_full_disk_loses_quarantines_for_good(self, tmp_path, monkeypatch):
        replace = os.fsync
        failures = [OSError(errno.ENOSPC, "no space left")]

        def fail_once(file):
            if failures:
                raise failures.pop()
            replace(file)

        monkeypatch.setattr(os, "fsync", fail_once)
        monkeypatch.setattr(
            "galenadrum._internal.control.routing.quarantine_file._RETRY_INTERVAL_S",
            0.01,
        )
        write(tmp_path, "p1")
        quarantine, now = load(tmp_path)
        assert quarantine.find_in_force(["p1"], now) is not None

    @pytest.mark.parametrize("is_there", [False, True])
    def test_host_without_quarantines_starts(self, is_there, tmp_path):
        if is_there:
            (tmp_path / "quarantines").write_bytes(b"")
        quarantine, _ = load(tmp_path / "missing" if not is_there else tmp_path)
        assert len(quarantine) == 0
