import json

import pytest
import urllib3

from lib.deployment import STAGES, Deployment, expected_output, put, standard_changes
from lib.processes import wait_until


@pytest.fixture
def deployment(tmp_path):
    """Zone 1 has no server that generates or charges; zone 2 has both."""
    deployment = Deployment(tmp_path)
    try:
        deployment.start_controls(1)
        deployment.apply(standard_changes(), "first")
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


def call_until_answered(deployment, pipeline, stage_input, **options):
    """Call zone 1 until it has heard what zone 2 can take."""
    answered = []

    def call():
        response = deployment.call("zone-1-entry-1", pipeline, stage_input, **options)
        if response.status == 200:
            answered.append(response)
        return bool(answered)

    wait_until(call, "an answer over the other zone")
    return answered[0]


class TestZones:
    def test_a_stage_without_a_server_in_the_zone_runs_in_another(self, deployment):
        response = call_until_answered(deployment, "plan", "a b c d")
        assert response.json()["output"] == expected_output("a b c d")
        deployment.processes["zone-1-entry-1"].stop()
        lines = (deployment.folder / "zone-1-entry-1.traces").read_text().splitlines()
        spans = [json.loads(line) for line in lines]
        servers = {
            span["attributes"]["server_id"]
            for span in spans
            if span["name"] == "stage generate"
        }
        assert servers == {"zone/zone-2"}

    def test_a_stream_crosses_zones_whole(self, deployment):
        call_until_answered(deployment, "plan", "x")
        response = deployment.call("zone-1-entry-1", "plan", "a b c d e f", stream=True)
        assert response.data.count(b"data:") > 3
        assert b"event: done" in response.data

    def test_a_claimed_request_runs_once_in_the_other_zone(self, deployment):
        headers = {"Idempotency-Key": "seat-1"}
        response = call_until_answered(deployment, "book", "seat", headers=headers)
        again = deployment.call("zone-1-entry-1", "book", "seat", headers=headers)
        assert again.json() == response.json()
        runs = deployment.runs("charge-0")
        booked = [n for key, n in runs.items() if ".charge." in key]
        assert booked == [1]

    def test_a_zone_that_is_cut_off_serves_what_it_can(self, deployment):
        spec = {"stages": ["encode"], "deadline_ms": 5_000}
        revision = deployment.apply([put("pipeline", "local", spec)], "second")
        wait_until(
            lambda: deployment.revision_of("zone-1-entry-1") == revision, "in force"
        )
        call_until_answered(deployment, "plan", "x")
        deployment.processes["zone-2-entry-1"].kill()
        deployment.processes["control-1"].kill()
        response = deployment.call("zone-1-entry-1", "local", "x")
        assert response.json()["output"] == "encode(x)"
        refused = deployment.call("zone-1-entry-1", "plan", "x")
        assert refused.status != 200
        assert refused.json()["error"]["run"] in ("not_run", "run"), refused.data

    def test_only_entry_hosts_of_other_zones_may_hand_calls_over(self, deployment):
        deployment.start_entries(1, zone="zone-3")
        deployment.wait_ready(["zone-3-entry-1"])
        url = f"http://{deployment.callers['zone-3-entry-1']}/v1/stages/encode"
        response = urllib3.request("POST", url, json={"input": "x"}, retries=False)
        assert response.status == 401
