"""Tests of control host processes that are killed, suspended or lose their disk."""

import random
import shutil
import signal
import threading

import pytest
import urllib3

from lib.deployment import OPERATOR_TOKEN, Deployment, build_standard_changes, put
from lib.processes import wait_until

KILL_COUNT = 6
CHANGES_BEFORE_LOSS = 5


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        deployment.start_control_hosts(3, election_timeout_ms=600, heartbeat_ms=100)
        deployment.apply(build_standard_changes(), "first")
        yield deployment
    finally:
        deployment.close()


def pipeline_change(number):
    spec = {"stages": ["encode"], "deadline_ms": 1_000 + number}
    return put("pipeline", f"numbered-{number}", spec)


def submit_pipeline_change(deployment, number):
    status, answer = deployment.submit([pipeline_change(number)], f"id-{number}")
    assert status == 200, answer


class ChangeSubmitter(threading.Thread):
    """Thread that submits numbered pipeline changes until it is stopped."""

    def __init__(self, deployment):
        super().__init__()
        self.deployment = deployment
        self.stopping = threading.Event()
        self.accepted = []

    def run(self):
        number = 0
        while not self.stopping.is_set():
            submit_pipeline_change(self.deployment, number)
            self.accepted.append(number)
            number += 1

    def stop(self):
        self.stopping.set()
        self.join()


class TestControlHosts:
    def test_killed_members_lose_no_accepted_change(self, deployment):
        rng = random.Random(4)
        submitter = ChangeSubmitter(deployment)
        submitter.start()
        for _ in range(KILL_COUNT):
            before = len(submitter.accepted)
            name = rng.choice(sorted(deployment.operators))
            deployment.processes[name].kill()
            wait_until(
                lambda before=before: len(submitter.accepted) > before + 1,
                "changes accepted by the others",
            )
            deployment.start_control_host(name)
            wait_until(
                lambda before=before: len(submitter.accepted) > before + 3,
                "changes accepted after the restart",
            )
        submitter.stop()
        for number in submitter.accepted:
            assert deployment.read_deadline_ms(f"numbered-{number}") == 1_000 + number

    def test_resumed_leader_serves_no_stale_resource(self, deployment):
        old_leader = deployment.find_leader()
        address = deployment.operators[old_leader]
        deployment.processes[old_leader].signal(signal.SIGSTOP)
        frozen_address = deployment.operators.pop(old_leader)
        submit_pipeline_change(deployment, 1)
        deployment.processes[old_leader].signal(signal.SIGCONT)
        status, answer = deployment.request_operator_api(
            "GET", "/v1/resources?kind=pipeline&name=numbered-1", address=address
        )
        if status == 200:
            assert answer["resources"][0]["spec"]["deadline_ms"] == 1_001
        else:
            assert status == 503
        deployment.operators[old_leader] = frozen_address
        submit_pipeline_change(deployment, 2)
        assert deployment.read_deadline_ms("numbered-1") == 1_001

    def test_disk_loss_right_after_a_replacement_loses_no_change(self, deployment):
        for number in range(CHANGES_BEFORE_LOSS):
            submit_pipeline_change(deployment, number)
        self.kill_and_wipe_disk(deployment, "control-1")
        deployment.replace_control("control-1", "control-4")
        expected = ["control-2", "control-3", "control-4"]
        wait_until(
            lambda: sorted(deployment.members()) == expected, "member replacement"
        )
        self.kill_and_wipe_disk(deployment, "control-2")
        del deployment.operators["control-2"]
        submit_pipeline_change(deployment, CHANGES_BEFORE_LOSS)
        for number in range(CHANGES_BEFORE_LOSS + 1):
            assert deployment.read_deadline_ms(f"numbered-{number}") == 1_000 + number

    def test_stopping_leader_transfers_leadership_first(self, deployment):
        old_leader = deployment.find_leader()
        process = deployment.processes[old_leader]
        _, before = deployment.request_operator_api("GET", "/v1/status")
        assert process.stop() == 0
        assert "is asked to lead" in process.read_log()
        assert "no other member took the lead" not in process.read_log()
        deployment.operators.pop(old_leader)
        deployment.wait_leader()
        _, after = deployment.request_operator_api("GET", "/v1/status")
        assert after["leader"] != old_leader
        assert after["term"] == before["term"] + 1

    def test_removed_member_cannot_return_and_others_accept_changes(self, deployment):
        leader = deployment.find_leader()
        address = deployment.operators[leader]
        removed = next(name for name in deployment.operators if name != leader)
        path = f"/v1/members?member_id={removed}"
        for _ in range(2):
            assert (
                deployment.request_operator_api("DELETE", path, address=address)[0]
                == 200
            )
        deployment.processes[removed].kill()
        deployment.operators.pop(removed)
        assert len(deployment.members()) == 2
        submit_pipeline_change(deployment, 1)
        restarted = deployment.start_control_host(removed)
        assert restarted.popen.wait(60) != 0
        assert f"{removed} was removed" in restarted.read_log()

    def test_member_with_an_open_watch_stops_on_request(self, deployment):
        name = deployment.find_leader()
        url = f"http://{deployment.operators[name]}/v1/watch?from=0"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        answer = urllib3.request("GET", url, headers=headers, preload_content=False)
        lines = iter(answer)
        next(lines)
        assert deployment.processes[name].stop() == 0
        assert list(lines) == []

    def test_known_member_with_an_empty_disk_is_refused(self, deployment):
        self.kill_and_wipe_disk(deployment, "control-3")
        deployment.start_control_host("control-3")
        assert deployment.processes["control-3"].popen.wait(60) != 0
        log = deployment.processes["control-3"].read_log()
        assert "start it under a new member_id" in log

    def test_restarted_member_catches_up_with_missed_changes(self, deployment):
        deployment.processes["control-3"].kill()
        batch = 50
        for first in range(0, 500, batch):
            changes = [pipeline_change(n) for n in range(first, first + batch)]
            assert deployment.submit(changes, f"batch-{first}")[0] == 200
        deployment.start_control_host("control-3")
        deployment.processes["control-1"].kill()
        del deployment.operators["control-1"]
        deployment.wait_leader()
        assert deployment.read_deadline_ms("numbered-499") == 1_499
        assert deployment.read_deadline_ms("numbered-0") == 1_000

    def test_one_of_concurrent_changes_with_equal_base_revision_is_accepted(
        self, deployment
    ):
        submit_pipeline_change(deployment, 1)
        path = "/v1/resources?kind=pipeline&name=numbered-1"
        revision = deployment.request_operator_api("GET", path)[1]["resources"][0][
            "revision"
        ]
        outcomes = []

        def submit_change(number):
            spec = {"stages": ["encode"], "deadline_ms": 5_000 + number}
            change = put("pipeline", "numbered-1", spec, revision)
            outcomes.append(deployment.submit([change], f"race-{number}"))

        threads = [threading.Thread(target=submit_change, args=(n,)) for n in range(12)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        statuses = sorted(status for status, _ in outcomes)
        assert statuses == [200] + [409] * 11
        accepted_ms = deployment.read_deadline_ms("numbered-1")
        for status, answer in outcomes:
            if status == 409:
                reported_ms = answer["error"]["current"][0]["spec"]["deadline_ms"]
                assert reported_ms == accepted_ms

    @staticmethod
    def kill_and_wipe_disk(deployment, name):
        deployment.processes[name].kill()
        shutil.rmtree(deployment.folder / name)
