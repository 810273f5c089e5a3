"""Callers that wait for a proposal or a read."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from galenadrum._internal.exceptions import NotLeaderError, OutcomeUnknownError


@dataclass(frozen=True, slots=True)
class _Proposal:
    term: int
    future: asyncio.Future[bytes]


class WaitingProposals:
    """Futures of proposals by their index."""

    def __init__(self) -> None:
        self._proposals_by_index: dict[int, _Proposal] = {}

    def __len__(self) -> int:
        return len(self._proposals_by_index)

    def add(self, index: int, term: int) -> asyncio.Future[bytes]:
        """Return the future of a proposal just appended at ``index``."""
        future = asyncio.get_running_loop().create_future()
        self._proposals_by_index[index] = _Proposal(term, future)
        return future

    def discard(self, index: int, future: asyncio.Future[bytes]) -> None:
        """Forget a proposal whose caller has gone."""
        proposal = self._proposals_by_index.get(index)
        if proposal is not None and proposal.future is future:
            del self._proposals_by_index[index]

    def applied(self, index: int, term: int, result: bytes) -> None:
        """Answer the proposal at an index that is now committed."""
        proposal = self._proposals_by_index.pop(index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == term:
            proposal.future.set_result(result)
            return
        # Another entry was committed in its place, so it never will be.
        proposal.future.set_exception(NotLeaderError(None))

    def restored(self, index: int) -> None:
        """Answer those that a snapshot has passed by."""
        for waiting in [i for i in self._proposals_by_index if i <= index]:
            self._fail_as_unknown(waiting)

    def close(self) -> None:
        """Answer all: this member stops."""
        for waiting in list(self._proposals_by_index):
            self._fail_as_unknown(waiting)

    def _fail_as_unknown(self, index: int) -> None:
        future = self._proposals_by_index.pop(index).future
        if not future.done():
            future.set_exception(
                OutcomeUnknownError("the change may or may not have been accepted")
            )


class WaitingReads:
    """Futures of reads by their token, and then by the index they need."""

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
        """Forget a read whose caller has gone."""
        self._futures_by_token.pop(token, None)

    def ready(self, token: int, index: int) -> None:
        """Let a read wait until ``index`` is applied."""
        future = self._futures_by_token.pop(token, None)
        if future is not None:
            self._confirmed.append((index, future))

    def applied(self, index: int) -> None:
        """Answer the reads that need no more than ``index``."""
        if not self._confirmed:
            return
        later = []
        for read_index, future in self._confirmed:
            if read_index > index:
                later.append((read_index, future))
            elif not future.done():
                future.set_result(None)
        self._confirmed = later

    def failed(self, token: int, leader_address: str | None) -> None:
        """Answer a read that this member can't serve."""
        future = self._futures_by_token.pop(token, None)
        if future is not None and not future.done():
            future.set_exception(NotLeaderError(leader_address))

    def close(self) -> None:
        """Answer all: this member stops."""
        for token in list(self._futures_by_token):
            self.failed(token, None)
        for _, future in self._confirmed:
            if not future.done():
                future.set_exception(NotLeaderError(None))
        self._confirmed.clear()
