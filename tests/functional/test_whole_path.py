"""Tests of requests through entry hosts and backend servers as processes."""

import hashlib
import json
import socket

import pytest

from galenadrum._internal.network.stage_protocol import parse_event
from lib.deployment import (
    STAGES,
    Deployment,
    build_expected_output,
    build_standard_changes,
)
from lib.processes import wait_until

REQUEST_COUNT = 200


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    deployment = Deployment(tmp_path_factory.mktemp("deployment"))
    try:
        deployment.start_control_hosts(1)
        deployment.apply(build_standard_changes(), "first")
        entries = deployment.start_entry_hosts(2)
        for number in range(2):
            for stage in STAGES:
                deployment.start_backend(f"{stage}-{number}", [stage], entries)
        deployment.start_backend("charge-0", ["charge"], entries)
        deployment.wait_ready(entries, servers=9)
        yield deployment
    finally:
        deployment.close()


def read_error(response):
    return response.json()["error"]


class TestStart:
    def test_daemon_exits_when_its_address_is_in_use(self, tmp_path):
        deployment = Deployment(tmp_path)
        try:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                deployment.control_settings["none"] = {"peer_address": address}
                [name] = deployment.start_entry_hosts(1, caller_address=address)
                code = deployment.processes[name].popen.wait(60)
                assert code not in (None, 0)
        finally:
            deployment.close()


class TestWholePath:
    def test_concurrent_callers_each_get_their_own_response(self, deployment):
        inputs = [f"note {number} " + "x" * number for number in range(REQUEST_COUNT)]
        entries = list(deployment.callers)
        responses = deployment.call_many(entries, "plan", inputs, 200)
        for stage_input, response in zip(inputs, responses, strict=True):
            assert response.status == 200, response.data
            assert response.json()["output"] == build_expected_output(stage_input)

    def test_stream_carries_the_whole_output(self, deployment):
        response = deployment.call("zone-1-entry-1", "plan", "a b c d", stream=True)
        assert response.headers["Content-Type"] == "text/event-stream"
        *parts, end = response.data.strip().split(b"\n\n")
        output = "".join(parse_event(part)[1]["delta"] for part in parts)
        name, done = parse_event(end)
        assert output == build_expected_output("a b c d")
        assert name == "done"
        assert done["digest"] == hashlib.sha256(output.encode()).hexdigest()

    def test_idempotency_key_runs_once_across_entry_hosts(self, deployment):
        headers = {"Idempotency-Key": "seat-7"}
        first = deployment.call("zone-1-entry-1", "book", "seat", headers=headers)
        second = deployment.call("zone-1-entry-2", "book", "seat", headers=headers)
        assert first.status == 200
        assert second.json() == first.json()
        assert deployment.read_run_counts("charge-0")[first.json()["request_id"]] == 1
        other = deployment.call("zone-1-entry-2", "book", "other", headers=headers)
        assert other.status == 422
        assert read_error(other)["code"] == "idempotency_key_reused"

    @pytest.mark.parametrize(
        ("pipeline", "options", "status", "code"),
        [
            ("plan", {"key": "wrong"}, 401, "unauthorised"),
            ("none", {}, 404, "unknown_pipeline"),
            ("book", {}, 400, "idempotency_key_required"),
            ("plan", {"unknown": 1}, 400, "bad_request"),
            *(
                (
                    "plan",
                    {"headers": {"Galenadrum-Deadline-Ms": deadline}},
                    400,
                    "bad_request",
                )
                for deadline in ("0", "-1", "soon", "nan", "inf")
            ),
        ],
    )
    def test_invalid_request_is_refused_as_not_run(
        self, deployment, pipeline, options, status, code
    ):
        response = deployment.call("zone-1-entry-1", pipeline, "x", **options)
        assert response.status == status
        assert read_error(response)["code"] == code
        assert read_error(response)["run"] == "not_run"

    @pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"input": NaN}', b"\xff"])
    def test_malformed_body_is_refused(self, deployment, body):
        url = f"http://{deployment.callers['zone-1-entry-1']}/v1/pipelines/plan"
        response = deployment.pool.request("POST", url, body=body)
        assert response.status == 400
        assert read_error(response)["code"] == "bad_request"

    def test_oversized_body_is_refused(self, deployment):
        url = f"http://{deployment.callers['zone-1-entry-1']}/v1/pipelines/plan"
        response = deployment.pool.request("POST", url, body=bytes(5 * 1024 * 1024))
        assert response.status == 413

    def test_refusal_is_logged_with_the_trace_id_of_the_caller(self, deployment):
        trace_id = "1af7651916cd43dd8448eb211c80319c"
        headers = {"traceparent": f"00-{trace_id}-b7ad6b7169203331-01"}
        deployment.call("zone-1-entry-1", "none", "x", headers=headers)
        process = deployment.processes["zone-1-entry-1"]
        wait_until(lambda: trace_id in process.read_log(), "a log line")

    def test_metrics_show_the_revision_in_force(self, deployment):
        (name, address), *_ = deployment.operator_address_by_entry.items()
        url = f"http://{address}/metrics"
        text = deployment.pool.request("GET", url).data.decode()
        assert f"galenadrum_revision {deployment.read_revision(name)}" in text
        assert "galenadrum_replies_rejected_total 0" in text

    def test_spans_of_all_stages_share_the_trace_of_the_caller(self, deployment):
        trace_id = "0af7651916cd43dd8448eb211c80319c"
        headers = {"traceparent": f"00-{trace_id}-b7ad6b7169203331-01"}
        deployment.call("zone-1-entry-2", "plan", "x", headers=headers)
        assert deployment.processes["zone-1-entry-2"].stop() == 0
        lines = (deployment.folder / "zone-1-entry-2.traces").read_text().splitlines()
        spans = [
            span for span in map(json.loads, lines) if span["trace_id"] == trace_id
        ]
        names = [span["name"] for span in spans]
        assert "pipeline plan" in names
        assert [f"stage {stage}" for stage in STAGES] == names[:4]
