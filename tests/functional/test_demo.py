"""Tests of the demo command with its example deployments."""

import json
from pathlib import Path

from click.testing import CliRunner

from galenadrum._internal.cli.main import cli
from galenadrum._internal.demo.runner import find_free_addresses

PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class TestDemo:
    def test_answers_every_request_of_both_examples(self):
        result = CliRunner().invoke(cli, ["demo"])
        summary = json.loads(result.output.strip().splitlines()[-1])
        assert summary["requests"] > 100
        assert summary["answered"] == summary["requests"]
        assert summary["refused"] == summary["failed"] == 0


class TestAddresses:
    def test_outgoing_connection_of_another_process_takes_a_port(self):
        # Control could not listen on its port, and the demo waited for it in vain.
        first, last = map(int, PORT_RANGE_FILE.read_text().split())
        addresses = [*find_free_addresses(20), *find_free_addresses(20)]
        ports = {int(address.rpartition(":")[2]) for address in addresses}
        assert len(ports) == len(addresses)
        assert not [port for port in ports if first <= port <= last]
