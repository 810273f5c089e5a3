"""Choice of the control hosts to which an entry host keeps links."""

import random

import pytest

from galenadrum._internal.gateway.control_links import MAX_LINKS, choose_new_links
from galenadrum._internal.gateway.placement_client import choose_link
from lib.routing_values import FakeLink

ENTRY_HOSTS = 72


def choose_dispatchers(control_hosts):
    """Return the dispatchers that entry hosts choose; each learns of them in turn."""
    addresses = [f"10.0.{number}.1:7740" for number in range(control_hosts)]
    chosen = set()
    for seed in range(ENTRY_HOSTS):
        rng = random.Random(seed)
        known = rng.sample(addresses, len(addresses))
        linked = []
        # The seeds are known first.
        for group in (known[:3], known):
            linked += choose_new_links(group, linked, MAX_LINKS)
        links = [FakeLink(address) for address in sorted(linked)]
        chosen.add(choose_link(links).peer.host_id)
    return chosen


class TestDispatcherOfAllHosts:
    # Two dispatchers that place on the same servers don't know of each other's calls.
    @pytest.mark.parametrize("control_hosts", [3, 7, 8, 9])
    def test_entry_hosts_choose_different_dispatchers(self, control_hosts):
        assert len(choose_dispatchers(control_hosts)) == 1
