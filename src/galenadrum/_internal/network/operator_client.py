"""Client of the operators' HTTP API that finds the leader by itself.

Every call can be retried: reads have no effect, and a change set carries a change
id, so that control hosts accept it only once and answer a retry with the outcome of
the first call. The client tries the control hosts in turn until one responds as the
leader or the call times out.
"""

from __future__ import annotations

import json
import logging
import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import urllib3

from galenadrum._internal.exceptions import (
    CheckFailedError,
    ConflictError,
    ControlUnreachableError,
    OperatorApiError,
    OutcomeUnknownError,
)
from galenadrum._internal.models.operator_api import (
    ChangeSet,
    ChangeSetOutcome,
    ResourceEvent,
    ResourceList,
)
from galenadrum._internal.network.operator_connections import (
    create_call_pool,
    create_watch_pool,
)
from galenadrum._internal.network.operator_messages import (
    MalformedResponseError,
    decode_change_set_outcome,
    decode_event,
    decode_findings,
    decode_resource,
    decode_resource_list,
    encode_change_set,
)

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 2.0
# A control host may need 10 s to determine the outcome of a change.
_CHANGE_TIMEOUT_S = 12.0
_READ_TIMEOUT_S = 4.0
_CALL_TIMEOUT_S = 30.0
# Timeout of the last attempt, even if the call times out before.
_MIN_ATTEMPT_TIMEOUT_S = 1.0
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 2.0
_CODES_WITHOUT_EFFECT = frozenset({"not_leader", "busy"})
_MAX_RESPONSE_BYTES = 256 * 1024 * 1024
_READ_SIZE_BYTES = 64 * 1024

# Control hosts send a heartbeat every 5 s; a connection is lost after three missing
# ones.
WATCH_SILENCE_TIMEOUT_S = 15.0
_WATCH_UNREACHABLE_TIMEOUT_S = 300.0

_HTTP_OK = 200
_HTTP_MIN_SERVER_ERROR = 500
# Errors raised before any byte of the request was sent.
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_RETRIABLE_CODES = frozenset({"not_leader", "unknown", "unavailable", "busy"})


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """Timeouts of the client in seconds.

    Attributes:
        connect_s: Timeout for opening a connection.
        change_s: Timeout for the response of a control host to a change.
        read_s: Timeout for the response of a control host to any other call.
        call_s: Timeout for a whole call, including retries at other control hosts.
        watch_silence_s: Timeout for the next line of a watch.
        watch_unreachable_s: Time without an event after which an interrupted watch
            fails.
    """

    connect_s: float = _CONNECT_TIMEOUT_S
    change_s: float = _CHANGE_TIMEOUT_S
    read_s: float = _READ_TIMEOUT_S
    call_s: float = _CALL_TIMEOUT_S
    watch_silence_s: float = WATCH_SILENCE_TIMEOUT_S
    watch_unreachable_s: float = _WATCH_UNREACHABLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class _JsonResponse:
    """Response of a control host.

    Attributes:
        status: HTTP status.
        body: Parsed JSON object.
    """

    status: int
    body: dict[str, Any]

    @property
    def error(self) -> dict[str, Any]:
        error = self.body.get("error")
        return error if isinstance(error, dict) else {}

    @property
    def code(self) -> str:
        default = (
            "unavailable" if self.status >= _HTTP_MIN_SERVER_ERROR else "bad_request"
        )
        return str(self.error.get("code", default))


@dataclass(frozen=True, slots=True)
class _Attempt:
    """Result of a call to one control host.

    Attributes:
        json_response: Response of the leader, None if the attempt failed.
        problem: Reason for the failure, else empty.
        may_be_accepted: Whether the call may have taken effect despite the failure.
    """

    json_response: _JsonResponse | None = None
    problem: str = ""
    may_be_accepted: bool = False


