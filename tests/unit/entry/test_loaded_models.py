from galenadrum._internal.entry.loaded_models import LoadedModels
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


def offered(servers, loaded=None, **spec):
    models = {"m": ModelSpec("2", **spec)}
    loaded = loaded or LoadedModels(lambda: (STAGES, models))
    return {server.server_id: server.stages for server in loaded.offered(servers)}


class TestLoadedModels:
    def test_a_stage_goes_only_to_engines_that_hold_its_model(self):
        engines = [build_server("a", ("m", "2")), build_server("b", ("other", "2"))]
        assert offered(engines) == {"a": ("encode", "generate"), "b": ("encode",)}

    def test_a_stage_goes_only_to_engines_that_hold_its_adapter(self):
        engine = build_server("a", ("m", "2"), adapters=("spanish",))
        assert offered([engine]) == {"a": ALL}

    def test_a_plain_service_is_left_as_it_is(self):
        assert offered([build_server("a")]) == {"a": ALL}

    def test_an_engine_that_dropped_its_model_is_no_plain_service(self):
        loaded = LoadedModels(lambda: (STAGES, {}))
        offered([build_server("a", ("m", "2"))], loaded)
        assert offered([build_server("a")], loaded) == {"a": ("encode",)}
        assert offered([], loaded) == {}
        assert offered([build_server("a")], loaded) == {"a": ALL}

    def test_an_old_version_serves_until_the_new_one_has_its_replicas(self):
        engines = [build_server("a", ("m", "2")), build_server("b", ("m", "1"))]
        both = ("encode", "generate")
        assert offered(engines) == {"a": both, "b": both}
        replicas = {"replicas_by_zone": {"z": 2}}
        assert offered(engines, **replicas) == {"a": both, "b": both}
        replicas = {"replicas_by_zone": {"z": 1}}
        assert offered(engines, **replicas) == {"a": both, "b": ("encode",)}
        engines[0] = build_server("a", ("m", "2"), state=ServerState.LEAVING)
        assert offered(engines, **replicas)["b"] == both
