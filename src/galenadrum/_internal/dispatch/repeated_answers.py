"""Recognises answers to stage calls that a server writes once more.

Load pattern: calls follow each other on kept connections, and their answers name no
request. A copy of an earlier answer, taken for the one to the next call, shifts all
later answers on the connection by one, so that requests get each other's results.
"""

from __future__ import annotations

from collections.abc import Iterable
from weakref import WeakKeyDictionary

from galenadrum._internal.dispatch.messages import CallFailure, PieceResult
from galenadrum._internal.network.http1.client import BackendConnection
from galenadrum._internal.network.http1.heads import ResponseHead


class RepeatedAnswers:
    """Answers that were received on the open connections to stage servers.

    A connection carries a bounded number of requests, so that all of its answers are
    remembered.
    """

    def __init__(self) -> None:
        self._results: WeakKeyDictionary[BackendConnection, set[int]] = (
            WeakKeyDictionary()
        )
        self._releases: WeakKeyDictionary[BackendConnection, set[int]] = (
            WeakKeyDictionary()
        )

    def is_repeated(
        self,
        connection: BackendConnection,
        head: ResponseHead,
        body: bytes,
        is_release: bool,
    ) -> bool:
        """Return whether an answer is a copy of an earlier one on the connection.

        Answers to releases are alike, so that one of them can't be told from a copy of
        another; nothing is read from either.

        Args:
            connection: Connection of the answer.
            head: Head of the answer.
            body: Body of the answer.
            is_release: Whether the answer to a release is expected, not to a call.
        """
        digest = hash((head.status, body))
        if digest in self._results.get(connection, ()):
            return True
        return not is_release and digest in self._releases.get(connection, ())

    def record_release(
        self, connection: BackendConnection, head: ResponseHead, body: bytes
    ) -> bool:
        """Record the answer to a release; return whether its connection may be reused.

        A success without results can't answer a call; other answers could.
        """
        if head.status != 200:
            return False
        self._releases.setdefault(connection, set()).add(hash((head.status, body)))
        return True

    def may_reuse(
        self,
        connection: BackendConnection,
        head: ResponseHead,
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
        self._results.setdefault(connection, set()).add(hash((head.status, body)))
        return True
