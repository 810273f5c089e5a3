"""Tests of routing stage calls to engines that have the declared model loaded."""

import threading

import pytest

from galenadrum._internal.demo.engine import CALL_RECORD_PATH
from lib.deployment import Deployment, build_standard_changes, put
from lib.processes import get_json, wait_until

CALLER_COUNT = 6


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        yield deployment
    finally:
        deployment.close()


def build_model_change(version):
    return put("model", "m", {"version": version, "replicas_by_zone": {"zone-1": 2}})


def start_hosts_and_engines(deployment):
    """Start a control host, an entry host and three engines; return the entry host.

    Two engines have the model m loaded, the third has the model other.
    """
    deployment.start_control_hosts(1)
    changes = [
        build_model_change("1"),
        put("model", "absent", {"version": "1"}),
        put("stage", "answer", {"model": "m"}),
        put("stage", "vanish", {"model": "absent"}),
        put("pipeline", "ask", {"stages": ["answer"], "deadline_ms": 20_000}),
        put("pipeline", "lose", {"stages": ["vanish"], "deadline_ms": 20_000}),
    ]
    deployment.apply([*build_standard_changes(), *changes], "first")
    [entry] = deployment.start_entry_hosts(1)
    for name, held in (("e1", "m=1"), ("e2", "m=1"), ("e3", "other=1")):
        arguments = ["galenadrum._internal.demo.engine", "--zone", "zone-1"]
        arguments += ["--server-id", name, "--model", held, "--serves", "m"]
        arguments += ["--stage", "answer", "--stage", "vanish", "--capacity", "8"]
        arguments += [
            "--entry",
            deployment.callers[entry],
            "--load-ms",
            "300",
        ]
        process = deployment.start_process(name, arguments)
        deployment.backend_address_by_name[name] = (
            process.popen.stdout.readline().decode().strip()
        )
    deployment.wait_ready([entry], servers=3)
    return entry


def read_refused_calls(deployment, name):
    return get_json(
        f"http://{deployment.backend_address_by_name[name]}{CALL_RECORD_PATH}"
    )[1]["refused"]


class PipelineLoad:
    """Threads that call the pipeline "ask" until they are stopped."""

    def __init__(self, deployment, entry):
        self._call_pipeline = lambda: deployment.call(entry, "ask", "x")
        self._stop = threading.Event()
        self.answers = []
        self._threads = [
            threading.Thread(target=self._run) for _ in range(CALLER_COUNT)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self._stop.is_set():
            response = self._call_pipeline()
            self.answers.append((response.status, response.json().get("output")))

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()


class TestRoutingByLoadedModel:
    def test_version_change_under_load_fails_no_request(self, deployment):
        entry = start_hosts_and_engines(deployment)
        load = PipelineLoad(deployment, entry)
        try:
            wait_until(lambda: len(load.answers) > 50, "answers of version 1")
            deployment.apply([build_model_change("2")], "second")
            answers = load.answers
            wait_until(lambda: (200, "answer-2(x)") in answers, "version 2")
            wait_until(
                lambda: {a for _, a in answers[-100:]} == {"answer-2(x)"},
                "version 2 only",
            )
        finally:
            load.stop()
        assert set(load.answers) == {(200, "answer-1(x)"), (200, "answer-2(x)")}
        assert read_refused_calls(deployment, "e3") == 0

    def test_stage_without_an_engine_for_its_model_is_refused_as_not_run(
        self, deployment
    ):
        entry = start_hosts_and_engines(deployment)
        response = deployment.call(entry, "lose", "x")
        assert response.status == 503
        assert response.json()["error"]["run"] == "not_run"
        assert int(response.headers["Retry-After"]) >= 1
        assert (
            sum(read_refused_calls(deployment, name) for name in ("e1", "e2", "e3"))
            == 0
        )
