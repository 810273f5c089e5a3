"""Futures of callers that are waiting for a proposal or a read."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from galenadrum._internal.exceptions import NotLeaderError, OutcomeUnknownError


@dataclass(frozen=True, slots=True)
class _Proposal:
    term: int
    future: asyncio.Future[bytes]


class PendingProposals:
    """Futures of proposals by log index."""

    def __init__(self) -> None:
        self._proposals_by_index: dict[int, _Proposal] = {}

    def __len__(self) -> int:
        return len(self._proposals_by_index)

    def add(self, index: int, term: int) -> asyncio.Future[bytes]:
        """Return the future of a new proposal that was appended at ``index``."""
        future = asyncio.get_running_loop().create_future()
        self._proposals_by_index[index] = _Proposal(term, future)
        return future

    def discard(self, index: int, future: asyncio.Future[bytes]) -> None:
        """Remove a proposal that its caller has stopped waiting for."""
        proposal = self._proposals_by_index.get(index)
        if proposal is not None and proposal.future is future:
            del self._proposals_by_index[index]

    def complete(self, index: int, term: int, result: bytes) -> None:
        """Complete the proposal at an applied index.

        If the applied entry is not the proposed one, the future fails with
        `NotLeaderError`.
        """
        proposal = self._proposals_by_index.pop(index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == term:
            proposal.future.set_result(result)
            return
        # An entry of another term was committed at this index, so the proposed one
        # never will be.
        proposal.future.set_exception(NotLeaderError(None))

    def fail_through(self, index: int) -> None:
        """Fail the proposals that a restored snapshot may include.

        Their outcome is unknown.
        """
        for waiting in [i for i in self._proposals_by_index if i <= index]:
            self._fail_as_unknown(waiting)

    def close(self) -> None:
        """Fail all proposals because this member stops; their outcome is unknown."""
        for waiting in list(self._proposals_by_index):
            self._fail_as_unknown(waiting)

    def _fail_as_unknown(self, index: int) -> None:
        future = self._proposals_by_index.pop(index).future
        if not future.done():
            future.set_exception(
                OutcomeUnknownError("the change may or may not have been accepted")
            )


class PendingReads:
    """Futures of reads, by token until confirmed and then with their read index."""

    def __init__(self) -> None:
        self._next_token = 1
        self._futures_by_token: dict[int, asyncio.Future[None]] = {}
        self._confirmed: list[tuple[int, asyncio.Future[None]]] = []

    def add(self) -> tuple[int, asyncio.Future[None]]:
        """Return a new token and its future."""
        token = self._next_token
        self._next_token += 1
        future = asyncio.get_running_loop().create_future()
        self._futures_by_token[token] = future
        return token, future

    def discard(self, token: int) -> None:
        """Remove a read that its caller has stopped waiting for."""
        self._futures_by_token.pop(token, None)

    def ready(self, token: int, index: int) -> None:
        """Mark a read as confirmed; it completes once ``index`` is applied."""
        future = self._futures_by_token.pop(token, None)
        if future is not None:
            self._confirmed.append((index, future))

    def complete_through(self, index: int) -> None:
        """Complete the confirmed reads up to the applied ``index``."""
        if not self._confirmed:
            return
        remaining = []
        for read_index, future in self._confirmed:
            if read_index > index:
                remaining.append((read_index, future))
            elif not future.done():
                future.set_result(None)
        self._confirmed = remaining

    def failed(self, token: int, leader_address: str | None) -> None:
        """Fail a read because this member is no longer the leader."""
        future = self._futures_by_token.pop(token, None)
        if future is not None and not future.done():
            future.set_exception(NotLeaderError(leader_address))

    def close(self) -> None:
        """Fail all reads because this member stops."""
        for token in list(self._futures_by_token):
            self.failed(token, None)
        for _, future in self._confirmed:
            if not future.done():
                future.set_exception(NotLeaderError(None))
        self._confirmed.clear()
