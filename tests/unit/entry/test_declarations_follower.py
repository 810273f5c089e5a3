"""The declarations follower with fake sources, on a paused clock."""

import asyncio
import random
from contextlib import asynccontextmanager

from galenadrum._internal.entry.control_reach import UNREACHABLE_AFTER_S, ControlReach
from galenadrum._internal.entry.declarations import DeclarationsView
from galenadrum._internal.entry.declarations_follower import (
    SILENCE_TIMEOUT_S,
    DeclarationsFollower,
    Source,
    choose_sources,
)
from galenadrum._internal.network.watch_stream import HEARTBEAT_INTERVAL_S
from lib.control_commands import STAGE_SPEC, Replica, change_set, put
from lib.paused_loop import run_paused

_PROPAGATION_LIMIT_S = 18.0


class _Network:
    """Fake sources by address; a connection can go silent while new ones work."""

    def __init__(self, replica, *addresses):
        self.state_by_address = dict.fromkeys(addresses, replica.state)
        self.age_ms_by_address = dict.fromkeys(addresses, 0)
        self.down_addresses = set()
        self.silenced_connections = set()
        self.opened_addresses = []
        self.confirmations = []

    @asynccontextmanager
    async def open_watch(self, address, request):
        if address in self.down_addresses:
            raise ConnectionRefusedError
        number = len(self.opened_addresses)
        self.opened_addresses.append(address)
        yield self._events(number, address, request.from_revision)

    async def _events(self, number, address, revision):
        while True:
            while number in self.silenced_connections or address in self.down_addresses:
                await asyncio.sleep(1)
            event = self.state_by_address[address].build_event_after(revision)
            event.source_age_ms = self.age_ms_by_address[address]
            revision = max(revision, event.revision)
            yield event
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def confirm(self, source, request):
        self.confirmations.append((source.address, request.hosts[0].revision))


def _declare_stage(replica):
    number = replica.state.change_id_count
    replica.send(
        change_set("vatu", str(number), put("stage", f"s{number}", STAGE_SPEC))
    )


def _run(network, sources, peers, scenario):
    async def run():
        view = DeclarationsView()
        follower = DeclarationsFollower(
            "e1",
            "nadi",
            view,
            [Source(address, is_relay) for address, is_relay in sources],
            peers,
            network.open_watch,
            network.confirm,
            lambda applied: None,
            random.Random(1),
        )
        task = asyncio.create_task(follower.run())
        try:
            await scenario(view, follower)
        finally:
            task.cancel()
            await asyncio.wait([task])

    run_paused(run())


class TestDeclarationsFollower:
    def test_a_silent_watch_is_replaced_without_missing_changes(self):
        replica = Replica()
        _declare_stage(replica)
        network = _Network(replica, "c1", "c2")

        async def scenario(view, follower):
            for _ in range(5):
                await asyncio.sleep(SILENCE_TIMEOUT_S)
                network.silenced_connections.add(len(network.opened_addresses) - 1)
                _declare_stage(replica)
                started_at = asyncio.get_running_loop().time()
                while view.revision < replica.state.revision:
                    await asyncio.sleep(0.1)
                elapsed_s = asyncio.get_running_loop().time() - started_at
                assert elapsed_s < _PROPAGATION_LIMIT_S
            assert follower.reconnect_count == 5
            await asyncio.sleep(1)
            assert network.confirmations[-1][1] == view.revision

        _run(network, [("c1", False), ("c2", False)], [], scenario)

    def test_a_restart_fetches_the_newest_revision_of_any_host(self):
        replica = Replica()
        _declare_stage(replica)
        older = replica.restore_copy()
        _declare_stage(replica)
        network = _Network(replica, "c1", "e0", "e2")
        network.state_by_address["e0"] = older.state
        network.down_addresses.add("c1")
        network.age_ms_by_address.update(e0=60_000, e2=60_000)

        async def scenario(view, follower):
            while not view.is_ready:
                await asyncio.sleep(0.1)
            assert view.revision == 2
            await asyncio.sleep(60)
            assert view.revision == 2
            # A relay that lost contact with control must not keep its watcher.
            network.down_addresses.clear()
            _declare_stage(replica)
            await asyncio.sleep(_PROPAGATION_LIMIT_S)
            assert view.revision == 3

        _run(network, [("e0", True), ("c1", False)], ["e0", "e2"], scenario)

    def test_a_silent_relay_doesnt_make_control_unreachable(self):
        network = _Network(Replica(), "e0", "c1")
        network.age_ms_by_address["e0"] = round(HEARTBEAT_INTERVAL_S * 1_000)

        async def scenario(view, follower):
            loop = asyncio.get_running_loop()
            reach = ControlReach()
            await asyncio.sleep(1)
            for _ in range(5):
                network.down_addresses.add("e0")
                started_at = loop.time()
                while loop.time() < started_at + 2 * UNREACHABLE_AFTER_S:
                    assert not reach.is_unreachable(
                        loop.time(), follower.source_age_ms() / 1_000
                    )
                    await asyncio.sleep(0.1)
                network.down_addresses.clear()
                await asyncio.sleep(90)
            network.down_addresses.update(("e0", "c1"))
            await asyncio.sleep(UNREACHABLE_AFTER_S + HEARTBEAT_INTERVAL_S)
            assert reach.is_unreachable(loop.time(), follower.source_age_ms() / 1_000)

        _run(network, [("e0", True), ("c1", False)], [], scenario)

    def test_without_a_source_it_isnt_ready_and_reconnects_at_a_bounded_rate(self):
        network = _Network(Replica(), "c1")
        network.down_addresses.add("c1")

        async def scenario(view, follower):
            await asyncio.sleep(600)
            assert not view.is_ready
            assert 100 < follower.reconnect_count < 300

        _run(network, [("c1", False)], [], scenario)

    def test_it_switches_back_to_the_relay_after_its_recovery(self):
        replica = Replica()
        _declare_stage(replica)
        network = _Network(replica, "e0", "c1")
        network.down_addresses.add("e0")

        async def scenario(view, follower):
            await asyncio.sleep(20)
            assert network.opened_addresses[-1] == "c1"
            network.down_addresses.clear()
            await asyncio.sleep(70)
            assert network.opened_addresses[-1] == "e0"
            assert network.confirmations[-1][0] == "e0"

        _run(network, [("e0", True), ("c1", False)], [], scenario)

    def test_no_two_hosts_of_a_zone_follow_each_other(self):
        zone = [f"10.0.0.{number}:1" for number in range(1, 9)]
        for own in zone:
            others = [address for address in zone if address != own]
            sources = choose_sources(own, others, ["10.1.0.1:1"], random.Random(1))
            relays = [source.address for source in sources if source.is_relay]
            assert len(relays) <= 2
            assert all(address < own for address in relays)
            assert sources[-1] == Source("10.1.0.1:1", False)
