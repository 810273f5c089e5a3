from galenadrum._internal.declarations.references import check_references
from galenadrum._internal.models.resources import (
    Declaration,
    Kind,
    ModelSpec,
    OrganisationSpec,
    PipelineSpec,
    ResourceKey,
    StageSpec,
)

_DIGEST = "ab" * 32


def _declare(kind, name, spec):
    return Declaration(ResourceKey(kind, name), spec)


class TestCheckReferences:
    def test_accepts_complete_set(self):
        assert not check_references(
            [
                _declare(Kind.MODEL, "m", ModelSpec("1")),
                _declare(Kind.STAGE, "generate", StageSpec(model="m")),
                _declare(Kind.PIPELINE, "plan", PipelineSpec(("generate",), 9)),
                _declare(
                    Kind.ORGANISATION,
                    "suva",
                    OrganisationSpec((_DIGEST,), pipelines=("plan",)),
                ),
            ]
        )

    def test_reports_undeclared_targets_and_duplicates(self):
        findings = check_references(
            [
                _declare(Kind.STAGE, "generate", StageSpec(model="m")),
                _declare(Kind.PIPELINE, "plan", PipelineSpec(("rank", "generate"), 9)),
                _declare(Kind.PIPELINE, "plan", PipelineSpec(("rank", "generate"), 9)),
                _declare(Kind.ORGANISATION, "a", OrganisationSpec((_DIGEST,))),
                _declare(Kind.ORGANISATION, "b", OrganisationSpec((_DIGEST,))),
            ]
        )
        assert [(finding.path, finding.message) for finding in findings] == [
            ("pipeline/plan: name", "declared twice"),
            ("stage/generate: spec.model", "model/m is not declared"),
            ("pipeline/plan: spec.stages[0]", "stage/rank is not declared"),
            ("organisation/b: spec.key_sha256[0]", "organisation/a has the same key"),
        ]
