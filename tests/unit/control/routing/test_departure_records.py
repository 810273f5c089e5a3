"""Departures of servers on the disks of control hosts, before they are acknowledged."""

import asyncio
import contextlib
import errno
import os
from dataclasses import replace

import pytest

from galenadrum._internal.control.routing.departure_file import DepartureFile
from galenadrum._internal.control.routing.departures import (
    DepartureRecorder,
    count_needed_copies,
)
from galenadrum._internal.control.routing.record_lines import decode_lines
from galenadrum._internal.directory.registry import REMOVE_AFTER_S, Registry
from galenadrum._internal.models.announcements import Departure, ServerState
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.protocol.gateway_pb2 import DeparturesRecorded
from lib.routing_values import FakeLink

OWN = "own"


def departure(number=1, state=ServerState.GONE):
    return Departure(f"s{number}", 1_000 + number, 2**62, state)


@contextlib.asynccontextmanager
async def open_file(folder):
    file = DepartureFile(folder)
    task = asyncio.ensure_future(file.run())
    try:
        yield file
    finally:
        task.cancel()


def write(folder, *groups, ages_s=()):
    async def run():
        async with open_file(folder) as file:
            for number, group in enumerate(groups):
                await file.write(group)
                for age_s in ages_s[number : number + 1]:
                    file._begun_at -= age_s
                    file._started_at -= age_s

    asyncio.run(run())


def load(folder):
    async def run():
        return DepartureFile(folder).load()

    return asyncio.run(run())


class TestDepartureFile:
    def test_departures_outlive_the_process(self, tmp_path):
        write(tmp_path / "data", [departure(1)], [departure(2, ServerState.DRAINING)])
        write(tmp_path / "data", [departure(3)])
        assert load(tmp_path / "data") == [
            departure(1),
            departure(2, ServerState.DRAINING),
            departure(3),
        ]

    @pytest.mark.parametrize("service", ["node-exporter", ""])
    def test_service_is_lost_or_changes_other_lines(self, service, tmp_path):
        named, unnamed = departure(1), replace(departure(2), service=service)
        write(tmp_path, [named, unnamed])
        assert load(tmp_path) == [named, unnamed]
        (path,) = tmp_path.iterdir()
        # The build before skips a line with more values.
        records, _ = decode_lines(path.read_bytes())
        assert [len(values) for values in records] == [4, 5]

    def test_torn_line_hides_later_ones(self, tmp_path):
        write(tmp_path, [departure(1)])
        (path,) = tmp_path.iterdir()
        whole = path.read_bytes()
        for size in range(len(whole)):
            path.write_bytes(whole[:size])
            write(tmp_path, [departure(2)])
            assert load(tmp_path) == [departure(2)]
            for later in tmp_path.iterdir():
                if later != path:
                    later.unlink()

    @pytest.mark.parametrize(
        "line", [b"\n00000000 []", b"\nxyz", b"\n\xff\xfe", b'\n5d1f0f32 ["a",1,1,"x"]']
    )
    def test_unreadable_line_is_skipped(self, line, tmp_path):
        write(tmp_path, [departure(1)])
        (path,) = tmp_path.iterdir()
        path.write_bytes(line + path.read_bytes())
        assert load(tmp_path) == [departure(1)]

    def test_expired_departures_take_room(self, tmp_path):
        groups = [[departure(number)] for number in range(5)]
        write(tmp_path, *groups, ages_s=[REMOVE_AFTER_S + 1] * 4)
        # The last file and the one before, which may hold recent ones.
        assert len(list(tmp_path.iterdir())) == 2
        assert load(tmp_path) == [departure(3), departure(4)]

    def test_departures_of_an_earlier_process_are_removed_too_soon(self, tmp_path):
        for number in range(4):
            write(tmp_path, [departure(number)])
        assert len(load(tmp_path)) == 4

    def test_write_ends_before_its_sync(self, tmp_path, monkeypatch):
        synced = []
        fsync = os.fsync
        monkeypatch.setattr(os, "fsync", lambda file: synced.append(fsync(file)))
        write(tmp_path, [departure(1)])
        # The file, and its name in the folder.
        assert len(synced) == 2

    def test_full_disk_is_reported_to_each_writer(self, tmp_path, monkeypatch):
        def refuse(*_):
            raise OSError(errno.ENOSPC, "no space left")

        async def run():
            async with open_file(tmp_path) as file:
                with monkeypatch.context() as patch:
                    patch.setattr(os, "write", refuse)
                    results = await asyncio.gather(
                        *(file.write([departure(n)]) for n in range(3)),
                        return_exceptions=True,
                    )
                assert all(isinstance(result, OSError) for result in results)
                await file.write([departure(9)])

        asyncio.run(run())
        assert load(tmp_path) == [departure(9)]


