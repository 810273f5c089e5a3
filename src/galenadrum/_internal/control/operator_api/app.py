"""WSGI application of the operator API; requests run in worker threads."""

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
    OperatorOperations,
)
from galenadrum._internal.control.operator_api.change_requests import (
    parse_change_request,
    read_request_body,
)
from galenadrum._internal.control.operator_api.documents import (
    build_accepted_document,
    build_event_document,
    build_export_document,
    build_host_document,
    build_record_document,
    build_resource_document,
)
from galenadrum._internal.control.operator_api.responses import (
    ApiError,
    ApiRefusedError,
    ErrorCode,
    StartResponse,
    build_refusal,
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
from galenadrum._internal.network.loop_bridge import BridgeTimeoutError, LoopBridge
from galenadrum._internal.network.wsgi_routes import Handler, build_routes
from galenadrum._internal.protocol.commands_pb2 import ChangeResult

logger = logging.getLogger(__name__)

# Lets the timeout inside the event loop expire first; its error is more precise.
_BRIDGE_TIMEOUT_MARGIN_S = 2.0
_WATCH_HEARTBEAT_S = 5.0
MAX_WATCHES = 16
_MAX_REVISION_DIGITS = 18

Query = Mapping[str, str]
FindOperatorAddress = Callable[[str], str | None]
_Endpoint = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

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
    calls: OperatorOperations,
    operators: Sequence[Operator],
    find_operator_address: FindOperatorAddress = lambda peer_address: None,
    render_metrics: Callable[[], str] = lambda: "",
) -> Handler:
    """Build the WSGI application of the operator API.

    Args:
        bridge: Runs coroutines on the event loop from worker threads.
        calls: Operations of the API; they run on the event loop.
        operators: Operators that may call, with the digests of their tokens.
        find_operator_address: Returns the operator API address of the control
            host with the given peer address, or None if it is unknown.
        render_metrics: Returns the metrics as text; called in worker threads.
    """
    app = OperatorApp(bridge, calls, operators, find_operator_address)
    return build_routes(
        {
            ("POST", "/v1/changes"): app.handle_errors(app.change),
            ("GET", "/v1/resources"): app.handle_errors(app.resources),
            ("GET", "/v1/watch"): app.handle_errors(app.watch),
            ("GET", "/v1/status"): app.handle_errors(app.status),
            ("GET", "/v1/export"): app.handle_errors(app.export),
            ("DELETE", "/v1/members"): app.handle_errors(app.remove_member),
            ("GET", "/metrics"): app.handle_errors(
                _build_metrics_endpoint(operators, render_metrics)
            ),
        }
    )


