"""Tests of the operator commands and client against a fake control host."""

import hashlib
import io
import json
import math
import threading

import pytest

from galenadrum._internal.cli import main, status_codes
from galenadrum._internal.models.operator_api import ChangeSet
from galenadrum._internal.network.operator_client import (
    ClientTimeouts,
    OperatorClient,
)
from lib.operators_api import FakeOperatorApi, serving
from lib.processes import reserve_address

STAGE = {"kind": "stage", "name": "encode", "spec": {}}
PIPELINE = {
    "kind": "pipeline",
    "name": "plan",
    "spec": {"stages": ["encode"], "deadline_ms": 5000},
}


@pytest.fixture
def api():
    return FakeOperatorApi(token="secret")


@pytest.fixture
def run(api, tmp_path, monkeypatch, capsys):
    """Return a function that runs the command line against ``api``.

    It returns the exit code, the standard output and the standard error.
    """
    monkeypatch.setenv("GALENADRUM_TOKEN", "secret")
    monkeypatch.setenv("GALENADRUM_STATE_FOLDER", str(tmp_path / "state"))

    def run_command(*arguments):
        code = main.run([str(argument) for argument in arguments])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    with serving(api) as address:
        monkeypatch.setenv("GALENADRUM_CONTROL", address)
        yield run_command


@pytest.fixture
def declarations_folder(tmp_path):
    folder = tmp_path / "declared"
    folder.mkdir()
    (folder / "all.json").write_text(json.dumps([STAGE, PIPELINE], indent=1))
    return folder


def truncate_responses(api, count, accept):
    """Truncate the responses to the next ``count`` changes.

    Args:
        accept: Whether the changes are applied all the same.
    """

    def override(call, body):
        if call != "POST /v1/changes" or len(api.submitted) > count:
            return None
        if accept:
            api.change(body)
        return 200, b"{"

    api.override = override


class TestApply:
    def test_creates_resources_then_reports_them_unchanged(
        self, run, declarations_folder, api
    ):
        code, out, err = run("apply", "-f", declarations_folder)
        assert code == status_codes.SUCCESS
        assert out.splitlines() == [
            "stage/encode created",
            "pipeline/plan created",
            "revision 1",
        ]
        assert err == f"change id {api.change_ids[0]}\n"
        code, out, _ = run("apply", "-f", declarations_folder, "-o", "json")
        assert {r["outcome"] for r in json.loads(out)["results"]} == {"unchanged"}

    @pytest.mark.parametrize("accepted", [True, False])
    def test_change_is_resent_with_the_same_id_after_an_unreadable_response(
        self, run, declarations_folder, api, accepted
    ):
        truncate_responses(api, 1, accepted)
        code, out, _ = run("apply", "-f", declarations_folder, "-o", "json")
        assert code == status_codes.SUCCESS
        assert json.loads(out)["repeated"] is accepted
        assert len(set(api.change_ids)) == 1 < len(api.change_ids)
        assert api.revision == 1

    def test_later_command_returns_the_recorded_outcome(
        self, run, declarations_folder, api
    ):
        truncate_responses(api, math.inf, accept=True)
        code, out, err = run("apply", "-f", declarations_folder, "--timeout-s", "0.01")
        change_id = api.change_ids[0]
        assert (code, out) == (status_codes.OUTCOME_UNKNOWN, "")
        assert f"--change-id {change_id}" in err
        api.override = lambda call, body: None
        repeat_command = ("apply", "-f", declarations_folder, "--change-id", change_id)
        code, out, _ = run(*repeat_command, "-o", "json")
        assert code == status_codes.SUCCESS
        assert json.loads(out)["repeated"]
        assert [r["outcome"] for r in json.loads(out)["results"]] == ["created"] * 2
        assert api.revision == 1
        # The pending change is deleted once its outcome is known, so a repeated command
        # reads the base revisions again.
        base_revisions = {
            change["base_revision"] for change in api.submitted[-1]["changes"]
        }
        assert base_revisions == {0}
        run(*repeat_command)
        assert {c["base_revision"] for c in api.submitted[-1]["changes"]} == {1}

    def test_pending_change_id_is_refused_for_other_changes(
        self, run, declarations_folder, api
    ):
        truncate_responses(api, math.inf, accept=False)
        run(
            "apply",
            "-f",
            declarations_folder,
            "--timeout-s",
            "0.01",
            "--change-id",
            "c1",
        )
        (declarations_folder / "all.json").write_text(json.dumps(STAGE))
        calls = len(api.change_ids)
        code, _, err = run("apply", "-f", declarations_folder, "--change-id", "c1")
        assert code == status_codes.USAGE
        assert "other changes" in err
        assert len(api.change_ids) == calls

    def test_conflict_shows_the_current_resource(self, run, declarations_folder, api):
        run("apply", "-f", declarations_folder)

        def change_concurrently(call, body):
            if call == "POST /v1/changes":
                resource = api.resources["pipeline", "plan"]
                resource.update(revision=9, owner="tornos")

        api.override = change_concurrently
        code, out, err = run("apply", "-f", declarations_folder)
        assert (code, out) == (status_codes.CONFLICT, "")
        assert "pipeline/plan now stands at revision 9, owner tornos" in err

    def test_findings_of_the_control_host_are_located_in_the_file(
        self, run, declarations_folder, api
    ):
        finding = {"path": "changes[1].spec.stages[0]", "message": "not declared"}
        error = {"code": "invalid", "message": "", "findings": [finding]}
        api.override = lambda call, body: (
            (422, {"error": error}) if call == "POST /v1/changes" else None
        )
        code, _, err = run("apply", "-f", declarations_folder, "--dry-run")
        assert code == status_codes.FINDINGS
        assert (
            f"{declarations_folder}/all.json:12:5: [1].spec.stages[0]: not declared"
            in err
        )

    def test_dry_run_changes_nothing(self, run, declarations_folder, api):
        code, out, _ = run("apply", "-f", declarations_folder, "--dry-run")
        assert (code, api.revision) == (status_codes.SUCCESS, 0)
        assert "dry run" in out

    def test_findings_in_files_prevent_every_request(
        self, run, declarations_folder, api
    ):
        (declarations_folder / "more.json").write_text('{"kind": "stage", "name": "x"}')
        code, _, err = run("apply", "-f", declarations_folder)
        assert code == status_codes.FINDINGS
        assert err == f"{declarations_folder}/more.json:1:1: spec: missing\n"
        assert api.calls == []


