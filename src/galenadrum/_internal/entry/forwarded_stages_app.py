"""WSGI handler of stage calls forwarded by entry hosts of other zones.

The forwarding entry host uses the protocol of backend servers, so that its reply
checks, deadlines and timeouts apply to this hop too.
"""

from __future__ import annotations

import hashlib
import json
import math
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from galenadrum._internal.entry.caller_requests import (
    parse_json_object,
    read_body,
    refuse_bad_request,
)
from galenadrum._internal.entry.http_responses import (
    StartResponse,
    build_refusal_body,
    build_refusal_headers,
    encode_event,
    send_json,
    send_refusal,
)
from galenadrum._internal.entry.prefixes import estimate_tokens
from galenadrum._internal.entry.request_service import RequestService
from galenadrum._internal.entry.request_telemetry import RequestTelemetry
from galenadrum._internal.entry.stage_runner import RunContext, StageRunner
from galenadrum._internal.exceptions import RequestRefusedError
from galenadrum._internal.models.requests import (
    Refusal,
    RefusalReason,
    Request,
    RunState,
)
from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.network.http_server import SOCKET_KEY
from galenadrum._internal.network.stage_protocol import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    ERROR_EVENT,
    EVENT_STREAM,
    ONCE_HEADER,
    ORGANISATION_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RUN_HEADER,
    STAGE_HEADER,
    STAGES_PREFIX,
    WEIGHT_HEADER,
)
from galenadrum._internal.utils.addresses import split_address

_ALLOWED_BODY_MEMBERS = frozenset({"input", "parameters"})
_MAX_DEADLINE_MS = 3_600_000
_MAX_HEADER_VALUE_LENGTH = 256
_MAX_PREFIX_HASHES = 64
_TRUE = "true"
_STATUS_BY_RUN_STATE = {
    RunState.NOT_RUN: 503,
    RunState.RUN: 500,
    RunState.UNKNOWN: 502,
}


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A stage call forwarded by an entry host of another zone.

    Attributes:
        request: This host's request for the one stage.
        input: Input of the stage.
        echoed_headers: Names and values of request headers that the reply repeats.
        at_most_once: True if the stage must not be sent a second time.
    """

    request: Request
    input: Any
    echoed_headers: tuple[tuple[str, str], ...]
    at_most_once: bool


@dataclass(slots=True)
class _ReplyWriter:
    """Writes the reply to one forwarded call.

    The reply is an event stream if the stage streams, else one JSON body.

    Attributes:
        digest: Running SHA-256 of the streamed output.
        write: WSGI write callable; None until the event stream has started.
    """

    start_response: StartResponse
    echoed_headers: tuple[tuple[str, str], ...]
    digest: Any = field(default_factory=hashlib.sha256)
    write: Callable[[bytes], object] | None = None

    def send_delta(self, delta: str) -> None:
        """Send one part of the output, starting the event stream if needed."""
        if self.write is None:
            headers = [("Content-Type", EVENT_STREAM), *self.echoed_headers]
            self.write = self.start_response("200 OK", headers)
        self.digest.update(delta.encode())
        self.write(encode_event({"delta": delta}))

    def finish(self, output: Any) -> Iterable[bytes]:
        """Send the whole output, or end the event stream with its digest."""
        if self.write is None:
            return send_json(
                self.start_response, 200, {"output": output}, self.echoed_headers
            )
        self.write(encode_event({"digest": self.digest.hexdigest()}, "done"))
        return ()

    def refuse(self, refusal: Refusal) -> Iterable[bytes]:
        """Send a refusal with its run state, or as the last event of the stream.

        The stream then has no digest, which marks the output as incomplete.
        """
        if self.write is not None:
            self.write(encode_event(build_refusal_body(refusal, ""), ERROR_EVENT))
            return ()
        headers = [
            *self.echoed_headers,
            (RUN_HEADER, str(refusal.run)),
            *build_refusal_headers(refusal),
        ]
        status = _STATUS_BY_RUN_STATE[refusal.run]
        return send_json(
            self.start_response, status, build_refusal_body(refusal, ""), headers
        )


class ForwardedStagesApp:
    """Answers ``POST /v1/stages/STAGE`` for entry hosts of other zones.

    Args:
        service: Request service; used on the event loop only.
        runner: Runs the stages of a request.
        limits: Size limits of requests.
        telemetry: Recorder of spans and metrics.
        allowed_ips: IP addresses of the entry hosts that may forward calls.
    """

    def __init__(
        self,
        service: RequestService,
        runner: StageRunner,
        limits: CallerLimits,
        telemetry: RequestTelemetry,
        allowed_ips: frozenset[str],
    ) -> None:
        self._service = service
        self._runner = runner
        self._limits = limits
        self._telemetry = telemetry
        self._allowed_ips = allowed_ips

    def answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one forwarded call as a WSGI application."""
        try:
            self._check_sender_allowed(environ)
            call = parse_forwarded_call(environ, self._limits)
        except RequestRefusedError as error:
            return send_refusal(start_response, error.refusal, "")
        traceparent = environ.get("HTTP_TRACEPARENT")
        with self._telemetry.record_request(call.request.pipeline, traceparent) as span:
            reply = _ReplyWriter(start_response, call.echoed_headers)
            socket = environ.get(SOCKET_KEY)
            context = RunContext(
                None if call.at_most_once else socket, span, reply.send_delta
            )
            try:
                return reply.finish(self._run_stage(call, context))
            except RequestRefusedError as error:
                span.refusal = error.refusal
                return reply.refuse(error.refusal)

    def _run_stage(self, call: ForwardedCall, context: RunContext) -> Any:
        unrepeatable = frozenset(call.request.stages if call.at_most_once else ())
        coroutine = self._service.open_forwarded(call.request, unrepeatable)
        opened = self._runner.wait(coroutine, context.caller_socket)
        context.span.set_request(call.request)
        output = self._runner.run(opened, call.input, context)
        self._runner.wait(self._service.close(call.request, None), None)
        return output

    def _check_sender_allowed(self, environ: dict[str, Any]) -> None:
        if environ.get("REMOTE_ADDR") not in self._allowed_ips:
            raise RequestRefusedError(
                Refusal(
                    RefusalReason.UNAUTHORISED,
                    RunState.NOT_RUN,
                    "only entry hosts of other zones may hand stage calls over",
                )
            )


