"""Tests of the demo command with its example deployments."""

import json

from click.testing import CliRunner

from galenadrum._internal.cli.main import cli


class TestDemo:
    def test_answers_every_request_of_both_examples(self):
        result = CliRunner().invoke(cli, ["demo"])
        summary = json.loads(result.output.strip().splitlines()[-1])
        assert summary["requests"] > 100
        assert summary["answered"] == summary["requests"]
        assert summary["refused"] == summary["failed"] == 0
