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
from lib.operators_api import OperatorsApi, serving
from lib.processes import free_address

STAGE = {"kind": "stage", "name": "encode", "spec": {}}
PIPELINE = {
    "kind": "pipeline",
    "name": "plan",
    "spec": {"stages": ["encode"], "deadline_ms": 5000},
}


@pytest.fixture
def api():
    return OperatorsApi(token="secret")


@pytest.fixture
def run(api, tmp_path, monkeypatch, capsys):
    """Run the command line against ``api``; return code, output and errors."""
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
def declared(tmp_path):
    folder = tmp_path / "declared"
    folder.mkdir()
    (folder / "all.json").write_text(json.dumps([STAGE, PIPELINE], indent=1))
    return folder


def lose_answers(api, count, accept):
    """Lose the answers to the next changes, after or before they are accepted."""

    def behave(call, body):
        if call != "POST /v1/changes" or len(api.sent) > count:
            return None
        if accept:
            api.change(body)
        return 200, b"{"

    api.behave = behave


class TestApply:
    def test_creates_then_leaves_unchanged(self, run, declared, api):
        code, out, err = run("apply", "-f", declared)
        assert code == status_codes.SUCCESS
        assert out.splitlines() == [
            "stage/encode created",
            "pipeline/plan created",
            "revision 1",
        ]
        assert err == f"change id {api.change_ids[0]}\n"
        code, out, _ = run("apply", "-f", declared, "-o", "json")
        assert {r["outcome"] for r in json.loads(out)["results"]} == {"unchanged"}

    @pytest.mark.parametrize("accepted", [True, False])
    def test_a_lost_answer_is_resent_under_the_same_change_id(
        self, run, declared, api, accepted
    ):
        lose_answers(api, 1, accepted)
        code, out, _ = run("apply", "-f", declared, "-o", "json")
        assert code == status_codes.SUCCESS
        assert json.loads(out)["repeated"] is accepted
        assert len(set(api.change_ids)) == 1 < len(api.change_ids)
        assert api.revision == 1

    def test_a_later_command_finds_the_first_outcome(self, run, declared, api):
        lose_answers(api, math.inf, accept=True)
        code, out, err = run("apply", "-f", declared, "--timeout-s", "0.01")
        change_id = api.change_ids[0]
        assert (code, out) == (status_codes.OUTCOME_UNKNOWN, "")
        assert f"--change-id {change_id}" in err
        api.behave = lambda call, body: None
        repeat = ("apply", "-f", declared, "--change-id", change_id)
        code, out, _ = run(*repeat, "-o", "json")
        assert code == status_codes.SUCCESS
        assert json.loads(out)["repeated"]
        assert [r["outcome"] for r in json.loads(out)["results"]] == ["created"] * 2
        assert api.revision == 1
        # Once the outcome is known, the change is no longer kept.
        bases = {change["base_revision"] for change in api.sent[-1]["changes"]}
        assert bases == {0}
        run(*repeat)
        assert {c["base_revision"] for c in api.sent[-1]["changes"]} == {1}

    def test_a_pending_change_id_is_refused_for_other_changes(self, run, declared, api):
        lose_answers(api, math.inf, accept=False)
        run("apply", "-f", declared, "--timeout-s", "0.01", "--change-id", "c1")
        (declared / "all.json").write_text(json.dumps(STAGE))
        calls = len(api.change_ids)
        code, _, err = run("apply", "-f", declared, "--change-id", "c1")
        assert code == status_codes.USAGE
        assert "other changes" in err
        assert len(api.change_ids) == calls

    def test_a_conflict_shows_what_stands(self, run, declared, api):
        run("apply", "-f", declared)

        def race(call, body):
            if call == "POST /v1/changes":
                resource = api.resources["pipeline", "plan"]
                resource.update(revision=9, owner="tornos")

        api.behave = race
        code, out, err = run("apply", "-f", declared)
        assert (code, out) == (status_codes.CONFLICT, "")
        assert "pipeline/plan now stands at revision 9, owner tornos" in err

    def test_findings_of_the_control_host_get_their_place(self, run, declared, api):
        finding = {"path": "changes[1].spec.stages[0]", "message": "not declared"}
        error = {"code": "invalid", "message": "", "findings": [finding]}
        api.behave = lambda call, body: (
            (422, {"error": error}) if call == "POST /v1/changes" else None
        )
        code, _, err = run("apply", "-f", declared, "--dry-run")
        assert code == status_codes.FINDINGS
        assert f"{declared}/all.json:12:5: [1].spec.stages[0]: not declared" in err

    def test_a_dry_run_changes_nothing(self, run, declared, api):
        code, out, _ = run("apply", "-f", declared, "--dry-run")
        assert (code, api.revision) == (status_codes.SUCCESS, 0)
        assert "dry run" in out

    def test_findings_of_files_stop_it_before_anything_is_sent(
        self, run, declared, api
    ):
        (declared / "more.json").write_text('{"kind": "stage", "name": "x"}')
        code, _, err = run("apply", "-f", declared)
        assert code == status_codes.FINDINGS
        assert err == f"{declared}/more.json:1:1: spec: missing\n"
        assert api.calls == []


