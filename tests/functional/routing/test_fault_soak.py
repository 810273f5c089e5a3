"""A short run of the fault soak; longer ones are played by hand."""

import pytest

from lib.fault_soak import play

DURATION_S = 6.0


class TestPromises:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_promise_is_broken_under_faults(self, seed):
        soak = play(seed, DURATION_S)
        assert soak.broken == []
        assert soak.statuses[200] > 0
