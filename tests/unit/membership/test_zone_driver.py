import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import replace

from galenadrum._internal.membership.announcement_codec import dump_announcement
from galenadrum._internal.membership.links import SILENCE_LIMIT_S
from galenadrum._internal.membership.topology import dial_offsets, order_targets
from galenadrum._internal.membership.zone_service import ZoneService
from galenadrum._internal.models.servers import Announcement, ServerState
from galenadrum._internal.models.settings import EntrySettings
from galenadrum._internal.network.peer_link import LinkLostError
from galenadrum._internal.protocol import zone_pb2
from lib.paused_loop import run_paused

_ADDRESSES = tuple(f"10.0.0.{i}:70" for i in range(1, 9))
_SERVER = Announcement("s", 1, 1, "10.1.0.1:90", "nadi", ("encode",), 4, ttl_s=60.0)


class _Stream:
    """One end of a connection in memory; a silent one drops what it sends."""

    def __init__(self):
        self.inbox = asyncio.Queue()
        self.other = None
        self.is_silent = self.is_blocked = False

    async def send(self, message):
        if self.is_blocked:
            await asyncio.Event().wait()
        if not self.is_silent:
            self.other.inbox.put_nowait(message)

    async def receive(self):
        return await self.inbox.get()

    def close(self):
        if not self.is_silent:
            self.other.inbox.put_nowait(None)


class _Network:
    """Hosts that dial each other; hosts in ``down`` refuse connections."""

    def __init__(self, count):
        self.streams = []
        self.dials = []
        self.down = set()
        self.services = {}
        self.tasks = []
        self.task_by_address = {}
        for address in _ADDRESSES[:count]:
            peers = tuple(a for a in _ADDRESSES[:count] if a != address)
            settings = EntrySettings(
                address, "nadi", "", "", address, (), zone_peer_addresses=peers
            )
            service = ZoneService(
                settings, random.Random(address), open_link=self.open_link
            )
            self.services[address] = service
            task = asyncio.create_task(service.supervisor().run())
            self.task_by_address[address] = task

    @asynccontextmanager
    async def open_link(self, address):
        self.dials.append(address)
        await asyncio.sleep(0.001)
        if address in self.down:
            raise LinkLostError("refused")
        near, far = _Stream(), _Stream()
        near.other, far.other = far, near
        self.streams += [near, far]
        task = asyncio.create_task(self.services[address].driver.run_link(far))
        self.tasks.append(task)
        yield near

    def stop_host(self, address):
        self.task_by_address[address].cancel()

    async def stop(self):
        tasks = [*self.tasks, *self.task_by_address.values()]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    def services_with_servers(self):
        return [s for s in self.services.values() if s.servers()]


def _run(count, scenario):
    async def run():
        network = _Network(count)
        await asyncio.sleep(2)
        await scenario(network)
        await network.stop()

    run_paused(run())


def _count_sent(send, sent):
    async def count_and_send(message):
        sent.append(message)
        await send(message)

    return count_and_send


class TestLinks:
    def test_silent_and_blocked_links_are_replaced_on_new_connections(self):
        async def scenario(network):
            for attribute in ("is_silent", "is_blocked"):
                for stream in network.streams:
                    setattr(stream, attribute, True)
                before = len(network.streams)
                await asyncio.sleep(SILENCE_LIMIT_S + 0.2)
                assert len(network.streams) == before + 4
                for service in network.services.values():
                    assert service.driver.link_count == 2
            network.services[_ADDRESSES[0]].record_announcement(_SERVER)
            await asyncio.sleep(0.1)
            assert len(network.services_with_servers()) == 2

        _run(2, scenario)

    def test_inbox_renewals_extend_a_lease_but_do_not_undo_a_leave(self):
        async def scenario(network):
            first, second = network.services.values()
            server = replace(_SERVER, ttl_s=6.0)
            ip = server.address.partition(":")[0]
            first.record_announcement_body(server, dump_announcement(server), ip)
            for sequence in range(2, 6):
                await asyncio.sleep(2)
                renewed = replace(server, sequence=sequence)
                assert (
                    first.renewals.accept_renewal(dump_announcement(renewed), ip) == 2.0
                )
                first.apply_renewals()
            await asyncio.sleep(1)
            assert len(network.services_with_servers()) == 2
            second.record_announcement(
                replace(server, sequence=6, state=ServerState.LEAVING)
            )
            await asyncio.sleep(0.2)
            late = dump_announcement(replace(server, sequence=7))
            assert first.renewals.accept_renewal(late, ip) == 2.0
            first.apply_renewals()
            assert not network.services_with_servers()
            later = dump_announcement(replace(server, sequence=8))
            assert first.renewals.accept_renewal(later, ip) is None

        _run(2, scenario)

    def test_malformed_message_closes_only_its_link(self):
        async def scenario(network):
            broken = zone_pb2.ZoneMessage(
                host_beats=zone_pb2.HostBeats(refs=[1], beats=[1, 2])
            )
            network.streams[0].inbox.put_nowait(broken)
            await asyncio.sleep(1)
            network.services[_ADDRESSES[0]].record_announcement(_SERVER)
            await asyncio.sleep(0.2)
            assert len(network.services_with_servers()) == 3

        _run(3, scenario)

    def test_frequent_changes_of_a_server_share_messages(self):
        async def scenario(network):
            sent = []
            for stream in network.streams:
                stream.send = _count_sent(stream.send, sent)
            first = network.services[_ADDRESSES[0]]
            for i in range(1, 501):
                first.record_announcement(replace(_SERVER, sequence=i, capacity=i))
                await asyncio.sleep(0.01)
            # Twice the heartbeats of three hosts with four links each in 5 s.
            assert len(sent) < 3 * 4 * 5 / 0.75 * 2
            await asyncio.sleep(1)
            last = {s.servers()[0].capacity for s in network.services.values()}
            assert last == {500}

        _run(3, scenario)

    def test_unreachable_hosts_are_dialled_with_backoff(self):
        async def scenario(network):
            dead_addresses = _ADDRESSES[1:3]
            network.down.update(dead_addresses)
            for address in dead_addresses:
                network.stop_host(address)
            await asyncio.sleep(30)
            network.dials.clear()
            await asyncio.sleep(120)
            # Two hosts, each dialled every 8 to 12 s at the longest backoff.
            assert 2 * 120 / 13 < len(network.dials) < 2 * 120 / 7

        _run(3, scenario)

    def test_links_to_dead_hosts_are_replaced(self):
        async def scenario(network):
            dead_addresses = _ADDRESSES[1:4]
            network.down.update(dead_addresses)
            for stream in network.streams:
                stream.close()
            await asyncio.sleep(10)
            network.services[_ADDRESSES[0]].record_announcement(_SERVER)
            await asyncio.sleep(0.5)
            live = set(_ADDRESSES) - set(dead_addresses)
            host_ids = {s.hosts.own.host_id for s in network.services_with_servers()}
            assert live <= host_ids

        _run(8, scenario)


class TestTopology:
    def test_any_two_of_up_to_29_hosts_are_at_most_four_links_apart(self):
        for count in range(2, 30):
            ring = [f"10.0.0.{i:03}:70" for i in range(count)]
            neighbours = {address: set() for address in ring}
            for address in ring:
                for slot in range(len(dial_offsets(count))):
                    target = order_targets(address, ring, slot)[0]
                    neighbours[address].add(target)
                    neighbours[target].add(address)
            reached = {ring[0]}
            for _ in range(4):
                reached |= {peer for address in reached for peer in neighbours[address]}
            assert len(reached) == count
            assert max(map(len, neighbours.values())) <= 4
