"""Parsing and validation of callers' HTTP requests."""

from __future__ import annotations

import json
import math
import re
import time
from collections.abc import Callable
from typing import Any, NoReturn

from galenadrum._internal.exceptions import RequestRefusedError
from galenadrum._internal.models.callers import CallerRequest
from galenadrum._internal.models.requests import Refusal, RefusalReason, RunState
from galenadrum._internal.models.settings import CallerLimits

_MAX_OUTPUT_TOKENS = 1_000_000
_MAX_IDEMPOTENCY_KEY_LENGTH = 200
_ALLOWED_BODY_MEMBERS = frozenset({"input", "stream", "max_output_tokens"})
_IDEMPOTENCY_KEY_PATTERN = re.compile(
    rf"[\x21-\x7e]{{1,{_MAX_IDEMPOTENCY_KEY_LENGTH}}}"
)

Environ = dict[str, Any]


def parse_caller_request(
    environ: Environ, pipeline: str, limits: CallerLimits
) -> CallerRequest:
    """Parse the caller's request in a WSGI environment.

    Raises:
        RequestRefusedError: The request is malformed, its body is too large, or
            the body didn't arrive in time.
    """
    arrived_at = time.monotonic()
    deadline_ms = _read_deadline(environ)
    body = parse_json_object(
        read_body(environ, limits.max_body_bytes), _ALLOWED_BODY_MEMBERS
    )
    if "input" not in body:
        refuse_bad_request("the body has no member 'input'")
    return CallerRequest(
        key=_read_organisation_key(environ),
        pipeline=pipeline,
        input=body["input"],
        input_text=json.dumps(body["input"], separators=(",", ":")),
        stream=_read_member(body, "stream", False, _is_bool, "true or false"),
        max_output_tokens=_read_member(
            body, "max_output_tokens", 0, _is_token_count, "a whole number above 0"
        ),
        deadline_ms=deadline_ms,
        idempotency_key=_read_idempotency_key(environ),
        traceparent=environ.get("HTTP_TRACEPARENT"),
        arrived_at=arrived_at,
    )


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Read the whole request body.

    Raises:
        RequestRefusedError: The body is larger than ``max_bytes``, didn't arrive
            in time, or is shorter than its Content-Length.
    """
    length_text = environ.get("CONTENT_LENGTH") or ""
    if length_text and not length_text.isdecimal():
        refuse_bad_request("Content-Length is not a number")
    if length_text and int(length_text) > max_bytes:
        _refuse(RefusalReason.TOO_LARGE, f"the body is larger than {max_bytes} bytes")
    try:
        body = _read_at_most(environ["wsgi.input"], length_text, max_bytes)
    except TimeoutError:
        _refuse(RefusalReason.TOO_SLOW, "the body did not arrive in time")
    except (OSError, ValueError) as error:
        refuse_bad_request(f"the body can't be read: {error}")
    if length_text and len(body) < int(length_text):
        refuse_bad_request("the body is shorter than Content-Length says")
    return body


def _read_at_most(stream: Any, length_text: str, max_bytes: int) -> bytes:
    body = stream.read(int(length_text) if length_text else max_bytes + 1)
    if len(body) > max_bytes:
        _refuse(RefusalReason.TOO_LARGE, f"the body is larger than {max_bytes} bytes")
    return body


def parse_json_object(body: bytes, members: frozenset[str]) -> dict[str, Any]:
    """Parse the JSON object in ``body``.

    Args:
        body: The encoded request body.
        members: Names of the allowed members.

    Raises:
        RequestRefusedError: The body is not a JSON object or has unknown members.
    """
    try:
        parsed = json.loads(body, parse_constant=_reject_json_constant)
    except RecursionError:
        refuse_bad_request("the body is nested too deeply")
    except ValueError as error:
        refuse_bad_request(f"the body is not valid JSON: {error}")
    if not isinstance(parsed, dict):
        refuse_bad_request("the body is not a JSON object")
    unknown = sorted(set(parsed) - members)
    if unknown:
        refuse_bad_request(f"unknown members in the body: {', '.join(unknown)}")
    return parsed


def refuse_bad_request(message: str) -> NoReturn:
    """Refuse a malformed request.

    Raises:
        RequestRefusedError: Always, with the reason ``bad_request``.
    """
    _refuse(RefusalReason.BAD_REQUEST, message)


def _refuse(reason: RefusalReason, message: str) -> NoReturn:
    raise RequestRefusedError(Refusal(reason, RunState.NOT_RUN, message))


def _reject_json_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON value")


def _read_organisation_key(environ: Environ) -> str:
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        _refuse(
            RefusalReason.UNAUTHORISED,
            "send the organisation's key as 'Authorization: Bearer KEY'",
        )
    return key.strip()


def _read_deadline(environ: Environ) -> int | None:
    text = environ.get("HTTP_GALENADRUM_DEADLINE_MS")
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        refuse_bad_request(f"Galenadrum-Deadline-Ms is not a number: {text!r}")
    if not math.isfinite(value) or value < 1:
        refuse_bad_request("Galenadrum-Deadline-Ms must be at least 1 millisecond")
    return int(value)


def _read_idempotency_key(environ: Environ) -> str | None:
    key = environ.get("HTTP_IDEMPOTENCY_KEY")
    if key is None:
        return None
    if not _IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        refuse_bad_request(
            f"Idempotency-Key must be 1 to {_MAX_IDEMPOTENCY_KEY_LENGTH} "
            "visible ASCII characters"
        )
    return key


def _read_member(
    body: dict[str, Any],
    name: str,
    default: Any,
    is_valid: Callable[[Any], bool],
    expected: str,
) -> Any:
    value = body.get(name, default)
    if name in body and not is_valid(value):
        refuse_bad_request(f"member '{name}' must be {expected}")
    return value


def _is_bool(value: Any) -> bool:
    return isinstance(value, bool)


def _is_token_count(value: Any) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 0 < value <= _MAX_OUTPUT_TOKENS