class OperatorClient:
    """Client of the control hosts for one operator.

    Args:
        addresses: Base URLs of the control hosts, such as ``http://10.0.0.1:9100``.
        token: Token of the operator, or None to send no token.
        timeouts: Timeouts of calls, or None for the defaults.
        sleep: Function that sleeps for a number of seconds.
        clock: Function that returns a monotonic time in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        token: str | None = None,
        timeouts: ClientTimeouts | None = None,
        sleep: Callable[[float], None] = time.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._addresses = [_normalise_url(address) for address in addresses]
        self._timeouts = timeouts or ClientTimeouts()
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._call_pool = create_call_pool()
        self._watch_pool = create_watch_pool()
        self._sleep = sleep
        self._clock = clock
        self._jitter = random.Random()
        self._leader: str | None = None

    def submit(
        self, change_set: ChangeSet, check_only: bool = False
    ) -> ChangeSetOutcome:
        """Send a change set, with retries, until its outcome is known.

        Args:
            change_set: Change set to send.
            check_only: Whether to check the change set without applying it.

        Raises:
            CheckFailedError: The checks of the change set reported findings.
            ConflictError: A resource changed after it was read.
            OperatorApiError: The change set was refused for another reason.
            OutcomeUnknownError: The change set may have been accepted.
            ControlUnreachableError: No leader responded; the change set was not
                accepted.
        """
        body = json.dumps(encode_change_set(change_set, check_only)).encode()
        json_response = self._call("POST", "/v1/changes", body, not check_only)
        try:
            return decode_change_set_outcome(json_response.body)
        except MalformedResponseError as error:
            raise OutcomeUnknownError(str(error)) from error

    def list_resources(
        self,
        kind: str | None = None,
        name: str | None = None,
        owner: str | None = None,
    ) -> ResourceList:
        """Read the resources that match all given filters.

        Raises:
            OperatorApiError: The call was refused.
            ControlUnreachableError: No control host responded as the leader.
        """
        fields = {"kind": kind, "name": name, "owner": owner}
        query = urlencode({key: value for key, value in fields.items() if value})
        json_response = self._call("GET", f"/v1/resources?{query}")
        return _decode_response(decode_resource_list, json_response.body)

    def export(self, owner: str) -> list[dict[str, Any]]:
        """Read the declarations of an owner in the form of declaration files.

        Raises:
            OperatorApiError: The call was refused.
            ControlUnreachableError: No control host responded as the leader.
        """
        query = urlencode({"owner": owner})
        json_response = self._call("GET", f"/v1/export?{query}")
        resources = json_response.body.get("resources")
        if not isinstance(resources, list):
            raise ControlUnreachableError(
                "the response to the export has no list of resources"
            )
        return resources

    def remove_member(self, member_id: str) -> None:
        """Remove a control host permanently, with retries until the outcome is known.

        Raises:
            OperatorApiError: The removal was refused.
            OutcomeUnknownError: The control host may have been removed.
            ControlUnreachableError: No leader responded; the control host was not
                removed.
        """
        query = urlencode({"member_id": member_id})
        self._call("DELETE", f"/v1/members?{query}", changes=True)

    def read_statuses(self) -> dict[str, dict[str, Any] | None]:
        """Read the status of each control host.

        Returns:
            Status by address, None for control hosts that don't respond.

        Raises:
            OperatorApiError: A control host refused the call.
        """
        statuses: dict[str, dict[str, Any] | None] = {}
        for address in self._addresses:
            try:
                read_s = self._timeouts.read_s
                json_response = self._send(address, "GET", "/v1/status", None, read_s)
            except (urllib3.exceptions.HTTPError, MalformedResponseError) as error:
                logger.info(
                    "failed to read the status of control host %s: %s", address, error
                )
                statuses[address] = None
                continue
            if json_response.status != _HTTP_OK:
                _raise_api_error(json_response)
            statuses[address] = json_response.body
        return statuses

    def watch(
        self,
        from_revision: int,
        on_reconnect: Callable[[str], None] = lambda reason: None,
    ) -> Iterator[ResourceEvent]:
        """Yield events indefinitely, without gaps between their revisions.

        A connection without heartbeats is replaced, and the watch continues from the
        last revision seen.

        Args:
            from_revision: Revision that the watcher already has, 0 for none.
            on_reconnect: Called with the reason before each reconnection.

        Raises:
            OperatorApiError: The call was refused.
            ControlUnreachableError: No event was received for too long.
        """
        revision = from_revision
        last_event_at = self._clock()
        delays = self._generate_delays()
        for address in self._cycle_candidates():
            try:
                for event in self._read_events(address, revision):
                    last_event_at = self._clock()
                    delays = self._generate_delays()
                    if event.revision > revision or event.snapshot:
                        revision = max(event.revision, revision)
                        yield event
                reason = "the connection was closed"
            except (urllib3.exceptions.HTTPError, MalformedResponseError) as error:
                reason = str(error)
            if self._clock() - last_event_at > self._timeouts.watch_unreachable_s:
                raise ControlUnreachableError(
                    f"the watch received no event for too long: {reason}"
                )
            on_reconnect(f"{address}: {reason}")
            self._sleep(next(delays))

    def _read_events(self, address: str, revision: int) -> Iterator[ResourceEvent]:
        response = self._open(
            self._watch_pool,
            address,
            "GET",
            f"/v1/watch?from={revision}",
            None,
            self._timeouts.watch_silence_s,
        )
        try:
            if response.status != _HTTP_OK:
                data = self._read_all(response, self._timeouts.read_s)
                json_response = _JsonResponse(response.status, _parse_json_object(data))
                self._record_leader(json_response)
                if json_response.code not in _RETRIABLE_CODES:
                    _raise_api_error(json_response)
                raise MalformedResponseError(json_response.code)
            for line in _read_lines(response):
                yield decode_event(_parse_json_object(line))
        finally:
            # The response of a watch isn't read to its end, so its connection can't
            # be reused.
            response.close()

    def _call(
        self, method: str, path: str, body: bytes | None = None, changes: bool = False
    ) -> _JsonResponse:
        """Call control hosts in turn until one responds as the leader."""
        deadline_at = self._clock() + self._timeouts.call_s
        delays = self._generate_delays()
        attempts_by_address: dict[str, _Attempt] = {}
        may_be_accepted = False
        while True:
            for address in self._candidates():
                attempt = self._attempt(address, method, path, body, deadline_at)
                if attempt.json_response is not None:
                    return attempt.json_response
                attempts_by_address[address] = attempt
                may_be_accepted |= changes and attempt.may_be_accepted
                if self._clock() >= deadline_at:
                    raise _unreachable_error(attempts_by_address, may_be_accepted)
            self._sleep(next(delays))

    def _attempt(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        deadline_at: float,
    ) -> _Attempt:
        """Call one control host.

        Raises:
            OperatorApiError: The call was refused, and any other control host would
                refuse it too.
        """
        timeouts = self._timeouts
        timeout_s = timeouts.read_s if body is None else timeouts.change_s
        remaining_s = max(deadline_at - self._clock(), _MIN_ATTEMPT_TIMEOUT_S)
        try:
            json_response = self._send(
                address, method, path, body, min(timeout_s, remaining_s)
            )
        except _CONNECT_ERRORS as error:
            return _Attempt(problem=str(error))
        except (urllib3.exceptions.HTTPError, MalformedResponseError) as error:
            return _Attempt(problem=str(error), may_be_accepted=True)
        if json_response.status == _HTTP_OK:
            self._leader = address
            return _Attempt(json_response=json_response)
        if json_response.code not in _RETRIABLE_CODES:
            _raise_api_error(json_response)
        self._record_leader(json_response)
        refused = json_response.code in _CODES_WITHOUT_EFFECT
        return _Attempt(problem=json_response.code, may_be_accepted=not refused)

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> _JsonResponse:
        response = self._open(self._call_pool, address, method, path, body, timeout_s)
        try:
            data = self._read_all(response, timeout_s)
            return _JsonResponse(response.status, _parse_json_object(data))
        finally:
            response.release_conn()

    def _open(
        self,
        pool: urllib3.PoolManager,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        read_s: float,
    ) -> urllib3.BaseHTTPResponse:
        headers = dict(self._headers)
        if body is not None:
            headers["Content-Type"] = "application/json"
        return pool.request(
            method,
            f"{address}{path}",
            body=body,
            headers=headers,
            preload_content=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=self._timeouts.connect_s, read=read_s),
        )

    def _read_all(self, response: urllib3.BaseHTTPResponse, timeout_s: float) -> bytes:
        """Read a whole response within one timeout.

        Raises:
            MalformedResponseError: The response is too large or too slow.
        """
        deadline_at = self._clock() + timeout_s
        data = bytearray()
        while part := response.read1(_READ_SIZE_BYTES):
            data += part
            if len(data) > _MAX_RESPONSE_BYTES:
                raise MalformedResponseError(
                    f"the response is larger than {_MAX_RESPONSE_BYTES} bytes"
                )
            if self._clock() > deadline_at:
                raise MalformedResponseError(
                    "the response did not arrive before its timeout"
                )
        return bytes(data)

    def _candidates(self) -> Iterator[str]:
        """Yield each control host once, starting with the leader if known.

        A leader that is discovered during the iteration is yielded next.
        """
        tried: set[str] = set()
        while True:
            candidates = [self._leader, *self._addresses]
            untried = [a for a in candidates if a is not None and a not in tried]
            if not untried:
                return
            tried.add(untried[0])
            yield untried[0]

    def _cycle_candidates(self) -> Iterator[str]:
        while True:
            yield from self._candidates()

    def _record_leader(self, json_response: _JsonResponse) -> None:
        leader = json_response.error.get("leader")
        self._leader = _normalise_url(leader) if isinstance(leader, str) else None

    def _generate_delays(self) -> Iterator[float]:
        delay_s = _MIN_RETRY_DELAY_S
        while True:
            yield delay_s * self._jitter.uniform(0.5, 1.0)
            delay_s = min(2 * delay_s, _MAX_RETRY_DELAY_S)


def _normalise_url(address: str) -> str:
    address = address.strip().rstrip("/")
    return address if "://" in address else f"http://{address}"


def _parse_json_object(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except ValueError as error:
        raise MalformedResponseError("the response is not JSON") from error
    if not isinstance(body, dict):
        raise MalformedResponseError("the response is not a JSON object")
    return body


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    remainder = b""
    while data := response.read1(_READ_SIZE_BYTES):
        *lines, remainder = (remainder + data).split(b"\n")
        yield from (line for line in lines if line.strip())
        if len(remainder) > _MAX_RESPONSE_BYTES:
            raise MalformedResponseError(
                f"a line of the response is larger than {_MAX_RESPONSE_BYTES} bytes"
            )


def _decode_response(decoder: Callable[[Any], Any], body: dict[str, Any]) -> Any:
    try:
        return decoder(body)
    except MalformedResponseError as error:
        raise ControlUnreachableError(str(error)) from error


def _raise_api_error(json_response: _JsonResponse) -> None:
    message = str(
        json_response.error.get("message", f"HTTP status {json_response.status}")
    )
    findings = decode_findings(json_response.error)
    if json_response.code == "invalid" and findings:
        raise CheckFailedError(findings)
    if json_response.code == "conflict":
        current = json_response.error.get("current") or []
        resources = tuple(_decode_response(decode_resource, item) for item in current)
        raise ConflictError(message, resources, findings)
    raise OperatorApiError(json_response.code, message, findings)


def _unreachable_error(
    attempts_by_address: dict[str, _Attempt], may_be_accepted: bool
) -> ControlUnreachableError | OutcomeUnknownError:
    tried = "; ".join(
        f"{address}: {attempt.problem}"
        for address, attempt in attempts_by_address.items()
    )
    if may_be_accepted:
        return OutcomeUnknownError(f"the outcome of the change is unknown: {tried}")
    return ControlUnreachableError(f"no control host responded as the leader: {tried}")