class TestOtherCommands:
    def test_diff_shows_what_apply_would_change(self, run, declarations_folder):
        assert run("diff", "-f", declarations_folder)[0] == status_codes.FINDINGS
        run("apply", "-f", declarations_folder)
        assert run("diff", "-f", declarations_folder) == (status_codes.SUCCESS, "", "")
        changed = {**PIPELINE, "spec": {**PIPELINE["spec"], "deadline_ms": 4000}}
        (declarations_folder / "all.json").write_text(json.dumps([STAGE, changed]))
        code, out, _ = run("diff", "-f", declarations_folder)
        assert code == status_codes.FINDINGS
        assert "pipeline/plan would be changed\n  spec.deadline_ms: 5000 -> 4000" in out

    def test_get_shows_where_a_resource_is_in_force(self, run, declarations_folder):
        run("apply", "-f", declarations_folder)
        _, out, _ = run("get", "pipeline")
        assert out.splitlines()[1].split() == (
            ["pipeline", "plan", "vatu", "1", "1", "1/2,", "not", "on", "e2"]
        )
        _, out, _ = run("get", "pipeline", "plan", "-o", "json")
        assert json.loads(out)["resources"][0]["spec"]["deadline_ms"] == 5000
        assert run("get", "pipeline", "none")[0] == status_codes.FINDINGS

    def test_import_restores_exported_resources_after_a_deletion(
        self, run, declarations_folder, api, tmp_path
    ):
        run("apply", "-f", declarations_folder)
        target = tmp_path / "vatu.json"
        assert run("export", "--owner", "vatu", "--to", target)[0] == 0
        assert run("import", target)[0] == status_codes.CONFLICT
        code, out, _ = run("delete", "pipeline/plan", "stage/encode")
        assert (code, api.resources) == (status_codes.SUCCESS, {})
        assert run("import", target)[0] == status_codes.SUCCESS
        assert set(api.resources) == {("stage", "encode"), ("pipeline", "plan")}

    def test_status_shows_the_leader_and_the_revisions(
        self, run, declarations_folder, api
    ):
        run("apply", "-f", declarations_folder)
        code, out, _ = run("status")
        assert code == status_codes.SUCCESS
        assert "e1" in out.splitlines()[-1]
        api.override = lambda call, body: (200, {"member_id": "c1", "role": "follower"})
        assert run("status")[0] == status_codes.UNREACHABLE

    def test_exit_code_by_kind_of_failure(
        self, run, declarations_folder, api, monkeypatch
    ):
        assert run("get", "nothing")[0] == status_codes.USAGE
        monkeypatch.setenv("GALENADRUM_TOKEN", "wrong")
        code, _, err = run("apply", "-f", declarations_folder)
        assert (code, err) == (status_codes.REFUSED, "error: wrong token\n")
        monkeypatch.setenv("GALENADRUM_CONTROL", "127.0.0.1:1")
        assert run("get", "--timeout-s", "0.01")[0] == status_codes.UNREACHABLE

    def test_address_in_use_is_reported_without_a_traceback(self, run, tmp_path):
        with serving(FakeOperatorApi()) as address:
            occupied_address = address.removeprefix("http://")
            settings = {
                "role": "entry",
                "host_id": "e1",
                "zone": "nadi",
                "caller_address": occupied_address,
                "operator_address": reserve_address(),
                "peer_address": reserve_address(),
                "control_addresses": [reserve_address()],
            }
            path = tmp_path / "entry.json"
            path.write_text(json.dumps(settings))
            code, _, err = run("entry", path)
        assert code == status_codes.HOST
        assert "Traceback" not in err

    def test_digest_hashes_the_key_from_standard_input(self, run, monkeypatch):
        key = io.TextIOWrapper(io.BytesIO(b"demo-key-x\n"))
        monkeypatch.setattr("sys.stdin", key)
        _, out, _ = run("digest")
        assert out.strip() == hashlib.sha256(b"demo-key-x").hexdigest()


