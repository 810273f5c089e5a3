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
    """Subprocess that runs `lib.log_member`."""

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

    def send_request(self, method, **arguments):
        self.process.stdin.write(json.dumps({"do": method, **arguments}) + "\n")
        self.process.stdin.flush()

    def read_answer(self):
        return json.loads(self.process.stdout.readline())

    def request(self, method, **arguments):
        self.send_request(method, **arguments)
        return self.read_answer()

    def send_signal(self, signal_number):
        self.process.send_signal(signal_number)

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


def wait_for_leader(processes):
    deadline = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < deadline:
        for process in processes:
            if process.request("status")["is_leader"]:
                return process
        time.sleep(0.02)
    raise AssertionError("no member became leader before the deadline")


def request_from_leader(processes, method, **arguments):
    """Send a request to the leader; retry if it has lost leadership meanwhile."""
    while True:
        leader = wait_for_leader(processes)
        answer = leader.request(method, **arguments)
        if answer.get("error") != "NotLeaderError":
            assert "error" not in answer, answer
            return leader, answer


def propose_commands(processes, count):
    """Propose ``count`` commands; return them and the latest leader."""
    commands = [f"c{number}" for number in range(count)]
    for command in commands:
        leader, _ = request_from_leader(processes, "propose", command=command)
    return commands, leader


def read_commands(processes):
    return request_from_leader(processes, "read")[1]["commands"]


class TestMemberProcess:
    def test_accepted_commands_survive_kill_of_leader(self, members):
        accepted, leader = propose_commands(members, 20)
        # The outcome of a proposal that is pending when the leader dies is open.
        leader.send_request("propose", command="maybe")
        leader.kill()
        held = read_commands([m for m in members if m is not leader])
        assert held in (accepted, [*accepted, "maybe"])
        leader.start()

    def test_accepted_commands_survive_kill_of_all_members(self, members):
        accepted, _ = propose_commands(members, 20)
        for member in members:
            member.kill()
        for member in members:
            member.start()
        assert read_commands(members) == accepted

    def test_resumed_old_leader_rejects_reads_and_proposals(self, members):
        accepted, old_leader = propose_commands(members, 1)
        old_leader.send_signal(signal.SIGSTOP)
        # These requests are read only after the suspended leader resumes.
        old_leader.send_request("read", timeout_s=1)
        old_leader.send_request("propose", command="refused", timeout_s=1)
        others = [m for m in members if m is not old_leader]
        request_from_leader(others, "propose", command="after")
        old_leader.send_signal(signal.SIGCONT)
        answers = [old_leader.read_answer(), old_leader.read_answer()]
        assert all("error" in answer for answer in answers), answers
        assert read_commands(members) == [*accepted, "after"]