class Control:
    """A control host with fake links to others; its disk may hang."""

    def __init__(self, folder, others, is_disk_sound=True):
        self.links = [FakeLink(f"other-{n}") for n in range(others)]
        self.members = (OWN, *(link.address for link in self.links))
        self.registry = Registry(1.0, lambda entry: None)
        self.registry.set_services(["encode"])
        self.file = DepartureFile(folder)
        if not is_disk_sound:
            self.file.write = lambda departures: asyncio.sleep(60)
        self.recorder = DepartureRecorder(
            self.registry,
            self.file,
            OWN,
            lambda: self.members,
            lambda: [link for link in self.links if link.is_up],
            Metrics(),
        )

    async def record(self, confirming, recorded=None):
        """Record a departure that some other hosts confirm; return whether it may be
        acknowledged."""
        writer = asyncio.ensure_future(self.file.run())
        task = asyncio.ensure_future(self.recorder.record(recorded or departure()))
        await asyncio.sleep(0.1)
        for link in self.links[:confirming]:
            sent = [m.departures for m in link.sent if m.HasField("departures")]
            for message in sent:
                answer = DeparturesRecorded(number=message.number)
                self.recorder.handle_answer(link, answer.number)
        try:
            return await task
        finally:
            writer.cancel()


def run_control(folder, steps, *args, **more):
    async def run():
        await steps(Control(folder, *args, **more))

    asyncio.run(run())


class TestAcknowledgement:
    """What nobody keeps after the allowed losses isn't acknowledged."""

    @pytest.mark.parametrize(
        ("others", "confirming", "is_disk_sound", "is_recorded"),
        [
            (0, 0, True, True),
            (0, 0, False, False),
            (2, 0, True, False),
            (2, 1, True, True),
            (2, 1, False, False),
            (2, 2, False, True),
            (4, 1, True, False),
            (4, 2, True, True),
        ],
    )
    def test_most_disks_hold_it(
        self, others, confirming, is_disk_sound, is_recorded, tmp_path
    ):
        async def steps(control):
            assert await control.record(confirming) is is_recorded
            # Its effect doesn't wait.
            assert control.registry.list_departures() == [departure()]

        run_control(tmp_path, steps, others, is_disk_sound=is_disk_sound)

    @pytest.mark.parametrize("scopes", [False, True])
    def test_build_before_applies_a_departure_to_any_service(self, scopes, tmp_path):
        async def steps(control):
            for link in control.links:
                link.peer.scopes_departures = scopes
            unnamed = replace(departure(), service="node-exporter")
            # The others don't count while their build would take it for another's.
            assert await control.record(1, unnamed)
            control.recorder.hand_over(control.links[1])
            sent = [m for link in control.links for m in link.sent]
            assert len(sent) == (3 if scopes else 0)

        run_control(tmp_path, steps, 2)

    def test_departure_of_an_unnamed_service_acknowledges_another(self, tmp_path):
        async def steps(control):
            for link in control.links:
                link.peer.scopes_departures = True
            unnamed = replace(departure(), service="node-exporter")
            assert await control.record(1, unnamed)
            assert not await control.record(0)

        run_control(tmp_path, steps, 2)

    def test_recorded_departure_is_acknowledged_again_at_once(self, tmp_path):
        async def steps(control):
            assert await control.record(1)
            for link in control.links:
                link.sent.clear()
            assert await control.record(0)
            assert not any(link.sent for link in control.links)

        run_control(tmp_path, steps, 2)

    def test_deregistration_after_draining_is_recorded_by_itself(self, tmp_path):
        async def steps(control):
            assert await control.record(1, departure(state=ServerState.DRAINING))
            assert not await control.record(0)

        run_control(tmp_path, steps, 2)

    def test_log_member_that_restarts_needs_no_copies(self, tmp_path):
        async def steps(control):
            assert not await control.record(0, departure(1))
            control.members = ()
            assert not await control.record(0, departure(2))

        run_control(tmp_path, steps, 2)

    @pytest.mark.parametrize(
        ("members", "unable", "needed"),
        [(1, 0, 1), (3, 0, 2), (3, 1, 2), (3, 2, 1), (5, 0, 3), (5, 3, 2), (9, 0, 5)],
    )
    def test_needed_copies(self, members, unable, needed):
        assert count_needed_copies(members, unable) == needed


class TestHandOver:
    def test_host_without_disk_gets_all_departures(self, tmp_path):
        async def steps(control):
            for number in range(3):
                control.registry.record_departure(departure(number), 0.0)
            link = FakeLink("new")
            control.recorder.hand_over(link)
            (message,) = link.sent
            assert len(message.departures.departures) == 3

        run_control(tmp_path, steps, 0)

    def test_received_departures_are_confirmed_before_they_are_on_disk(self, tmp_path):
        async def steps(control):
            sender = FakeLink("sender")
            other = Control(tmp_path / "other", 1)
            task = asyncio.ensure_future(other.recorder.record(departure()))
            await asyncio.sleep(0)
            (message,) = other.links[0].sent
            control.recorder.handle_departures(sender, message.departures)
            assert control.registry.list_departures() == [departure()]
            await asyncio.sleep(0.05)
            assert not sender.sent
            writer = asyncio.ensure_future(control.file.run())
            await asyncio.sleep(0.1)
            (answer,) = sender.sent
            assert answer.departures_recorded.number == message.departures.number
            assert control.file.load() == [departure()]
            writer.cancel()
            await task

        run_control(tmp_path / "control", steps, 0)