class TestOperatorClient:
    def test_follows_the_leader_address_in_a_refusal(self):
        leader, follower = FakeOperatorApi(), FakeOperatorApi()
        with serving(leader) as leader_address, serving(follower) as address:
            error = {"code": "not_leader", "leader": leader_address.split("//")[1]}
            follower.override = lambda call, body: (503, {"error": error})
            client = OperatorClient([address])
            assert client.list_resources().revision == 0
            assert client.submit(ChangeSet("c", ())).revision == 1
        assert follower.calls == ["GET /v1/resources"]
        assert leader.calls == ["GET /v1/resources", "POST /v1/changes"]

    def test_silent_watch_resumes_from_the_last_revision(self):
        api = FakeOperatorApi()
        requested_revisions = []
        ended = threading.Event()

        def lines(revision):
            requested_revisions.append(revision)
            event = {"from_revision": revision, "revision": revision + 1}
            yield json.dumps({**event, "snapshot": revision == 0}).encode() + b"\n"
            heartbeat = {"from_revision": revision + 1, "revision": revision + 1}
            yield json.dumps(heartbeat).encode() + b"\n"
            if revision == 0:
                ended.wait(30)

        api.stream_watch = lines
        reasons = []
        with serving(api) as address:
            timeouts = ClientTimeouts(watch_silence_s=0.2)
            client = OperatorClient([address], timeouts=timeouts, sleep=lambda s: None)
            events = client.watch(0, reasons.append)
            seen = [next(events).revision for _ in range(3)]
            events.close()
            ended.set()
        assert seen == [1, 2, 3]
        assert requested_revisions == sorted(requested_revisions)
        assert {0, 1, 2} <= set(requested_revisions)
        assert "Read timed out" in reasons[0]


class TestRemoveMember:
    def test_is_retried_after_an_unreadable_response(self, run, api):
        api.override = lambda call, body: (
            (200, b"{") if api.calls.count(call) == 1 else None
        )
        code, out, _ = run("remove-member", "control-ba")
        assert (code, out) == (status_codes.SUCCESS, "control-ba removed\n")
        assert api.calls == ["DELETE /v1/members"] * 2
        code, out, _ = run("remove-member", "control-ba", "-o", "json")
        assert json.loads(out) == {"removed": "control-ba"}
