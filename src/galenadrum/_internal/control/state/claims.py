"""Claims of requests that may not be repeated.

A claim is named by the organisation and its idempotency key. It is granted to
one request, which may send its work once. Until that request says that it
never sent, no other request is granted the same claim.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import replace

from galenadrum._internal.control.state.claim_records import (
    FINGERPRINT_KEPT_BYTES,
    KEY_DIGEST_BYTES,
    ORGANISATION_DIGEST_BYTES,
    Claim,
    join_blocks,
    pack,
    packed_forget_at_ms,
    split_blocks,
    unpack,
)
from galenadrum._internal.control.state.expiry import ExpirySeconds, expiry_second
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
from galenadrum._internal.protocol.commands_pb2 import (
    ClaimSnapshot,
    CommandError,
)

OUTCOME_MAX_BYTES = 64 * 1024
LEASE_MARGIN_MS = 2_000
RELEASED_RETENTION_MS = 600_000
MAX_CLAIMS = 200_000
MAX_CLAIMS_BYTES = 48 * 1024 * 1024
RETENTION_MAX_S = 86_400
# Beside a packed record: its key, both objects' headers, the table's entry when
# the table has just grown, and its place in the order of expiry.
PACKED_OVERHEAD_BYTES = 192
# A claim that has no outcome yet, with its numbers and short texts.
LIVE_CLAIM_BYTES = 1_024
ID_OVERHEAD_BYTES = 64
MAX_CLAIMS_PER_ORGANISATION = MAX_CLAIMS // 2
MAX_BYTES_PER_ORGANISATION = MAX_CLAIMS_BYTES // 2
MAX_OUTCOME_BYTES_IN_ALL = 24 * 1024 * 1024
MAX_RELEASED_IDS = 16
_RETRY_AFTER_MIN_MS = 100
_RETRY_AFTER_MAX_MS = 1_000
_KEY_MAX_CHARACTERS = 255
_FINGERPRINT_BYTES = 32
_FINAL_STATES = frozenset((CLAIM_STATE_COMPLETED, CLAIM_STATE_UNKNOWN))
_RECORDED_STATES = frozenset(
    (CLAIM_STATE_COMPLETED, CLAIM_STATE_UNKNOWN, CLAIM_STATE_RELEASED)
)


class ClaimTable:
    """All claims that are remembered, within bounds.

    When it is full, new claims are refused: forgetting an outcome early would
    let its request run a second time. A claim with a final outcome is held
    packed. One organisation takes at most half of the
    usual bounds.

    Args:
        max_claims: Claims that are remembered at most.
        max_bytes: Memory for them, as ``held_bytes`` counts it.

    Attributes:
        held_bytes: Estimate of the memory that the claims take. It depends on
            the claims alone, so that all members refuse alike.
    """

    def __init__(
        self, max_claims: int = MAX_CLAIMS, max_bytes: int = MAX_CLAIMS_BYTES
    ) -> None:
        self._max_claims = max_claims
        self._max_bytes = max_bytes
        self._max_per_organisation = min(MAX_CLAIMS_PER_ORGANISATION, max_claims)
        self._max_bytes_per_organisation = min(MAX_BYTES_PER_ORGANISATION, max_bytes)
        self.clear()

    def __len__(self) -> int:
        return len(self._live_by_digest) + len(self._packed_by_digest)

    def clear(self) -> None:
        """Forget all claims."""
        self._live_by_digest: dict[bytes, Claim] = {}
        self._packed_by_digest: dict[bytes, bytes] = {}
        self._count_by_organisation: Counter[bytes] = Counter()
        self._bytes_by_organisation: Counter[bytes] = Counter()
        self._outcome_bytes = 0
        self.held_bytes = 0
        self._expiry = ExpirySeconds(KEY_DIGEST_BYTES)

    def claim(
        self, request: ClaimRequest, now_ms: int, retention_ms: int
    ) -> ClaimResponse | CommandError:
        """Grant the claim to the request, or say how it stands."""
        problem = _check_claim(request)
        if problem:
            return CommandError(code=CommandError.MALFORMED, message=problem)
        digest = _key_digest(request.organisation, request.idempotency_key)
        claim = self._get(digest)
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
        claim = self._get(digest)
        if claim is None or claim.holder != request.request_id:
            accepted = request.state == CLAIM_STATE_RELEASED
            if accepted:
                self._bar(digest, claim, request, now_ms, retention_ms)
            return RecordOutcomeResponse(accepted=accepted)
        ended = self._ended(claim, request, now_ms, retention_ms)
        if claim.state != CLAIM_STATE_GRANTED:
            return RecordOutcomeResponse(accepted=_same_outcome(claim, ended))
        self._store(digest, claim, ended)
        return RecordOutcomeResponse(accepted=True)

    def expire(self, now_ms: int) -> None:
        """Forget all claims whose time has passed, to the second."""
        for digest in self._expiry.pop_until(now_ms):
            forget_at_ms = self._forget_at_ms(digest)
            if forget_at_ms is None:
                continue
            if expiry_second(forget_at_ms) * 1_000 > now_ms:
                self._expiry.push(forget_at_ms, digest)
                continue
            self._remove(digest)

    def snapshot(self) -> list[ClaimSnapshot]:
        """Return the claims without a final outcome, ordered by their key."""
        return [
            ClaimSnapshot(
                key_digest=digest,
                organisation_digest=claim.organisation_digest,
                state=claim.state,
                fingerprint=claim.fingerprint,
                holder=claim.holder,
                lease_end_ms=claim.lease_end_ms,
                forget_at_ms=claim.forget_at_ms,
                released=claim.released,
                retention_ms=claim.retention_ms,
            )
            for digest, claim in sorted(self._live_by_digest.items())
        ]

    def packed_snapshot(self) -> Iterator[bytes]:
        """Yield the packed claims in blocks, ordered by their key."""
        return join_blocks(self._packed_by_digest)

    def restore(self, rows: Iterable[ClaimSnapshot], packed: Iterable[bytes]) -> None:
        """Take over the rows of a snapshot.

        Rows of before claims were packed also hold those with an outcome.
        """
        self.clear()
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
                retention_ms=row.retention_ms,
            )
            self._store(row.key_digest, None, claim)
        for digest, record in split_blocks(packed):
            claim = unpack(record)
            self._expiry.push(claim.forget_at_ms, digest)
            self._account(claim, 1, PACKED_OVERHEAD_BYTES + len(record))
            self._packed_by_digest[digest] = record

    def _grant(
        self,
        digest: bytes,
        claim: Claim | None,
        request: ClaimRequest,
        now_ms: int,
        retention_ms: int,
    ) -> ClaimResponse | CommandError:
        organisation_digest = _digest(request.organisation)[:ORGANISATION_DIGEST_BYTES]
        lease_end_ms = now_ms + request.deadline_in_ms + LEASE_MARGIN_MS
        retention_ms = request.retention_s * 1_000 or retention_ms
        granted = Claim(
            organisation_digest=organisation_digest,
            state=CLAIM_STATE_GRANTED,
            fingerprint=request.fingerprint,
            holder=request.request_id,
            lease_end_ms=lease_end_ms,
            forget_at_ms=lease_end_ms + retention_ms,
            released=claim.released if claim else (),
            retention_ms=retention_ms,
        )
        if not self._has_room(claim, granted):
            return CommandError(
                code=CommandError.FULL, message="too many claims are remembered"
            )
        self._store(digest, claim, granted)
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
        organisation_digest = _digest(request.organisation)[:ORGANISATION_DIGEST_BYTES]
        standing = claim
        if claim is None:
            forget_at_ms = now_ms + min(retention_ms, RELEASED_RETENTION_MS)
            claim = Claim(
                organisation_digest, CLAIM_STATE_RELEASED, b"", "", 0, forget_at_ms
            )
        barred = replace(claim, released=_released_ids(claim, request))
        # Forgotten for want of room, its claim may be granted to a request that
        # is over: nobody sends.
        if self._has_room(standing, barred):
            self._store(digest, standing, barred)

    def _ended(
        self,
        claim: Claim,
        request: RecordOutcomeRequest,
        now_ms: int,
        retention_ms: int,
    ) -> Claim:
        """Return the claim as it stands after its holder's record."""
        retention_ms = claim.retention_ms or retention_ms
        if request.state == CLAIM_STATE_RELEASED:
            return replace(
                claim,
                state=CLAIM_STATE_RELEASED,
                holder="",
                fingerprint=b"",
                forget_at_ms=now_ms + min(retention_ms, RELEASED_RETENTION_MS),
                released=_released_ids(claim, request),
            )
        outcome, outcome_sha256 = self._bound_outcome(claim, request)
        return replace(
            claim,
            state=request.state,
            outcome=outcome,
            outcome_sha256=outcome_sha256,
            forget_at_ms=max(claim.forget_at_ms, now_ms + retention_ms),
        )

    def _bound_outcome(
        self, claim: Claim, request: RecordOutcomeRequest
    ) -> tuple[bytes, bytes]:
        """Return the outcome to keep and, if it is too large, its digest."""
        if request.outcome_sha256:
            return b"", request.outcome_sha256
        size_bytes = len(request.outcome)
        is_kept = (
            size_bytes <= OUTCOME_MAX_BYTES
            and self._outcome_bytes + size_bytes <= MAX_OUTCOME_BYTES_IN_ALL
            and self._has_bytes(claim.organisation_digest, size_bytes)
        )
        if is_kept:
            return request.outcome, b""
        return b"", hashlib.sha256(request.outcome).digest()

    def _has_room(self, before: Claim | None, after: Claim) -> bool:
        organisation_digest = after.organisation_digest
        growth_bytes = _size_of(after) - (_size_of(before) if before else 0)
        if before is None:
            held = self._count_by_organisation[organisation_digest]
            if len(self) >= self._max_claims or held >= self._max_per_organisation:
                return False
        return self._has_bytes(organisation_digest, growth_bytes)

    def _has_bytes(self, organisation_digest: bytes, growth_bytes: int) -> bool:
        held_bytes = self._bytes_by_organisation[organisation_digest]
        return growth_bytes <= 0 or (
            self.held_bytes + growth_bytes <= self._max_bytes
            and held_bytes + growth_bytes <= self._max_bytes_per_organisation
        )

    def _get(self, digest: bytes) -> Claim | None:
        record = self._packed_by_digest.get(digest)
        if record is not None:
            return unpack(record)
        return self._live_by_digest.get(digest)

    def _forget_at_ms(self, digest: bytes) -> int | None:
        record = self._packed_by_digest.get(digest)
        if record is not None:
            return packed_forget_at_ms(record)
        claim = self._live_by_digest.get(digest)
        return None if claim is None else claim.forget_at_ms

    def _store(self, digest: bytes, before: Claim | None, claim: Claim) -> None:
        _assert_allowed(before, claim)
        if before is None or _is_sooner(claim, before):
            self._expiry.push(claim.forget_at_ms, digest)
        if before is not None:
            self._account(before, -1, _size_of(before))
        if claim.state in _FINAL_STATES:
            record = pack(claim)
            self._account(claim, 1, PACKED_OVERHEAD_BYTES + len(record))
            self._live_by_digest.pop(digest, None)
            self._packed_by_digest[digest] = record
        else:
            self._account(claim, 1, _size_of(claim))
            self._live_by_digest[digest] = claim

    def _remove(self, digest: bytes) -> None:
        claim = self._get(digest)
        self._account(claim, -1, _size_of(claim))
        self._live_by_digest.pop(digest, None)
        self._packed_by_digest.pop(digest, None)

    def _account(self, claim: Claim, sign: int, size_bytes: int) -> None:
        organisation_digest = claim.organisation_digest
        self.held_bytes += sign * size_bytes
        self._outcome_bytes += sign * len(claim.outcome)
        self._bytes_by_organisation[organisation_digest] += sign * size_bytes
        self._count_by_organisation[organisation_digest] += sign
        if not self._count_by_organisation[organisation_digest]:
            del self._count_by_organisation[organisation_digest]
            del self._bytes_by_organisation[organisation_digest]


def _size_of(claim: Claim) -> int:
    """Return the estimate of the memory that a claim takes, in bytes."""
    if claim.state in _FINAL_STATES:
        return PACKED_OVERHEAD_BYTES + len(pack(claim))
    ids = (claim.holder, *claim.released)
    ids_bytes = sum(ID_OVERHEAD_BYTES + len(item.encode()) for item in ids if item)
    return LIVE_CLAIM_BYTES + ids_bytes


def _is_sooner(claim: Claim, before: Claim) -> bool:
    return expiry_second(claim.forget_at_ms) < expiry_second(before.forget_at_ms)


def _describe(claim: Claim, request: ClaimRequest, now_ms: int) -> ClaimResponse:
    """Tell a request how a claim stands that is granted or has an outcome."""
    kept = request.fingerprint[:FINGERPRINT_KEPT_BYTES]
    if claim.fingerprint[:FINGERPRINT_KEPT_BYTES] != kept:
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
    if request.retention_s > RETENTION_MAX_S:
        return f"retention_s is above {RETENTION_MAX_S}"
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
    return _digest(text)[:KEY_DIGEST_BYTES]


def _digest(text: str) -> bytes:
    return hashlib.sha256(text.encode()).digest()
