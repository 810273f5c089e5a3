"""Claims on idempotency keys of requests that must run at most once.

A claim is identified by organisation and idempotency key. It is granted to one
request, which may then send its work once. No other request is granted the
same claim until the holder reports that it never sent.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import replace

from galenadrum._internal.control.state.claim_records import (
    KEY_DIGEST_BYTES,
    ORGANISATION_DIGEST_BYTES,
    PACKED_FINGERPRINT_BYTES,
    Claim,
    build_blocks,
    pack_claim,
    read_forget_at_ms,
    split_blocks,
    unpack_claim,
)
from galenadrum._internal.control.state.expiry import (
    DigestExpiryQueue,
    round_up_to_second,
)
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
# Memory of a packed claim beyond its record: the key digest, the headers of both
# objects, the dict entry right after the dict has grown, and the expiry entry.
PACKED_CLAIM_OVERHEAD_BYTES = 192
# Memory of a claim without a final outcome, including its numbers and short texts;
# request ids are added.
UNPACKED_CLAIM_BYTES = 1_024
ID_OVERHEAD_BYTES = 64
MAX_CLAIMS_PER_ORGANISATION = MAX_CLAIMS // 2
MAX_BYTES_PER_ORGANISATION = MAX_CLAIMS_BYTES // 2
MAX_TOTAL_OUTCOME_BYTES = 24 * 1024 * 1024
MAX_RELEASED_IDS = 16
_RETRY_AFTER_MIN_MS = 100
_RETRY_AFTER_MAX_MS = 1_000
_IDENTIFIER_MAX_CHARACTERS = 255
_FINGERPRINT_BYTES = 32
_FINAL_STATES = frozenset((CLAIM_STATE_COMPLETED, CLAIM_STATE_UNKNOWN))
_RECORDED_STATES = frozenset(
    (CLAIM_STATE_COMPLETED, CLAIM_STATE_UNKNOWN, CLAIM_STATE_RELEASED)
)


class ClaimTable:
    """All unexpired claims, limited in number and memory.

    A full table refuses new claims: evicting an outcome early would let its
    request run a second time. Claims with a final outcome are stored packed.
    One organisation may use at most half of the default limits.

    Args:
        max_claims: Maximum number of claims.
        max_bytes: Maximum of ``estimated_bytes``.

    Attributes:
        estimated_bytes: Estimated memory of the claims. It depends on the
            claims alone, so that all members refuse the same requests.
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
        return len(self._unpacked_by_digest) + len(self._packed_by_digest)

    def clear(self) -> None:
        """Remove all claims."""
        self._unpacked_by_digest: dict[bytes, Claim] = {}
        self._packed_by_digest: dict[bytes, bytes] = {}
        self._count_by_organisation: Counter[bytes] = Counter()
        self._bytes_by_organisation: Counter[bytes] = Counter()
        self._outcome_bytes = 0
        self.estimated_bytes = 0
        self._expiry = DigestExpiryQueue(KEY_DIGEST_BYTES)

    def claim(
        self, request: ClaimRequest, now_ms: int, retention_ms: int
    ) -> ClaimResponse | CommandError:
        """Grant the claim to the request, or return the state of the claim.

        Args:
            request: The request for the claim.
            now_ms: Current time of the state.
            retention_ms: Default time for which the claim is kept after its end.
        """
        error_message = _validate_claim(request)
        if error_message:
            return CommandError(code=CommandError.MALFORMED, message=error_message)
        digest = _compute_key_digest(request.organisation, request.idempotency_key)
        claim = self._find_claim(digest)
        if claim is not None and request.request_id in claim.released:
            return ClaimResponse(state=CLAIM_STATE_RELEASED)
        if claim is None or claim.state == CLAIM_STATE_RELEASED:
            return self._grant_claim(digest, claim, request, now_ms, retention_ms)
        return _build_response(claim, request, now_ms)

    def record_outcome(
        self, request: RecordOutcomeRequest, now_ms: int, retention_ms: int
    ) -> RecordOutcomeResponse | CommandError:
        """Record the outcome of a request.

        An outcome is accepted only from the holder, and only once; a repeat of
        the same outcome is accepted and changes nothing. A release by a request
        that doesn't hold the claim is always accepted, so that a claim message
        of that request which arrives later is not granted.
        """
        error_message = _validate_outcome(request)
        if error_message:
            return CommandError(code=CommandError.MALFORMED, message=error_message)
        digest = _compute_key_digest(request.organisation, request.idempotency_key)
        claim = self._find_claim(digest)
        if claim is None or claim.holder != request.request_id:
            accepted = request.state == CLAIM_STATE_RELEASED
            if accepted:
                self._record_non_holder_release(
                    digest, claim, request, now_ms, retention_ms
                )
            return RecordOutcomeResponse(accepted=accepted)
        updated = self._apply_outcome(claim, request, now_ms, retention_ms)
        if claim.state != CLAIM_STATE_GRANTED:
            return RecordOutcomeResponse(accepted=_is_same_outcome(claim, updated))
        self._store(digest, claim, updated)
        return RecordOutcomeResponse(accepted=True)

    def expire(self, now_ms: int) -> None:
        """Remove all claims that have expired, with a resolution of one second."""
        for digest in self._expiry.pop_expired(now_ms):
            forget_at_ms = self._find_forget_at_ms(digest)
            if forget_at_ms is None:
                continue
            if round_up_to_second(forget_at_ms) * 1_000 > now_ms:
                self._expiry.push(forget_at_ms, digest)
                continue
            self._remove(digest)

    def snapshot(self) -> list[ClaimSnapshot]:
        """Return the claims without a final outcome, ordered by key digest."""
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
            for digest, claim in sorted(self._unpacked_by_digest.items())
        ]

    def packed_snapshot(self) -> Iterator[bytes]:
        """Yield the packed claims in blocks, ordered by key digest."""
        return build_blocks(self._packed_by_digest)

    def restore(self, rows: Iterable[ClaimSnapshot], packed: Iterable[bytes]) -> None:
        """Replace all claims with those of a snapshot.

        In snapshots from before the packed format, ``rows`` also contains the
        claims with a final outcome.
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
            claim = unpack_claim(record)
            self._expiry.push(claim.forget_at_ms, digest)
            self._update_usage(claim, 1, PACKED_CLAIM_OVERHEAD_BYTES + len(record))
            self._packed_by_digest[digest] = record

    def _grant_claim(
        self,
        digest: bytes,
        claim: Claim | None,
        request: ClaimRequest,
        now_ms: int,
        retention_ms: int,
    ) -> ClaimResponse | CommandError:
        organisation_digest = _hash_text(request.organisation)[
            :ORGANISATION_DIGEST_BYTES
        ]
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
        if not self._has_capacity(claim, granted):
            return CommandError(
                code=CommandError.FULL, message="too many claims are remembered"
            )
        self._store(digest, claim, granted)
        return ClaimResponse(state=CLAIM_STATE_GRANTED)

    def _record_non_holder_release(
        self,
        digest: bytes,
        claim: Claim | None,
        request: RecordOutcomeRequest,
        now_ms: int,
        retention_ms: int,
    ) -> None:
        """Record that a request which doesn't hold the claim will never send."""
        organisation_digest = _hash_text(request.organisation)[
            :ORGANISATION_DIGEST_BYTES
        ]
        stored_claim = claim
        if claim is None:
            forget_at_ms = now_ms + min(retention_ms, RELEASED_RETENTION_MS)
            claim = Claim(
                organisation_digest, CLAIM_STATE_RELEASED, b"", "", 0, forget_at_ms
            )
        updated = replace(claim, released=_append_released_id(claim, request))
        # If a limit is reached, the id is dropped. A late claim message may then be
        # granted to this request, which has ended and sends nothing.
        if self._has_capacity(stored_claim, updated):
            self._store(digest, stored_claim, updated)

    def _apply_outcome(
        self,
        claim: Claim,
        request: RecordOutcomeRequest,
        now_ms: int,
        retention_ms: int,
    ) -> Claim:
        """Return the claim with the outcome that its holder reported."""
        retention_ms = claim.retention_ms or retention_ms
        if request.state == CLAIM_STATE_RELEASED:
            return replace(
                claim,
                state=CLAIM_STATE_RELEASED,
                holder="",
                fingerprint=b"",
                forget_at_ms=now_ms + min(retention_ms, RELEASED_RETENTION_MS),
                released=_append_released_id(claim, request),
            )
        outcome, outcome_sha256 = self._limit_outcome(claim, request)
        return replace(
            claim,
            state=request.state,
            outcome=outcome,
            outcome_sha256=outcome_sha256,
            forget_at_ms=max(claim.forget_at_ms, now_ms + retention_ms),
        )

    def _limit_outcome(
        self, claim: Claim, request: RecordOutcomeRequest
    ) -> tuple[bytes, bytes]:
        """Return the outcome to store, or an empty one and its SHA-256 if too large."""
        if request.outcome_sha256:
            return b"", request.outcome_sha256
        size_bytes = len(request.outcome)
        is_kept = (
            size_bytes <= OUTCOME_MAX_BYTES
            and self._outcome_bytes + size_bytes <= MAX_TOTAL_OUTCOME_BYTES
            and self._has_memory(claim.organisation_digest, size_bytes)
        )
        if is_kept:
            return request.outcome, b""
        return b"", hashlib.sha256(request.outcome).digest()

    def _has_capacity(self, before: Claim | None, after: Claim) -> bool:
        organisation_digest = after.organisation_digest
        growth_bytes = _estimate_size_bytes(after) - (
            _estimate_size_bytes(before) if before else 0
        )
        if before is None:
            held = self._count_by_organisation[organisation_digest]
            if len(self) >= self._max_claims or held >= self._max_per_organisation:
                return False
        return self._has_memory(organisation_digest, growth_bytes)

    def _has_memory(self, organisation_digest: bytes, growth_bytes: int) -> bool:
        used_bytes = self._bytes_by_organisation[organisation_digest]
        return growth_bytes <= 0 or (
            self.estimated_bytes + growth_bytes <= self._max_bytes
            and used_bytes + growth_bytes <= self._max_bytes_per_organisation
        )

    def _find_claim(self, digest: bytes) -> Claim | None:
        record = self._packed_by_digest.get(digest)
        if record is not None:
            return unpack_claim(record)
        return self._unpacked_by_digest.get(digest)

    def _find_forget_at_ms(self, digest: bytes) -> int | None:
        record = self._packed_by_digest.get(digest)
        if record is not None:
            return read_forget_at_ms(record)
        claim = self._unpacked_by_digest.get(digest)
        return None if claim is None else claim.forget_at_ms

    def _store(self, digest: bytes, before: Claim | None, claim: Claim) -> None:
        _check_transition(before, claim)
        if before is None or _expires_sooner(claim, before):
            self._expiry.push(claim.forget_at_ms, digest)
        if before is not None:
            self._update_usage(before, -1, _estimate_size_bytes(before))
        if claim.state in _FINAL_STATES:
            record = pack_claim(claim)
            self._update_usage(claim, 1, PACKED_CLAIM_OVERHEAD_BYTES + len(record))
            self._unpacked_by_digest.pop(digest, None)
            self._packed_by_digest[digest] = record
        else:
            self._update_usage(claim, 1, _estimate_size_bytes(claim))
            self._unpacked_by_digest[digest] = claim

    def _remove(self, digest: bytes) -> None:
        claim = self._find_claim(digest)
        self._update_usage(claim, -1, _estimate_size_bytes(claim))
        self._unpacked_by_digest.pop(digest, None)
        self._packed_by_digest.pop(digest, None)

    def _update_usage(self, claim: Claim, sign: int, size_bytes: int) -> None:
        organisation_digest = claim.organisation_digest
        self.estimated_bytes += sign * size_bytes
        self._outcome_bytes += sign * len(claim.outcome)
        self._bytes_by_organisation[organisation_digest] += sign * size_bytes
        self._count_by_organisation[organisation_digest] += sign
        if not self._count_by_organisation[organisation_digest]:
            del self._count_by_organisation[organisation_digest]
            del self._bytes_by_organisation[organisation_digest]


