"""The page ``/explain`` of a control host: where a request would go now, and why."""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from galenadrum._internal.configuration.route_table import RouteTable
from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.dispatch.driver import DispatchDriver
from galenadrum._internal.dispatch.explanation import explain_plain_service
from galenadrum._internal.dispatch.messages import PlacementRequest, PromptPart
from galenadrum._internal.exceptions import InvalidQueryError
from galenadrum._internal.gateway.stream_forwarder import find_caller_timeout
from galenadrum._internal.models.routing import Route, RouteKind
from galenadrum._internal.network.http1.server import Exchange
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.rest_schedule import Rests

_CONTENT_TYPE = (b"Content-Type", b"application/json")
_PARAMETERS = ("route", "pieces", "prompt_tokens", "prompt", "zone", "priority")
# Entry hosts refuse requests with more pieces in a stage.
_MAX_PIECES = 10_000
# Entry hosts take a larger count of tokens as absent.
_MAX_TOKENS = 2**31 - 1
_MAX_PRIORITY = 1_000


@dataclass(frozen=True, slots=True)
class ExplainQuery:
    """The request that is asked about.

    Attributes:
        pieces: Number of pieces of each stage of the route.
        prompt: Parts of its prompt in order.
        prompt_tokens: Length of its prompt in tokens.
        zone: Zone in which it arrives.
        priority: Priority rank; 0 is the most urgent.
    """

    route: Route
    pieces: tuple[int, ...]
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    zone: str
    priority: int


@dataclass(frozen=True, slots=True)
class ExplainSources:
    """What a control host knows that decides about requests.

    Attributes:
        host_id: Id of this host.
        zone: Zone of this host.
        zones: Zones that requests may arrive in; empty if any is accepted.
        find_route_table: Returns the routes in force; None without a configuration.
        find_dispatcher: Returns, for the zone of a request, the id of the host that
            dispatches and the zone whose servers it uses, empty for all zones.
        is_holding_servers: Returns whether this host doesn't dispatch yet, as it
            may not know all evacuations.
        dispatch: Dispatchers of this host.
        entries: The directory of servers.
        pacer: Spaces the requests to servers that name a limit.
        rests: Rests that servers asked this host for.
        clock: Returns the loop time in seconds.
    """

    host_id: str
    zone: str
    zones: tuple[str, ...]
    find_route_table: Callable[[], RouteTable | None]
    find_dispatcher: Callable[[str], tuple[str, str]]
    is_holding_servers: Callable[[], bool]
    dispatch: DispatchDriver
    entries: Iterable[ServerEntry]
    pacer: RequestPacer
    rests: Rests
    clock: Callable[[], float]


def build_explain_page(sources: ExplainSources) -> Callable[[Exchange], None]:
    """Return the handler of ``GET /explain``."""

    def handle(exchange: Exchange) -> None:
        if exchange.head.method not in (b"GET", b"HEAD"):
            method = exchange.head.method.decode("latin-1")
            message = f"the method is {method}, expected GET"
            _respond_error(exchange, 405, "method_not_allowed", message)
            return
        table = sources.find_route_table()
        if table is None:
            message = f"host {sources.host_id} has no configuration yet"
            _respond_error(exchange, 503, "no_configuration", message)
            return
        try:
            query = parse_query(
                exchange.head.target, table, sources.zones, sources.zone
            )
        except InvalidQueryError as error:
            _respond_error(exchange, 400, "invalid_query", str(error))
            return
        answer = _explain(sources, table, query)
        exchange.respond(200, [_CONTENT_TYPE], _encode_json(answer))

    return handle


def _explain(
    sources: ExplainSources, table: RouteTable, query: ExplainQuery
) -> dict[str, Any]:
    route = query.route
    is_plain = route.kind is not RouteKind.STREAM
    answer: dict[str, Any] = {
        "host_id": sources.host_id,
        "zone": query.zone,
        "route": route.name,
        "kind": route.kind.value,
        "version": table.configuration.version,
        "is_holding_servers": sources.is_holding_servers(),
        "dispatcher": None,
    }
    domain = ""
    if not is_plain:
        host_id, domain = sources.find_dispatcher(query.zone)
        answer["dispatcher"] = {
            "host_id": host_id,
            "zone": domain,
            "is_this_host": host_id == sources.host_id,
        }
    answer["backends"] = [
        {
            "service": backend.service,
            "weight": backend.weight,
            **(
                _explain_plain(sources, backend.service)
                if is_plain
                else _explain_stream(sources, query, backend.service, domain)
            ),
        }
        for backend in route.backends
    ]
    return answer


def _explain_plain(sources: ExplainSources, service: str) -> dict[str, Any]:
    explained = explain_plain_service(
        service, sources.entries, sources.pacer, sources.rests, sources.clock()
    )
    return dataclasses.asdict(explained)


