"""Recognises answers to stage calls that a server writes once more.

Load pattern: calls follow each other on kept connections, and their answers name no
request. A copy of an earlier answer, taken for the one to the next call, shifts all
later answers on the connection by one, so that requests get each other's results.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from weakref import WeakKeyDictionary

from galenadrum._internal.dispatch.messages import CallFailure, PieceResult
from galenadrum._internal.network.http1.client import BackendConnection

# Answers of a connection that are remembered; a copy follows soon after the original.
_MAX_ANSWERS = 16


class RepeatedAnswers:
    """Answers that were received on the open connections to stage servers."""

    def __init__(self) -> None:
        self._digests_by_connection: WeakKeyDictionary[
            BackendConnection, deque[int]
        ] = WeakKeyDictionary()

    def is_repeated(self, connection: BackendConnection, body: bytes) -> bool:
        """Return whether an answer is a copy of an earlier one on the connection."""
        return hash(body) in self._digests_by_connection.get(connection, ())

    def may_reuse(
        self,
        connection: BackendConnection,
        body: bytes,
        results: Iterable[PieceResult] | CallFailure,
    ) -> bool:
        """Record the answer to a call and return whether its connection may be reused.

        Handles of results are unique, so a copy of an answer with results can be told.
        Refusals and failures of all pieces look alike for every call, so a connection
        that brought one isn't used for another call.
        """
        if isinstance(results, CallFailure) or not any(r.handle for r in results):
            return False
        digests = self._digests_by_connection.setdefault(
            connection, deque(maxlen=_MAX_ANSWERS)
        )
        digests.append(hash(body))
        return True
