"""Operators by the tokens that they present."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from typing import Any

from galenadrum._internal.control.operator_api.responses import ErrorCode, refuse
from galenadrum._internal.models.settings import Operator

_SCHEME = "bearer"
_MAX_TOKEN_CHARACTERS = 1_024


def authenticate(environ: dict[str, Any], operators: Sequence[Operator]) -> str:
    """Return the name of the operator whose token the request carries.

    Raises:
        ApiRefusedError: No operator has that token.
    """
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    token = token.strip()
    found = None
    if scheme.lower() == _SCHEME and 0 < len(token) <= _MAX_TOKEN_CHARACTERS:
        found = _find_operator(token, operators)
    if found is None:
        raise refuse(ErrorCode.UNAUTHORISED, "no operator has this token")
    return found


def _find_operator(token: str, operators: Sequence[Operator]) -> str | None:
    digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    found = None
    # All are compared, so that the time taken doesn't tell which one matched.
    for operator in operators:
        if hmac.compare_digest(operator.token_sha256.lower().encode(), digest.encode()):
            found = operator.name
    return found
