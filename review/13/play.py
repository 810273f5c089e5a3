"""Clients send prompts of very many short parts, in requests of legal size."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import stand_ins as s  # noqa: E402

CLIENTS = 10
PAUSE_S = 0.15
PLAY_S = 80.0
# With the other headers, the head stays below the 16,384 bytes of `MaxHeaderBytes`.
PROMPT_BYTES = 14_500
ORDINARY_PROMPT = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
RESTART_S = 1.0
ENDS_OF_A_FAULT = 3
EVENTS = 5
MODEL_ENGINES = 5
# That of `drum-pool` on the sheet of vatu-kiosk.
ENGINE = {
    "Concurrency": 128,
    "KvCapacityTokens": 550262,
    "KvTokenBytes": 35136,
    "LinkMbps": 550000.0,
    "Migrations": True,
    "Replicas": True,
    "Stride": 3,
    "most": 12,
    "PinMs": 4000.0,
    "HoldMs": 2000.0,
    "HandleTtlS": 5.0,
    "Models": [{"Name": "m"}],
}


class ModelEngine(s.Engine):
    """An engine that answers with a stream of a few events."""

    async def run(self, request, writer):
        await asyncio.sleep(0.03)
        headers = [
            *self.headers(request),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(s.encode("HTTP/1.1 200 OK", headers))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Platform:
    """Kills processes that use more than their memory, and starts them again."""

    def __init__(self, deployment, record):
        self._machines = (*deployment.cores, *deployment.edges)
        self._record = record
        self.ends = Counter()
        self.peak_mb = Counter()

    async def watch(self):
        await asyncio.gather(*(self._watch(machine) for machine in self._machines))

    async def _watch(self, machine):
        limit_mb = machine.settings()["Limits"]["MemoryMb"]
        while True:
            await asyncio.sleep(0.05)
            if machine.is_running():
                used_mb = machine.memory_mb()
                self.peak_mb[machine.name] = max(self.peak_mb[machine.name], used_mb)
                if used_mb <= limit_mb:
                    continue
                await machine.kill()
                self._record.write(
                    f"platform: {machine.name} used {used_mb:.0f} MB of {limit_mb} "
                    f"and was killed"
                )
            else:
                self._record.write(f"platform: {machine.name} has ended")
            self.ends[machine.name] += 1
            await asyncio.sleep(RESTART_S)
            machine.start()


def build_prompt(client, number):
    """Return a prompt of parts of one token that no other prompt has."""
    parts = []
    size = 0
    while size < PROMPT_BYTES:
        parts.append(f"{client:x}{number:x}{len(parts):03x}:1")
        size += len(parts[-1]) + 1
    return ",".join(parts), len(parts)


def build_headers(deployment, prompt, tokens):
    return [
        *deployment.request_headers(deployment.new_attempt(), 6000),
        ("X-Model", "m"),
        ("X-Token-Usage", f"{tokens},15"),
        ("X-Prefix-Hash", prompt),
    ]


async def send_prompts(deployment, client, has_trouble, statuses):
    number = 0
    while True:
        number += 1
        prompt, tokens = build_prompt(client, number)
        if not has_trouble:
            prompt, tokens = ORDINARY_PROMPT, 1460
        headers = build_headers(deployment, prompt, tokens)
        edge = deployment.edges[(client + number) % len(deployment.edges)]
        answer = await s.call(edge.front, "POST", "/plan/x", headers, timeout_s=6.0)
        statuses[answer.status if answer is not None else "none"] += 1
        await asyncio.sleep(PAUSE_S)


async def send_ordinary(deployment, statuses):
    while True:
        headers = build_headers(deployment, ORDINARY_PROMPT, 1460)
        edge = deployment.edges[0]
        answer = await s.call(edge.front, "POST", "/plan/y", headers, timeout_s=6.0)
        statuses[answer.status if answer is not None else "none"] += 1
        await asyncio.sleep(0.5)


async def play(deployment, record, has_trouble):
    deployment.start()
    route = s.build_route(
        "plan",
        "/plan/",
        "drum-pool",
        "streaming",
        6000,
        SloMs=1000,
        SessionAffinity=True,
        StreamResume=True,
        ItlTargetMs=200,
    )
    document = s.build_configuration(
        1, [route], [s.build_service("drum-pool", Engine=ENGINE)]
    )
    for number in range(MODEL_ENGINES):
        engine = await deployment.add_engine(
            f"i-drum-{number}", "drum-pool", ModelEngine
        )
        engine.concurrency = 128
    if not await deployment.configure(document):
        raise s.CannotRunError("no configuration was acknowledged")
    headers = build_headers(deployment, ORDINARY_PROMPT, 1460)
    await asyncio.sleep(2 * s.HEARTBEAT_S)
    answer = await s.call(deployment.edges[0].front, "POST", "/plan/x", headers, b"", 6)
    if answer is None or answer.status != 200:
        raise s.CannotRunError("a sound request isn't served")
    platform = Platform(deployment, record)
    odd, ordinary = Counter(), Counter()
    tasks = [
        asyncio.create_task(platform.watch()),
        asyncio.create_task(send_ordinary(deployment, ordinary)),
        *(
            asyncio.create_task(send_prompts(deployment, client, has_trouble, odd))
            for client in range(CLIENTS)
        ),
    ]
    end_at = time.monotonic() + PLAY_S
    while time.monotonic() < end_at and not is_fault(deployment, platform):
        await asyncio.sleep(2.0)
        memory = {name: round(mb) for name, mb in platform.peak_mb.items()}
        record.write(f"answers {dict(odd)}, to others {dict(ordinary)}; MB {memory}")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    record.write(f"ends by themselves: {dict(platform.ends)}")
    return is_fault(deployment, platform)


def is_fault(deployment, platform):
    """Return whether on half of the core processes ended by themselves three times."""
    often = [c for c in deployment.cores if platform.ends[c.name] >= ENDS_OF_A_FAULT]
    return len(often) >= len(deployment.cores) / 2


s.main(play, FOLDER)
