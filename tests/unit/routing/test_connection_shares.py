"""Connections that all hosts together may open to one server."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.routing.connection_shares import (
    HostCounts,
    share_connections,
)

HOST_COUNTS = [(7, 4), (72, 8), (195, 5), (340, 7)]


def sum_shares(
    limit, entry_hosts, control_hosts, is_stage=False, address="10.0.0.1:80"
):
    """Return the number of connections that all hosts together may open."""
    counts = HostCounts(entry_hosts, control_hosts)
    hosts = [(False, number) for number in range(entry_hosts)]
    hosts += [(True, number) for number in range(control_hosts)]
    return sum(
        share_connections(
            limit, counts, is_control, is_stage, f"{is_control}-{number}", address
        )
        for is_control, number in hosts
    )


class TestSumOfShares:
    @given(
        limit=st.integers(1, 2_000),
        entry_hosts=st.integers(1, 400),
        control_hosts=st.integers(1, 9),
        is_stage=st.booleans(),
        number=st.integers(0, 250),
    )
    def test_hosts_together_exceed_what_a_server_takes(
        self, limit, entry_hosts, control_hosts, is_stage, number
    ):
        address = f"10.0.0.{number}:80"
        total = sum_shares(limit, entry_hosts, control_hosts, is_stage, address)
        assert total <= limit

    @pytest.mark.parametrize(("entry_hosts", "control_hosts"), HOST_COUNTS)
    def test_most_of_what_a_server_takes_is_left_unused(
        self, entry_hosts, control_hosts
    ):
        limit = 10 * (entry_hosts + control_hosts)
        assert sum_shares(limit, entry_hosts, control_hosts) >= 0.7 * limit


class TestShareOfOneHost:
    def test_host_of_either_role_is_left_without_a_connection(self):
        counts = HostCounts(72, 8)
        for is_control in (False, True):
            assert share_connections(110, counts, is_control, False, "h", "s") >= 1

    def test_host_that_knows_no_others_divides_by_zero(self):
        assert share_connections(49, HostCounts(0, 0), False, False, "h", "s") > 1
