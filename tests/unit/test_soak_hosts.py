"""Hosts of the fault soak that faults reach before their first start."""

import asyncio
import signal

import pytest

from lib.fault_soak import FaultSoak, Host


@pytest.fixture
def soak(tmp_path):
    return FaultSoak(2, tmp_path, 1.0)


class TestHostThatHasNotStarted:
    """A successor takes its place up to a second before it is started."""

    def test_signal_is_ignored(self, tmp_path):
        host = Host("control", "a", "127.0.0.1", [], tmp_path)
        host.signal(signal.SIGCONT)
        assert host.process is None

    def test_kill_leaves_the_first_start_to_the_replacement(self, soak, monkeypatch):
        successor = soak.controls[0]
        starts = []
        monkeypatch.setattr(successor, "start", lambda: starts.append(successor))
        asyncio.run(soak._restart(successor, "kill"))
        assert starts == []

    def test_disk_of_another_host_may_not_be_lost(self, soak):
        assert not soak._begin_disk_loss()