def _explain_stream(
    sources: ExplainSources, query: ExplainQuery, service: str, domain: str
) -> dict[str, Any]:
    request = _build_request(query, service, sources.clock())
    return dataclasses.asdict(sources.dispatch.explain(request, domain))


def _build_request(query: ExplainQuery, service: str, now: float) -> PlacementRequest:
    route = query.route
    return PlacementRequest(
        request_id="explain",
        route=route,
        service=service,
        pieces=query.pieces,
        piece_key="",
        prompt=query.prompt,
        prompt_tokens=query.prompt_tokens,
        priority=query.priority,
        objective_at=now + route.objective_s,
        give_up_at=now + min(route.timeout_s, find_caller_timeout(route)),
        zone=query.zone,
    )


def parse_query(
    target: bytes, table: RouteTable, zones: tuple[str, ...], own_zone: str
) -> ExplainQuery:
    """Return the request that the target of ``GET /explain`` describes.

    Args:
        target: Path and query.
        table: Routes in force.
        zones: Zones that are accepted; empty for any.
        own_zone: Zone that is taken if the query names none.

    Raises:
        InvalidQueryError: A value is missing or malformed.
    """
    value_by_name = _split_query(target)
    name = value_by_name.get("route", "")
    route = table.find_route_by_name(name)
    if route is None:
        known = ", ".join(r.name for r in table.configuration.routes) or "none is known"
        raise InvalidQueryError(f"route is {name!r}, expected a route: {known}")
    zone = value_by_name.get("zone", own_zone)
    if zones and zone not in zones:
        raise InvalidQueryError(f"zone is {zone!r}, expected one of {', '.join(zones)}")
    prompt = _parse_prompt(value_by_name.get("prompt", ""))
    prompt_tokens = sum(part.tokens for part in prompt)
    if "prompt_tokens" in value_by_name:
        prompt_tokens = _parse_count(
            "prompt_tokens", value_by_name["prompt_tokens"], _MAX_TOKENS
        )
    priority = route.priority
    if "priority" in value_by_name:
        priority = _parse_count("priority", value_by_name["priority"], _MAX_PRIORITY)
    pieces = _parse_pieces(value_by_name.get("pieces", ""), route)
    return ExplainQuery(route, pieces, prompt, prompt_tokens, zone, priority)


def _split_query(target: bytes) -> dict[str, str]:
    text = target.partition(b"?")[2].decode("latin-1")
    value_by_name: dict[str, str] = {}
    for name, value in parse_qsl(text, keep_blank_values=True, encoding="latin-1"):
        if name not in _PARAMETERS:
            expected = ", ".join(_PARAMETERS)
            raise InvalidQueryError(f"parameter {name!r}, expected one of {expected}")
        if name in value_by_name:
            raise InvalidQueryError(f"{name} is given twice, expected it once")
        # Ids of prompt parts are compared with those in the headers of callers.
        is_from_header = name == "prompt"
        value_by_name[name] = value if is_from_header else _decode_utf8(value)
    return value_by_name


def _decode_utf8(value: str) -> str:
    return value.encode("latin-1").decode("utf-8", "replace")


def _parse_count(name: str, text: str, most: int) -> int:
    # The length is checked first, as the conversion of long numbers is refused.
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(most))
    if not is_number or int(text) > most:
        raise InvalidQueryError(
            f"{name} is {text!r}, expected a whole number from 0 to {most}"
        )
    return int(text)


def _parse_pieces(text: str, route: Route) -> tuple[int, ...]:
    parts = text.split(",") if text else []
    if len(parts) != len(route.stages):
        names = ", ".join(stage.service for stage in route.stages) or "none"
        raise InvalidQueryError(
            f"pieces is {text!r}, expected {len(route.stages)} numbers separated by"
            f" commas, one for each stage of route {route.name} ({names})"
        )
    return tuple(_parse_count("a number in pieces", p, _MAX_PIECES) for p in parts)


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    prompt = []
    for part in text.split(",") if text else []:
        part_id, _, tokens = part.rpartition(":")
        if not part_id:
            raise InvalidQueryError(
                f"a part of prompt is {part!r}, expected ID:TOKENS, such as a1:400"
            )
        count = _parse_count(
            f"the length of prompt part {part_id!r}", tokens, _MAX_TOKENS
        )
        prompt.append(PromptPart(part_id, count))
    return tuple(prompt)


def _encode_json(value: Any) -> bytes:
    return json.dumps(_replace_infinite(value), allow_nan=False).encode()


def _replace_infinite(value: Any) -> Any:
    """Return a value with None for infinite numbers, which JSON doesn't have."""
    if isinstance(value, dict):
        return {name: _replace_infinite(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [_replace_infinite(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def _respond_error(exchange: Exchange, status: int, code: str, message: str) -> None:
    body = {"error": {"code": code, "message": message}}
    exchange.respond(status, [_CONTENT_TYPE], _encode_json(body))
