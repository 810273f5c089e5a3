"""What streamed parts cost an entry host at the pace of real tokens.

Run with ``python -m benchmarks.stream_pace``. A backend server in this process
sends a part to each stream each 33 ms; the callers read them here too. Prints a
row for each number of streams and, as its last line, one JSON object.
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

from benchmarks.process_figures import read_figures
from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.network.http_server import HttpServer
from galenadrum._internal.network.stage_protocol import (
    ATTEMPT_HEADER,
    EVENT_STREAM,
    REQUEST_ID_HEADER,
    STAGE_HEADER,
)
from galenadrum._internal.utils.addresses import split_address
from lib.deployment import KEY, Deployment, put, standard_changes

_PACE_S = 0.033
_DELTA = "token "
_TTL_S = 3.0
_MAX_STREAMS = 200
_WARM_UP_S = 3.0
_READ_TIMEOUT_S = 5.0
_SPEC = {"stages": ["generate"], "deadline_ms": 120_000}


@dataclass(frozen=True, slots=True)
class Row:
    """One number of streams at a time.

    Attributes:
        part_us: Processor time of the entry host for each part.
        core_share: Share of a core that the entry host took.
        late_share: Share of the gaps between parts above the pace and a half.
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
    """A backend server whose streams send a part each 33 ms until stopped."""

    def __init__(self, entry_address: str) -> None:
        self._entry_address = entry_address
        self._stopping = threading.Event()
        limits = CallerLimits(workers=_MAX_STREAMS)
        self._http = HttpServer("127.0.0.1:0", self._answer, limits, "paced")
        self._announcer = threading.Thread(target=self._announce, daemon=True)

    def start(self) -> None:
        """Listen and announce."""
        self._http.start()
        self._announcer.start()

    def stop(self) -> None:
        """End all streams."""
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
                "ttl_s": _TTL_S,
            }
            url = f"http://{self._entry_address}/v1/announcements"
            # The entry host may not listen yet.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                pool.request("POST", url, json=body)
            self._stopping.wait(_TTL_S / 3)

    def _answer(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
        headers = [("Content-Type", EVENT_STREAM)]
        for name in (REQUEST_ID_HEADER, STAGE_HEADER, ATTEMPT_HEADER):
            key = "HTTP_" + name.upper().replace("-", "_")
            headers.append((name, environ[key]))
        start_response("200 OK", headers)
        return self._parts()

    def _parts(self) -> Iterator[bytes]:
        digest = hashlib.sha256()
        part = f"data: {json.dumps({'delta': _DELTA})}\n\n".encode()
        due = time.monotonic()
        while not self._stopping.is_set():
            digest.update(_DELTA.encode())
            yield part
            due += _PACE_S
            time.sleep(max(0.0, due - time.monotonic()))
        done = {"output_tokens": 1, "digest": digest.hexdigest()}
        yield f"event: done\ndata: {json.dumps(done)}\n\n".encode()


@dataclass(slots=True)
class Reader:
    """Reads all streams on one thread and notes the gaps between parts."""

    selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    gaps_s: list[float] = field(default_factory=list)

    def open(self, address: str) -> None:
        """Open one more stream."""
        sock = socket.create_connection(split_address(address))
        body = json.dumps({"input": "x", "stream": True}).encode()
        head = (
            "POST /v1/pipelines/talk HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)
        self.selector.register(sock, selectors.EVENT_READ, [0.0])

    def read(self, seconds: float) -> int:
        """Read for a time; return the number of parts."""
        parts = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for key, _ in self.selector.select(_READ_TIMEOUT_S):
                data = key.fileobj.recv(65_536)
                if not data:
                    raise click.ClickException("a stream ended early")
                now = time.monotonic()
                found = data.count(b'"delta"')
                if found:
                    self.gaps_s.append(now - key.data[0])
                    # Parts that come together have no gap between them.
                    self.gaps_s.extend([0.0] * (found - 1))
                    key.data[0] = now
                parts += found
        return parts

    def close(self) -> None:
        """Close all streams."""
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()


def measure(deployment: Deployment, entry: str, streams: int, seconds: float) -> Row:
    """Return the row of one number of streams."""
    reader = Reader()
    for _ in range(streams):
        reader.open(deployment.callers[entry])
    reader.read(_WARM_UP_S)
    reader.gaps_s.clear()
    pid = deployment.processes[entry].popen.pid
    before, started = read_figures([pid])[pid].processor_s, time.monotonic()
    parts = reader.read(seconds)
    elapsed = time.monotonic() - started
    processor_s = read_figures([pid])[pid].processor_s - before
    reader.close()
    gaps = sorted(reader.gaps_s)
    late = sum(gap > 1.5 * _PACE_S for gap in gaps)
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
    """Measure each number of streams and print the table."""
    rows = []
    with tempfile.TemporaryDirectory(prefix="galenadrum-bench-") as folder:
        deployment = Deployment(Path(folder))
        try:
            deployment.start_controls(1)
            talk = put("pipeline", "talk", _SPEC)
            deployment.apply([*standard_changes(), talk], "first")
            [entry] = deployment.start_entries(1)
            backend = PacedBackend(deployment.callers[entry])
            backend.start()
            deployment.wait_ready([entry], servers=1)
            for count in counts.split(","):
                rows.append(measure(deployment, entry, int(count), seconds))
                time.sleep(_WARM_UP_S)
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
