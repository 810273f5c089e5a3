"""Authentication of operators by bearer token."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from typing import Any

from galenadrum._internal.control.operator_api.responses import ErrorCode, build_refusal
from galenadrum._internal.models.settings import Operator

_AUTHORIZATION_SCHEME = "bearer"
_MAX_TOKEN_CHARACTERS = 1_024


def authenticate(environ: dict[str, Any], operators: Sequence[Operator]) -> str:
    """Return the name of the operator whose token the request carries.

    Raises:
        ApiRefusedError: The request carries no token of an operator.
    """
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    token = token.strip()
    operator_name = None
    if (
        scheme.lower() == _AUTHORIZATION_SCHEME
        and 0 < len(token) <= _MAX_TOKEN_CHARACTERS
    ):
        operator_name = _find_operator(token, operators)
    if operator_name is None:
        raise build_refusal(ErrorCode.UNAUTHORISED, "no operator has this token")
    return operator_name


def _find_operator(token: str, operators: Sequence[Operator]) -> str | None:
    digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    operator_name = None
    # Compares every digest, so that the duration doesn't reveal which one matched.
    for operator in operators:
        if hmac.compare_digest(operator.token_sha256.lower().encode(), digest.encode()):
            operator_name = operator.name
    return operator_name
