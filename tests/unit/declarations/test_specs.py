import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.declarations.specs import (
    check_name,
    structure_spec,
    unstructure_spec,
)
from galenadrum._internal.models.resources import Kind, PipelineSpec, StageSpec

_JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["stages", "deadline_ms", "key_sha256", "version", "model"])
            | st.text(max_size=3),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


class TestStructureSpec:
    def test_fills_in_defaults(self):
        assert structure_spec(Kind.STAGE, {"model": "m1"}) == StageSpec(model="m1")

    def test_reports_all_findings_with_paths(self):
        findings = structure_spec(
            Kind.PIPELINE,
            {"stages": ["a", "B", 3, "a"], "deadline_ms": 0, "deadline": 1},
        )
        assert [finding.path for finding in findings] == [
            "spec.deadline",
            "spec.deadline_ms",
            "spec.stages[1]",
            "spec.stages[2]",
            "spec.stages[3]",
        ]

    @pytest.mark.parametrize("count", [0, 9])
    def test_limits_number_of_stages(self, count):
        stages = [f"s{number}" for number in range(count)]
        spec = structure_spec(Kind.PIPELINE, {"stages": stages, "deadline_ms": 1})
        assert [finding.path for finding in spec] == ["spec.stages"]

    def test_policy_names_follow_resource_name_rules(self):
        assert check_name(Kind.POLICY, "vatu") == ()
        assert len(check_name(Kind.POLICY, "no name")) == 1

    @pytest.mark.parametrize(
        ("retention_s", "paths"),
        [(60, []), (86_400, [])]
        + [(out_of_range, ["spec.claim_retention_s"]) for out_of_range in (59, 86_401)],
    )
    def test_limits_claim_retention(self, retention_s, paths):
        mapping = {"stages": ["a"], "deadline_ms": 1, "claim_retention_s": retention_s}
        spec = structure_spec(Kind.PIPELINE, mapping)
        if paths:
            assert [finding.path for finding in spec] == paths
        else:
            assert unstructure_spec(spec)["claim_retention_s"] == retention_s

    @given(st.sampled_from(Kind), _JSON_VALUES)
    def test_arbitrary_json_yields_findings_or_round_trips(self, kind, value):
        result = structure_spec(kind, value)
        if isinstance(result, tuple):
            assert result
            assert all(finding.path.startswith("spec") for finding in result)
        else:
            document = json.loads(json.dumps(unstructure_spec(result)))
            assert structure_spec(kind, document) == result

    def test_pipeline_spec_round_trips(self):
        spec = PipelineSpec(("encode", "rank"), 5_000)
        assert structure_spec(Kind.PIPELINE, unstructure_spec(spec)) == spec
