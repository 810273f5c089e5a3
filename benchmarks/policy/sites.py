"""Simulated deployments: zones, hosts, servers, pipelines and organisations.

They have the sizes of two users' deployments.
"""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.policy.scenarios import FAULT_DELAY_S
from benchmarks.policy.servers import EngineConfig, compute_engine_work
from galenadrum._internal.models.resources import Objective, StageSpec

ENGINE_STAGE = "generate"
REUSED_PREFIX_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Service:
    """A service with one plain server in each zone.

    Attributes:
        slots: Concurrent calls of each server.
        work_s: Median service time in seconds.
    """

    stage: str
    slots: int
    work_s: float


@dataclass(frozen=True, slots=True)
class PipelineLoad:
    """A pipeline and the properties of its requests.

    Attributes:
        share: Share of all requests.
        shared_prefix_blocks: Blocks of the long prefix, one of
            ``Site.shared_prefixes``, that a request shares with some others.
        system_blocks: Blocks of the prefix that all requests of the pipeline share.
        unique_tokens: Mean number of input tokens outside shared prefixes.
        output_tokens: Median number of generated tokens.
    """

    name: str
    stages: tuple[str, ...]
    share: float
    deadline_s: float
    shared_prefix_blocks: int = 0
    system_blocks: int = 0
    unique_tokens: int = 100
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation; its declared weight is its share of the requests."""

    name: str
    share: float
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Site:
    """One deployment.

    Attributes:
        shared_prefixes: Number of distinct long prefixes.
        warm_up_s: Seconds at the start that fill the caches and aren't measured.
    """

    name: str
    objective: Objective
    host_zones: tuple[str, ...]
    engine_zones: tuple[str, ...]
    engine: EngineConfig
    services: tuple[Service, ...]
    pipelines: tuple[PipelineLoad, ...]
    organisations: tuple[Organisation, ...]
    shared_prefixes: int
    warm_up_s: float

    @property
    def fault_start_s(self) -> float:
        """Seconds from the start of a run to the start of the fault."""
        return self.warm_up_s + FAULT_DELAY_S

    @property
    def zones(self) -> tuple[str, ...]:
        """The availability zones, in order."""
        return tuple(dict.fromkeys(self.host_zones))

    def stages_by_name(self) -> dict[str, StageSpec]:
        """Return the declared stages, whose expected service times are approximate."""
        stages = {
            service.stage: StageSpec(expected_service_ms=100)
            for service in self.services
        }
        stages[ENGINE_STAGE] = StageSpec(
            streams=True, model="assistant", expected_service_ms=1_500
        )
        return stages

    def compute_capacity_rps(self) -> float:
        """Return the requests per second that the bottleneck stage can serve.

        Half of each shared prefix counts as cached.
        """
        engine_s = 0.0
        for load in self.pipelines:
            if ENGINE_STAGE in load.stages:
                blocks = load.shared_prefix_blocks + load.system_blocks
                uncached_tokens = 256 * blocks * (1.0 - REUSED_PREFIX_SHARE)
                prefill = round(load.unique_tokens + uncached_tokens)
                output = round(load.output_tokens * 1.08)
                work = compute_engine_work(self.engine, prefill, output)
                engine_s += load.share * work
        rates_rps = [len(self.engine_zones) / engine_s]
        for service in self.services:
            request_share = sum(
                p.share for p in self.pipelines if service.stage in p.stages
            )
            slots = service.slots * len(self.zones)
            rates_rps.append(slots / (request_share * service.work_s * 1.05))
        return min(rates_rps)


_ORGANISATIONS = (
    Organisation("large-1", 0.40),
    Organisation("large-2", 0.30),
    Organisation("middle", 0.15),
    Organisation("small-1", 0.10),
    Organisation("small-2", 0.05),
)
_GENERATE_STAGES = ("encode", "retrieve", "rerank", ENGINE_STAGE)
_LOOKUP_STAGES = ("encode", "retrieve", "records")

VATU = Site(
    name="vatu",
    objective=Objective.ATTAINMENT,
    host_zones=("lautoka",) * 3 + ("nadi",) * 3 + ("ba",) * 2,
    engine_zones=("lautoka", "lautoka", "nadi", "nadi", "ba"),
    engine=EngineConfig(),
    services=(
        Service("encode", 4, 0.08),
        Service("retrieve", 4, 0.15),
        Service("rerank", 4, 0.20),
        Service("records", 4, 0.12),
    ),
    pipelines=(
        PipelineLoad(
            "restock-plan",
            _GENERATE_STAGES,
            0.6,
            5.0,
            system_blocks=2,
            unique_tokens=500,
            output_tokens=60,
        ),
        PipelineLoad("stock-level", _LOOKUP_STAGES, 0.4, 1.5),
    ),
    organisations=_ORGANISATIONS,
    shared_prefixes=1,
    warm_up_s=4.0,
)

TORNOS = Site(
    name="tornos",
    objective=Objective.COST,
    host_zones=("cordoba-1",) * 2
    + ("cordoba-2",) * 2
    + ("rosario-1",) * 2
    + ("rosario-2",) * 2,
    engine_zones=(
        "cordoba-1",
        "cordoba-1",
        "cordoba-2",
        "rosario-1",
        "rosario-1",
        "rosario-2",
    ),
    engine=EngineConfig(prefill_s=0.0001, cache_blocks=220),
    services=(
        Service("encode", 4, 0.08),
        Service("retrieve", 4, 0.15),
        Service("rerank", 4, 0.20),
        Service("records", 4, 0.12),
    ),
    pipelines=(
        PipelineLoad(
            "syllabus-draft",
            _GENERATE_STAGES,
            0.35,
            9.0,
            shared_prefix_blocks=14,
            system_blocks=1,
            unique_tokens=200,
            output_tokens=120,
        ),
        PipelineLoad(
            "chat",
            _GENERATE_STAGES,
            0.40,
            4.0,
            system_blocks=1,
            unique_tokens=150,
            output_tokens=40,
        ),
        PipelineLoad("seat-lookup", _LOOKUP_STAGES, 0.25, 1.5),
    ),
    organisations=_ORGANISATIONS,
    shared_prefixes=60,
    warm_up_s=40.0,
)

SITES_BY_NAME = {site.name: site for site in (VATU, TORNOS)}
