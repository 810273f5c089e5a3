"""Identities of control hosts beside their logs."""

import random

import pytest

from galenadrum._internal.control.routing.identity import (
    load_identity,
    renew_identity,
)
from galenadrum._internal.exceptions import StorageError

SEEDS = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")


def load(folder, address="10.0.0.1:7", founders=(), seed=1):
    return load_identity(folder, address, founders, random.Random(seed))


class TestFirstStart:
    def test_seed_is_a_founder_under_its_address(self, tmp_path):
        identity = load(tmp_path, founders=SEEDS)
        assert identity.member_id == "10.0.0.1:7"
        assert identity.founders == SEEDS

    def test_other_host_joins(self, tmp_path):
        identity = load(tmp_path, "10.0.0.9:7", SEEDS)
        assert identity.founders == ()
        assert identity.member_id.startswith("10.0.0.9:7-")


class TestRestart:
    def test_disk_keeps_the_identity(self, tmp_path):
        before = load(tmp_path, founders=SEEDS)
        assert load(tmp_path, seed=2) == before

    def test_lost_disk_is_a_new_member(self, tmp_path):
        load(tmp_path / "before", founders=SEEDS)
        identity = load(tmp_path / "after")
        assert identity.member_id != "10.0.0.1:7"

    def test_refused_identity_is_given_up_with_its_log(self, tmp_path):
        before = load(tmp_path, founders=SEEDS)
        before.log_folder(tmp_path).mkdir()
        after = renew_identity(tmp_path, "10.0.0.1:7", before, random.Random(2))
        assert not before.log_folder(tmp_path).exists()
        assert after.member_id != before.member_id
        assert load(tmp_path, seed=3) == after

    def test_damaged_file_is_an_error_that_names_it(self, tmp_path):
        (tmp_path / "member.json").write_text("{")
        with pytest.raises(StorageError, match="member.json"):
            load(tmp_path)
