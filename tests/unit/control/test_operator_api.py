import hashlib
import io
import json
import random

import pytest

from galenadrum._internal.control.operator_api import (
    OperatorOperations,
    build_operator_app,
)
from galenadrum._internal.control.proposer import Proposer
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.control.state.revision_confirmations import (
    RevisionConfirmations,
)
from galenadrum._internal.exceptions import ControlUnreachableError, LogBusyError
from galenadrum._internal.models.settings import Operator
from lib.fake_log import FakeLog
from lib.paused_loop import PausedLoop

PUT_STAGE = {"action": "put", "kind": "stage", "name": "encode", "spec": {}}


class _PausedLoopBridge:
    """Runs each coroutine to completion on a paused event loop."""

    def __init__(self):
        self.loop = PausedLoop()

    def call(self, coroutine, timeout_s):
        return self.loop.run_until_complete(coroutine)


class _Api:
    """Operator API of one control host with a fake log."""

    def __init__(self):
        self.bridge = _PausedLoopBridge()
        self.state = ControlState()
        self.log = FakeLog(self.state)
        self.in_force = RevisionConfirmations()
        proposer = Proposer(self.log, self.state, random.Random(1))
        operators = [
            Operator(name, hashlib.sha256(name.encode()).hexdigest())
            for name in ("vatu", "tornos")
        ]
        self.calls = OperatorOperations(self.log, self.state, self.in_force, proposer)
        self.app = build_operator_app(
            self.bridge,
            self.calls,
            operators,
            {"127.0.0.1:1": "127.0.0.1:2"}.get,
            lambda: "orders 1",
        )

    def open(self, method, path, body=b"", token="vatu"):
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "HTTP_AUTHORIZATION": f"Bearer {token}",
            "wsgi.input": io.BytesIO(body),
        }
        statuses = []
        lines = self.app(environ, lambda status, headers: statuses.append(status))
        return statuses, lines

    def call(self, method, path, document=None, token="vatu"):
        body = b"" if document is None else json.dumps(document).encode()
        statuses, lines = self.open(method, path, body, token)
        return int(statuses[0].split()[0]), json.loads(b"".join(lines))

    def change(self, change_id, *changes, token="vatu", **fields):
        body = {"change_id": change_id, "changes": changes, **fields}
        return self.call("POST", "/v1/changes", body, token)


@pytest.fixture
def api():
    operator_api = _Api()
    yield operator_api
    operator_api.bridge.loop.close()


