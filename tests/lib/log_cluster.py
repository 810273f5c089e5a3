"""In-process members of a replicated log, connected through real sockets."""

import asyncio
import random
import socket
from contextlib import asynccontextmanager

from grpclib.server import Server

from galenadrum._internal.control.replication.driver import ReplicatedLog
from galenadrum._internal.models.settings import ControlMember, ControlSettings

HEARTBEAT_MS = 100
ELECTION_TIMEOUT_MS = 1_000


class ListStateMachine:
    """State machine that records commands; each result is the command count."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return b"%d" % len(self.commands)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, data):
        self.commands = data.split(b"\n") if data else []


def bind_free_port():
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    return sock


def address_of(sock):
    host, port = sock.getsockname()
    return f"{host}:{port}"


class RunningMember:
    """A member with its gRPC server; can be stopped and restarted."""

    def __init__(self, settings, sock):
        self.settings = settings
        self._sock = sock
        self._seed = 0

    async def start(self):
        self._seed += 1
        self.machine = ListStateMachine()
        rng = random.Random(f"{self.settings.member_id}-{self._seed}")
        self.log = ReplicatedLog(self.settings, self.machine, rng)
        self._server = Server(self.log.services())
        await self._server.start(sock=self._sock.dup())
        await self.log.start()

    async def stop(self):
        await self.log.stop()
        self._server.close()
        await self._server.wait_closed()

    def close(self):
        self._sock.close()


class LogCluster:
    """Cluster of founding members, to which joining members can be added."""

    def __init__(self, folder, names):
        self.folder = folder
        socks_by_id = {name: bind_free_port() for name in names}
        self.founders = tuple(
            ControlMember(name, address_of(sock)) for name, sock in socks_by_id.items()
        )
        self.members_by_id = {
            founder.member_id: RunningMember(
                self.settings(founder, members=self.founders),
                socks_by_id[founder.member_id],
            )
            for founder in self.founders
        }

    def settings(self, member, **more):
        return ControlSettings(
            member_id=member.member_id,
            zone="zone-1",
            data_folder=self.folder / member.member_id,
            operator_address="",
            peer_address=member.peer_address,
            operators=(),
            heartbeat_ms=HEARTBEAT_MS,
            election_timeout_ms=ELECTION_TIMEOUT_MS,
            **more,
        )

    def add_joining_member(self, name, replaces="", silent=None):
        """Add a member; ``silent`` is an address that it asks first in vain."""
        sock = bind_free_port()
        member = ControlMember(name, address_of(sock))
        settings = self.settings(
            member,
            members=(),
            join_addresses=(
                *([silent] if silent else []),
                *(f.peer_address for f in self.founders),
            ),
            replaces=replaces,
        )
        self.members_by_id[name] = RunningMember(settings, sock)
        return self.members_by_id[name]

    async def leader(self):
        """Wait until a member leads with a lease, and return it."""
        while True:
            for member in self.members_by_id.values():
                if member.log.is_leader:
                    return member
            await asyncio.sleep(0.01)


@asynccontextmanager
async def running_cluster(folder, names):
    cluster = LogCluster(folder, names)
    try:
        for member in cluster.members_by_id.values():
            await member.start()
        yield cluster
    finally:
        for member in cluster.members_by_id.values():
            await member.stop()
            member.close()


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)
