"""Choosing servers of plain services."""

import random
from collections import Counter

from galenadrum._internal.gateway.balancer import PlainBalancer
from galenadrum._internal.gateway.dialect import ReplyFacts
from galenadrum._internal.models.announcements import ServerState
from lib.routing_values import entry


def balancer(*zones):
    made = PlainBalancer("a", random.Random(3))
    for number, zone in enumerate(zones):
        made.put_server(entry(f"s{number}", "stock", zone, concurrency=6))
    return made


def report(running, waiting=0):
    return ReplyFacts("", False, True, running, waiting, 6)


class TestChoice:
    def test_own_zone_is_preferred_while_it_has_room(self):
        made = balancer("a", "b", "c")
        assert made.choose("stock", set(), 0.0).server_id == "s0"

    def test_load_moves_requests_to_other_zones(self):
        made = balancer("a", "b", "c")
        chosen = Counter()
        for _ in range(9):
            server_id = made.choose("stock", set(), 0.0).server_id
            made.started(server_id)
            chosen[server_id] += 1
        assert len(chosen) == 3

    def test_reported_load_of_others_counts_and_fades(self):
        made = balancer("a", "b")
        made.started("s0")
        made.ended("s0", False, 0.05, report(6, 4), 0.0)
        assert made.choose("stock", set(), 0.0).server_id == "s1"
        assert made.choose("stock", set(), 5.0).server_id == "s0"

    def test_excluded_servers_are_left_out(self):
        made = balancer("a", "b")
        assert made.choose("stock", {"s0"}, 0.0).server_id == "s1"
        assert made.choose("stock", {"s0", "s1"}, 0.0) is None

    def test_leaving_server_gets_nothing(self):
        made = balancer("a")
        leaving = entry("s0", "stock", "a", sequence=2, state=ServerState.DRAINING)
        made.put_server(leaving)
        assert made.choose("stock", set(), 0.0) is None

    def test_rejecting_server_rests(self):
        made = balancer("a", "b")
        made.started("s0")
        made.rejected("s0", report(6, 20), 0.0)
        assert made.choose("stock", set(), 0.05).server_id == "s1"


class TestFailingServer:
    """One of three fails four requests in ten; its peers none."""

    def test_it_is_left_out_within_few_requests(self):
        made = balancer("a", "a", "a")
        rng = random.Random(5)
        sent = Counter()
        now = 0.0
        for _ in range(200):
            now += 0.02
            server_id = made.choose("stock", set(), now).server_id
            made.started(server_id)
            failed = server_id == "s1" and rng.random() < 0.6
            made.ended(server_id, failed, 0.05, report(1), now)
            sent[server_id] += 1
        assert sent["s1"] <= 40

    def test_slow_server_is_left_out(self):
        made = balancer("a", "a", "a")
        sent = Counter()
        now = 0.0
        for _ in range(200):
            now += 0.02
            server_id = made.choose("stock", set(), now).server_id
            made.started(server_id)
            slow = server_id == "s1"
            made.ended(server_id, False, 0.5 if slow else 0.05, report(1), now)
            sent[server_id] += 1
        assert sent["s1"] <= 40
