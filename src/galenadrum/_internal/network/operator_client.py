"""A client of the operators' HTTP that finds the leader by itself.

Every call may be sent again: reads change nothing, and a change set carries
a change id, under which control hosts accept it once and return the first
outcome from then on. So the client tries the control hosts in turn until one
answers as the leader or the time is over.
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
from galenadrum._internal.network.operator_messages import (
    MalformedAnswerError,
    decode_change_set_outcome,
    decode_event,
    decode_findings,
    decode_resource,
    decode_resource_list,
    encode_change_set,
)

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 2.0
# A control host may take 10 s to know the outcome of a change.
_CHANGE_TIMEOUT_S = 12.0
_READ_TIMEOUT_S = 4.0
_CALL_TIMEOUT_S = 30.0
# The last attempt gets this long even when the time for the call is over.
_LEAST_ATTEMPT_S = 1.0
_FIRST_DELAY_S = 0.1
_MAX_DELAY_S = 2.0
_CODES_NOT_ACCEPTED = frozenset({"not_leader", "busy"})
_ANSWER_MAX_BYTES = 256 * 1024 * 1024
_READ_BYTES = 64 * 1024

# Control hosts send a heartbeat each 5 s; three missing ones are silence.
WATCH_SILENCE_TIMEOUT_S = 15.0
_WATCH_UNREACHABLE_TIMEOUT_S = 300.0

_HTTP_OK = 200
_HTTP_SERVER_ERROR = 500
# Raised before a byte of the call was sent.
_NEVER_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_CODES_TO_RETRY = frozenset({"not_leader", "unknown", "unavailable", "busy"})


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """How long the client waits, in seconds.

    Attributes:
        connect_s: For one connection.
        change_s: For the answer of one control host to a change.
        read_s: For the answer of one control host to any other call.
        call_s: For a whole call, over all control hosts.
        watch_silence_s: For the next line of a watch.
        watch_unreachable_s: For a lost watch to be taken up again.
    """

    connect_s: float = _CONNECT_TIMEOUT_S
    change_s: float = _CHANGE_TIMEOUT_S
    read_s: float = _READ_TIMEOUT_S
    call_s: float = _CALL_TIMEOUT_S
    watch_silence_s: float = WATCH_SILENCE_TIMEOUT_S
    watch_unreachable_s: float = _WATCH_UNREACHABLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class _Answer:
    """The answer of one control host.

    Attributes:
        body: The parsed JSON object.
    """

    status: int
    body: dict[str, Any]

    @property
    def error(self) -> dict[str, Any]:
        error = self.body.get("error")
        return error if isinstance(error, dict) else {}

    @property
    def code(self) -> str:
        default = "unavailable" if self.status >= _HTTP_SERVER_ERROR else "bad_request"
        return str(self.error.get("code", default))


@dataclass(frozen=True, slots=True)
class _Attempt:
    """What one control host made of a call.

    Attributes:
        answer: Set when it answered as the leader.
        problem: Why it did not.
        may_be_accepted: Whether the call may have had its effect nevertheless.
    """

    answer: _Answer | None = None
    problem: str = ""
    may_be_accepted: bool = False


class OperatorClient:
    """Calls the control hosts on behalf of one operator.

    Args:
        addresses: Base addresses, such as ``http://10.0.0.1:9100``.
        token: The operator's token, or None for none.
        timeouts: How long to wait.
        sleep: Waits a number of seconds.
        clock: Returns seconds that never step back.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        token: str | None = None,
        timeouts: ClientTimeouts | None = None,
        sleep: Callable[[float], None] = time.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._addresses = [_normalise(address) for address in addresses]
        self._timeouts = timeouts or ClientTimeouts()
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        # Retries and redirects are this client's own, since only it knows
        # which calls may be repeated and where.
        self._pool = urllib3.PoolManager(retries=False)
        self._sleep = sleep
        self._clock = clock
        self._jitter = random.Random()
        self._leader: str | None = None

    def submit(
        self, change_set: ChangeSet, check_only: bool = False
    ) -> ChangeSetOutcome:
        """Send a change set until its outcome is known.

        Args:
            change_set: Sent unchanged each time.
            check_only: Only ask whether it would be accepted.

        Raises:
            CheckFailedError: It has findings.
            ConflictError: A resource changed after it was read.
            OperatorApiError: It was refused for another reason.
            OutcomeUnknownError: It may or may not have been accepted.
            ControlUnreachableError: It was certainly not accepted.
        """
        body = json.dumps(encode_change_set(change_set, check_only)).encode()
        answer = self._call("POST", "/v1/changes", body, not check_only)
        try:
            return decode_change_set_outcome(answer.body)
        except MalformedAnswerError as error:
            raise OutcomeUnknownError(str(error)) from error

    def list_resources(
        self,
        kind: str | None = None,
        name: str | None = None,
        owner: str | None = None,
    ) -> ResourceList:
        """Read resources, all of them unless a part is named.

        Raises:
            OperatorApiError: The call was refused.
            ControlUnreachableError: No control host answered as the leader.
        """
        fields = {"kind": kind, "name": name, "owner": owner}
        query = urlencode({key: value for key, value in fields.items() if value})
        answer = self._call("GET", f"/v1/resources?{query}")
        return _decode(decode_resource_list, answer.body)

    def export(self, owner: str) -> list[dict[str, Any]]:
        """Read the declarations of one owner, as they stand in files.

        Raises:
            OperatorApiError: The call was refused.
            ControlUnreachableError: No control host answered as the leader.
        """
        query = urlencode({"owner": owner})
        answer = self._call("GET", f"/v1/export?{query}")
        resources = answer.body.get("resources")
        if not isinstance(resources, list):
            raise ControlUnreachableError("the answer to the export is malformed")
        return resources

    def remove_member(self, member_id: str) -> None:
        """Remove a control host for good; sent until the outcome is known.

        Raises:
            OperatorApiError: It can't be removed, or not now.
            OutcomeUnknownError: It may or may not be removed.
            ControlUnreachableError: It was certainly not removed.
        """
        query = urlencode({"member_id": member_id})
        self._call("DELETE", f"/v1/members?{query}", changes=True)

    def read_statuses(self) -> dict[str, dict[str, Any] | None]:
        """Ask each control host for its own view, None where none answers.

        Raises:
            OperatorApiError: A control host refused the call.
        """
        statuses: dict[str, dict[str, Any] | None] = {}
        for address in self._addresses:
            try:
                read_s = self._timeouts.read_s
                answer = self._send(address, "GET", "/v1/status", None, read_s)
            except (urllib3.exceptions.HTTPError, MalformedAnswerError) as error:
                logger.info("%s doesn't answer: %s", address, error)
                statuses[address] = None
                continue
            if answer.status != _HTTP_OK:
                _raise_refusal(answer)
            statuses[address] = answer.body
        return statuses

    def watch(
        self,
        from_revision: int,
        on_reconnect: Callable[[str], None] = lambda reason: None,
    ) -> Iterator[ResourceEvent]:
        """Yield events without end, each starting where the one before ended.

        A connection that stays silent for longer than heartbeats allow is
        given up and taken up again from the last revision seen.

        Args:
            from_revision: The revision that the watcher holds, 0 for none.
            on_reconnect: Told why a connection was given up.

        Raises:
            OperatorApiError: The call was refused.
            ControlUnreachableError: Nothing answered for too long.
        """
        revision = from_revision
        last_line = self._clock()
        delays = self._delays()
        for address in self._candidates_forever():
            try:
                for event in self._read_events(address, revision):
                    last_line = self._clock()
                    delays = self._delays()
                    if event.revision > revision or event.snapshot:
                        revision = max(event.revision, revision)
                        yield event
                reason = "the connection was closed"
            except (urllib3.exceptions.HTTPError, MalformedAnswerError) as error:
                reason = str(error)
            if self._clock() - last_line > self._timeouts.watch_unreachable_s:
                raise ControlUnreachableError(f"the watch was lost: {reason}")
            on_reconnect(f"{address}: {reason}")
            self._sleep(next(delays))

    def _read_events(self, address: str, revision: int) -> Iterator[ResourceEvent]:
        response = self._open(
            address,
            "GET",
            f"/v1/watch?from={revision}",
            None,
            self._timeouts.watch_silence_s,
        )
        try:
            if response.status != _HTTP_OK:
                data = self._read_all(response, self._timeouts.read_s)
                answer = _Answer(response.status, _parse(data))
                self._remember_leader(answer)
                if answer.code not in _CODES_TO_RETRY:
                    _raise_refusal(answer)
                raise MalformedAnswerError(answer.code)
            for line in _read_lines(response):
                yield decode_event(_parse(line))
        finally:
            # A watch is never read to its end, so that its connection can't
            # be used again.
            response.close()

    def _call(
        self, method: str, path: str, body: bytes | None = None, changes: bool = False
    ) -> _Answer:
        """Call until a control host answers as the leader."""
        give_up = self._clock() + self._timeouts.call_s
        delays = self._delays()
        attempts_by_address: dict[str, _Attempt] = {}
        may_be_accepted = False
        while True:
            for address in self._candidates():
                attempt = self._attempt(address, method, path, body, give_up)
                if attempt.answer is not None:
                    return attempt.answer
                attempts_by_address[address] = attempt
                may_be_accepted |= changes and attempt.may_be_accepted
                if self._clock() >= give_up:
                    raise _give_up_error(attempts_by_address, may_be_accepted)
            self._sleep(next(delays))

    def _attempt(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        give_up: float,
    ) -> _Attempt:
        """Ask one control host; raise what another would refuse as well."""
        timeouts = self._timeouts
        timeout_s = timeouts.read_s if body is None else timeouts.change_s
        left_s = max(give_up - self._clock(), _LEAST_ATTEMPT_S)
        try:
            answer = self._send(address, method, path, body, min(timeout_s, left_s))
        except _NEVER_SENT_ERRORS as error:
            return _Attempt(problem=str(error))
        except (urllib3.exceptions.HTTPError, MalformedAnswerError) as error:
            return _Attempt(problem=str(error), may_be_accepted=True)
        if answer.status == _HTTP_OK:
            self._leader = address
            return _Attempt(answer=answer)
        if answer.code not in _CODES_TO_RETRY:
            _raise_refusal(answer)
        self._remember_leader(answer)
        refused = answer.code in _CODES_NOT_ACCEPTED
        return _Attempt(problem=answer.code, may_be_accepted=not refused)

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> _Answer:
        response = self._open(address, method, path, body, timeout_s)
        try:
            data = self._read_all(response, timeout_s)
            return _Answer(response.status, _parse(data))
        finally:
            response.release_conn()

    def _open(
        self, address: str, method: str, path: str, body: bytes | None, read_s: float
    ) -> urllib3.BaseHTTPResponse:
        headers = dict(self._headers)
        if body is not None:
            headers["Content-Type"] = "application/json"
        return self._pool.request(
            method,
            f"{address}{path}",
            body=body,
            headers=headers,
            preload_content=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=self._timeouts.connect_s, read=read_s),
        )

    def _read_all(self, response: urllib3.BaseHTTPResponse, timeout_s: float) -> bytes:
        """Read a whole answer; a slow one ends like a silent one."""
        give_up = self._clock() + timeout_s
        data = bytearray()
        while part := response.read1(_READ_BYTES):
            data += part
            if len(data) > _ANSWER_MAX_BYTES:
                raise MalformedAnswerError(f"more than {_ANSWER_MAX_BYTES} bytes")
            if self._clock() > give_up:
                raise MalformedAnswerError("the answer comes too slowly")
        return bytes(data)

    def _candidates(self) -> Iterator[str]:
        """Yield the leader first; one that is learnt meanwhile comes next."""
        tried: set[str] = set()
        while True:
            candidates = [self._leader, *self._addresses]
            untried = [a for a in candidates if a is not None and a not in tried]
            if not untried:
                return
            tried.add(untried[0])
            yield untried[0]

    def _candidates_forever(self) -> Iterator[str]:
        while True:
            yield from self._candidates()

    def _remember_leader(self, answer: _Answer) -> None:
        leader = answer.error.get("leader")
        self._leader = _normalise(leader) if isinstance(leader, str) else None

    def _delays(self) -> Iterator[float]:
        delay_s = _FIRST_DELAY_S
        while True:
            yield delay_s * self._jitter.uniform(0.5, 1.0)
            delay_s = min(2 * delay_s, _MAX_DELAY_S)


