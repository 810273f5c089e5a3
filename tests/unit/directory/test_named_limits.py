"""Limits that backend servers name in their responses."""

from galenadrum._internal.directory.server_limits import ServerLimits
from lib.routing_values import entry


class Hosts:
    """Two hosts that exchange the limits of one server."""

    def __init__(self):
        self.entry = entry("s")
        self.first = ServerLimits(self._find_server, self._relay)
        self.second = ServerLimits(self._find_server)
        self.relayed = 0

    def _find_server(self, server_id):
        return self.entry if server_id == "s" else None

    def _relay(self, limit):
        self.relayed += 1
        self.second.merge(limit)


class TestNamedLimit:
    def test_limit_is_known_to_both_hosts_and_relayed_once(self):
        hosts = Hosts()
        for now in (1.0, 2.0, 3.0):
            hosts.first.record_response("s", 1.4, now - 0.1, now)
        assert hosts.first.find_rate("s") == hosts.second.find_rate("s") == 1.4
        assert hosts.relayed == 1

    def test_changed_limit_replaces_the_one_before(self):
        hosts = Hosts()
        hosts.first.record_response("s", 1.4, 0.9, 1.0)
        hosts.first.record_response("s", 1.2, 1.9, 2.0)
        assert hosts.second.find_rate("s") == 1.2

    def test_limit_ends_with_a_response_that_names_none(self):
        hosts = Hosts()
        hosts.first.record_response("s", 1.4, 0.9, 1.0)
        hosts.first.record_response("s", None, 1.1, 1.2)
        assert hosts.first.find_rate("s") is hosts.second.find_rate("s") is None

    def test_response_to_an_earlier_request_ends_no_limit(self):
        hosts = Hosts()
        hosts.first.record_response("s", 1.4, 0.9, 1.0)
        hosts.first.record_response("s", None, 0.8, 1.2)
        assert hosts.first.find_rate("s") == hosts.second.find_rate("s") == 1.4

    def test_next_incarnation_has_no_limit(self):
        hosts = Hosts()
        hosts.first.record_response("s", 1.4, 0.9, 1.0)
        hosts.entry = entry("s", incarnation_ms=2_000)
        assert hosts.first.find_rate("s") is hosts.second.find_rate("s") is None
        assert hosts.first.list_limits() == []

    def test_older_news_is_ignored(self):
        hosts = Hosts()
        hosts.first.record_response("s", 1.4, 0.9, 1.0)
        (old,) = hosts.first.list_limits()
        hosts.first.record_response("s", 1.2, 1.9, 2.0)
        assert not hosts.second.merge(old)
        assert hosts.second.find_rate("s") == 1.2

    def test_limit_of_an_unknown_server_is_ignored(self):
        hosts = Hosts()
        hosts.first.record_response("x", 1.4, 0.9, 1.0)
        assert hosts.relayed == 0
