from galenadrum._internal.entry.servable_stages import ServableStageFilter
from galenadrum._internal.models.resources import ModelSpec, StageSpec
from galenadrum._internal.models.servers import Announcement, ServerState

STAGES = {
    "encode": StageSpec(),
    "generate": StageSpec(model="m"),
    "translate": StageSpec(model="m", adapter="spanish"),
}
ALL = tuple(STAGES)


def build_server(server_id, *models, **options):
    return Announcement(
        server_id,
        1,
        1,
        "127.0.0.1:1",
        "z",
        ALL,
        1,
        3.0,
        model_versions=models,
        **options,
    )


def offered_stages(servers, loaded_models=None, **spec):
    models = {"m": ModelSpec("2", **spec)}
    loaded_models = loaded_models or ServableStageFilter(lambda: (STAGES, models))
    return {
        server.server_id: server.stages
        for server in loaded_models.select_servable_stages(servers)
    }


class TestLoadedModels:
    def test_a_stage_is_offered_only_to_engines_with_its_model(self):
        engines = [build_server("a", ("m", "2")), build_server("b", ("other", "2"))]
        assert offered_stages(engines) == {
            "a": ("encode", "generate"),
            "b": ("encode",),
        }

    def test_a_stage_is_offered_only_to_engines_with_its_adapter(self):
        engine = build_server("a", ("m", "2"), adapters=("spanish",))
        assert offered_stages([engine]) == {"a": ALL}

    def test_a_plain_service_keeps_all_its_stages(self):
        assert offered_stages([build_server("a")]) == {"a": ALL}

    def test_an_engine_that_unloaded_its_model_is_no_plain_service(self):
        loaded_models = ServableStageFilter(lambda: (STAGES, {}))
        offered_stages([build_server("a", ("m", "2"))], loaded_models)
        assert offered_stages([build_server("a")], loaded_models) == {"a": ("encode",)}
        assert offered_stages([], loaded_models) == {}
        assert offered_stages([build_server("a")], loaded_models) == {"a": ALL}

    def test_an_old_version_serves_until_the_new_one_has_its_replicas(self):
        engines = [build_server("a", ("m", "2")), build_server("b", ("m", "1"))]
        base_stages = ("encode", "generate")
        assert offered_stages(engines) == {"a": base_stages, "b": base_stages}
        replicas = {"replicas_by_zone": {"z": 2}}
        assert offered_stages(engines, **replicas) == {
            "a": base_stages,
            "b": base_stages,
        }
        replicas = {"replicas_by_zone": {"z": 1}}
        assert offered_stages(engines, **replicas) == {
            "a": base_stages,
            "b": ("encode",),
        }
        engines[0] = build_server("a", ("m", "2"), state=ServerState.LEAVING)
        assert offered_stages(engines, **replicas)["b"] == base_stages
