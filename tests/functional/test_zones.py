"""Tests of stage calls that an entry host forwards to another availability zone."""

import json

import pytest
import urllib3

from lib.deployment import (
    STAGES,
    Deployment,
    build_expected_output,
    build_standard_changes,
    put,
)
from lib.processes import wait_until


@pytest.fixture
def deployment(tmp_path):
    """Start two zones; only zone 2 has servers of the stages generate and charge."""
    deployment = Deployment(tmp_path)
    try:
        deployment.start_control_hosts(1)
        deployment.apply(build_standard_changes(), "first")
        first, second = deployment.start_zones({"zone-1": 1, "zone-2": 1})
        for stage in STAGES[:-1]:
            deployment.start_backend(f"{stage}-0", [stage], [first])
        deployment.start_backend("generate-0", ["generate"], [second], zone="zone-2")
        deployment.start_backend("charge-0", ["charge"], [second], zone="zone-2")
        deployment.wait_ready([first], servers=3)
        deployment.wait_ready([second], servers=2)
        yield deployment
    finally:
        deployment.close()


def call_until_successful(deployment, pipeline, stage_input, **options):
    """Call zone 1 until a call succeeds, once it knows the capacity of zone 2."""
    answered = []

    def call():
        response = deployment.call("zone-1-entry-1", pipeline, stage_input, **options)
        if response.status == 200:
            answered.append(response)
        return bool(answered)

    wait_until(call, "response through the other zone")
    return answered[0]


class TestZones:
    def test_stage_without_a_server_in_its_zone_runs_in_another_zone(self, deployment):
        response = call_until_successful(deployment, "plan", "a b c d")
        assert response.json()["output"] == build_expected_output("a b c d")
        deployment.processes["zone-1-entry-1"].stop()
        lines = (deployment.folder / "zone-1-entry-1.traces").read_text().splitlines()
        spans = [json.loads(line) for line in lines]
        servers = {
            span["attributes"]["server_id"]
            for span in spans
            if span["name"] == "stage generate"
        }
        assert servers == {"zone/zone-2"}

    def test_stream_from_another_zone_is_complete(self, deployment):
        call_until_successful(deployment, "plan", "x")
        response = deployment.call("zone-1-entry-1", "plan", "a b c d e f", stream=True)
        assert response.data.count(b"data:") > 3
        assert b"event: done" in response.data

    def test_failure_of_a_begun_stream_is_told_to_the_other_zone(self, deployment):
        # The stream ended without a word, and the reason was lost between the zones.
        deployment.start_backend(
            "truncate-0",
            ["generate"],
            ["zone-2-entry-1"],
            zone="zone-2",
            truncate_every=1,
        )
        deployment.processes["generate-0"].stop()
        trace_path = deployment.folder / "zone-1-entry-1.traces"

        def is_reason_recorded():
            deployment.call("zone-1-entry-1", "plan", "a b c d e f", stream=True)
            text = trace_path.read_text() if trace_path.exists() else ""
            return "the server ended the stream with an error" in text

        wait_until(is_reason_recorded, "reason of the failure in the trace")

    def test_claimed_request_runs_once_in_the_other_zone(self, deployment):
        headers = {"Idempotency-Key": "seat-1"}
        response = call_until_successful(deployment, "book", "seat", headers=headers)
        retry_response = deployment.call(
            "zone-1-entry-1", "book", "seat", headers=headers
        )
        assert retry_response.json() == response.json()
        runs = deployment.read_run_counts("charge-0")
        charge_runs = [n for key, n in runs.items() if ".charge." in key]
        assert charge_runs == [1]

    def test_isolated_zone_serves_pipelines_with_local_servers(self, deployment):
        spec = {"stages": ["encode"], "deadline_ms": 5_000}
        revision = deployment.apply([put("pipeline", "local", spec)], "second")
        wait_until(
            lambda: deployment.read_revision("zone-1-entry-1") == revision,
            "revision in force",
        )
        call_until_successful(deployment, "plan", "x")
        deployment.processes["zone-2-entry-1"].kill()
        deployment.processes["control-1"].kill()
        response = deployment.call("zone-1-entry-1", "local", "x")
        assert response.json()["output"] == "encode(x)"
        refused = deployment.call("zone-1-entry-1", "plan", "x")
        assert refused.status != 200
        assert refused.json()["error"]["run"] in ("not_run", "run"), refused.data

    def test_only_entry_hosts_of_other_zones_may_forward_calls(self, deployment):
        deployment.start_entry_hosts(1, zone="zone-3")
        deployment.wait_ready(["zone-3-entry-1"])
        url = f"http://{deployment.callers['zone-3-entry-1']}/v1/stages/encode"
        response = urllib3.request("POST", url, json={"input": "x"}, retries=False)
        assert response.status == 401