class TestOtherCommands:
    def test_diff_tells_what_apply_would_do(self, run, declared):
        assert run("diff", "-f", declared)[0] == status_codes.FINDINGS
        run("apply", "-f", declared)
        assert run("diff", "-f", declared) == (status_codes.SUCCESS, "", "")
        changed = {**PIPELINE, "spec": {**PIPELINE["spec"], "deadline_ms": 4000}}
        (declared / "all.json").write_text(json.dumps([STAGE, changed]))
        code, out, _ = run("diff", "-f", declared)
        assert code == status_codes.FINDINGS
        assert "pipeline/plan would be changed\n  spec.deadline_ms: 5000 -> 4000" in out

    def test_get_shows_where_a_resource_is_in_force(self, run, declared):
        run("apply", "-f", declared)
        _, out, _ = run("get", "pipeline")
        assert out.splitlines()[1].split() == (
            ["pipeline", "plan", "vatu", "1", "1", "1/2,", "not", "on", "e2"]
        )
        _, out, _ = run("get", "pipeline", "plan", "-o", "json")
        assert json.loads(out)["resources"][0]["spec"]["deadline_ms"] == 5000
        assert run("get", "pipeline", "none")[0] == status_codes.FINDINGS

    def test_delete_export_and_import(self, run, declared, api, tmp_path):
        run("apply", "-f", declared)
        target = tmp_path / "vatu.json"
        assert run("export", "--owner", "vatu", "--to", target)[0] == 0
        assert run("import", target)[0] == status_codes.CONFLICT
        code, out, _ = run("delete", "pipeline/plan", "stage/encode")
        assert (code, api.resources) == (status_codes.SUCCESS, {})
        assert run("import", target)[0] == status_codes.SUCCESS
        assert set(api.resources) == {("stage", "encode"), ("pipeline", "plan")}

    def test_status_names_the_leader_and_the_revisions(self, run, declared, api):
        run("apply", "-f", declared)
        code, out, _ = run("status")
        assert code == status_codes.SUCCESS
        assert "e1" in out.splitlines()[-1]
        api.behave = lambda call, body: (200, {"member_id": "c1", "role": "follower"})
        assert run("status")[0] == status_codes.UNREACHABLE

    def test_exit_codes_by_kind(self, run, declared, api, monkeypatch):
        assert run("get", "nothing")[0] == status_codes.USAGE
        monkeypatch.setenv("GALENADRUM_TOKEN", "wrong")
        code, _, err = run("apply", "-f", declared)
        assert (code, err) == (status_codes.REFUSED, "error: wrong token\n")
        monkeypatch.setenv("GALENADRUM_CONTROL", "127.0.0.1:1")
        assert run("get", "--timeout-s", "0.01")[0] == status_codes.UNREACHABLE

    def test_an_address_in_use_is_told_without_a_traceback(self, run, tmp_path):
        with serving(OperatorsApi()) as address:
            taken = address.removeprefix("http://")
            settings = {
                "role": "entry",
                "host_id": "e1",
                "zone": "nadi",
                "caller_address": taken,
                "operator_address": free_address(),
                "peer_address": free_address(),
                "control_addresses": [free_address()],
            }
            path = tmp_path / "entry.json"
            path.write_text(json.dumps(settings))
            code, _, err = run("entry", path)
        assert code == status_codes.HOST
        assert "Traceback" not in err

    def test_digest_is_that_of_the_key(self, run, monkeypatch):
        key = io.TextIOWrapper(io.BytesIO(b"demo-key-x\n"))
        monkeypatch.setattr("sys.stdin", key)
        _, out, _ = run("digest")
        assert out.strip() == hashlib.sha256(b"demo-key-x").hexdigest()


class TestOperatorClient:
    def test_goes_to_the_leader_that_it_is_told_of(self):
        leader, follower = OperatorsApi(), OperatorsApi()
        with serving(leader) as leader_address, serving(follower) as address:
            error = {"code": "not_leader", "leader": leader_address.split("//")[1]}
            follower.behave = lambda call, body: (503, {"error": error})
            client = OperatorClient([address])
            assert client.list_resources().revision == 0
            assert client.submit(ChangeSet("c", ())).revision == 1
        assert follower.calls == ["GET /v1/resources"]
        assert leader.calls == ["GET /v1/resources", "POST /v1/changes"]

    def test_a_silent_watch_is_taken_up_from_the_last_revision(self):
        api = OperatorsApi()
        asked = []
        ended = threading.Event()

        def lines(revision):
            asked.append(revision)
            event = {"from_revision": revision, "revision": revision + 1}
            yield json.dumps({**event, "snapshot": revision == 0}).encode() + b"\n"
            heartbeat = {"from_revision": revision + 1, "revision": revision + 1}
            yield json.dumps(heartbeat).encode() + b"\n"
            if revision == 0:
                ended.wait(30)

        api.lines = lines
        reasons = []
        with serving(api) as address:
            timeouts = ClientTimeouts(watch_silence_s=0.2)
            client = OperatorClient([address], timeouts=timeouts, sleep=lambda s: None)
            events = client.watch(0, reasons.append)
            seen = [next(events).revision for _ in range(3)]
            events.close()
            ended.set()
        assert seen == [1, 2, 3]
        assert asked == sorted(asked)
        assert {0, 1, 2} <= set(asked)
        assert "Read timed out" in reasons[0]


class TestRemoveMember:
    def test_is_sent_again_after_a_lost_answer(self, run, api):
        api.behave = lambda call, body: (
            (200, b"{") if api.calls.count(call) == 1 else None
        )
        code, out, _ = run("remove-member", "control-ba")
        assert (code, out) == (status_codes.SUCCESS, "control-ba removed\n")
        assert api.calls == ["DELETE /v1/members"] * 2
        code, out, _ = run("remove-member", "control-ba", "-o", "json")
        assert json.loads(out) == {"removed": "control-ba"}
