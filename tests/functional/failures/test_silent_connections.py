"""Tests of connections that an intermediary drops without telling either end."""

from contextlib import ExitStack

import pytest

from lib.deployment import (
    STAGES,
    Deployment,
    build_expected_output,
    build_standard_changes,
    put,
)
from lib.processes import reserve_address, wait_until
from lib.silent_relay import SilentRelay

REQUEST_COUNT = 20


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        deployment.start_control_hosts(1)
        deployment.apply(build_standard_changes(deadline_ms=30_000), "first")
        yield deployment
    finally:
        deployment.close()


@pytest.fixture
def start_relay():
    with ExitStack() as stack:
        yield lambda target: stack.enter_context(SilentRelay(target))


def start_backends_behind_relays(deployment, start_relay, entries, stages):
    """Start a backend server for each stage, reachable only through a relay."""
    relay_by_stage = {}
    for stage in stages:
        listen = reserve_address()
        relay = start_relay(listen)
        relay_by_stage[stage] = relay
        deployment.start_backend(
            f"{stage}-0", [stage], entries, listen=listen, advertise=relay.address
        )
    deployment.wait_ready(entries, servers=len(stages))
    return relay_by_stage


def apply_new_pipeline(deployment, number):
    spec = {"stages": ["encode"], "deadline_ms": 1_000}
    return deployment.apply([put("pipeline", f"later-{number}", spec)], f"{number}")


class TestSilentConnections:
    def test_backend_calls_succeed_over_new_connections(self, deployment, start_relay):
        entries = deployment.start_entry_hosts(1)
        relay_by_stage = start_backends_behind_relays(
            deployment, start_relay, entries, STAGES
        )
        inputs = [f"note {number}" for number in range(REQUEST_COUNT)]
        deployment.call_many(entries, "plan", inputs, 8)
        for relay in relay_by_stage.values():
            relay.silence()
        responses = deployment.call_many(entries, "plan", inputs, 8)
        for stage_input, response in zip(inputs, responses, strict=True):
            assert response.status == 200, response.data
            assert response.json()["output"] == build_expected_output(stage_input)

    def test_non_repeatable_calls_run_once_despite_silent_connections(
        self, deployment, start_relay
    ):
        entries = deployment.start_entry_hosts(1)
        relay_by_stage = start_backends_behind_relays(
            deployment, start_relay, entries, ["charge"]
        )
        for number in range(REQUEST_COUNT):
            headers = {"Idempotency-Key": f"seat-{number}"}
            response = deployment.call(entries[0], "book", "seat", headers=headers)
            assert response.status == 200, response.data
            relay_by_stage["charge"].silence()
        assert (
            list(deployment.read_run_counts("charge-0").values()) == [1] * REQUEST_COUNT
        )

    def test_declarations_watch_resumes_without_missing_a_revision(
        self, deployment, start_relay
    ):
        control = deployment.control_settings["control-1"]["peer_address"]
        relay = start_relay(control)
        entries = deployment.start_entry_hosts(2, control_addresses=[relay.address])
        deployment.wait_ready(entries)
        for number in range(2):
            relay.silence()
            revision = apply_new_pipeline(deployment, number)
            for entry in entries:
                wait_until(
                    lambda entry=entry, revision=revision: (
                        deployment.read_revision(entry) == revision
                    ),
                    "revision in force",
                )

    def test_claims_succeed_over_new_connections_to_control(
        self, deployment, start_relay
    ):
        control = deployment.control_settings["control-1"]["peer_address"]
        relay = start_relay(control)
        entries = deployment.start_entry_hosts(1, control_addresses=[relay.address])
        deployment.start_backend("charge-0", ["charge"], entries)
        deployment.wait_ready(entries, servers=1)
        for number in range(3):
            headers = {"Idempotency-Key": f"seat-{number}"}
            response = deployment.call(entries[0], "book", "seat", headers=headers)
            assert response.status == 200, response.data
            relay.silence()
        assert list(deployment.read_run_counts("charge-0").values()) == [1] * 3


class TestPartitionedZone:
    def test_serves_while_cut_then_converges_and_never_reverts(
        self, deployment, start_relay
    ):
        control = deployment.control_settings["control-1"]["peer_address"]
        relay = start_relay(control)
        entries = deployment.start_entry_hosts(2, control_addresses=[relay.address])
        for stage in STAGES:
            deployment.start_backend(f"{stage}-0", [stage], entries)
        deployment.wait_ready(entries, servers=len(STAGES))
        before = apply_new_pipeline(deployment, 0)
        for entry in entries:
            wait_until(
                lambda e=entry: deployment.read_revision(e) == before,
                "revision in force",
            )
        relay.cut()
        served_revisions = []
        for number in range(1, 6):
            newest = apply_new_pipeline(deployment, number)
            for entry in entries:
                response = deployment.call(entry, "plan", f"note {number}")
                assert response.status == 200, response.data
                served_revisions.append(deployment.read_revision(entry))
        assert set(served_revisions) == {before}
        relay.heal()
        for entry in entries:
            revisions = [before]

            def has_converged(entry=entry, revisions=revisions):
                revisions.append(deployment.read_revision(entry))
                return revisions[-1] == newest

            wait_until(has_converged, "the newest revision")
            assert revisions == sorted(revisions)