class OperatorApp:
    """Endpoints of the operator API.

    See `build_operator_app` for the arguments.
    """

    def __init__(
        self,
        bridge: LoopBridge,
        calls: OperatorOperations,
        operators: Sequence[Operator],
        find_operator_address: FindOperatorAddress,
    ) -> None:
        self._bridge = bridge
        self._calls = calls
        self._operators = tuple(operators)
        self._find_operator_address = find_operator_address
        self._watch_slots = threading.BoundedSemaphore(MAX_WATCHES)

    def handle_errors(self, endpoint: _Endpoint) -> Handler:
        """Wrap ``endpoint`` so that its exceptions become error responses."""

        def handle(
            environ: dict[str, Any], start_response: StartResponse
        ) -> Iterable[bytes]:
            try:
                return endpoint(environ, start_response)
            except ApiRefusedError as error:
                return send_error(start_response, error.error)
            except NotLeaderError as error:
                return send_error(start_response, self._build_not_leader_error(error))
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
        """Handle ``POST /v1/changes``."""
        operator_name = authenticate(environ, self._operators)
        request = parse_change_request(read_request_body(environ), operator_name)
        if request.check_only:
            result = self._run_on_loop(self._calls.check(request.change_set))
        else:
            try:
                result = self._run_on_loop(self._calls.change(request.change_set))
            except BridgeTimeoutError as error:
                raise OutcomeUnknownError(str(error)) from error
        if result.status != ChangeResult.ACCEPTED:
            return send_error(start_response, _build_change_error(result))
        return send_json(start_response, build_accepted_document(result))

    def resources(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle ``GET /v1/resources``."""
        authenticate(environ, self._operators)
        query = _parse_query(environ, frozenset(("kind", "name", "owner")))
        kind = _parse_kind(query)
        revision, candidates = self._run_on_loop(
            self._calls.read_resources(kind, query.get("owner"))
        )
        name = query.get("name")
        selected = [item for item in candidates if name in (None, item.key.name)]
        return send_json(
            start_response,
            {"revision": revision, "resources": self._build_documents(selected)},
        )

    def watch(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle ``GET /v1/watch``; the response streams until the client leaves."""
        authenticate(environ, self._operators)
        query = _parse_query(environ, frozenset(("from",)))
        revision = _parse_revision(query)
        if not self._watch_slots.acquire(blocking=False):
            raise build_refusal(
                ErrorCode.BUSY, f"{MAX_WATCHES} watches are open already"
            )
        return _WatchResponse(
            self._generate_watch_lines(revision, start_response),
            self._watch_slots.release,
        )

    def status(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle ``GET /v1/status``; any member can answer it."""
        authenticate(environ, self._operators)
        _parse_query(environ, frozenset())
        log_status, role, revision = self._run_on_loop(self._calls.status())
        hosts = self._run_on_loop(self._calls.hosts())
        document = {
            "member_id": log_status.member_id,
            "role": role,
            "term": log_status.term,
            "leader": log_status.leader_id or None,
            "members": [item.member.member_id for item in log_status.members],
            "revision": revision,
            "hosts": [build_host_document(host) for host in hosts],
        }
        return send_json(start_response, document)

    def export(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle ``GET /v1/export``."""
        authenticate(environ, self._operators)
        owner = _read_required_parameter(environ, "owner")
        _, owned = self._run_on_loop(self._calls.read_resources(None, owner))
        return send_json(start_response, build_export_document(owned))

    def remove_member(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle ``DELETE /v1/members``."""
        operator_name = authenticate(environ, self._operators)
        member_id = _read_required_parameter(environ, "member_id")
        try:
            self._run_on_loop(self._calls.remove_member(member_id))
        except BridgeTimeoutError as error:
            raise OutcomeUnknownError(str(error)) from error
        logger.info("operator %s removed member %s", operator_name, member_id)
        return send_json(start_response, {"removed": member_id})

    def _generate_watch_lines(
        self, revision: int, start_response: StartResponse
    ) -> Iterator[bytes]:
        start_json_lines(start_response)
        wait_s = 0.0
        while True:
            try:
                event = self._run_on_loop(self._calls.wait_for_event(revision, wait_s))
            except BridgeTimeoutError:
                return
            if event is None:
                return
            yield json.dumps(build_event_document(event)).encode() + b"\n"
            revision = max(revision, event.revision)
            wait_s = _WATCH_HEARTBEAT_S

    def _build_documents(self, resources: Sequence[Resource]) -> list[dict[str, Any]]:
        revisions = frozenset(resource.revision for resource in resources)
        statuses = self._run_on_loop(self._calls.in_force_by_revision(revisions))
        models = tuple(r.key.name for r in resources if r.key.kind is Kind.MODEL)
        model_statuses = self._run_on_loop(self._calls.model_statuses(models))
        return [
            build_resource_document(
                resource,
                statuses[resource.revision],
                model_statuses.get(resource.key.name)
                if resource.key.kind is Kind.MODEL
                else None,
            )
            for resource in resources
        ]

    def _run_on_loop(self, coroutine: Any) -> Any:
        return self._bridge.call(coroutine, CALL_TIMEOUT_S + _BRIDGE_TIMEOUT_MARGIN_S)

    def _build_not_leader_error(self, error: NotLeaderError) -> ApiError:
        peer_address = error.leader_address
        leader = self._find_operator_address(peer_address) if peer_address else None
        return ApiError(
            ErrorCode.NOT_LEADER, "this control host isn't the leader", leader=leader
        )


def _build_metrics_endpoint(
    operators: Sequence[Operator], render: Callable[[], str]
) -> _Endpoint:
    def endpoint(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        authenticate(environ, operators)
        return send_text(start_response, render(), "text/plain; version=0.0.4")

    return endpoint


class _WatchResponse:
    """Lines of a watch; `close` frees the watch slot even if no line was read."""

    def __init__(self, lines: Iterator[bytes], release: Callable[[], None]) -> None:
        self._lines = lines
        self._release: Callable[[], None] | None = release

    def __iter__(self) -> Iterator[bytes]:
        return self._lines

    def close(self) -> None:
        """Free the watch slot; WSGI servers call this when the response ends."""
        release, self._release = self._release, None
        if release is not None:
            release()


def _build_change_error(result: ChangeResult) -> ApiError:
    return ApiError(
        code=_ERROR_CODE_BY_STATUS[result.status],
        message=_MESSAGE_BY_STATUS[result.status],
        findings=tuple(
            Finding("", 0, 0, row.path, row.message) for row in result.findings
        ),
        current=tuple(build_record_document(record) for record in result.current),
    )


def _parse_query(environ: dict[str, Any], allowed_names: frozenset[str]) -> Query:
    text = environ.get("QUERY_STRING", "")
    try:
        values = parse_qs(text, keep_blank_values=True, max_num_fields=16)
    except ValueError:
        raise build_refusal(ErrorCode.BAD_REQUEST, "too many parameters") from None
    findings = [
        Finding("", 0, 0, name, "unknown parameter")
        for name in values
        if name not in allowed_names
    ]
    findings += [
        Finding("", 0, 0, name, "given more than once")
        for name, occurrences in values.items()
        if len(occurrences) > 1
    ]
    if findings:
        raise build_refusal(ErrorCode.BAD_REQUEST, "the query can't be read", findings)
    return {name: occurrences[0] for name, occurrences in values.items()}


def _read_required_parameter(environ: dict[str, Any], name: str) -> str:
    query = _parse_query(environ, frozenset((name,)))
    if not query.get(name):
        finding = Finding("", 0, 0, name, "required parameter missing")
        raise build_refusal(ErrorCode.BAD_REQUEST, f"name the {name}", [finding])
    return query[name]


def _parse_kind(query: Query) -> Kind | None:
    if "kind" not in query:
        return None
    try:
        return Kind(query["kind"])
    except ValueError:
        finding = Finding("", 0, 0, "kind", "not a kind of resource")
        raise build_refusal(ErrorCode.BAD_REQUEST, "no such kind", [finding]) from None


def _parse_revision(query: Query) -> int:
    text = query.get("from", "0")
    if not text.isdecimal() or len(text) > _MAX_REVISION_DIGITS:
        finding = Finding("", 0, 0, "from", "expected a revision")
        raise build_refusal(ErrorCode.BAD_REQUEST, "no such revision", [finding])
    return int(text)
