"""Benchmark of the latency that an entry host adds to backend servers, as a ratio.

Run with ``make bench-entry``. The baseline calls the same backend servers one
after the other, without an entry host. Prints a table and, as its last line,
one JSON object.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

import click
import urllib3

from benchmarks.process_usage import read_usage
from lib.deployment import STAGES, Deployment, build_standard_changes, put

_STREAM_COUNT = 10
_STREAM_PIPELINE_SPEC = {"stages": ["generate"], "deadline_ms": 20_000}


@dataclass(frozen=True, slots=True)
class Row:
    """Latency and throughput at one number of concurrent callers.

    Attributes:
        direct_p50_ms: Median time of the baseline, without an entry host.
        ratio: Median time through the entry host divided by that of the baseline.
        processor_ms: Processor time of the entry host for each request.
    """

    callers: int
    direct_p50_ms: float
    entry_p50_ms: float
    entry_p99_ms: float
    ratio: float
    requests_per_s: float
    processor_ms: float


def measure(deployment: Deployment, entry: str, callers: int, requests: int) -> Row:
    """Measure requests sent to the backend servers directly and through the entry."""
    pool = urllib3.PoolManager(retries=False, maxsize=callers, timeout=60)
    direct_times_s = _time_requests(
        lambda n: _call_direct(deployment, pool, n), callers, requests
    )
    pid = deployment.processes[entry].popen.pid
    before = read_usage([pid])[pid].processor_s
    started = time.monotonic()
    entry_times_s = _time_requests(
        lambda n: deployment.call(entry, "plan", f"n{n}"), callers, requests
    )
    seconds = time.monotonic() - started
    processor_s = read_usage([pid])[pid].processor_s - before
    direct_p50_s = statistics.median(direct_times_s)
    entry_p50_s = statistics.median(entry_times_s)
    return Row(
        callers,
        direct_p50_s * 1_000,
        entry_p50_s * 1_000,
        sorted(entry_times_s)[int(len(entry_times_s) * 0.99)] * 1_000,
        entry_p50_s / direct_p50_s,
        requests / seconds,
        processor_s / requests * 1_000,
    )


def measure_stream(deployment: Deployment, entry: str, words: int) -> float:
    """Return the entry host's processor time per part of a stream in microseconds."""
    pid = deployment.processes[entry].popen.pid
    stage_input = "w " * words

    before = read_usage([pid])[pid].processor_s
    parts = 0
    for _ in range(_STREAM_COUNT):
        response = deployment.call(entry, "talk", stage_input, stream=True)
        parts += response.data.count(b"\n\n")
    processor_s = read_usage([pid])[pid].processor_s - before
    return processor_s / parts * 1e6


def _time_requests(call, callers: int, requests: int) -> list[float]:
    def time_request(number: int) -> float:
        started = time.perf_counter()
        response = call(number)
        if response.status != 200:
            raise click.ClickException(
                f"request failed, expected status 200: {response.data!r}"
            )
        return time.perf_counter() - started

    with ThreadPoolExecutor(callers) as executor:
        return list(executor.map(time_request, range(requests)))


def _call_direct(deployment: Deployment, pool: urllib3.PoolManager, number: int):
    stage_input: object = f"n{number}"
    for stage in STAGES:
        address = deployment.backend_address_by_name[f"{stage}-{number % 2}"]
        response = pool.request(
            "POST", f"http://{address}/v1/stages/{stage}", json={"input": stage_input}
        )
        if stage != STAGES[-1]:
            stage_input = response.json()["output"]
    return response


@click.command()
@click.option("--callers", "caller_counts", default="1,4,16")
@click.option("--requests", default=400)
@click.option("--service-ms", default=5.0)
@click.option("--words", default=2_000)
def main(caller_counts: str, requests: int, service_ms: float, words: int) -> None:
    """Measure each number of callers and print the results."""
    with tempfile.TemporaryDirectory(prefix="galenadrum-bench-") as folder:
        deployment = Deployment(Path(folder))
        try:
            deployment.start_control_hosts(1)
            talk = put("pipeline", "talk", _STREAM_PIPELINE_SPEC)
            deployment.apply([*build_standard_changes(), talk], "first")
            [entry] = deployment.start_entry_hosts(1)
            for stage in STAGES:
                for number in range(2):
                    deployment.start_backend(
                        f"{stage}-{number}", [stage], [entry], service_ms=service_ms
                    )
            deployment.wait_ready([entry], servers=2 * len(STAGES))
            measure(deployment, entry, 1, 20)
            rows = [
                measure(deployment, entry, int(count), requests)
                for count in caller_counts.split(",")
            ]
            part_us = measure_stream(deployment, entry, words)
        finally:
            deployment.close()
    for row in rows:
        click.echo(
            f"{row.callers:3} callers  direct {row.direct_p50_ms:7.1f} ms"
            f"  entry {row.entry_p50_ms:7.1f} ms (p99 {row.entry_p99_ms:7.1f} ms)"
            f"  ratio {row.ratio:4.2f}  {row.requests_per_s:5.0f} requests/s"
            f"  {row.processor_ms:5.2f} ms processor a request"
        )
    click.echo(f"stream: {part_us:.0f} us processor a part")
    summary = {"rows": [asdict(row) for row in rows], "stream_part_us": part_us}
    click.echo(json.dumps(summary))


if __name__ == "__main__":
    main()
