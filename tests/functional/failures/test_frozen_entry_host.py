"""Tests of an entry host that is suspended until its peers expire its heartbeat."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from galenadrum._internal.demo.backend_server import BackendOptions, BackendServer
from lib.deployment import (
    STAGES,
    Deployment,
    build_expected_output,
    build_standard_changes,
    put,
)
from lib.processes import get_json, wait_until

SLOW_SERVICE_MS = 300
REQUESTS_IN_FLIGHT = 6
# Peers expire a host 7 s after its last heartbeat.
FREEZE_DURATION_S = 7.25


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        deployment.start_control_hosts(1)
        deployment.apply(build_standard_changes(), "first")
        deployment.start_entry_hosts(2)
        yield deployment
    finally:
        deployment.close()


@pytest.fixture
def departing_server():
    """Run a server that the test announces; it keeps running after it has left."""
    options = BackendOptions(
        "departing", "zone-1", ("rerank",), frozenset(), (), service_ms=0
    )
    server = BackendServer(options)
    server.start()
    yield server
    server.stop()


def announce(deployment, entry, server, sequence, state):
    body = {
        "server_id": "departing",
        "incarnation": 1,
        "sequence": sequence,
        "address": server.address,
        "zone": "zone-1",
        "stages": ["rerank"],
        "capacity": 16,
        "ttl_s": 50.0,
        "state": state,
        "load": {"running": 0, "queued": 0, "age_s": 0.0},
    }
    url = f"http://{deployment.callers[entry]}/v1/announcements"
    response = urllib3.request("POST", url, json=body, retries=False)
    assert response.status == 200, response.data


def read_status(deployment, entry):
    return get_json(f"http://{deployment.operator_address_by_entry[entry]}/v1/status")[
        1
    ]


def start_calls(deployment, executor, entry, key):
    """Start calls of both pipelines and wait until all are in flight."""
    plan_futures = [
        executor.submit(deployment.call, entry, "plan", f"note {number}")
        for number in range(REQUESTS_IN_FLIGHT)
    ]
    book_future = executor.submit(deployment.call, entry, "book", "seat", headers=key)
    wait_until(
        lambda: read_status(deployment, entry)["in_flight"] > REQUESTS_IN_FLIGHT,
        "all requests in flight",
    )
    wait_until(
        lambda: sum(deployment.read_run_counts("charge-0").values()) == 1,
        "run of the charge stage",
    )
    return plan_futures, book_future


class TestFrozenEntryHost:
    def test_fails_no_request_and_catches_up_after_resuming(
        self, deployment, departing_server
    ):
        first, second = deployment.callers
        entries = [first, second]
        for stage in STAGES:
            deployment.start_backend(
                f"{stage}-0", [stage], entries, service_ms=SLOW_SERVICE_MS
            )
        deployment.start_backend("charge-0", ["charge"], entries, service_ms=3_000)
        announce(deployment, first, departing_server, 1, "serving")
        deployment.wait_ready(entries, servers=len(STAGES) + 2)
        key = {"Idempotency-Key": "seat-1"}
        with ThreadPoolExecutor(REQUESTS_IN_FLIGHT + 1) as executor:
            plan_futures, book_future = start_calls(deployment, executor, first, key)
            deployment.processes[first].signal(signal.SIGSTOP)
            frozen_at = time.monotonic()
            self.check_retries_on_other_host(deployment, second, key)
            announce(deployment, second, departing_server, 2, "leaving")
            spec = {"stages": ["encode"], "deadline_ms": 1_000}
            revision = deployment.apply([put("pipeline", "later", spec)], "second")
            wait_until(
                lambda: deployment.read_revision(second) == revision,
                "revision in force",
            )
            time.sleep(max(0.0, frozen_at + FREEZE_DURATION_S - time.monotonic()))
            deployment.processes[first].signal(signal.SIGCONT)
            self.check_responses_after_resume(plan_futures, book_future)
        self.check_state_after_resume(deployment, first, revision, departing_server)
        retry_response = deployment.call(second, "book", "seat", headers=key)
        assert retry_response.status == 200
        assert retry_response.json()["output"] == "charge(seat)"
        assert sum(deployment.read_run_counts("charge-0").values()) == 1

    def check_retries_on_other_host(self, deployment, second, key):
        inputs = [f"note {number}" for number in range(REQUESTS_IN_FLIGHT)]
        responses = deployment.call_many([second], "plan", inputs, REQUESTS_IN_FLIGHT)
        for stage_input, response in zip(inputs, responses, strict=True):
            assert response.status == 200, response.data
            assert response.json()["output"] == build_expected_output(stage_input)
        headers = key | {"Galenadrum-Deadline-Ms": "500"}
        response = deployment.call(second, "book", "seat", headers=headers)
        assert response.status == 409
        error = response.json()["error"]
        assert error["run"] == "unknown"
        assert error["retry_after_ms"] > 0

    def check_responses_after_resume(self, plan_futures, book_future):
        for number, future in enumerate(plan_futures):
            response = future.result()
            if response.status == 200:
                assert response.json()["output"] == build_expected_output(
                    f"note {number}"
                )
            else:
                assert response.json()["error"]["run"] != "not_run"
        assert book_future.result().status == 200
        assert book_future.result().json()["output"] == "charge(seat)"

    def check_state_after_resume(self, deployment, first, revision, departing_server):
        wait_until(
            lambda: deployment.read_revision(first) == revision, "revision in force"
        )
        wait_until(
            lambda: "departing" not in read_status(deployment, first)["server_ids"],
            "removal of the departed server",
        )
        runs = sum(departing_server.run_count_by_request_id.values())
        inputs = [f"after {number}" for number in range(REQUESTS_IN_FLIGHT)]
        responses = deployment.call_many([first], "plan", inputs, REQUESTS_IN_FLIGHT)
        for stage_input, response in zip(inputs, responses, strict=True):
            assert response.status == 200, response.data
            assert response.json()["output"] == build_expected_output(stage_input)
        assert sum(departing_server.run_count_by_request_id.values()) == runs
