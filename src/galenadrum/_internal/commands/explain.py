"""The command ``explain``."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import urlencode

import click
import urllib3

from galenadrum._internal.cli import output, status_codes
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    MalformedAnswerError,
    OperatorApiError,
)
from galenadrum._internal.network.operator_connections import create_call_pool

_DEFAULT_TIMEOUT_S = 5.0
_OK = 200
_NONE = "-"
_STAGE_HEADERS = ("STAGE", "SERVICE", "PIECES", "STARTS", "WAIT", "CALL", "USABLE")
_ENGINE_HEADERS = (
    "ENGINE",
    "ZONE",
    "DELAY",
    "COST",
    "READS",
    "FETCHES",
    "PENDING",
    "RUNNING",
    "HOLDS",
    "LEFT OUT",
)
_SERVER_HEADERS = ("SERVER", "ZONE", "LEFT OUT")


@click.command("explain")
@click.option(
    "--host",
    required=True,
    metavar="ADDRESS",
    help="Metrics address of a control host, such as 10.0.0.1:9102.",
)
@click.option("--route", required=True, help="Name of the request's route.")
@click.option("--pieces", help="Pieces of each stage of the route, such as 18,58.")
@click.option(
    "--prompt-tokens",
    help="Length of the prompt; the sum of its parts when left out.",
)
@click.option("--prompt", help="Parts of the prompt in order, as ID:TOKENS,...")
@click.option("--zone", help="Zone in which the request arrives; else the host's.")
@click.option("--priority", help="Priority rank; else that of the route.")
@click.option(
    "--timeout-s",
    type=click.FloatRange(min=0, min_open=True, max=3_600),
    default=_DEFAULT_TIMEOUT_S,
    show_default=True,
    help="Longest time for the answer, in seconds.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
def command(
    host: str, route: str, timeout_s: float, as_json: bool, **values: str | None
) -> int:
    """Show where a request would go now and why, without sending it.

    The control host answers from what it knows at this moment, and changes
    nothing. Only the host that dispatches knows all requests that were placed;
    the answer says which one that is. Of a route without a dispatcher, the
    usable servers are listed.

    \b
    Examples:
      galenadrum explain --host 10.0.0.1:9102 --route plan --pieces 18,58
      galenadrum explain --host 10.0.0.1:9102 --route note --prompt a1:568,b7:1800
    """
    given = {name: value for name, value in values.items() if value is not None}
    answer = _read_answer(host, {"route": route, **given}, timeout_s)
    if as_json:
        output.write_json(answer)
        return status_codes.SUCCESS
    try:
        _write_answer(answer)
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedAnswerError(
            f"the answer of {host} lacks a value or has one of another form"
            f" ({error!r}), expected that of this version's /explain; --json prints it"
        ) from error
    return status_codes.SUCCESS


def _read_answer(host: str, query: dict[str, str], timeout_s: float) -> dict[str, Any]:
    base = host if "://" in host else f"http://{host}"
    url = f"{base.rstrip('/')}/explain"
    try:
        response = create_call_pool().request(
            "GET", f"{url}?{urlencode(query)}", timeout=timeout_s
        )
    except urllib3.exceptions.LocationValueError as error:
        raise click.UsageError(
            f"--host is {host!r}, expected IP:PORT of a control host's metrics: {error}"
        ) from error
    except urllib3.exceptions.HTTPError as error:
        raise ControlUnreachableError(
            f"no answer from {url} within {timeout_s:g} s, expected a control host's"
            f" metrics address: {error}"
        ) from error
    answer = _parse_object(response.data)
    if response.status != _OK:
        error = answer.get("error") if answer is not None else None
        found = error if isinstance(error, dict) else {}
        message = found.get("message", "an answer without a message")
        raise OperatorApiError(
            str(found.get("code", "")), f"{url} answered {response.status}: {message}"
        )
    if answer is None or not isinstance(answer.get("backends"), list):
        content_type = response.headers.get("Content-Type", "no content type")
        raise MalformedAnswerError(
            f"{url} answered with {content_type}, expected the JSON of /explain; only"
            " control hosts with this version or a later one have it"
        )
    return answer


def _parse_object(data: bytes) -> dict[str, Any] | None:
    try:
        value = json.loads(data)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None


def _write_answer(answer: dict[str, Any]) -> None:
    output.write_text(
        f"route {answer['route']} ({answer['kind']}, configuration"
        f" {answer['version']}), from zone {answer['zone'] or _NONE}"
    )
    output.write_text(_describe_dispatcher(answer))
    if answer["is_holding_servers"]:
        output.write_text(
            f"{answer['host_id']} doesn't dispatch yet: its log hasn't caught up"
        )
    for backend in answer["backends"]:
        output.write_text("")
        output.write_text(f"service {backend['service']} (weight {backend['weight']})")
        if answer["dispatcher"] is None:
            rows = [_to_server_row(server) for server in backend["servers"]]
            output.write_table(_SERVER_HEADERS, rows)
        else:
            _write_placement(backend)


def _describe_dispatcher(answer: dict[str, Any]) -> str:
    host_id, dispatcher = answer["host_id"], answer["dispatcher"]
    if dispatcher is None:
        return (
            f"entry hosts choose the server; these are the servers as {host_id} knows"
        )
    servers = f"zone {dispatcher['zone']}" if dispatcher["zone"] else "all zones"
    if dispatcher["is_this_host"]:
        return f"{host_id} dispatches for {servers}"
    return (
        f"{host_id} is not in charge: {dispatcher['host_id']} dispatches for {servers};"
        " ask that host, as this one doesn't know what it has placed"
    )


def _write_placement(backend: dict[str, Any]) -> None:
    output.write_text(_describe_decision(backend))
    if backend["stages"]:
        rows = [_to_stage_row(stage) for stage in backend["stages"]]
        output.write_table(_STAGE_HEADERS, rows)
    if backend["engines"]:
        rows = [_to_engine_row(engine) for engine in backend["engines"]]
        output.write_table(_ENGINE_HEADERS, rows)


def _describe_decision(backend: dict[str, Any]) -> str:
    times = (
        f"first event in {_format_s(backend['corrected_s'])} (forecast"
        f" {_format_s(backend['first_event_s'])}), due in"
        f" {_format_s(backend['due_s'])}"
    )
    if not backend["is_admitted"]:
        retry = _format_s(backend["retry_after_s"])
        return f"refused: {backend['reason']}, retry after {retry}; {times}"
    if not backend["engine_id"]:
        return f"admitted, would wait for an engine; {times}"
    return f"admitted, at {backend['engine_id']} if placed now; {times}"


def _to_stage_row(stage: dict[str, Any]) -> tuple[Any, ...]:
    return (
        stage["stage"],
        stage["service"],
        stage["pieces"],
        _format_s(stage["start_s"]),
        _format_s(stage["wait_s"]),
        _format_s(stage["call_s"]),
        f"{len(stage['usable_ids'])} of {stage['known_servers']}",
    )


def _to_engine_row(engine: dict[str, Any]) -> tuple[Any, ...]:
    fetched = engine["fetched_tokens"]
    capacity = engine["capacity_tokens"]
    return (
        engine["server_id"],
        engine["zone"],
        _format_s(engine["delay_s"]),
        _format_s(engine["cost_s"]),
        engine["read_tokens"],
        f"{fetched} from {engine['fetch_source']}" if fetched else _NONE,
        engine["pending_prefill_tokens"],
        engine["running_requests"],
        f"{engine['held_tokens']} of {capacity}" if capacity else engine["held_tokens"],
        engine["left_out"] or _NONE,
    )


def _to_server_row(server: dict[str, Any]) -> tuple[str, ...]:
    return (server["server_id"], server["zone"], server["left_out"] or _NONE)


def _format_s(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.3f} s"