def _estimate_size_bytes(claim: Claim) -> int:
    """Return the estimated memory of a claim, in bytes."""
    if claim.state in _FINAL_STATES:
        return PACKED_CLAIM_OVERHEAD_BYTES + len(pack_claim(claim))
    ids = (claim.holder, *claim.released)
    ids_bytes = sum(ID_OVERHEAD_BYTES + len(item.encode()) for item in ids if item)
    return UNPACKED_CLAIM_BYTES + ids_bytes


def _expires_sooner(claim: Claim, before: Claim) -> bool:
    return round_up_to_second(claim.forget_at_ms) < round_up_to_second(
        before.forget_at_ms
    )


def _build_response(claim: Claim, request: ClaimRequest, now_ms: int) -> ClaimResponse:
    """Return the response for a claim that is granted or has a final outcome."""
    fingerprint_start = request.fingerprint[:PACKED_FINGERPRINT_BYTES]
    if claim.fingerprint[:PACKED_FINGERPRINT_BYTES] != fingerprint_start:
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
        # The first response was lost. The request sends only once, after it has
        # received a response.
        return ClaimResponse(state=CLAIM_STATE_GRANTED)
    remaining_ms = claim.lease_end_ms - now_ms
    retry_after_ms = max(
        _RETRY_AFTER_MIN_MS, min(remaining_ms // 4, _RETRY_AFTER_MAX_MS)
    )
    return ClaimResponse(state=CLAIM_STATE_IN_PROGRESS, retry_after_ms=retry_after_ms)


def _check_transition(before: Claim | None, after: Claim) -> None:
    """Check the transition of a claim from one state to the next.

    Raises:
        InvariantError: If the transition is not allowed.
    """
    if after.holder and after.holder in after.released:
        raise InvariantError(
            "claim is held by a request that was recorded as never sending"
        )
    if before is None or before.state == CLAIM_STATE_RELEASED:
        return
    if before.state != CLAIM_STATE_GRANTED and not _is_same_outcome(before, after):
        raise InvariantError("recorded outcome of a claim must not change")
    if after.state != CLAIM_STATE_RELEASED and before.holder != after.holder:
        raise InvariantError(
            "claim was granted to another request before its holder released it"
        )


def _is_same_outcome(first: Claim, second: Claim) -> bool:
    if first.state != second.state or first.holder != second.holder:
        return False
    return _outcome_digest(first) == _outcome_digest(second)


def _outcome_digest(claim: Claim) -> bytes:
    return claim.outcome_sha256 or hashlib.sha256(claim.outcome).digest()


def _append_released_id(claim: Claim, request: RecordOutcomeRequest) -> tuple[str, ...]:
    others = tuple(item for item in claim.released if item != request.request_id)
    return (*others, request.request_id)[-MAX_RELEASED_IDS:]


def _validate_claim(request: ClaimRequest) -> str:
    if len(request.fingerprint) != _FINGERPRINT_BYTES:
        return f"the fingerprint isn't {_FINGERPRINT_BYTES} bytes long"
    if request.retention_s > RETENTION_MAX_S:
        return f"retention_s is above {RETENTION_MAX_S}"
    return _validate_identifiers(request)


def _validate_outcome(request: RecordOutcomeRequest) -> str:
    if request.state not in _RECORDED_STATES:
        return "only completed, unknown and released can be recorded"
    if request.outcome_sha256 and request.outcome:
        return "an outcome and its digest can't both be recorded"
    return _validate_identifiers(request)


def _validate_identifiers(request: ClaimRequest | RecordOutcomeRequest) -> str:
    for name in ("organisation", "idempotency_key", "request_id"):
        if not 1 <= len(getattr(request, name)) <= _IDENTIFIER_MAX_CHARACTERS:
            return f"{name} isn't 1 to {_IDENTIFIER_MAX_CHARACTERS} characters long"
    return ""


def _compute_key_digest(organisation: str, idempotency_key: str) -> bytes:
    text = f"{len(organisation)}:{organisation}{idempotency_key}"
    return _hash_text(text)[:KEY_DIGEST_BYTES]


def _hash_text(text: str) -> bytes:
    return hashlib.sha256(text.encode()).digest()
