"""The WSGI application for operators; it runs in worker threads."""

from __future__ import annotations

import json
import logging
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any
from urllib.parse import parse_qs

from galenadrum._internal.control.operator_api.authentication import authenticate
from galenadrum._internal.control.operator_api.calls import (
    CALL_TIMEOUT_S,
    OperatorCalls,
)
from galenadrum._internal.control.operator_api.change_requests import (
    parse_change_request,
    read_body,
)
from galenadrum._internal.control.operator_api.documents import (
    accepted_document,
    event_document,
    export_document,
    host_document,
    record_document,
    resource_document,
)
from galenadrum._internal.control.operator_api.responses import (
    ApiError,
    ApiRefusedError,
    ErrorCode,
    StartResponse,
    refuse,
    send_error,
    send_json,
    send_text,
    start_json_lines,
)
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    LogBusyError,
    MembershipError,
    NotLeaderError,
    OutcomeUnknownError,
)
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.resources import Kind, Resource
from galenadrum._internal.models.settings import Operator
from galenadrum._internal.network.bridge import BridgeTimeoutError, LoopBridge
from galenadrum._internal.network.wsgi_routes import Handler, build_routes
from galenadrum._internal.protocol.commands_pb2 import ChangeResult

logger = logging.getLogger(__name__)

# The loop's own timeout ends a call first, with the truer error.
_BRIDGE_MARGIN_S = 2.0
_WATCH_HEARTBEAT_S = 5.0
MAX_WATCHES = 16
_MAX_REVISION_DIGITS = 18

Query = Mapping[str, str]
OperatorAddress = Callable[[str], str | None]
_Serve = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

_ERROR_CODE_BY_STATUS = {
    ChangeResult.CONFLICT: ErrorCode.CONFLICT,
    ChangeResult.NOT_OWNER: ErrorCode.NOT_OWNER,
    ChangeResult.INVALID: ErrorCode.INVALID,
}
_MESSAGE_BY_STATUS = {
    ChangeResult.CONFLICT: "a resource changed since the change was made from it",
    ChangeResult.NOT_OWNER: "a resource belongs to another operator",
    ChangeResult.INVALID: "the change is not valid",
}


def build_operator_app(
    bridge: LoopBridge,
    calls: OperatorCalls,
    operators: Sequence[Operator],
    operator_address_of: OperatorAddress = lambda peer_address: None,
    render_metrics: Callable[[], str] = lambda: "",
) -> Handler:
    """Return the application that answers operators.

    Args:
        bridge: The way to the loop.
        calls: What operators' calls do on the loop.
        operators: Who may call, with the digests of their tokens.
        operator_address_of: Returns the operators' address of the control host
            with a peer address, when it is known.
        render_metrics: Returns the metrics as text; called in worker threads.
    """
    app = OperatorApp(bridge, calls, operators, operator_address_of)
    return build_routes(
        {
            ("POST", "/v1/changes"): app.guard(app.change),
            ("GET", "/v1/resources"): app.guard(app.resources),
            ("GET", "/v1/watch"): app.guard(app.watch),
            ("GET", "/v1/status"): app.guard(app.status),
            ("GET", "/v1/export"): app.guard(app.export),
            ("DELETE", "/v1/members"): app.guard(app.remove_member),
            ("GET", "/metrics"): app.guard(_metrics(operators, render_metrics)),
        }
    )


