"""Finding the software version at which a taken-up stream must go on."""

import asyncio
from dataclasses import replace

import pytest

from galenadrum._internal.models.announcements import ServerState
from galenadrum._internal.models.routing import WeightedService
from galenadrum._internal.models.stream_bindings import StreamBinding, TakenUpStream
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.streams.binding_table import MAX_BINDING_AGE_S, BindingTable
from galenadrum._internal.streams.version_history import VersionHistory
from galenadrum._internal.streams.version_resolver import VersionResolver
from lib.paused_loop import run_paused
from lib.routing_values import entry, request, route

SERVICE = "generate"


def take_up(request_id="r1", **changes):
    return request(stages=(), taken_up=TakenUpStream(request_id, "t1"), **changes)


def binding(now, **changes):
    values = StreamBinding("r1", "t1", SERVICE, "v1", "s1", now, now + 10.0)
    return replace(values, **changes)


def run_resolver(steps, covered_since=float("-inf")):
    async def run():
        now = asyncio.get_running_loop().time()
        resolver = VersionResolver(
            BindingTable(), VersionHistory(covered_since), Metrics()
        )
        await steps(resolver, now)

    run_paused(run())


class TestResolver:
    def test_request_that_begins_a_stream_is_unchanged(self):
        async def steps(resolver, now):
            begun = request(stages=())
            assert resolver.resolve(begun) is begun

        run_resolver(steps)

    def test_binding_decides_the_version_and_the_service(self):
        async def steps(resolver, now):
            backends = (WeightedService("other", 9.0), WeightedService(SERVICE, 1.0))
            resolver.table.put(binding(now, software_version="v2"))
            resolved = resolver.resolve(
                take_up(service="other", route=route(backends=backends))
            )
            assert (resolved.service, resolved.software_version) == (SERVICE, "v2")

        run_resolver(steps)

    def test_binding_of_another_route_or_an_uncertain_one_is_refused(self):
        async def steps(resolver, now):
            resolver.record_entry(entry("s1", SERVICE))
            resolver.table.put(binding(now, service="elsewhere"))
            assert resolver.resolve(take_up()) is None
            resolver.table.put(binding(now, request_id="r2", is_ambiguous=True))
            assert resolver.resolve(take_up("r2")) is None

        run_resolver(steps)


class TestOnlyVersion:
    @pytest.mark.parametrize("request_id", ["unknown", ""])
    def test_only_version_is_used_if_none_was_missed(self, request_id):
        async def steps(resolver, now):
            resolver.record_entry(entry("s1", SERVICE, software_version="v3"))
            resolver.record_entry(entry("s2", "other", software_version="v4"))
            assert resolver.resolve(take_up(request_id)).software_version == "v3"

        run_resolver(steps)

    def test_host_that_may_have_missed_a_version_refuses(self):
        async def steps(resolver, now):
            resolver.record_entry(entry("s1", SERVICE))
            resolver.history.restart(now)
            assert resolver.resolve(take_up()) is None
            await asyncio.sleep(MAX_BINDING_AGE_S)
            assert resolver.resolve(take_up()).software_version == "v1"

        run_resolver(steps)

    def test_coverage_of_a_linked_host_is_adopted(self):
        async def steps(resolver, now):
            resolver.record_entry(entry("s1", SERVICE))
            resolver.history.restart(now)
            resolver.history.adopt_coverage(MAX_BINDING_AGE_S, now)
            assert resolver.resolve(take_up()).software_version == "v1"

        run_resolver(steps)

    def test_version_whose_servers_just_left_still_counts(self):
        async def steps(resolver, now):
            resolver.record_entry(entry("s1", SERVICE, software_version="v1"))
            gone = entry(
                "s1", SERVICE, state=ServerState.GONE, software_version="v1", sequence=9
            )
            resolver.record_entry(gone)
            resolver.record_entry(entry("s2", SERVICE, software_version="v2"))
            assert resolver.resolve(take_up()) is None

        run_resolver(steps)

    def test_version_before_a_restart_under_the_same_id_still_counts(self):
        async def steps(resolver, now):
            resolver.record_entry(entry("s1", SERVICE, software_version="v1"))
            resolver.table.put(binding(now))
            reborn = entry("s1", SERVICE, incarnation_ms=2_000, software_version="v2")
            assert [b.request_id for b in resolver.record_entry(reborn)] == ["r1"]
            assert resolver.resolve(take_up("unknown")) is None
            await asyncio.sleep(MAX_BINDING_AGE_S + 1)
            resolver.history.remove_servers((), now + MAX_BINDING_AGE_S + 1)
            assert resolver.resolve(take_up("unknown")).software_version == "v2"

        run_resolver(steps)
