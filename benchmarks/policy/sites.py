"""The two users' sizes: zones, hosts, servers, pipelines, organisations."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.policy.scenarios import FAULT_DELAY_S
from benchmarks.policy.servers import EngineSize, work_of_engine_call
from galenadrum._internal.models.resources import Objective, StageSpec

ENGINE_STAGE = "generate"
REUSED_SHARE_AT_CAPACITY = 0.5


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of plain servers, one in each zone.

    Attributes:
        work_s: Median service time in seconds.
    """

    stage: str
    slots: int
    work_s: float


@dataclass(frozen=True, slots=True)
class PipelineLoad:
    """A pipeline and the requests that call it.

    Attributes:
        share: Share of all requests.
        notes_blocks: Blocks of a long prefix shared by requests of a studio.
        system_blocks: Blocks of a prefix that all requests share.
        own_tokens: Mean tokens of the input that no other request has.
        output_tokens: Median tokens generated.
    """

    name: str
    stages: tuple[str, ...]
    share: float
    deadline_s: float
    notes_blocks: int = 0
    system_blocks: int = 0
    own_tokens: int = 100
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation; its share of the requests is its declared weight."""

    name: str
    share: float
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Site:
    """One deployment.

    Attributes:
        notes: Number of long prefixes.
        warm_up_s: Seconds before anything is measured, which fill the caches.
    """

    name: str
    objective: Objective
    host_zones: tuple[str, ...]
    engine_zones: tuple[str, ...]
    engine: EngineSize
    services: tuple[Service, ...]
    pipelines: tuple[PipelineLoad, ...]
    organisations: tuple[Organisation, ...]
    notes: int
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
        """Return the declared stages; the times are only near the real ones."""
        stages = {
            service.stage: StageSpec(expected_service_ms=100)
            for service in self.services
        }
        stages[ENGINE_STAGE] = StageSpec(
            streams=True, model="assistant", expected_service_ms=1_500
        )
        return stages

    def capacity_rps(self) -> float:
        """Return the requests a second that the tightest stage can serve.

        Half of each long prefix counts as reused.
        """
        engine_s = 0.0
        for load in self.pipelines:
            if ENGINE_STAGE in load.stages:
                blocks = load.notes_blocks + load.system_blocks
                shared = 256 * blocks * (1.0 - REUSED_SHARE_AT_CAPACITY)
                prefill = round(load.own_tokens + shared)
                output = round(load.output_tokens * 1.08)
                work = work_of_engine_call(self.engine, prefill, output)
                engine_s += load.share * work
        rates = [len(self.engine_zones) / engine_s]
        for service in self.services:
            used = sum(p.share for p in self.pipelines if service.stage in p.stages)
            slots = service.slots * len(self.zones)
            rates.append(slots / (used * service.work_s * 1.05))
        return min(rates)


_ORGANISATIONS = (
    Organisation("large-1", 0.40),
    Organisation("large-2", 0.30),
    Organisation("middle", 0.15),
    Organisation("small-1", 0.10),
    Organisation("small-2", 0.05),
)
_CHAIN = ("encode", "retrieve", "rerank", ENGINE_STAGE)
_LOOKUP = ("encode", "retrieve", "records")

VATU = Site(
    name="vatu",
    objective=Objective.ATTAINMENT,
    host_zones=("lautoka",) * 3 + ("nadi",) * 3 + ("ba",) * 2,
    engine_zones=("lautoka", "lautoka", "nadi", "nadi", "ba"),
    engine=EngineSize(),
    services=(
        Service("encode", 4, 0.08),
        Service("retrieve", 4, 0.15),
        Service("rerank", 4, 0.20),
        Service("records", 4, 0.12),
    ),
    pipelines=(
        PipelineLoad(
            "restock-plan",
            _CHAIN,
            0.6,
            5.0,
            system_blocks=2,
            own_tokens=500,
            output_tokens=60,
        ),
        PipelineLoad("stock-level", _LOOKUP, 0.4, 1.5),
    ),
    organisations=_ORGANISATIONS,
    notes=1,
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
    engine=EngineSize(prefill_s=0.0001, cache_blocks=220),
    services=(
        Service("encode", 4, 0.08),
        Service("retrieve", 4, 0.15),
        Service("rerank", 4, 0.20),
        Service("records", 4, 0.12),
    ),
    pipelines=(
        PipelineLoad(
            "syllabus-draft",
            _CHAIN,
            0.35,
            9.0,
            notes_blocks=14,
            system_blocks=1,
            own_tokens=200,
            output_tokens=120,
        ),
        PipelineLoad(
            "chat",
            _CHAIN,
            0.40,
            4.0,
            system_blocks=1,
            own_tokens=150,
            output_tokens=40,
        ),
        PipelineLoad("seat-lookup", _LOOKUP, 0.25, 1.5),
    ),
    organisations=_ORGANISATIONS,
    notes=60,
    warm_up_s=40.0,
)

SITES_BY_NAME = {site.name: site for site in (VATU, TORNOS)}
