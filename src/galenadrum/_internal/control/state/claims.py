"""Claims of requests that may not be repeated.

A claim is named by the organisation and its idempotency key. It is granted to
one request, which may send its work once. Until that request says that it
never sent, no other request is granted the same claim.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from dataclasses import dataclass, replace

from galenadrum._internal.control.state.expiry import ExpiryQueue
from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.protocol.claims_pb2 import (
    CLAIM_STATE_COMPLETED,
    CLAIM_STATE_GRANTED,
    CLAIM_STATE_IN_PROGRESS,
    CLAIM_STATE_MISMATCH,
    CLAIM_STATE_RELEASED,
    CLAIM_STATE_UNKNOWN,
    ClaimRequest,
    ClaimResponse,
    RecordOutcomeRequest,
    RecordOutcomeResponse,
)
from galenadrum._internal.protocol.commands_pb2 import ClaimSnapshot, CommandError

OUTCOME_MAX_BYTES = 64 * 1024
LEASE_MARGIN_MS = 2_000
RELEASED_RETENTION_MS = 600_000
MAX_CLAIMS = 60_000
MAX_CLAIMS_PER_ORGANISATION = MAX_CLAIMS // 2
MAX_OUTCOME_BYTES_IN_ALL = 24 * 1024 * 1024
MAX_RELEASED_IDS = 16
_RETRY_AFTER_MIN_MS = 100
_RETRY_AFTER_MAX_MS = 1_000
_KEY_MAX_CHARACTERS = 255
_FINGERPRINT_BYTES = 32
_KEY_DIGEST_BYTES = 16
_ORGANISATION_DIGEST_BYTES = 8
_RECORDED_STATES = frozenset(
    (CLAIM_STATE_COMPLETED, CLAIM_STATE_UNKNOWN, CLAIM_STATE_RELEASED)
)


@dataclass(frozen=True, slots=True)
class Claim:
    """One claim as it stands.

    Attributes:
        state: ``GRANTED`` until an outcome is recorded; then ``COMPLETED``,
            ``UNKNOWN`` or ``RELEASED``.
        holder: Id of the request that it was granted to; empty if released.
        lease_end_ms: The holder has given up on its request by then.
        forget_at_ms: The claim is forgotten from then on.
        outcome_sha256: Set in place of an outcome that was too large.
        released: Ids of requests that will never send, latest last.
    """

    organisation_digest: bytes
    state: int
    fingerprint: bytes
    holder: str
    lease_end_ms: int
    forget_at_ms: int
    outcome: bytes = b""
    outcome_sha256: bytes = b""
    released: tuple[str, ...] = ()


class ClaimTable:
    """All claims that are remembered, within a bound.

    When it is full, new claims are refused: forgetting an outcome early would
    let its request run a second time.
    """

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self._max_claims = max_claims
        self._max_per_organisation = min(MAX_CLAIMS_PER_ORGANISATION, max_claims)
        self._claim_by_digest: dict[bytes, Claim] = {}
        self._count_by_organisation: Counter[bytes] = Counter()
        self._expiry: ExpiryQueue[bytes] = ExpiryQueue()
        self._outcome_bytes = 0

    def __len__(self) -> int:
        return len(self._claim_by_digest)

    def claim(
        self, request: ClaimRequest, now_ms: int, retention_ms: int
    ) -> ClaimResponse | CommandError:
        """Grant the claim to the request, or say how it stands."""
        problem = _check_claim(request)
        if problem:
            return CommandError(code=CommandError.MALFORMED, message=problem)
        digest = _key_digest(request.organisation, request.idempotency_key)
        claim = self._claim_by_digest.get(digest)
        if claim is not None and request.request_id in claim.released:
            return ClaimResponse(state=CLAIM_STATE_RELEASED)
        if claim is None or claim.state == CLAIM_STATE_RELEASED:
            return self._grant(digest, claim, request, now_ms, retention_ms)
        return _describe(claim, request, now_ms)

    def record(
        self, request: RecordOutcomeRequest, now_ms: int, retention_ms: int
    ) -> RecordOutcomeResponse | CommandError:
        """Record how the request of a claim ended.

        The outcome is accepted from the holder, once; the same again is
        accepted and changes nothing. That a request will never send is
        accepted from any request which doesn't hold the claim, so that its
        claim is not granted should it arrive later.
        """
        problem = _check_record(request)
        if problem:
            return CommandError(code=CommandError.MALFORMED, message=problem)
        digest = _key_digest(request.organisation, request.idempotency_key)
        claim = self._claim_by_digest.get(digest)
        if claim is None or claim.holder != request.request_id:
            accepted = request.state == CLAIM_STATE_RELEASED
            if accepted:
                self._bar(digest, claim, request, now_ms, retention_ms)
            return RecordOutcomeResponse(accepted=accepted)
        ended = self._ended(claim, request, now_ms, retention_ms)
        if claim.state != CLAIM_STATE_GRANTED:
            return RecordOutcomeResponse(accepted=_same_outcome(claim, ended))
        self._store(digest, ended)
        return RecordOutcomeResponse(accepted=True)

    def expire(self, now_ms: int) -> None:
        """Forget all claims whose time has passed."""
        for digest in tuple(self._expiry.pop_until(now_ms)):
            claim = self._claim_by_digest[digest]
            if claim.forget_at_ms > now_ms:
                self._expiry.push(claim.forget_at_ms, digest)
                continue
            del self._claim_by_digest[digest]
            self._outcome_bytes -= len(claim.outcome)
            self._count_by_organisation[claim.organisation_digest] -= 1
            if not self._count_by_organisation[claim.organisation_digest]:
                del self._count_by_organisation[claim.organisation_digest]

    def snapshot(self) -> list[ClaimSnapshot]:
        """Return all claims, ordered by their key."""
        return [
            ClaimSnapshot(
                key_digest=digest,
                organisation_digest=claim.organisation_digest,
                state=claim.state,
                fingerprint=claim.fingerprint,
                holder=claim.holder,
                lease_end_ms=claim.lease_end_ms,
                forget_at_ms=claim.forget_at_ms,
                outcome=claim.outcome,
                outcome_sha256=claim.outcome_sha256,
                released=claim.released,
            )
            for digest, claim in sorted(self._claim_by_digest.items())
        ]

    def restore(self, rows: list[ClaimSnapshot]) -> None:
        """Take over the rows of a snapshot."""
        self._claim_by_digest.clear()
        self._count_by_organisation.clear()
        self._expiry = ExpiryQueue()
        self._outcome_bytes = 0
        for row in rows:
            claim = Claim(
                organisation_digest=row.organisation_digest,
                state=row.state,
                fingerprint=row.fingerprint,
                holder=row.holder,
                lease_end_ms=row.lease_end_ms,
                forget_at_ms=row.forget_at_ms,
                outcome=row.outcome,
                outcome_sha256=row.outcome_sha256,
                released=tuple(row.released),
            )
            self._store(row.key_digest, claim)

    def _grant(
        self,
        digest: bytes,
        claim: Claim | None,
        request: ClaimRequest,
        now_ms: int,
        retention_ms: int,
    ) -> ClaimResponse | CommandError:
        organisation_digest = _digest(request.organisation)[:_ORGANISATION_DIGEST_BYTES]
        if claim is None and not self._has_room(organisation_digest):
            return CommandError(
                code=CommandError.FULL, message="too many claims are remembered"
            )
        lease_end_ms = now_ms + request.deadline_in_ms + LEASE_MARGIN_MS
        granted = Claim(
            organisation_digest=organisation_digest,
            state=CLAIM_STATE_GRANTED,
            fingerprint=request.fingerprint,
            holder=request.request_id,
            lease_end_ms=lease_end_ms,
            forget_at_ms=lease_end_ms + retention_ms,
            released=claim.released if claim else (),
        )
        self._store(digest, granted)
        return ClaimResponse(state=CLAIM_STATE_GRANTED)

    def _bar(
        self,
        digest: bytes,
        claim: Claim | None,
        request: RecordOutcomeRequest,
        now_ms: int,
        retention_ms: int,
    ) -> None:
        """Remember that a request will never send, without a claim of its own."""
        organisation_digest = _digest(request.organisation)[:_ORGANISATION_DIGEST_BYTES]
        if claim is None:
            if not self._has_room(organisation_digest):
                return
            forget_at_ms = now_ms + min(retention_ms, RELEASED_RETENTION_MS)
            claim = Claim(
                organisation_digest, CLAIM_STATE_RELEASED, b"", "", 0, forget_at_ms
            )
        self._store(digest, replace(claim, released=_released_ids(claim, request)))

    def _ended(
        self,
        claim: Claim,
        request: RecordOutcomeRequest,
        now_ms: int,
        retention_ms: int,
    ) -> Claim:
        """Return the claim as it stands after its holder's record."""
        if request.state == CLAIM_STATE_RELEASED:
            return replace(
                claim,
                state=CLAIM_STATE_RELEASED,
                holder="",
                fingerprint=b"",
                forget_at_ms=now_ms + min(retention_ms, RELEASED_RETENTION_MS),
                released=_released_ids(claim, request),
            )
        outcome, outcome_sha256 = self._bound_outcome(request)
        return replace(
            claim,
            state=request.state,
            outcome=outcome,
            outcome_sha256=outcome_sha256,
            forget_at_ms=max(claim.forget_at_ms, now_ms + retention_ms),
        )

    def _bound_outcome(self, request: RecordOutcomeRequest) -> tuple[bytes, bytes]:
        """Return the outcome to keep and, if it is too large, its digest."""
        if request.outcome_sha256:
            return b"", request.outcome_sha256
        size_bytes = len(request.outcome)
        if size_bytes > OUTCOME_MAX_BYTES or (
            self._outcome_bytes + size_bytes > MAX_OUTCOME_BYTES_IN_ALL
        ):
            return b"", hashlib.sha256(request.outcome).digest()
        return request.outcome, b""

    def _has_room(self, organisation_digest: bytes) -> bool:
        held = self._count_by_organisation[organisation_digest]
        return (
            len(self._claim_by_digest) < self._max_claims
            and held < self._max_per_organisation
        )

    def _store(self, digest: bytes, claim: Claim) -> None:
        before = self._claim_by_digest.get(digest)
        _assert_allowed(before, claim)
        if before is None:
            self._count_by_organisation[claim.organisation_digest] += 1
            self._expiry.push(claim.forget_at_ms, digest)
        else:
            self._outcome_bytes -= len(before.outcome)
        self._outcome_bytes += len(claim.outcome)
        self._claim_by_digest[digest] = claim


