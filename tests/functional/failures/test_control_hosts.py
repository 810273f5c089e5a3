"""Control hosts as processes that are killed, frozen and stripped of disks."""

import random
import shutil
import signal
import threading

import pytest
import urllib3

from lib.deployment import TOKEN, Deployment, put, standard_changes
from lib.processes import wait_until

KILLS = 6
CHANGES_AFTER_A_LOSS = 5


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        deployment.start_controls(3, election_timeout_ms=600, heartbeat_ms=100)
        deployment.apply(standard_changes(), "first")
        yield deployment
    finally:
        deployment.close()


def pipeline_change(number):
    spec = {"stages": ["encode"], "deadline_ms": 1_000 + number}
    return put("pipeline", f"numbered-{number}", spec)


def submit_numbered(deployment, number):
    status, answer = deployment.submit([pipeline_change(number)], f"id-{number}")
    assert status == 200, answer


class Submitter(threading.Thread):
    """Submits numbered changes one after the other until it is stopped."""

    def __init__(self, deployment):
        super().__init__()
        self.deployment = deployment
        self.stopping = threading.Event()
        self.accepted = []

    def run(self):
        number = 0
        while not self.stopping.is_set():
            submit_numbered(self.deployment, number)
            self.accepted.append(number)
            number += 1

    def stop(self):
        self.stopping.set()
        self.join()


class TestControlHosts:
    def test_no_accepted_change_is_lost_when_members_are_killed(self, deployment):
        rng = random.Random(4)
        submitter = Submitter(deployment)
        submitter.start()
        for _ in range(KILLS):
            before = len(submitter.accepted)
            name = rng.choice(sorted(deployment.operators))
            deployment.processes[name].kill()
            wait_until(
                lambda before=before: len(submitter.accepted) > before + 1,
                "changes accepted by the others",
            )
            deployment.start_control(name)
            wait_until(
                lambda before=before: len(submitter.accepted) > before + 3,
                "changes accepted after the restart",
            )
        submitter.stop()
        for number in submitter.accepted:
            assert deployment.declared(f"numbered-{number}") == 1_000 + number

    def test_a_frozen_leader_serves_nothing_stale_once_it_runs_again(self, deployment):
        old = deployment.find_leader()
        address = deployment.operators[old]
        deployment.processes[old].signal(signal.SIGSTOP)
        frozen = deployment.operators.pop(old)
        submit_numbered(deployment, 1)
        deployment.processes[old].signal(signal.SIGCONT)
        status, answer = deployment.operate(
            "GET", "/v1/resources?kind=pipeline&name=numbered-1", address=address
        )
        if status == 200:
            assert answer["resources"][0]["spec"]["deadline_ms"] == 1_001
        else:
            assert status == 503
        deployment.operators[old] = frozen
        submit_numbered(deployment, 2)
        assert deployment.declared("numbered-1") == 1_001

    def test_a_second_loss_right_after_a_repair_loses_no_change(self, deployment):
        for number in range(CHANGES_AFTER_A_LOSS):
            submit_numbered(deployment, number)
        self.lose_disk(deployment, "control-1")
        deployment.replace_control("control-1", "control-4")
        expected = ["control-2", "control-3", "control-4"]
        wait_until(lambda: sorted(deployment.members()) == expected, "the repair")
        self.lose_disk(deployment, "control-2")
        del deployment.operators["control-2"]
        submit_numbered(deployment, CHANGES_AFTER_A_LOSS)
        for number in range(CHANGES_AFTER_A_LOSS + 1):
            assert deployment.declared(f"numbered-{number}") == 1_000 + number

    def test_a_leader_that_shuts_down_lets_another_lead_first(self, deployment):
        old = deployment.find_leader()
        process = deployment.processes[old]
        _, before = deployment.operate("GET", "/v1/status")
        assert process.stop() == 0
        assert "is asked to lead" in process.read_log()
        assert "no other member took the lead" not in process.read_log()
        deployment.operators.pop(old)
        deployment.wait_leader()
        _, after = deployment.operate("GET", "/v1/status")
        assert after["leader"] != old
        assert after["term"] == before["term"] + 1

    def test_a_removed_member_is_out_for_good_and_the_others_go_on(self, deployment):
        leader = deployment.find_leader()
        address = deployment.operators[leader]
        removed = next(name for name in deployment.operators if name != leader)
        path = f"/v1/members?member_id={removed}"
        for _ in range(2):
            assert deployment.operate("DELETE", path, address=address)[0] == 200
        deployment.processes[removed].kill()
        deployment.operators.pop(removed)
        assert len(deployment.members()) == 2
        submit_numbered(deployment, 1)
        restarted = deployment.start_control(removed)
        assert restarted.popen.wait(60) != 0
        assert f"{removed} was removed" in restarted.read_log()

    def test_a_member_with_an_open_watch_stops_when_asked(self, deployment):
        name = deployment.find_leader()
        url = f"http://{deployment.operators[name]}/v1/watch?from=0"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        answer = urllib3.request("GET", url, headers=headers, preload_content=False)
        lines = iter(answer)
        next(lines)
        assert deployment.processes[name].stop() == 0
        assert list(lines) == []

    def test_an_old_member_with_an_empty_disk_is_refused(self, deployment):
        self.lose_disk(deployment, "control-3")
        deployment.start_control("control-3")
        assert deployment.processes["control-3"].popen.wait(60) != 0
        log = deployment.processes["control-3"].read_log()
        assert "start it under a new member_id" in log

    def test_a_member_restarted_after_many_changes_has_them_all(self, deployment):
        deployment.processes["control-3"].kill()
        batch = 50
        for first in range(0, 500, batch):
            changes = [pipeline_change(n) for n in range(first, first + batch)]
            assert deployment.submit(changes, f"batch-{first}")[0] == 200
        deployment.start_control("control-3")
        deployment.processes["control-1"].kill()
        del deployment.operators["control-1"]
        deployment.wait_leader()
        assert deployment.declared("numbered-499") == 1_499
        assert deployment.declared("numbered-0") == 1_000

    def test_one_of_racing_operators_wins_with_equal_revisions(self, deployment):
        submit_numbered(deployment, 1)
        path = "/v1/resources?kind=pipeline&name=numbered-1"
        revision = deployment.operate("GET", path)[1]["resources"][0]["revision"]
        outcomes = []

        def race(number):
            spec = {"stages": ["encode"], "deadline_ms": 5_000 + number}
            change = put("pipeline", "numbered-1", spec, revision)
            outcomes.append(deployment.submit([change], f"race-{number}"))

        threads = [threading.Thread(target=race, args=(n,)) for n in range(12)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        statuses = sorted(status for status, _ in outcomes)
        assert statuses == [200] + [409] * 11
        won = deployment.declared("numbered-1")
        for status, answer in outcomes:
            if status == 409:
                shown = answer["error"]["current"][0]["spec"]["deadline_ms"]
                assert shown == won

    @staticmethod
    def lose_disk(deployment, name):
        deployment.processes[name].kill()
        shutil.rmtree(deployment.folder / name)
