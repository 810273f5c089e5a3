"""A fake model engine that accepts orders over HTTP.

It holds models by name, takes a configured time for each load, and either checks
fencing numbers or ignores them. It serves the calls of its stages with a
configured model; each output contains the version of the model.
"""

from __future__ import annotations

import json
import signal
import threading
import time
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import click
import urllib3

from galenadrum._internal.demo.responses import send_json
from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.network.engine_client import (
    FENCING_HEADER,
    MODELS_PATH,
    ORDERS_PATH,
)
from galenadrum._internal.network.http_server import HttpServer
from galenadrum._internal.network.stage_protocol import (
    ATTEMPT_HEADER,
    NOT_RUN,
    REQUEST_ID_HEADER,
    RUN_HEADER,
    STAGE_HEADER,
    STAGES_PREFIX,
)

CALL_RECORD_PATH = "/v1/calls"

_ANNOUNCE_TIMEOUT_S = 1.0
_MAX_STORED_ORDERS = 100
_FENCING_ENVIRON_KEY = "HTTP_" + FENCING_HEADER.upper().replace("-", "_")


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Models, timing and injected faults of an engine.

    Attributes:
        models: Pairs of model and version that are loaded at the start.
        load_ms: Duration of each load, in milliseconds.
        failing_versions: Versions that fail to load.
        serves: Model that serves the stages; empty for none.
        service_ms: Duration of each call, in milliseconds.
        capacity: Number of calls that can be served concurrently.
    """

    server_id: str
    zone: str
    stages: tuple[str, ...]
    entry_addresses: tuple[str, ...]
    listen: str = "127.0.0.1:0"
    models: tuple[tuple[str, str], ...] = ()
    checks_fencing: bool = False
    load_ms: float = 50.0
    ttl_s: float = 3.0
    failing_versions: frozenset[str] = frozenset()
    serves: str = ""
    service_ms: float = 5.0
    capacity: int = 1


@dataclass(slots=True)
class EngineState:
    """Models of the engine, and the orders and calls that it received.

    Attributes:
        orders_by_id: Accepted orders with their progress, oldest first.
        started_orders: Orders in the sequence of their start: id, fencing number,
            action, version.
        received: Orders in the sequence of their arrival: id, fencing number, and
            the reason for a refusal, or an empty string.
        stopped_models: Models that accept no calls while an order changes them.
        running_calls: Number of calls in progress.
        refused_calls: Number of calls refused because the model wasn't available.
    """

    versions_by_model: dict[str, str]
    adapters: set[str] = field(default_factory=set)
    role: str = "both"
    highest_fencing: int = 0
    orders_by_id: OrderedDict[str, dict[str, str]] = field(default_factory=OrderedDict)
    started_orders: list[tuple[str, int, str, str]] = field(default_factory=list)
    received: list[tuple[str, int, str]] = field(default_factory=list)
    stopped_models: set[str] = field(default_factory=set)
    running_calls: int = 0
    refused_calls: int = 0


class EngineServer:
    """Accepts orders and serves calls until it is stopped."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self.state = EngineState(dict(options.models))
        self._lock = threading.Lock()
        self._http = HttpServer(
            options.listen,
            self._application,
            CallerLimits(workers=8 + options.capacity),
            "engine",
        )
        self._pool = urllib3.PoolManager(retries=False, timeout=_ANNOUNCE_TIMEOUT_S)
        self._stopping = threading.Event()
        self._state_changed = threading.Event()
        self._calls_ended = threading.Condition(self._lock)
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._threads: list[threading.Thread] = []

    @property
    def address(self) -> str:
        """The IP number and port that the engine listens on."""
        return self._http.address

    def start(self) -> None:
        """Start to listen and to announce the engine."""
        self._http.start()
        if self._options.entry_addresses:
            self._start_thread(self._announce_until_stopped)

    def stop(self) -> None:
        """Stop without waiting for the load time of running orders."""
        self._stopping.set()
        self._state_changed.set()
        for thread in self._threads:
            thread.join()
        self._http.stop()

    def _start_thread(self, target: Any, *arguments: Any) -> None:
        thread = threading.Thread(target=target, args=arguments)
        self._threads.append(thread)
        thread.start()

    def _announce_until_stopped(self) -> None:
        while not self._stopping.is_set():
            body = self._build_announcement()
            for entry_address in self._options.entry_addresses:
                url = f"http://{entry_address}/v1/announcements"
                try:
                    response = self._pool.request("POST", url, json=body)
                except urllib3.exceptions.HTTPError:
                    continue
                if response.status == 200:
                    break
            self._state_changed.wait(self._options.ttl_s / 3)
            self._state_changed.clear()

    def _build_announcement(self) -> dict[str, Any]:
        options = self._options
        with self._lock:
            self._sequence += 1
            return {
                "server_id": options.server_id,
                "incarnation": self._incarnation,
                "sequence": self._sequence,
                "address": self.address,
                "zone": options.zone,
                "stages": list(options.stages),
                "capacity": options.capacity,
                "ttl_s": options.ttl_s,
                "state": "serving",
                "model_versions": [
                    pair
                    for pair in self.state.versions_by_model.items()
                    if pair[0] not in self.state.stopped_models
                ],
                "adapters": sorted(self.state.adapters),
                "role": self.state.role,
                "checks_fencing": options.checks_fencing,
            }

    def _application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        fencing = int(environ.get(_FENCING_ENVIRON_KEY) or 0)
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route == ("GET", MODELS_PATH):
            return send_json(start_response, self._build_status(fencing))
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        if route[0] == "POST" and route[1].startswith(STAGES_PREFIX):
            return self._serve_call(environ, start_response, json.loads(body))
        if route == ("GET", CALL_RECORD_PATH):
            record = {
                "refused": self.state.refused_calls,
                "orders": self.state.received,
            }
            return send_json(start_response, record)
        if route != ("POST", ORDERS_PATH):
            missing = {"message": "no such path"}
            return send_json(start_response, missing, status="404 Not Found")
        order = json.loads(body)
        status, message = self._accept_order(order, fencing)
        self.state.received.append((order["order_id"], fencing, message))
        return send_json(start_response, {"message": message}, status=status)

    def _serve_call(
        self, environ: dict[str, Any], start_response: Any, call: dict[str, Any]
    ) -> Iterable[bytes]:
        headers = [
            (name, environ.get("HTTP_" + name.upper().replace("-", "_"), ""))
            for name in (REQUEST_ID_HEADER, STAGE_HEADER, ATTEMPT_HEADER)
        ]
        version = self._begin_call()
        if version is None:
            refused = [*headers, (RUN_HEADER, NOT_RUN)]
            return send_json(start_response, {}, refused, "503 Service Unavailable")
        time.sleep(self._options.service_ms / 1_000)
        with self._calls_ended:
            self.state.running_calls -= 1
            self._calls_ended.notify_all()
        stage = environ["PATH_INFO"].removeprefix(STAGES_PREFIX)
        output = {"output": f"{stage}-{version}({call['input']})"}
        return send_json(start_response, output, headers)

    def _begin_call(self) -> str | None:
        """Count a call; return the version that serves it, or None to refuse it."""
        model = self._options.serves
        with self._lock:
            version = self.state.versions_by_model.get(model)
            if version is None or model in self.state.stopped_models:
                self.state.refused_calls += 1
                return None
            self.state.running_calls += 1
            return version

    def _build_status(self, fencing: int) -> dict[str, Any]:
        with self._lock:
            state = self.state
            self._check_fencing(fencing)
            last_id = next(reversed(state.orders_by_id), None)
            return {
                "models": [
                    {"model": model, "version": version}
                    for model, version in state.versions_by_model.items()
                ],
                "adapters": sorted(state.adapters),
                "role": state.role,
                "order": last_id
                and {"order_id": last_id, **state.orders_by_id[last_id]},
            }

    def _accept_order(self, order: dict[str, Any], fencing: int) -> tuple[str, str]:
        with self._lock:
            state = self.state
            if not self._check_fencing(fencing):
                return "409 Conflict", f"the number {state.highest_fencing} was seen"
            if order["order_id"] in state.orders_by_id:
                return "202 Accepted", ""
            last_id = next(reversed(state.orders_by_id), None)
            if last_id and state.orders_by_id[last_id]["state"] == "running":
                return "409 Conflict", f"order {last_id} is under way"
            state.orders_by_id[order["order_id"]] = {"state": "running"}
            state.started_orders.append(
                (order["order_id"], fencing, order["action"], order["version"])
            )
            while len(state.orders_by_id) > _MAX_STORED_ORDERS:
                state.orders_by_id.popitem(last=False)
        self._start_thread(self._run_order, order)
        return "202 Accepted", ""

    def _check_fencing(self, fencing: int) -> bool:
        """Record the highest fencing number; return whether this one is current."""
        if not self._options.checks_fencing:
            return True
        is_current = fencing >= self.state.highest_fencing
        self.state.highest_fencing = max(self.state.highest_fencing, fencing)
        return is_current

    def _run_order(self, order: dict[str, Any]) -> None:
        if order["action"] != "load":
            self._drain_model(order["model"])
        self._stopping.wait(self._options.load_ms / 1_000)
        with self._lock:
            self.state.stopped_models.discard(order["model"])
            self._state_changed.set()
            result = self.state.orders_by_id[order["order_id"]]
            loads = order["action"] in ("load", "switch")
            if loads and order["version"] in self._options.failing_versions:
                result |= {"state": "failed", "message": "the weights are damaged"}
                return
            self._apply_order(order)
            result["state"] = "done"

    def _drain_model(self, model: str) -> None:
        """Refuse new calls of a model, and wait until all running calls have ended."""
        with self._calls_ended:
            self.state.stopped_models.add(model)
            self._state_changed.set()
            self._calls_ended.wait_for(lambda: not self.state.running_calls)

    def _apply_order(self, order: dict[str, Any]) -> None:
        state = self.state
        match order["action"]:
            case "load" | "switch":
                state.versions_by_model[order["model"]] = order["version"]
                state.adapters.update(order["adapters"])
            case "unload":
                state.versions_by_model.pop(order["model"], None)
            case "change_role":
                state.role = order["role"]


@click.command()
@click.option("--server-id", required=True)
@click.option("--zone", required=True)
@click.option("--stage", "stages", multiple=True, required=True)
@click.option("--entry", "entries", multiple=True, required=True)
@click.option("--listen", default="127.0.0.1:0")
@click.option("--model", "models", multiple=True, help="model=version")
@click.option("--checks-fencing", default=False, type=bool)
@click.option("--load-ms", default=50.0)
@click.option("--serves", default="", help="model that serves the stages")
@click.option("--service-ms", default=5.0)
@click.option("--capacity", default=1)
@click.option("--failing-version", "failing", multiple=True)
def main(
    stages: tuple[str, ...],
    entries: tuple[str, ...],
    models: tuple[str, ...],
    failing: tuple[str, ...],
    **options: Any,
) -> None:
    """Run one engine until it gets SIGTERM or SIGINT."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    pairs = tuple(tuple(text.split("=", 1)) for text in models)
    server = EngineServer(
        EngineOptions(
            stages=stages,
            entry_addresses=entries,
            models=pairs,
            failing_versions=frozenset(failing),
            **options,
        )
    )
    server.start()
    click.echo(server.address)
    stop.wait()
    server.stop()


if __name__ == "__main__":
    main()