def _describe(claim: Claim, request: ClaimRequest, now_ms: int) -> ClaimResponse:
    """Tell a request how a claim stands that is granted or has an outcome."""
    if claim.fingerprint != request.fingerprint:
        return ClaimResponse(state=CLAIM_STATE_MISMATCH)
    if claim.state == CLAIM_STATE_COMPLETED:
        return ClaimResponse(
            state=CLAIM_STATE_COMPLETED,
            outcome=claim.outcome,
            outcome_sha256=claim.outcome_sha256,
        )
    if claim.state == CLAIM_STATE_UNKNOWN or now_ms >= claim.lease_end_ms:
        return ClaimResponse(state=CLAIM_STATE_UNKNOWN)
    if claim.holder == request.request_id:
        # Its first answer was lost. It sends only after an answer, once.
        return ClaimResponse(state=CLAIM_STATE_GRANTED)
    remaining_ms = claim.lease_end_ms - now_ms
    retry_after_ms = max(
        _RETRY_AFTER_MIN_MS, min(remaining_ms // 4, _RETRY_AFTER_MAX_MS)
    )
    return ClaimResponse(state=CLAIM_STATE_IN_PROGRESS, retry_after_ms=retry_after_ms)


def _assert_allowed(before: Claim | None, after: Claim) -> None:
    """Check that a claim changes only as its rules allow."""
    if after.holder and after.holder in after.released:
        raise InvariantError("a claim is held by a request that will never send")
    if before is None or before.state == CLAIM_STATE_RELEASED:
        return
    if before.state != CLAIM_STATE_GRANTED and not _same_outcome(before, after):
        raise InvariantError("a recorded outcome changed")
    if after.state != CLAIM_STATE_RELEASED and before.holder != after.holder:
        raise InvariantError("a claim was granted twice without a release")


def _same_outcome(first: Claim, second: Claim) -> bool:
    if first.state != second.state or first.holder != second.holder:
        return False
    return _outcome_digest(first) == _outcome_digest(second)


def _outcome_digest(claim: Claim) -> bytes:
    return claim.outcome_sha256 or hashlib.sha256(claim.outcome).digest()


def _released_ids(claim: Claim, request: RecordOutcomeRequest) -> tuple[str, ...]:
    others = tuple(item for item in claim.released if item != request.request_id)
    return (*others, request.request_id)[-MAX_RELEASED_IDS:]


def _check_claim(request: ClaimRequest) -> str:
    if len(request.fingerprint) != _FINGERPRINT_BYTES:
        return f"the fingerprint isn't {_FINGERPRINT_BYTES} bytes long"
    return _check_names(request)


def _check_record(request: RecordOutcomeRequest) -> str:
    if request.state not in _RECORDED_STATES:
        return "only completed, unknown and released can be recorded"
    if request.outcome_sha256 and request.outcome:
        return "an outcome and its digest can't both be recorded"
    return _check_names(request)


def _check_names(request: ClaimRequest | RecordOutcomeRequest) -> str:
    for name in ("organisation", "idempotency_key", "request_id"):
        if not 1 <= len(getattr(request, name)) <= _KEY_MAX_CHARACTERS:
            return f"{name} isn't 1 to {_KEY_MAX_CHARACTERS} characters long"
    return ""


def _key_digest(organisation: str, idempotency_key: str) -> bytes:
    text = f"{len(organisation)}:{organisation}{idempotency_key}"
    return _digest(text)[:_KEY_DIGEST_BYTES]


def _digest(text: str) -> bytes:
    return hashlib.sha256(text.encode()).digest()
