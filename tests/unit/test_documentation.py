import dataclasses
import re
from pathlib import Path

import pytest

from galenadrum._internal.cli import status_codes
from galenadrum._internal.models.requests import RefusalReason
from galenadrum._internal.models.resources import SPEC_CLASS_BY_KIND
from galenadrum._internal.models.settings import (
    CallerLimits,
    ControlSettings,
    EntrySettings,
    ObservabilitySettings,
)

ROOT = Path(__file__).parents[2]
METRIC_CALL_PATTERN = re.compile(
    r'(?:increment|record_duration|register_gauge)\(\s*"([a-z_]+)"', re.MULTILINE
)


def read_page(name):
    return (ROOT / "docs" / f"{name}.md").read_text()


def parse_default_by_name(page):
    return {
        match["name"]: match["default"]
        for match in re.finditer(
            r"^\|(?: `[a-z]*` )?(?:\|)? ?`(?P<name>\w+)` \| (?P<default>[^|]*) ?\|",
            page,
            re.MULTILINE,
        )
    }


class TestPages:
    @pytest.mark.parametrize(
        "cls", [EntrySettings, ControlSettings, CallerLimits, ObservabilitySettings]
    )
    def test_documents_every_setting_with_its_default(self, cls):
        default_by_name = parse_default_by_name(read_page("settings"))
        for field in dataclasses.fields(cls):
            assert field.name in default_by_name
            if type(field.default) is int:
                assert default_by_name[field.name].strip() == str(field.default)

    def test_documents_every_field_of_a_specification(self):
        page = read_page("declarations")
        for kind, cls in SPEC_CLASS_BY_KIND.items():
            assert f"| `{kind}` |" in page
            for field in dataclasses.fields(cls):
                assert f"| `{field.name}` |" in page

    def test_documents_every_refusal_reason_and_exit_code(self):
        page = read_page("operators")
        assert [r for r in RefusalReason if f"`{r}`" not in page] == []
        codes = [v for name, v in vars(status_codes).items() if name.isupper()]
        assert [code for code in codes if f"\n| {code} |" not in page] == []

    def test_documents_every_metric(self):
        page = read_page("observability")
        names = {
            name
            for path in (ROOT / "src").rglob("*.py")
            for name in METRIC_CALL_PATTERN.findall(path.read_text())
        }
        assert names
        assert [n for n in sorted(names) if f"`galenadrum_{n}`" not in page] == []

    def test_links_lead_to_existing_files(self):
        pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
        missing = [
            (page.name, target)
            for page in pages
            for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text())
            if not (page.parent / target).exists()
        ]
        assert missing == []
