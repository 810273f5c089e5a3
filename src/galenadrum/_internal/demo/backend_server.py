"""A small backend server for demonstrations and tests.

It serves stages over HTTP as docs/design/interfaces.md describes, and announces
itself to entry hosts. Its output contains its input, so that a caller can check
that an answer belongs to its request.
"""

from __future__ import annotations

import hashlib
import json
import logging
import signal
import threading
import time
import zlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import click
import urllib3

from galenadrum._internal.demo.responses import send_json
from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.network.http_server import HttpServer
from galenadrum._internal.network.stage_protocol import (
    ATTEMPT_HEADER,
    EVENT_STREAM,
    NOT_RUN,
    REQUEST_ID_HEADER,
    RUN_HEADER,
    STAGE_HEADER,
)

logger = logging.getLogger(__name__)

_ANNOUNCE_TIMEOUT_S = 1.0
_WORDS_PER_DELTA = 2


@dataclass(frozen=True, slots=True)
class BackendOptions:
    """Addresses, capacity and injected faults of a backend server.

    Attributes:
        entry_addresses: Addresses of entry hosts; each announcement goes to the
            first one that accepts it.
        listen: IP number and port; port 0 picks a free one.
        advertise: Address to announce; empty for the listen address.
        service_ms: Duration of each call, in milliseconds.
        ttl_s: Time until an announcement expires, in seconds.
        truncate_every: Truncate the stream of each n-th call; 0 for none.
        fail_every: Fail each n-th call; 0 for none.
        refuse_every: Refuse each n-th call as not run; 0 for none.
        cross_every: Answer each n-th call with the request id of another
            request; 0 for none.
    """

    server_id: str
    zone: str
    stages: tuple[str, ...]
    streamed_stages: frozenset[str]
    entry_addresses: tuple[str, ...]
    listen: str = "127.0.0.1:0"
    advertise: str = ""
    capacity: int = 16
    service_ms: float = 5.0
    ttl_s: float = 3.0
    truncate_every: int = 0
    fail_every: int = 0
    refuse_every: int = 0
    cross_every: int = 0


class BackendServer:
    """Serves stages until it is stopped."""

    def __init__(self, options: BackendOptions) -> None:
        self._options = options
        self._http = HttpServer(
            options.listen,
            self._application,
            CallerLimits(workers=max(options.capacity + 8, 16)),
            options.server_id,
        )
        self._pool = urllib3.PoolManager(retries=False, timeout=_ANNOUNCE_TIMEOUT_S)
        self._lock = threading.Lock()
        self._running_call_count = 0
        self._call_count = 0
        self._sequence = 0
        self._stopping = threading.Event()
        self._incarnation = time.time_ns() // 1_000_000
        self._announcer = threading.Thread(target=self._announce_until_stopped)
        self.run_count_by_request_id: Counter[str] = Counter()

    @property
    def address(self) -> str:
        """The IP number and port that the server listens on."""
        return self._http.address

    def start(self) -> None:
        """Start to listen and to announce the server."""
        self._http.start()
        self._announcer.start()

    def stop(self) -> None:
        """Announce that the server is leaving, finish its calls, and stop."""
        self._stopping.set()
        self._announcer.join()
        self.announce("leaving")
        while self._running_call_count:
            time.sleep(0.01)
        self._http.stop()

    def announce(self, state: str = "serving") -> bool:
        """Announce the server; return whether an entry host accepted that.

        Entry hosts are tried in turn until one accepts the announcement.
        """
        with self._lock:
            self._sequence += 1
            body = self._build_announcement(state)
        for entry_address in self._get_entry_addresses():
            try:
                response = self._pool.request(
                    "POST", f"http://{entry_address}/v1/announcements", json=body
                )
            except urllib3.exceptions.HTTPError as error:
                logger.info("can't announce to entry host %s: %s", entry_address, error)
                continue
            if response.status == 200:
                return True
            logger.warning(
                "entry host refused the announcement: %s", response.data.decode()
            )
        return False

    def _get_entry_addresses(self) -> tuple[str, ...]:
        """Return all entry addresses; servers start with different ones."""
        addresses = self._options.entry_addresses
        if not addresses:
            return ()
        start = zlib.crc32(self._options.server_id.encode()) % len(addresses)
        return addresses[start:] + addresses[:start]

    def _build_announcement(self, state: str) -> dict[str, Any]:
        options = self._options
        return {
            "server_id": options.server_id,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "address": options.advertise or self.address,
            "zone": options.zone,
            "stages": list(options.stages),
            "capacity": options.capacity,
            "ttl_s": options.ttl_s,
            "state": state,
            "load": {"running": self._running_call_count, "queued": 0, "age_s": 0.0},
        }

    def _announce_until_stopped(self) -> None:
        while not self._stopping.is_set():
            accepted = self.announce()
            self._stopping.wait(self._options.ttl_s / 3 if accepted else 0.2)

    def _application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/v1/runs":
            return send_json(start_response, dict(self.run_count_by_request_id), [])
        stage = path.removeprefix("/v1/stages/")
        length = int(environ.get("CONTENT_LENGTH") or 0)
        payload = json.loads(environ["wsgi.input"].read(length))
        with self._lock:
            self._call_count += 1
            call_number = self._call_count
            self._running_call_count += 1
        try:
            return self._serve_call(
                environ, start_response, stage, payload, call_number
            )
        finally:
            with self._lock:
                self._running_call_count -= 1

    def _serve_call(
        self,
        environ: dict[str, Any],
        start_response: Any,
        stage: str,
        payload: dict[str, Any],
        call_number: int,
    ) -> Iterable[bytes]:
        options = self._options
        headers = _build_echo_headers(
            environ, has_wrong_id=_is_due(call_number, options.cross_every)
        )
        if _is_due(call_number, options.refuse_every) or stage not in options.stages:
            refused = [*headers, (RUN_HEADER, NOT_RUN)]
            return send_json(start_response, {}, refused, "503 Service Unavailable")
        with self._lock:
            self.run_count_by_request_id[
                environ.get("HTTP_GALENADRUM_REQUEST_ID", "")
            ] += 1
        time.sleep(options.service_ms / 1_000)
        if _is_due(call_number, options.fail_every):
            return send_json(start_response, {}, headers, "500 Internal Server Error")
        output = _build_output(stage, payload["input"])
        if stage in options.streamed_stages:
            truncated = _is_due(call_number, options.truncate_every)
            return _send_stream(start_response, output, headers, truncated)
        return send_json(start_response, {"output": output}, headers)


