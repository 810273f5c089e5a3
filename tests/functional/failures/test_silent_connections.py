"""Connections that something between the two ends has lost track of."""

from contextlib import ExitStack

import pytest

from lib.deployment import STAGES, Deployment, expected_output, put, standard_changes
from lib.processes import free_address, wait_until
from lib.silent_relay import SilentRelay

REQUESTS = 20


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        deployment.start_controls(1)
        deployment.apply(standard_changes(deadline_ms=30_000), "first")
        yield deployment
    finally:
        deployment.close()


@pytest.fixture
def relays():
    with ExitStack() as stack:
        yield lambda target: stack.enter_context(SilentRelay(target))


def start_backends_behind(deployment, relays, entries, stages):
    """Start a server for each stage that is reached through a relay."""
    relay_by_stage = {}
    for stage in stages:
        listen = free_address()
        relay = relays(listen)
        relay_by_stage[stage] = relay
        deployment.start_backend(
            f"{stage}-0", [stage], entries, listen=listen, advertise=relay.address
        )
    deployment.wait_ready(entries, servers=len(stages))
    return relay_by_stage


def put_later(deployment, number):
    spec = {"stages": ["encode"], "deadline_ms": 1_000}
    return deployment.apply([put("pipeline", f"later-{number}", spec)], f"{number}")


class TestSilentConnections:
    def test_calls_of_backend_servers_go_on_over_new_connections(
        self, deployment, relays
    ):
        entries = deployment.start_entries(1)
        relay_by_stage = start_backends_behind(deployment, relays, entries, STAGES)
        inputs = [f"note {number}" for number in range(REQUESTS)]
        deployment.call_many(entries, "plan", inputs, 8)
        for relay in relay_by_stage.values():
            relay.silence()
        responses = deployment.call_many(entries, "plan", inputs, 8)
        for stage_input, response in zip(inputs, responses, strict=True):
            assert response.status == 200, response.data
            assert response.json()["output"] == expected_output(stage_input)

    def test_what_may_not_be_repeated_is_sent_once_whatever_goes_silent(
        self, deployment, relays
    ):
        entries = deployment.start_entries(1)
        relays_by_stage = start_backends_behind(deployment, relays, entries, ["charge"])
        for number in range(REQUESTS):
            headers = {"Idempotency-Key": f"seat-{number}"}
            response = deployment.call(entries[0], "book", "seat", headers=headers)
            assert response.status == 200, response.data
            relays_by_stage["charge"].silence()
        assert list(deployment.runs("charge-0").values()) == [1] * REQUESTS

    def test_the_watch_of_control_resumes_and_misses_nothing(self, deployment, relays):
        control = deployment.control_settings["control-1"]["peer_address"]
        relay = relays(control)
        entries = deployment.start_entries(2, control_addresses=[relay.address])
        deployment.wait_ready(entries)
        for number in range(2):
            relay.silence()
            revision = put_later(deployment, number)
            for entry in entries:
                wait_until(
                    lambda entry=entry, revision=revision: (
                        deployment.revision_of(entry) == revision
                    ),
                    "in force",
                )

    def test_claims_go_on_over_new_connections_to_control(self, deployment, relays):
        control = deployment.control_settings["control-1"]["peer_address"]
        relay = relays(control)
        entries = deployment.start_entries(1, control_addresses=[relay.address])
        deployment.start_backend("charge-0", ["charge"], entries)
        deployment.wait_ready(entries, servers=1)
        for number in range(3):
            headers = {"Idempotency-Key": f"seat-{number}"}
            response = deployment.call(entries[0], "book", "seat", headers=headers)
            assert response.status == 200, response.data
            relay.silence()
        assert list(deployment.runs("charge-0").values()) == [1] * 3


class TestCutZone:
    def test_serves_throughout_converges_after_and_never_reverts(
        self, deployment, relays
    ):
        control = deployment.control_settings["control-1"]["peer_address"]
        relay = relays(control)
        entries = deployment.start_entries(2, control_addresses=[relay.address])
        for stage in STAGES:
            deployment.start_backend(f"{stage}-0", [stage], entries)
        deployment.wait_ready(entries, servers=len(STAGES))
        before = put_later(deployment, 0)
        for entry in entries:
            wait_until(lambda e=entry: deployment.revision_of(e) == before, "in force")
        relay.cut()
        seen = []
        for number in range(1, 6):
            newest = put_later(deployment, number)
            for entry in entries:
                response = deployment.call(entry, "plan", f"note {number}")
                assert response.status == 200, response.data
                seen.append(deployment.revision_of(entry))
        assert set(seen) == {before}
        relay.heal()
        for entry in entries:
            revisions = [before]

            def has_converged(entry=entry, revisions=revisions):
                revisions.append(deployment.revision_of(entry))
                return revisions[-1] == newest

            wait_until(has_converged, "the newest revision")
            assert revisions == sorted(revisions)
