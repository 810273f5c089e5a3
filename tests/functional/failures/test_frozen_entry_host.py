"""An entry host that is stopped longer than its peers remember it."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from galenadrum._internal.demo.backend_server import BackendOptions, BackendServer
from lib.deployment import STAGES, Deployment, expected_output, put, standard_changes
from lib.processes import get_json, wait_until

SLOW_MS = 300
IN_FLIGHT = 6
# Peers forget a host 7 s after its last heartbeat.
FROZEN_S = 7.25


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        deployment.start_controls(1)
        deployment.apply(standard_changes(), "first")
        deployment.start_entries(2)
        yield deployment
    finally:
        deployment.close()


@pytest.fixture
def departing():
    """A server that the test announces, and that goes on after it has left."""
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


def status_of(deployment, entry):
    return get_json(f"http://{deployment.platforms[entry]}/v1/status")[1]


def start_calls(deployment, executor, entry, key):
    """Start calls of both pipelines and wait until all are under way."""
    futures = [
        executor.submit(deployment.call, entry, "plan", f"note {number}")
        for number in range(IN_FLIGHT)
    ]
    book = executor.submit(deployment.call, entry, "book", "seat", headers=key)
    wait_until(
        lambda: status_of(deployment, entry)["in_flight"] > IN_FLIGHT, "all in flight"
    )
    wait_until(lambda: sum(deployment.runs("charge-0").values()) == 1, "the charge")
    return futures, book


class TestFrozenEntryHost:
    def test_harms_no_request_and_catches_up_after_the_thaw(
        self, deployment, departing
    ):
        first, second = deployment.callers
        entries = [first, second]
        for stage in STAGES:
            deployment.start_backend(f"{stage}-0", [stage], entries, service_ms=SLOW_MS)
        deployment.start_backend("charge-0", ["charge"], entries, service_ms=3_000)
        announce(deployment, first, departing, 1, "serving")
        deployment.wait_ready(entries, servers=len(STAGES) + 2)
        key = {"Idempotency-Key": "seat-1"}
        with ThreadPoolExecutor(IN_FLIGHT + 1) as executor:
            futures, book = start_calls(deployment, executor, first, key)
            deployment.processes[first].signal(signal.SIGSTOP)
            frozen_at = time.monotonic()
            self.check_retries_elsewhere(deployment, second, key)
            announce(deployment, second, departing, 2, "leaving")
            spec = {"stages": ["encode"], "deadline_ms": 1_000}
            revision = deployment.apply([put("pipeline", "later", spec)], "second")
            wait_until(lambda: deployment.revision_of(second) == revision, "in force")
            time.sleep(max(0.0, frozen_at + FROZEN_S - time.monotonic()))
            deployment.processes[first].signal(signal.SIGCONT)
            self.check_late_answers(futures, book)
        self.check_caught_up(deployment, first, revision, departing)
        again = deployment.call(second, "book", "seat", headers=key)
        assert again.status == 200
        assert again.json()["output"] == "charge(seat)"
        assert sum(deployment.runs("charge-0").values()) == 1

    def check_retries_elsewhere(self, deployment, second, key):
        inputs = [f"note {number}" for number in range(IN_FLIGHT)]
        responses = deployment.call_many([second], "plan", inputs, IN_FLIGHT)
        for stage_input, response in zip(inputs, responses, strict=True):
            assert response.status == 200, response.data
            assert response.json()["output"] == expected_output(stage_input)
        headers = key | {"Galenadrum-Deadline-Ms": "500"}
        response = deployment.call(second, "book", "seat", headers=headers)
        assert response.status == 409
        error = response.json()["error"]
        assert error["run"] == "unknown"
        assert error["retry_after_ms"] > 0

    def check_late_answers(self, futures, book):
        for number, future in enumerate(futures):
            response = future.result()
            if response.status == 200:
                assert response.json()["output"] == expected_output(f"note {number}")
            else:
                assert response.json()["error"]["run"] != "not_run"
        assert book.result().status == 200
        assert book.result().json()["output"] == "charge(seat)"

    def check_caught_up(self, deployment, first, revision, departing):
        wait_until(lambda: deployment.revision_of(first) == revision, "in force")
        wait_until(
            lambda: "departing" not in status_of(deployment, first)["server_ids"],
            "the departure",
        )
        runs = sum(departing.runs_by_request_id.values())
        inputs = [f"after {number}" for number in range(IN_FLIGHT)]
        responses = deployment.call_many([first], "plan", inputs, IN_FLIGHT)
        for stage_input, response in zip(inputs, responses, strict=True):
            assert response.status == 200, response.data
            assert response.json()["output"] == expected_output(stage_input)
        assert sum(departing.runs_by_request_id.values()) == runs