def _normalise(address: str) -> str:
    address = address.strip().rstrip("/")
    return address if "://" in address else f"http://{address}"


def _parse(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except ValueError as error:
        raise MalformedAnswerError("the answer is not JSON") from error
    if not isinstance(body, dict):
        raise MalformedAnswerError("the answer is not a JSON object")
    return body


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b""
    while data := response.read1(_READ_BYTES):
        *lines, rest = (rest + data).split(b"\n")
        yield from (line for line in lines if line.strip())
        if len(rest) > _ANSWER_MAX_BYTES:
            raise MalformedAnswerError(f"a line of over {_ANSWER_MAX_BYTES} bytes")


def _decode(decoder: Callable[[Any], Any], body: dict[str, Any]) -> Any:
    try:
        return decoder(body)
    except MalformedAnswerError as error:
        raise ControlUnreachableError(str(error)) from error


def _raise_refusal(answer: _Answer) -> None:
    message = str(answer.error.get("message", f"HTTP status {answer.status}"))
    findings = decode_findings(answer.error)
    if answer.code == "invalid" and findings:
        raise CheckFailedError(findings)
    if answer.code == "conflict":
        current = answer.error.get("current") or []
        resources = tuple(_decode(decode_resource, item) for item in current)
        raise ConflictError(message, resources, findings)
    raise OperatorApiError(answer.code, message, findings)


def _give_up_error(
    attempts_by_address: dict[str, _Attempt], may_be_accepted: bool
) -> ControlUnreachableError | OutcomeUnknownError:
    tried = "; ".join(
        f"{address}: {attempt.problem}"
        for address, attempt in attempts_by_address.items()
    )
    if may_be_accepted:
        return OutcomeUnknownError(f"the change may or may not be accepted: {tried}")
    return ControlUnreachableError(f"no control host answered as the leader: {tried}")