class TestOperatorApi:
    def test_change_is_validated_applied_and_read(self, api):
        assert api.change("a", PUT_STAGE, check_only=True)[1]["revision"] == 0
        status, body = api.change("a", PUT_STAGE | {"base_revision": 0})
        assert (status, body["results"][0]["outcome"]) == (200, "created")
        status, body = api.call("GET", "/v1/resources?kind=stage&name=encode")
        assert body["resources"][0]["owner"] == "vatu"
        assert body["resources"][0]["spec"]["repeatable"] is True
        assert body["resources"][0]["status"]["in_force"] is False

    @pytest.mark.parametrize("lost", ["lose_command", "lose_answer"])
    def test_change_can_be_resent_after_unknown_outcome(self, api, lost):
        setattr(api.log, lost, True)
        change = PUT_STAGE | {"base_revision": 0}
        status, body = api.change("a", change)
        assert (status, body["error"]["code"]) == (503, "unknown")
        for _ in range(2):
            status, body = api.change("a", change)
            assert (status, body["revision"], api.state.revision) == (200, 1, 1)
        assert body["repeated"] is True

    def test_conflict_response_contains_stored_resource(self, api):
        api.change("a", PUT_STAGE)
        status, body = api.change("b", PUT_STAGE | {"base_revision": 0})
        assert (status, body["error"]["code"]) == (409, "conflict")
        assert body["error"]["current"][0]["revision"] == 1

    def test_other_owner_is_rejected_and_export_lists_references(self, api):
        api.change("a", PUT_STAGE)
        assert api.change("b", PUT_STAGE, token="tornos")[0] == 403
        pipeline = {"stages": ["encode"], "deadline_ms": 9, "claim_retention_s": 600}
        change = PUT_STAGE | {"kind": "pipeline", "name": "plan", "spec": pipeline}
        api.change("c", change, token="tornos")
        body = api.call("GET", "/v1/export?owner=tornos", token="vatu")[1]
        assert body == {
            "resources": [{"kind": "pipeline", "name": "plan", "spec": pipeline}],
            "references_elsewhere": ["stage/encode"],
        }

    def test_all_findings_of_a_body_are_returned_together(self, api):
        status, body = api.change(
            5,
            {"action": "move", "kind": "stage", "name": "\ud800", "extra": 1},
            7,
            PUT_STAGE | {"base_revision": -1},
        )
        assert status == 400
        assert [finding["path"] for finding in body["error"]["findings"]] == [
            "change_id",
            "changes[0].extra",
            "changes[0].name",
            "changes[0].action",
            "changes[1]",
            "changes[2].base_revision",
        ]

    def test_invalid_spec_is_rejected_with_all_findings(self, api):
        status, body = api.change(
            "a", PUT_STAGE | {"spec": {"\ud800": 1, "streams": 1}}
        )
        assert (status, len(body["error"]["findings"])) == (422, 2)

    def test_unknown_tokens_and_malformed_requests_are_rejected(self, api):
        assert api.call("GET", "/v1/status", token="other")[0] == 401
        for body in (b"{", b"[]", b"[" * 100_000):
            statuses, _ = api.open("POST", "/v1/changes", body)
            assert statuses[0].startswith("400")
        for query in ("kind=planet", "a=b", "name=a&name=b"):
            assert api.call("GET", f"/v1/resources?{query}")[0] == 400

    def test_response_of_follower_names_leader(self, api):
        api.log.is_leader = False
        for answer in (api.change("a", PUT_STAGE), api.call("GET", "/v1/resources")):
            assert answer[0] == 503
            assert answer[1]["error"]["leader"] == "127.0.0.1:2"
        status = api.call("GET", "/v1/status")[1]
        assert status["members"] == ["c1"]
        assert status["role"] == "leader_without_lease"

    @pytest.mark.parametrize(
        ("failure", "code"),
        [
            (LogBusyError("full"), "busy"),
            (ControlUnreachableError("alone"), "unavailable"),
        ],
    )
    def test_log_failure_is_returned_with_its_error_code(self, api, failure, code):
        api.log.failure = failure
        status, body = api.call("GET", "/v1/resources")
        assert (status, body["error"]["code"]) == (503, code)

    def test_watch_streams_changes_and_heartbeats(self, api):
        api.change("a", PUT_STAGE)
        _, lines = api.open("GET", "/v1/watch?from=0")
        events = map(json.loads, lines)
        first = next(events)
        assert first["snapshot"] and first["changed"][0]["name"] == "encode"
        started_at = api.bridge.loop.time()
        assert next(events) == {
            "from_revision": 1,
            "revision": 1,
            "snapshot": False,
            "changed": [],
            "deleted": [],
        }
        assert api.bridge.loop.time() - started_at == 5.0
        api.change("b", {"action": "delete", "kind": "stage", "name": "encode"})
        assert next(events)["deleted"] == [{"kind": "stage", "name": "encode"}]
        lines.close()

    def test_member_is_removed_or_reason_is_returned(self, api):
        path = "/v1/members?member_id="
        assert api.call("DELETE", path + "c2") == (200, {"removed": "c2"})
        status, body = api.call("DELETE", path + "c9")
        assert (status, body["error"]["message"]) == (400, "there is no member c9")
        assert api.call("DELETE", path)[0] == 400
        assert api.call("DELETE", path + "c2", token="none")[0] == 401
        api.log.is_leader = False
        assert api.call("DELETE", path + "c2")[0] == 503

    def test_watch_ends_when_control_host_stops(self, api):
        _, lines = api.open("GET", "/v1/watch?from=0")
        next(lines := iter(lines))
        api.calls.end_watches()
        assert list(lines) == []

    def test_watch_limit_frees_slot_of_closed_watch_once(self, api):
        opened = [api.open("GET", "/v1/watch")[1] for _ in range(16)]
        assert api.call("GET", "/v1/watch")[0] == 503
        opened[0].close()
        opened[0].close()
        assert api.open("GET", "/v1/watch")[0] == []

    def test_status_lists_missing_and_silent_hosts(self, api):
        api.change("a", PUT_STAGE)
        now = api.bridge.loop.time()
        api.in_force.record_confirmation("e1", "nadi", 1, now)
        api.in_force.record_confirmation("e2", "ba", 0, now)
        resource = api.call("GET", "/v1/resources")[1]["resources"][0]
        assert resource["status"]["missing"] == ["e2"]
        api.in_force.record_confirmation("e2", "ba", 1, now)
        resource = api.call("GET", "/v1/resources")[1]["resources"][0]
        assert resource["status"]["in_force"] is True
        api.bridge.loop.advance(31)
        api.in_force.record_confirmation("e1", "nadi", 1, api.bridge.loop.time())
        api.change("b", PUT_STAGE | {"spec": {"streams": True}})
        status = api.call("GET", "/v1/resources")[1]["resources"][0]["status"]
        assert (status["missing"], status["silent"]) == (["e1"], ["e2"])
        hosts = api.call("GET", "/v1/status")[1]["hosts"]
        assert [host["revision"] for host in hosts] == [1, 1]


class TestMetrics:
    def test_metrics_require_an_operator_token(self, api):
        statuses, lines = api.open("GET", "/metrics")
        assert (statuses, b"".join(lines)) == (["200 OK"], b"orders 1")
        assert api.call("GET", "/metrics", token="nobody")[0] == 401
