"""A fake control host for tests of operator commands."""

import contextlib
import json
import threading
from urllib.parse import parse_qs

from cheroot import wsgi


class FakeOperatorApi:
    """WSGI application that keeps resources like the operator API of a control host.

    Attributes:
        calls: Methods and paths of all requests.
        submitted: Bodies of all submitted changes.
        override: Called with a request's method and path, and its body; its result,
            a status and a body, replaces the usual response unless it is None.
        stream_watch: Returns the lines of a watch from a revision.
    """

    def __init__(self, token=None):
        self.token = token
        self.revision = 0
        self.resources = {}
        self.outcomes = {}
        self.calls = []
        self.submitted = []
        self.override = lambda call, body: None
        self.stream_watch = lambda revision: iter(())
        self.lock = threading.Lock()

    @property
    def change_ids(self):
        return [body["change_id"] for body in self.submitted]

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length)) if length else None
        call = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        self.calls.append(call)
        if call == "GET /v1/watch":
            start_response("200 OK", [("Content-Type", "application/jsonl")])
            return self.stream_watch(int(query["from"]))
        with self.lock:
            status, answer = self._respond(call, body, query, environ)
        data = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        start_response(f"{status} X", [("Content-Length", str(len(data)))])
        return [data]

    def _respond(self, call, body, query, environ):
        bearer = environ.get("HTTP_AUTHORIZATION")
        if self.token and bearer != f"Bearer {self.token}":
            return 401, {"error": {"code": "unauthorised", "message": "wrong token"}}
        if call == "POST /v1/changes":
            self.submitted.append(body)
        return self.override(call, body) or self._serve(call, body, query)

    def _serve(self, call, body, query):
        if call == "POST /v1/changes":
            return self.change(body)
        if call == "DELETE /v1/members":
            return 200, {"removed": query["member_id"]}
        if call == "GET /v1/status":
            hosts = [
                {"host_id": "e1", "zone": "nadi", "revision": self.revision, "age_s": 1}
            ]
            view = {"member_id": "c1", "role": "leader", "term": 3, "leader": "c1"}
            return 200, {**view, "revision": self.revision, "hosts": hosts}
        wanted = {k: query[k] for k in ("kind", "name", "owner") if k in query}
        found = [
            resource
            for resource in self.resources.values()
            if all(resource[k] == v for k, v in wanted.items())
        ]
        if call == "GET /v1/export":
            found = [{k: r[k] for k in ("kind", "name", "spec")} for r in found]
        return 200, {"revision": self.revision, "resources": found}

    def change(self, body):
        if body["change_id"] in self.outcomes:
            return 200, {**self.outcomes[body["change_id"]], "repeated": True}
        current = [self.resources.get((c["kind"], c["name"])) for c in body["changes"]]
        pairs = list(zip(body["changes"], current, strict=True))
        conflicting = [
            existing
            for change, existing in pairs
            if change["base_revision"] != (existing["revision"] if existing else 0)
        ]
        if conflicting:
            error = {"code": "conflict", "message": "changed meanwhile"}
            return 409, {
                "error": {
                    **error,
                    "current": [existing for existing in conflicting if existing],
                }
            }
        results = [self._predict_result(change, existing) for change, existing in pairs]
        answer = {"revision": self.revision + 1, "results": results, "repeated": False}
        if not body["check_only"]:
            self.revision += 1
            self.outcomes[body["change_id"]] = answer
            for change in body["changes"]:
                self._apply_change(change)
        return 200, answer

    def _predict_result(self, change, existing):
        outcome = "changed" if existing else "created"
        if change["action"] == "delete":
            outcome = "deleted"
        elif existing and existing["spec"] == change["spec"]:
            outcome = "unchanged"
        key = {"kind": change["kind"], "name": change["name"]}
        return {**key, "outcome": outcome, "revision": self.revision + 1}

    def _apply_change(self, change):
        key = (change["kind"], change["name"])
        if change["action"] == "delete":
            del self.resources[key]
            return
        self.resources[key] = {
            "kind": key[0],
            "name": key[1],
            "spec": change["spec"],
            "owner": "vatu",
            "revision": self.revision,
            "generation": 1,
            "status": {"live_hosts": 2, "missing_count": 1, "missing": ["e2"]},
        }


@contextlib.contextmanager
def serving(app):
    """Serve ``app`` on a free loopback port; yield its address."""
    server = wsgi.Server(("127.0.0.1", 0), app, numthreads=4, timeout=5)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.bind_addr[1]}"
    finally:
        server.stop()
        thread.join()