def _is_due(call_number: int, every: int) -> bool:
    return every > 0 and call_number % every == 0


def _build_echo_headers(
    environ: dict[str, Any], has_wrong_id: bool
) -> list[tuple[str, str]]:
    headers = []
    for name in (REQUEST_ID_HEADER, STAGE_HEADER, ATTEMPT_HEADER):
        key = "HTTP_" + name.upper().replace("-", "_")
        headers.append((name, environ.get(key, "")))
    if has_wrong_id:
        headers[0] = (REQUEST_ID_HEADER, "another-request")
    return headers


def _build_output(stage: str, stage_input: Any) -> Any:
    """Return an output that contains the stage name and the whole input."""
    text = stage_input if isinstance(stage_input, str) else json.dumps(stage_input)
    return f"{stage}({text})"


def _send_stream(
    start_response: Any, output: str, headers: list[tuple[str, str]], truncated: bool
) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Type", EVENT_STREAM), *headers])
    return _stream_events(output, truncated)


def _stream_events(output: str, truncated: bool) -> Iterable[bytes]:
    words = output.split(" ")
    digest = hashlib.sha256()
    for start in range(0, len(words), _WORDS_PER_DELTA):
        delta = " ".join(words[start : start + _WORDS_PER_DELTA])
        if start + _WORDS_PER_DELTA < len(words):
            delta += " "
        digest.update(delta.encode())
        yield f"data: {json.dumps({'delta': delta})}\n\n".encode()
    if not truncated:
        done = {"output_tokens": len(words), "digest": digest.hexdigest()}
        yield f"event: done\ndata: {json.dumps(done)}\n\n".encode()


@click.command()
@click.option("--server-id", required=True)
@click.option("--zone", required=True)
@click.option("--stage", "stages", multiple=True, required=True)
@click.option("--streamed", multiple=True)
@click.option("--entry", "entries", multiple=True, required=True)
@click.option("--listen", default="127.0.0.1:0")
@click.option("--advertise", default="")
@click.option("--capacity", default=16)
@click.option("--service-ms", default=5.0)
@click.option("--ttl-s", default=3.0)
@click.option("--refuse-every", default=0)
@click.option("--fail-every", default=0)
@click.option("--cross-every", default=0)
@click.option("--truncate-every", default=0)
def main(
    stages: tuple[str, ...],
    streamed: tuple[str, ...],
    entries: tuple[str, ...],
    **options: Any,
) -> None:
    """Run one backend server until it gets SIGTERM or SIGINT."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    server = BackendServer(
        BackendOptions(
            stages=stages,
            streamed_stages=frozenset(streamed),
            entry_addresses=entries,
            **options,
        )
    )
    server.start()
    click.echo(server.address)
    stop.wait()
    server.stop()


if __name__ == "__main__":
    main()
