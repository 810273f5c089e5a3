import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from lib.log_cluster import address_of, bind_free_port

ROOT = Path(__file__).parents[3]
# Bounds only how long a failing test hangs.
_TIMEOUT_S = 60


class MemberProcess:
    """A process of `lib.log_member`."""

    def __init__(self, settings):
        self.settings = settings
        self.start()

    def start(self):
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT / "tests")])
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lib.log_member", json.dumps(self.settings)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONPATH": path},
        )
        assert json.loads(self.process.stdout.readline()) == {"ready": True}

    def begin(self, do, **arguments):
        self.process.stdin.write(json.dumps({"do": do, **arguments}) + "\n")
        self.process.stdin.flush()

    def answer(self):
        return json.loads(self.process.stdout.readline())

    def ask(self, do, **arguments):
        self.begin(do, **arguments)
        return self.answer()

    def send_signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait(_TIMEOUT_S)
        self.process.stdin.close()
        self.process.stdout.close()


@pytest.fixture
def members(tmp_path):
    socks = [bind_free_port() for _ in "abc"]
    addresses = {i: address_of(s) for i, s in zip("abc", socks, strict=True)}
    for sock in socks:
        sock.close()
    processes = [
        MemberProcess(
            {
                "member_id": member_id,
                "folder": str(tmp_path / member_id),
                "members": addresses,
                "heartbeat_ms": 100,
                "election_timeout_ms": 1_000,
            }
        )
        for member_id in addresses
    ]
    yield processes
    for process in processes:
        process.kill()


def leader_among(processes):
    deadline = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < deadline:
        for process in processes:
            if process.ask("status")["is_leader"]:
                return process
        time.sleep(0.02)
    raise AssertionError("no leader")


def at_leader(processes, do, **arguments):
    """Ask the leader, and the next one when it lost the lead meanwhile."""
    while True:
        leader = leader_among(processes)
        answer = leader.ask(do, **arguments)
        if answer.get("error") != "NotLeaderError":
            assert "error" not in answer, answer
            return leader, answer


def accept(processes, count):
    """Have changes accepted; return them and the latest leader."""
    commands = [f"c{number}" for number in range(count)]
    for command in commands:
        leader, _ = at_leader(processes, "propose", command=command)
    return commands, leader


def held_by(processes):
    return at_leader(processes, "read")[1]["commands"]


class TestMemberProcess:
    def test_killed_leader_takes_no_accepted_change_with_it(self, members):
        accepted, leader = accept(members, 20)
        # One more is under way when the process dies.
        leader.begin("propose", command="maybe")
        leader.kill()
        held = held_by([m for m in members if m is not leader])
        assert held in (accepted, [*accepted, "maybe"])
        leader.start()

    def test_all_killed_at_once_remember_what_was_accepted(self, members):
        accepted, _ = accept(members, 20)
        for member in members:
            member.kill()
        for member in members:
            member.start()
        assert held_by(members) == accepted

    def test_thawed_leader_serves_nothing_stale_and_accepts_nothing(self, members):
        accepted, old = accept(members, 1)
        old.send_signal(signal.SIGSTOP)
        # These wait in the frozen leader's input.
        old.begin("read", timeout_s=1)
        old.begin("propose", command="refused", timeout_s=1)
        others = [m for m in members if m is not old]
        at_leader(others, "propose", command="after")
        old.send_signal(signal.SIGCONT)
        answers = [old.answer(), old.answer()]
        assert all("error" in answer for answer in answers), answers
        assert held_by(members) == [*accepted, "after"]
