from click.testing import CliRunner

from galenadrum import __version__
from galenadrum._internal.cli.main import cli


class TestVersion:
    def test_prints_the_version(self):
        result = CliRunner().invoke(cli, ["version"])
        assert result.exit_code == 0
        assert result.output.strip() == __version__