class OperatorApp:
    """Answers operators; see `build_operator_app` for the arguments."""

    def __init__(
        self,
        bridge: LoopBridge,
        calls: OperatorCalls,
        operators: Sequence[Operator],
        operator_address_of: OperatorAddress,
    ) -> None:
        self._bridge = bridge
        self._calls = calls
        self._operators = tuple(operators)
        self._operator_address_of = operator_address_of
        self._free_watches = threading.BoundedSemaphore(MAX_WATCHES)

    def guard(self, serve: _Serve) -> Handler:
        """Return ``serve`` with its errors turned into answers."""

        def handle(
            environ: dict[str, Any], start_response: StartResponse
        ) -> Iterable[bytes]:
            try:
                return serve(environ, start_response)
            except ApiRefusedError as error:
                return send_error(start_response, error.error)
            except NotLeaderError as error:
                return send_error(start_response, self._redirect(error))
            except OutcomeUnknownError as error:
                unknown = ApiError(ErrorCode.UNKNOWN, str(error))
                return send_error(start_response, unknown)
            except MembershipError as error:
                refused = ApiError(ErrorCode.BAD_REQUEST, str(error))
                return send_error(start_response, refused)
            except LogBusyError as error:
                return send_error(start_response, ApiError(ErrorCode.BUSY, str(error)))
            except (BridgeTimeoutError, ControlUnreachableError) as error:
                unavailable = ApiError(ErrorCode.UNAVAILABLE, str(error))
                return send_error(start_response, unavailable)

        return handle

    def change(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer ``POST /v1/changes``."""
        operator_name = authenticate(environ, self._operators)
        request = parse_change_request(read_body(environ), operator_name)
        if request.check_only:
            result = self._call(self._calls.check(request.change_set))
        else:
            try:
                result = self._call(self._calls.change(request.change_set))
            except BridgeTimeoutError as error:
                raise OutcomeUnknownError(str(error)) from error
        if result.status != ChangeResult.ACCEPTED:
            return send_error(start_response, _change_error(result))
        return send_json(start_response, accepted_document(result))

    def resources(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer ``GET /v1/resources``."""
        authenticate(environ, self._operators)
        query = _parse_query(environ, frozenset(("kind", "name", "owner")))
        kind = _kind_of(query)
        revision, found = self._call(self._calls.read(kind, query.get("owner")))
        name = query.get("name")
        chosen = [item for item in found if name in (None, item.key.name)]
        return send_json(
            start_response,
            {"revision": revision, "resources": self._documents(chosen)},
        )

    def watch(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer ``GET /v1/watch``, for as long as the operator reads."""
        authenticate(environ, self._operators)
        query = _parse_query(environ, frozenset(("from",)))
        revision = _revision_of(query)
        if not self._free_watches.acquire(blocking=False):
            raise refuse(ErrorCode.BUSY, f"{MAX_WATCHES} watches are open already")
        return _WatchLines(
            self._lines(revision, start_response), self._free_watches.release
        )

    def status(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer ``GET /v1/status``, on any member."""
        authenticate(environ, self._operators)
        _parse_query(environ, frozenset())
        log_status, role, revision = self._call(self._calls.status())
        hosts = self._call(self._calls.hosts())
        document = {
            "member_id": log_status.member_id,
            "role": role,
            "term": log_status.term,
            "leader": log_status.leader_id or None,
            "members": [item.member.member_id for item in log_status.members],
            "revision": revision,
            "hosts": [host_document(host) for host in hosts],
        }
        return send_json(start_response, document)

    def export(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer ``GET /v1/export``."""
        authenticate(environ, self._operators)
        owner = _required_parameter(environ, "owner")
        _, found = self._call(self._calls.read(None, owner))
        return send_json(start_response, export_document(found))

    def remove_member(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer ``DELETE /v1/members``."""
        operator_name = authenticate(environ, self._operators)
        member_id = _required_parameter(environ, "member_id")
        try:
            self._call(self._calls.remove_member(member_id))
        except BridgeTimeoutError as error:
            raise OutcomeUnknownError(str(error)) from error
        logger.info("operator %s removed member %s", operator_name, member_id)
        return send_json(start_response, {"removed": member_id})

    def _lines(self, revision: int, start_response: StartResponse) -> Iterator[bytes]:
        start_json_lines(start_response)
        wait_s = 0.0
        while True:
            try:
                event = self._call(self._calls.next_event(revision, wait_s))
            except BridgeTimeoutError:
                return
            if event is None:
                return
            yield json.dumps(event_document(event)).encode() + b"\n"
            revision = max(revision, event.revision)
            wait_s = _WATCH_HEARTBEAT_S

    def _documents(self, resources: Sequence[Resource]) -> list[dict[str, Any]]:
        revisions = frozenset(resource.revision for resource in resources)
        statuses = self._call(self._calls.in_force_by_revision(revisions))
        models = tuple(r.key.name for r in resources if r.key.kind is Kind.MODEL)
        model_statuses = self._call(self._calls.model_statuses(models))
        return [
            resource_document(
                resource,
                statuses[resource.revision],
                model_statuses.get(resource.key.name)
                if resource.key.kind is Kind.MODEL
                else None,
            )
            for resource in resources
        ]

    def _call(self, coroutine: Any) -> Any:
        return self._bridge.call(coroutine, CALL_TIMEOUT_S + _BRIDGE_MARGIN_S)

    def _redirect(self, error: NotLeaderError) -> ApiError:
        peer_address = error.leader_address
        leader = self._operator_address_of(peer_address) if peer_address else None
        return ApiError(
            ErrorCode.NOT_LEADER, "this control host isn't the leader", leader=leader
        )


def _metrics(operators: Sequence[Operator], render: Callable[[], str]) -> _Serve:
    def serve(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        authenticate(environ, operators)
        return send_text(start_response, render(), "text/plain; version=0.0.4")

    return serve


class _WatchLines:
    """Lines of a watch; gives its place back even if it was never read."""

    def __init__(self, lines: Iterator[bytes], release: Callable[[], None]) -> None:
        self._lines = lines
        self._release: Callable[[], None] | None = release

    def __iter__(self) -> Iterator[bytes]:
        return self._lines

    def close(self) -> None:
        """End the watch, as WSGI servers do after the last line."""
        release, self._release = self._release, None
        if release is not None:
            release()


def _change_error(result: ChangeResult) -> ApiError:
    return ApiError(
        code=_ERROR_CODE_BY_STATUS[result.status],
        message=_MESSAGE_BY_STATUS[result.status],
        findings=tuple(
            Finding("", 0, 0, row.path, row.message) for row in result.findings
        ),
        current=tuple(record_document(record) for record in result.current),
    )


def _parse_query(environ: dict[str, Any], known: frozenset[str]) -> Query:
    text = environ.get("QUERY_STRING", "")
    try:
        values = parse_qs(text, keep_blank_values=True, max_num_fields=16)
    except ValueError:
        raise refuse(ErrorCode.BAD_REQUEST, "too many parameters") from None
    findings = [
        Finding("", 0, 0, name, "unknown parameter")
        for name in values
        if name not in known
    ]
    findings += [
        Finding("", 0, 0, name, "given more than once")
        for name, given in values.items()
        if len(given) > 1
    ]
    if findings:
        raise refuse(ErrorCode.BAD_REQUEST, "the query can't be read", findings)
    return {name: given[0] for name, given in values.items()}


def _required_parameter(environ: dict[str, Any], name: str) -> str:
    query = _parse_query(environ, frozenset((name,)))
    if not query.get(name):
        finding = Finding("", 0, 0, name, "required parameter missing")
        raise refuse(ErrorCode.BAD_REQUEST, f"name the {name}", [finding])
    return query[name]


def _kind_of(query: Query) -> Kind | None:
    if "kind" not in query:
        return None
    try:
        return Kind(query["kind"])
    except ValueError:
        finding = Finding("", 0, 0, "kind", "not a kind of resource")
        raise refuse(ErrorCode.BAD_REQUEST, "no such kind", [finding]) from None


def _revision_of(query: Query) -> int:
    text = query.get("from", "0")
    if not text.isdecimal() or len(text) > _MAX_REVISION_DIGITS:
        finding = Finding("", 0, 0, "from", "expected a revision")
        raise refuse(ErrorCode.BAD_REQUEST, "no such revision", [finding])
    return int(text)
