"""Storage of claims: packed records, snapshots, expiry and limits."""

from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.control.state import claims
from galenadrum._internal.control.state.claim_records import (
    Claim,
    build_blocks,
    pack_claim,
    read_forget_at_ms,
    split_blocks,
    unpack_claim,
)
from galenadrum._internal.exceptions import StorageError
from galenadrum._internal.protocol.claims_pb2 import (
    CLAIM_STATE_COMPLETED,
    CLAIM_STATE_GRANTED,
    CLAIM_STATE_MISMATCH,
    CLAIM_STATE_RELEASED,
    CLAIM_STATE_UNKNOWN,
)
from galenadrum._internal.protocol.commands_pb2 import (
    ClaimSnapshot,
    CommandError,
    StateSnapshot,
)
from lib import control_commands
from lib.control_commands import RETENTION_MS, Replica, claim, outcome

_IDS = st.text(min_size=1, max_size=40) | st.uuids().map(lambda value: value.hex)
_DAY_MS = 86_400_000


def _complete_claim(replica, number, size_bytes=0, organisation="suva"):
    name = f"k{number}"
    response = replica.send(claim("r", name, organisation=organisation))
    if isinstance(response, CommandError):
        return False
    done = outcome(
        "r", CLAIM_STATE_COMPLETED, b"x" * size_bytes, name, organisation=organisation
    )
    assert replica.send(done).accepted
    return True


class TestPackedClaims:
    @given(
        state=st.sampled_from([CLAIM_STATE_COMPLETED, CLAIM_STATE_UNKNOWN]),
        fingerprint=st.binary(min_size=16, max_size=16),
        holder=_IDS,
        forget_at_ms=st.integers(0, 2**48 - 1),
        answer=st.tuples(st.binary(max_size=300), st.just(b""))
        | st.tuples(st.just(b""), st.binary(min_size=32, max_size=32)),
        released=st.lists(_IDS, max_size=16).map(tuple),
    )
    def test_a_claim_is_equal_after_packing_and_unpacking(
        self, state, fingerprint, holder, forget_at_ms, answer, released
    ):
        packed = Claim(
            b"o" * 8, state, fingerprint, holder, 0, forget_at_ms, *answer, released
        )
        record = pack_claim(packed)
        assert unpack_claim(record) == packed
        assert read_forget_at_ms(record) == forget_at_ms

    @given(st.binary(max_size=80))
    def test_arbitrary_bytes_give_claims_or_a_value_error(self, record):
        for parse in (unpack_claim, lambda block: list(split_blocks([block]))):
            with suppress(ValueError):
                parse(record)

    def test_blocks_are_equal_after_building_and_splitting(self):
        rows = {bytes([n]) * 16: bytes(n * 4_000) for n in range(200)}
        blocks = list(build_blocks(rows))
        assert len(blocks) > 1
        assert dict(split_blocks(blocks)) == rows


class TestSnapshotsOfClaims:
    def test_a_snapshot_from_before_the_packed_format_is_restored(self):
        replica = Replica()
        row = ClaimSnapshot(
            organisation_digest=b"o" * 8,
            state=CLAIM_STATE_COMPLETED,
            fingerprint=b"f" * 32,
            holder="r1",
            lease_end_ms=3_000,
            forget_at_ms=RETENTION_MS,
            outcome=b"done",
            key_digest=claims._compute_key_digest("suva", "key"),
        )
        replica.state.restore(StateSnapshot(claims=[row]).SerializeToString())
        assert replica.send(claim("r2")).outcome == b"done"
        other_body = claim("r2", fingerprint=b"g" * 32)
        assert replica.send(other_body).state == CLAIM_STATE_MISMATCH
        done = outcome("r1", CLAIM_STATE_COMPLETED, b"done")
        assert replica.send(done).accepted
        assert replica.restore_copy().send(claim("r2")).outcome == b"done"

    @pytest.mark.parametrize(
        "snapshot",
        [
            StateSnapshot(packed_claims_version=2),
            StateSnapshot(packed_claims_version=1, packed_claims=[b"short"]),
        ],
    )
    def test_an_unreadable_snapshot_leaves_the_state_unchanged(self, snapshot):
        replica = Replica()
        _complete_claim(replica, 1)
        before = replica.state.snapshot()
        with pytest.raises(StorageError):
            replica.state.restore(snapshot.SerializeToString())
        assert replica.state.snapshot() == before


