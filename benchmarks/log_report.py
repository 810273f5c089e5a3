"""Measure the report of a period: time and memory for a number of log lines.

Prints one JSON line.
"""

import argparse
import json
import random
import resource
import tempfile
import time
from pathlib import Path

from galenadrum._internal.observability.events import (
    RequestOutcome,
    build_request_event,
)
from galenadrum._internal.reporting.figures import collect_figures
from galenadrum._internal.reporting.log_lines import ReadCounts, read_events
from galenadrum._internal.reporting.page import render_page

LINES_PER_REQUEST = 4


def write_log(path, lines, rng):
    """Write a log in which every fourth line ends a request."""
    outcomes = list(RequestOutcome)
    with path.open("w") as file:
        for number in range(lines):
            second = number * 3_600 / lines
            line = {
                "time": f"2026-12-04T10:{second // 60:02.0f}:{second % 60:06.3f}Z",
                "level": "INFO",
                "logger": "galenadrum",
                "host_id": f"entry-{number % 195}",
                "message": "placed at i-1 (version v1) after 0.383 s",
            }
            if number % LINES_PER_REQUEST == 0:
                line["event"] = build_request_event(
                    f"route-{number % 37}",
                    f"zone-{number % 12}",
                    rng.choice(outcomes),
                    200,
                    0.4,
                )
            file.write(json.dumps(line) + "\n")


def main():
    """Write a log, report it and print what that took."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--lines", type=int, default=1_000_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "day.log"
        write_log(path, options.lines, random.Random(1))
        started_at = time.perf_counter()
        events = list(read_events([path], ReadCounts()))
        page = render_page(collect_figures(events, min(e.at for e in events)))
        figures = {
            "lines": options.lines,
            "seconds": round(time.perf_counter() - started_at, 1),
            "peak_memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            // 1_000,
            "page_kb": round(len(page) / 1_000),
        }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
