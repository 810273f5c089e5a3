"""Process that runs one member of a replicated log, for tests and benchmarks.

Run it as ``python -m lib.log_member SETTINGS`` with ``src`` and ``tests`` on the
path. SETTINGS is a JSON object: ``member_id``, ``folder``, ``members`` (addresses
by member id, including this member's), optionally ``joins`` (true for a member that
is added to a running cluster), ``replaces``, ``heartbeat_ms`` and
``election_timeout_ms``. The process prints ``{"ready": true}``. It then answers each
JSON request line on its standard input with a JSON line of the same ``id``; ``do``
names a method of `Commands`, and the other keys are its arguments.
"""

import asyncio
import hashlib
import json
import random
import resource
import socket
import sys
import time
from pathlib import Path

from grpclib.server import Server

from galenadrum._internal.control.replication.driver import ReplicatedLog
from galenadrum._internal.control.replication.peer_streams import split_address
from galenadrum._internal.exceptions import GalenadrumError
from galenadrum._internal.models.settings import ControlMember, ControlSettings
from lib.log_cluster import ListStateMachine

_INTERVAL_KEYS = ("heartbeat_ms", "election_timeout_ms")


class CountingSocket(socket.socket):
    """Socket that counts the bytes and send calls of this process."""

    sent_bytes = received_bytes = sends = 0

    def send(self, data, *flags):
        size = super().send(data, *flags)
        CountingSocket.sent_bytes += size
        CountingSocket.sends += 1
        return size

    def recv(self, *arguments):
        data = super().recv(*arguments)
        CountingSocket.received_bytes += len(data)
        return data


class Commands:
    """Commands that a request line on the standard input can name."""

    def __init__(self, log, machine):
        self._log = log
        self._machine = machine

    async def propose(self, command, timeout_s=5.0):
        result = await self._log.propose(command.encode(), timeout_s)
        return {"result": result.decode()}

    async def load(self, count, concurrency, size, timeout_s=30.0):
        """Propose ``count`` commands, ``concurrency`` at a time."""
        numbers = iter(range(count))
        started = time.perf_counter()

        async def propose_next_commands():
            for number in numbers:
                await self._log.propose(b"%0*d" % (size, number), timeout_s)

        await asyncio.gather(*(propose_next_commands() for _ in range(concurrency)))
        return {"elapsed_s": time.perf_counter() - started}

    async def read(self, timeout_s=5.0):
        """Return all applied commands, after a read barrier."""
        await self._log.read_barrier(timeout_s)
        return {"commands": [c.decode() for c in self._machine.commands]}

    async def remove(self, member_id, timeout_s=5.0):
        await self._log.remove_member(member_id, timeout_s)
        return {}

    async def status(self):
        status = self._log.status
        digest = hashlib.sha256(self._machine.snapshot()).hexdigest()
        return {
            "is_leader": self._log.is_leader,
            "term": status.term,
            "leader_id": status.leader_id,
            "commit_index": status.commit_index,
            "applied": len(self._machine.commands),
            "digest": digest,
            "voters": [m.member.member_id for m in status.members if m.member.voter],
        }

    async def usage(self):
        return {
            "processor_s": time.process_time(),
            "sent_bytes": CountingSocket.sent_bytes,
            "received_bytes": CountingSocket.received_bytes,
            "sends": CountingSocket.sends,
            "resident_mib": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        }


def build_settings(options):
    members = tuple(ControlMember(*pair) for pair in options["members"].items())
    own_id = options["member_id"]
    joins = options.get("joins", False)
    return ControlSettings(
        member_id=own_id,
        zone="zone-1",
        data_folder=Path(options["folder"]),
        operator_address="",
        peer_address=options["members"][own_id],
        members=() if joins else members,
        operators=(),
        join_addresses=tuple(
            m.peer_address for m in members if joins and m.member_id != own_id
        ),
        replaces=options.get("replaces", ""),
        **{key: options[key] for key in _INTERVAL_KEYS if key in options},
    )


async def answer_request(commands, line):
    request = json.loads(line)
    request_id = request.pop("id", None)
    try:
        response = await getattr(commands, request.pop("do"))(**request)
    except GalenadrumError as error:
        response = {"error": type(error).__name__, "message": str(error)}
    print(json.dumps({"id": request_id, **response}), flush=True)


async def main(options):
    settings = build_settings(options)
    machine = ListStateMachine()
    log = ReplicatedLog(settings, machine, random.Random())
    server = Server(log.services())
    await server.start(*split_address(settings.peer_address))
    await log.start()
    failure = asyncio.create_task(log.wait_for_failure())
    lines = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(lines), sys.stdin
    )
    print(json.dumps({"ready": True}), flush=True)
    answers = set()
    commands = Commands(log, machine)
    while not failure.done() and (line := await lines.readline()):
        task = asyncio.create_task(answer_request(commands, line))
        answers.add(task)
        task.add_done_callback(answers.discard)
    if failure.done():
        print(json.dumps({"failed": str(failure.exception())}), flush=True)
    await log.stop()
    server.close()


if __name__ == "__main__":
    socket.socket = CountingSocket
    asyncio.run(main(json.loads(sys.argv[1])))