def parse_peer_ips(addresses: Sequence[str]) -> frozenset[str]:
    """Return the IP addresses in ``HOST:PORT`` addresses."""
    return frozenset(split_address(address)[0] for address in addresses)


def parse_forwarded_call(
    environ: dict[str, Any], limits: CallerLimits
) -> ForwardedCall:
    """Parse the forwarded stage call in a WSGI environment.

    Raises:
        RequestRefusedError: The call is malformed, its body is too large, or the
            body didn't arrive in time.
    """
    now = time.monotonic()
    request_id = _read_header(environ, REQUEST_ID_HEADER)
    stage = _read_header(environ, STAGE_HEADER)
    attempt = _read_header(environ, ATTEMPT_HEADER)
    if environ["PATH_INFO"] != STAGES_PREFIX + stage:
        refuse_bad_request(f"{STAGE_HEADER} names another stage than the path")
    deadline_ms = _read_number_header(environ, DEADLINE_HEADER, 1, _MAX_DEADLINE_MS)
    body = parse_json_object(
        read_body(environ, limits.max_body_bytes), _ALLOWED_BODY_MEMBERS
    )
    if "input" not in body:
        refuse_bad_request("the body has no member 'input'")
    parameters = _read_parameters(body)
    request = Request(
        # This host treats each attempt of the forwarding host as a new request.
        request_id=f"{request_id}.{stage}.{attempt}",
        organisation=_read_header(environ, ORGANISATION_HEADER),
        pipeline=stage,
        stages=(stage,),
        deadline=now + deadline_ms / 1_000,
        arrived_at=now,
        priority=int(_read_number_header(environ, PRIORITY_HEADER, 0, 9)),
        weight=_read_number_header(environ, WEIGHT_HEADER, 1e-6, 1e6),
        input_tokens=estimate_tokens(json.dumps(body["input"])),
        output_tokens=parameters[0],
        prefix_hashes=parameters[1],
        forwarded=True,
    )
    echoed_names = (REQUEST_ID_HEADER, STAGE_HEADER, ATTEMPT_HEADER)
    echoed_headers = tuple(zip(echoed_names, (request_id, stage, attempt), strict=True))
    at_most_once = _read_header(environ, ONCE_HEADER) == _TRUE
    return ForwardedCall(request, body["input"], echoed_headers, at_most_once)


def _read_header(environ: dict[str, Any], header: str) -> str:
    value = environ.get("HTTP_" + header.upper().replace("-", "_"), "")
    if not value or len(value) > _MAX_HEADER_VALUE_LENGTH:
        refuse_bad_request(f"header {header} is missing or too long")
    return value


def _read_number_header(
    environ: dict[str, Any], header: str, lowest: float, highest: float
) -> float:
    text = _read_header(environ, header)
    try:
        value = float(text)
    except ValueError:
        refuse_bad_request(f"header {header} is not a number")
    if not math.isfinite(value) or not lowest <= value <= highest:
        refuse_bad_request(f"header {header} must be from {lowest:g} to {highest:g}")
    return value


def _read_parameters(body: dict[str, Any]) -> tuple[int, tuple[str, ...]]:
    parameters = body.get("parameters", {})
    if not isinstance(parameters, dict):
        refuse_bad_request("member 'parameters' must be an object")
    tokens = parameters.get("max_output_tokens", 0)
    hashes = parameters.get("prefix_hashes", [])
    if not isinstance(tokens, int) or isinstance(tokens, bool) or tokens < 0:
        refuse_bad_request("member 'max_output_tokens' must be a whole number")
    is_list = isinstance(hashes, list) and len(hashes) <= _MAX_PREFIX_HASHES
    if not is_list or not all(isinstance(item, str) for item in hashes):
        refuse_bad_request("member 'prefix_hashes' must be a short list of strings")
    return tokens, tuple(hashes)
