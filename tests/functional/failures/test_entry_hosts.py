"""Tests of entry hosts and backend servers that drain, crash or lose control hosts."""

import signal
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from lib.deployment import (
    STAGES,
    Deployment,
    build_expected_output,
    build_standard_changes,
    put,
)
from lib.processes import get_json, wait_until

SLOW_SERVICE_MS = 400
REQUESTS_IN_FLIGHT = 12


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


def start_all_stages(deployment, per_stage=2, **options):
    entries = list(deployment.callers)
    for stage in STAGES:
        for number in range(per_stage):
            deployment.start_backend(f"{stage}-{number}", [stage], entries, **options)
    deployment.wait_ready(entries, servers=per_stage * len(STAGES))
    return entries


def read_error(response):
    return response.json()["error"]


def in_flight(deployment, entry):
    return get_json(f"http://{deployment.operator_address_by_entry[entry]}/v1/status")[
        1
    ]["in_flight"]


def start_calls(deployment, executor, entry, pipeline, inputs, **options):
    futures = [
        executor.submit(deployment.call, entry, pipeline, stage_input, **options)
        for stage_input in inputs
    ]
    wait_until(
        lambda: in_flight(deployment, entry) >= len(inputs), "requests in flight"
    )
    return futures


class TestShutdown:
    def test_graceful_shutdown_completes_requests_in_flight(self, deployment):
        first, _ = start_all_stages(deployment, service_ms=SLOW_SERVICE_MS)
        inputs = [f"request {number}" for number in range(REQUESTS_IN_FLIGHT)]
        with ThreadPoolExecutor(REQUESTS_IN_FLIGHT) as executor:
            futures = start_calls(deployment, executor, first, "plan", inputs)
            assert deployment.processes[first].stop() == 0
            for stage_input, future in zip(inputs, futures, strict=True):
                assert future.result().status == 200
                output = future.result().json()["output"]
                assert output == build_expected_output(stage_input)

    def test_stopping_entry_host_reports_not_ready_while_it_drains(self, deployment):
        first, _ = start_all_stages(deployment, service_ms=SLOW_SERVICE_MS)
        with ThreadPoolExecutor(1) as executor:
            [future] = start_calls(deployment, executor, first, "plan", ["x"])
            deployment.processes[first].signal(signal.SIGTERM)
            wait_until(
                lambda: (
                    get_json(
                        f"http://{deployment.operator_address_by_entry[first]}/readyz"
                    )[0]
                    == 503
                ),
                "entry host not ready",
            )
            assert future.result().status == 200

    def test_leaving_backend_server_completes_its_calls(self, deployment):
        entries = start_all_stages(deployment, service_ms=50)
        stop = threading.Event()
        failures = []

        def call_until_stopped(number):
            count = 0
            while not stop.is_set():
                stage_input = f"caller {number} call {count}"
                entry = entries[number % 2]
                response = deployment.call(entry, "plan", stage_input)
                count += 1
                if response.status != 200:
                    failures.append(response.data)

        with ThreadPoolExecutor(8) as executor:
            for number in range(8):
                executor.submit(call_until_stopped, number)
            wait_until(
                lambda: len(deployment.read_run_counts("rerank-0")) > 3,
                "calls to rerank-0",
            )
            assert deployment.processes["rerank-0"].stop() == 0
            runs = len(deployment.read_run_counts("rerank-1"))
            wait_until(
                lambda: len(deployment.read_run_counts("rerank-1")) > runs + 10,
                "calls to rerank-1",
            )
            stop.set()
        assert failures == []


class TestCrash:
    def test_non_repeatable_request_runs_once_despite_a_crash(self, deployment):
        first, second = deployment.callers
        deployment.start_backend(
            "charge-0", ["charge"], [first, second], service_ms=1_500
        )
        deployment.wait_ready([first, second], servers=1)
        headers = {"Idempotency-Key": "seat-9"}
        with ThreadPoolExecutor(1) as executor:
            [future] = start_calls(
                deployment, executor, first, "book", ["seat"], headers=headers
            )
            wait_until(
                lambda: sum(deployment.read_run_counts("charge-0").values()) == 1,
                "run of the charge stage",
            )
            deployment.processes[first].kill()
            with pytest.raises(urllib3.exceptions.HTTPError):
                future.result()
        retry_headers = headers | {"Galenadrum-Deadline-Ms": "2000"}
        response = deployment.call(second, "book", "seat", headers=retry_headers)
        assert response.status == 409
        assert read_error(response)["run"] == "unknown"
        assert read_error(response)["retry_after_ms"] > 0
        assert sum(deployment.read_run_counts("charge-0").values()) == 1

    def test_callers_retry_through_another_entry_host(self, deployment):
        first, second = start_all_stages(deployment, service_ms=SLOW_SERVICE_MS)
        inputs = [f"request {number}" for number in range(REQUESTS_IN_FLIGHT)]
        with ThreadPoolExecutor(REQUESTS_IN_FLIGHT) as executor:
            start_calls(deployment, executor, first, "plan", inputs)
            deployment.processes[first].kill()
        responses = deployment.call_many([second], "plan", inputs, REQUESTS_IN_FLIGHT)
        for stage_input, response in zip(inputs, responses, strict=True):
            assert response.json()["output"] == build_expected_output(stage_input)


class TestControlUnreachable:
    def test_repeatable_calls_succeed_and_others_are_refused_as_not_run(
        self, deployment
    ):
        entries = start_all_stages(deployment)
        deployment.start_backend("charge-0", ["charge"], entries)
        deployment.wait_ready(entries, servers=9)
        deployment.processes["control-1"].kill()
        for entry in entries:
            assert deployment.call(entry, "plan", "x").status == 200
            headers = {"Idempotency-Key": f"seat-{entry}"}
            response = deployment.call(entry, "book", "seat", headers=headers)
            assert response.status == 503
            assert read_error(response)["code"] == "control_unreachable"
            assert read_error(response)["run"] == "not_run"
            assert read_error(response)["retry_after_ms"] > 0
        assert deployment.read_run_counts("charge-0") == {}

    def test_restarted_entry_host_loads_the_newest_revision_of_its_zone(
        self, deployment
    ):
        first, second = deployment.callers
        deployment.wait_ready([first, second])
        spec = {"stages": ["encode"], "deadline_ms": 900}
        revision = deployment.apply([put("pipeline", "later", spec)], "second")
        for name in (first, second):
            wait_until(
                lambda name=name: deployment.read_revision(name) == revision,
                "revision in force",
            )
        deployment.processes["control-1"].kill()
        for name in (first, second):
            deployment.processes[name].kill()
            deployment.start_entry_host(name)
            deployment.wait_ready([name])
            assert deployment.read_revision(name) == revision

    def test_entry_host_without_a_declarations_source_is_not_ready(self, deployment):
        deployment.processes["control-1"].kill()
        first, second = deployment.callers
        for name in (first, second):
            deployment.processes[name].kill()
        deployment.start_entry_host(first)
        url = f"http://{deployment.operator_address_by_entry[first]}/readyz"
        wait_until(lambda: get_json(url)[0] == 503, "status 503 of /readyz")
        response = deployment.call(first, "plan", "x")
        assert response.status == 503
        assert read_error(response)["code"] == "not_ready"