class TestExpiryOfClaims:
    def test_a_released_claim_expires_at_the_same_time_after_a_restore(
        self, monkeypatch
    ):
        monkeypatch.setattr(control_commands, "RETENTION_MS", _DAY_MS)
        replica = Replica()
        replica.send(claim("r1"))
        replica.send(outcome("r1", CLAIM_STATE_RELEASED))
        restored = replica.restore_copy()
        for member in (replica, restored):
            member.send(claim("r2", "other"), 2 * claims.RELEASED_RETENTION_MS)
        assert replica.state.snapshot() == restored.state.snapshot()
        assert replica.state.claim_count == 1

    @pytest.mark.parametrize("outcome_after_ms", [None, 0, 5_000])
    def test_a_claim_is_kept_for_its_own_retention_time(self, outcome_after_ms):
        replica = Replica()
        end_ms = 1_000 + claims.LEASE_MARGIN_MS
        replica.send(claim("r1", retention_s=7))
        if outcome_after_ms is not None:
            end_ms += outcome_after_ms
            assert replica.send(outcome("r1", CLAIM_STATE_UNKNOWN), end_ms).accepted
        replica = replica.restore_copy()
        before = replica.send(claim("r2"), end_ms + 6_999)
        assert before.state == CLAIM_STATE_UNKNOWN
        after = replica.send(claim("r3"), end_ms + 7_000)
        assert after.state == CLAIM_STATE_GRANTED

    def test_a_retention_above_the_maximum_is_refused(self):
        refused = Replica().send(claim("r1", retention_s=claims.RETENTION_MAX_S + 1))
        assert refused.code == CommandError.MALFORMED


class TestBoundsOfClaims:
    def test_a_full_table_refuses_claims_and_stays_within_its_memory_limit(self):
        replica = Replica(max_claims_bytes=20_000)
        stored_count = 0
        while _complete_claim(replica, stored_count, 1_000):
            stored_count += 1
            assert replica.state.claims_bytes <= 20_000
        assert 10 < stored_count < 20
        assert replica.send(claim("other", "k0")).state == CLAIM_STATE_COMPLETED
        restored = replica.restore_copy()
        assert restored.state.claims_bytes == replica.state.claims_bytes
        assert not _complete_claim(restored, stored_count, 1_000)
        replica.send(claim("r", "late"), 2 * RETENTION_MS)
        assert replica.state.claim_count == 1

    def test_an_outcome_beyond_the_memory_limit_is_stored_as_its_digest(self):
        replica = Replica(max_claims_bytes=20_000)
        assert _complete_claim(replica, 1, 30_000)
        response = replica.send(claim("r2", "k1"))
        assert (len(response.outcome), len(response.outcome_sha256)) == (0, 32)

    @pytest.mark.parametrize(
        "bound", ["MAX_CLAIMS_PER_ORGANISATION", "MAX_BYTES_PER_ORGANISATION"]
    )
    def test_the_limit_of_one_organisation_leaves_room_for_others(
        self, monkeypatch, bound
    ):
        limit = 5 if "CLAIMS_PER" in bound else 5_000
        monkeypatch.setattr(claims, bound, limit)
        replica = Replica()
        stored_count = 0
        while _complete_claim(replica, stored_count):
            stored_count += 1
        assert stored_count >= 5
        assert _complete_claim(replica, stored_count, organisation="nadi")
        assert not _complete_claim(replica.restore_copy(), stored_count)
