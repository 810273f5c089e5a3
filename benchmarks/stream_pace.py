"""Benchmark of the cost of streams on an entry host at a realistic token rate.

Run with ``python -m benchmarks.stream_pace``. A backend server in this process
sends a part on each stream every 33 ms; the callers are in this process too. Prints
a row for each number of streams and, as its last line, one JSON object.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import selectors
import socket
import tempfile
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import click
import urllib3

from benchmarks.process_usage import read_usage
from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.network.http_server import HttpServer
from galenadrum._internal.network.stage_protocol import (
    ATTEMPT_HEADER,
    EVENT_STREAM,
    REQUEST_ID_HEADER,
    STAGE_HEADER,
)
from galenadrum._internal.utils.addresses import split_address
from lib.deployment import CALLER_KEY, Deployment, build_standard_changes, put

_PART_INTERVAL_S = 0.033
_DELTA = "token "
_ANNOUNCEMENT_TTL_S = 3.0
_MAX_STREAMS = 200
_WARM_UP_DELAY_S = 3.0
_READ_TIMEOUT_S = 5.0
_PIPELINE_SPEC = {"stages": ["generate"], "deadline_ms": 120_000}


@dataclass(frozen=True, slots=True)
class Row:
    """Cost and part intervals at one number of concurrent streams.

    Attributes:
        part_us: Processor time of the entry host per part.
        core_share: Processor time of the entry host as a share of one core.
        late_share: Share of the gaps between parts that exceed 1.5 intervals.
    """

    streams: int
    parts_per_s: float
    part_us: float
    core_share: float
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float
    late_share: float


class PacedBackend:
    """Backend server whose streams send a part every 33 ms until it is stopped."""

    def __init__(self, entry_address: str) -> None:
        self._entry_address = entry_address
        self._stopping = threading.Event()
        limits = CallerLimits(workers=_MAX_STREAMS)
        self._http = HttpServer("127.0.0.1:0", self._handle_request, limits, "paced")
        self._announcer = threading.Thread(target=self._announce, daemon=True)

    def start(self) -> None:
        """Start the HTTP server and the announcements."""
        self._http.start()
        self._announcer.start()

    def stop(self) -> None:
        """Stop the announcements and end all streams."""
        self._stopping.set()
        self._announcer.join()

    def _announce(self) -> None:
        pool = urllib3.PoolManager(retries=False)
        sequence = 0
        while not self._stopping.is_set():
            sequence += 1
            body = {
                "server_id": "paced",
                "incarnation": 1,
                "sequence": sequence,
                "address": self._http.address,
                "zone": "zone-1",
                "stages": ["generate"],
                "capacity": _MAX_STREAMS,
                "ttl_s": _ANNOUNCEMENT_TTL_S,
            }
            url = f"http://{self._entry_address}/v1/announcements"
            # The entry host may not accept connections yet.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                pool.request("POST", url, json=body)
            self._stopping.wait(_ANNOUNCEMENT_TTL_S / 3)

    def _handle_request(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
        headers = [("Content-Type", EVENT_STREAM)]
        for name in (REQUEST_ID_HEADER, STAGE_HEADER, ATTEMPT_HEADER):
            key = "HTTP_" + name.upper().replace("-", "_")
            headers.append((name, environ[key]))
        start_response("200 OK", headers)
        return self._generate_parts()

    def _generate_parts(self) -> Iterator[bytes]:
        digest = hashlib.sha256()
        part = f"data: {json.dumps({'delta': _DELTA})}\n\n".encode()
        next_part_at = time.monotonic()
        while not self._stopping.is_set():
            digest.update(_DELTA.encode())
            yield part
            next_part_at += _PART_INTERVAL_S
            time.sleep(max(0.0, next_part_at - time.monotonic()))
        done = {"output_tokens": 1, "digest": digest.hexdigest()}
        yield f"event: done\ndata: {json.dumps(done)}\n\n".encode()


@dataclass(slots=True)
class StreamReader:
    """Reads all streams on one thread and records the gaps between parts."""

    selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    gaps_s: list[float] = field(default_factory=list)

    def open(self, address: str) -> None:
        """Open one more stream."""
        sock = socket.create_connection(split_address(address))
        body = json.dumps({"input": "x", "stream": True}).encode()
        head = (
            "POST /v1/pipelines/talk HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer {CALLER_KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)
        self.selector.register(sock, selectors.EVENT_READ, [0.0])

    def read(self, seconds: float) -> int:
        """Read all streams for some seconds and return the number of parts.

        Raises:
            click.ClickException: If the entry host closes a stream.
        """
        parts = 0
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            for key, _ in self.selector.select(_READ_TIMEOUT_S):
                data = key.fileobj.recv(65_536)
                if not data:
                    raise click.ClickException(
                        "entry host closed a stream before the end of the measurement"
                    )
                now = time.monotonic()
                part_count = data.count(b'"delta"')
                if part_count:
                    self.gaps_s.append(now - key.data[0])
                    # Parts that arrive in one read have no gap between them.
                    self.gaps_s.extend([0.0] * (part_count - 1))
                    key.data[0] = now
                parts += part_count
        return parts

    def close(self) -> None:
        """Close all streams."""
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()


def measure(deployment: Deployment, entry: str, streams: int, seconds: float) -> Row:
    """Measure one number of concurrent streams."""
    reader = StreamReader()
    for _ in range(streams):
        reader.open(deployment.callers[entry])
    reader.read(_WARM_UP_DELAY_S)
    reader.gaps_s.clear()
    pid = deployment.processes[entry].popen.pid
    before, started = read_usage([pid])[pid].processor_s, time.monotonic()
    parts = reader.read(seconds)
    elapsed = time.monotonic() - started
    processor_s = read_usage([pid])[pid].processor_s - before
    reader.close()
    gaps = sorted(reader.gaps_s)
    late = sum(gap > 1.5 * _PART_INTERVAL_S for gap in gaps)
    return Row(
        streams,
        parts / elapsed,
        processor_s / parts * 1e6,
        processor_s / elapsed,
        gaps[len(gaps) // 2] * 1_000,
        gaps[int(len(gaps) * 0.95)] * 1_000,
        gaps[int(len(gaps) * 0.99)] * 1_000,
        late / len(gaps),
    )


@click.command()
@click.option("--streams", "counts", default="10,30,92")
@click.option("--seconds", default=10.0)
def main(counts: str, seconds: float) -> None:
    """Measure each number of streams and print the results."""
    rows = []
    with tempfile.TemporaryDirectory(prefix="galenadrum-bench-") as folder:
        deployment = Deployment(Path(folder))
        try:
            deployment.start_control_hosts(1)
            talk = put("pipeline", "talk", _PIPELINE_SPEC)
            deployment.apply([*build_standard_changes(), talk], "first")
            [entry] = deployment.start_entry_hosts(1)
            backend = PacedBackend(deployment.callers[entry])
            backend.start()
            deployment.wait_ready([entry], servers=1)
            for count in counts.split(","):
                rows.append(measure(deployment, entry, int(count), seconds))
                time.sleep(_WARM_UP_DELAY_S)
            backend.stop()
        finally:
            deployment.close()
    for row in rows:
        click.echo(
            f"{row.streams:4} streams {row.parts_per_s:6.0f} parts/s"
            f" {row.part_us:5.0f} us a part {row.core_share:6.1%} of a core"
            f"  gaps p50 {row.gap_p50_ms:5.1f} p95 {row.gap_p95_ms:5.1f}"
            f" p99 {row.gap_p99_ms:5.1f} ms, {row.late_share:.2%} late"
        )
    click.echo(json.dumps({"rows": [asdict(row) for row in rows]}))


if __name__ == "__main__":
    main()
