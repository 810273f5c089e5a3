"""Identity of a control host as a member of the replicated log."""

import random

import pytest

from galenadrum._internal.control.routing.identity import (
    load_identity,
    replace_identity,
)
from galenadrum._internal.exceptions import StorageError

SEEDS = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")


def load(folder, address="10.0.0.1:7", founders=(), seed=1):
    return load_identity(folder, address, founders, random.Random(seed))


class TestFirstStart:
    def test_seed_becomes_founder_with_its_address_as_id(self, tmp_path):
        identity = load(tmp_path, founders=SEEDS)
        assert identity.member_id == "10.0.0.1:7"
        assert identity.founders == SEEDS

    def test_host_outside_seeds_joins_with_new_id(self, tmp_path):
        identity = load(tmp_path, "10.0.0.9:7", SEEDS)
        assert identity.founders == ()
        assert identity.member_id.startswith("10.0.0.9:7-")


class TestRestart:
    def test_identity_is_kept_on_disk(self, tmp_path):
        before = load(tmp_path, founders=SEEDS)
        assert load(tmp_path, seed=2) == before

    def test_host_with_lost_disk_gets_new_identity(self, tmp_path):
        load(tmp_path / "before", founders=SEEDS)
        identity = load(tmp_path / "after")
        assert identity.member_id != "10.0.0.1:7"

    def test_refused_identity_is_replaced_and_log_deleted(self, tmp_path):
        before = load(tmp_path, founders=SEEDS)
        before.log_folder(tmp_path).mkdir()
        after = replace_identity(tmp_path, "10.0.0.1:7", before, random.Random(2))
        assert not before.log_folder(tmp_path).exists()
        assert after.member_id != before.member_id
        assert load(tmp_path, seed=3) == after

    def test_damaged_file_raises_error_with_its_name(self, tmp_path):
        (tmp_path / "member.json").write_text("{")
        with pytest.raises(StorageError, match="member.json"):
            load(tmp_path)
