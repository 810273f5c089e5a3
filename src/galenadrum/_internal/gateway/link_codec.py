"""Encodes and decodes the messages of links between hosts."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from galenadrum._internal.configuration.versions import encode_version
from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.dispatch.held_prompts import HeldPrompt
from galenadrum._internal.dispatch.messages import (
    Placement,
    PlacementOutcome,
    PlacementRefusal,
    PlacementRequest,
    PlacementUpdate,
    PromptPart,
    StageProgress,
    StageResults,
)
from galenadrum._internal.models.announcements import (
    Announcement,
    Departure,
    LeavingServer,
    ServerState,
)
from galenadrum._internal.models.quarantine import QuarantinedPart, ServerCrash
from galenadrum._internal.models.routing import Route
from galenadrum._internal.models.server_limits import ServerLimit, ServerRest
from galenadrum._internal.models.server_load import ServerLoad
from galenadrum._internal.models.stream_bindings import StreamBinding, TakenUpStream
from galenadrum._internal.protocol import gateway_pb2 as pb

_MS_PER_S = 1_000
_MAX_PRIORITY = 2**31 - 1
_MAX_TOKENS = 2**31 - 1
_PERCENT = 100
_MAX_PERCENT = 2**31 - 1


def encode_server_entry(entry: ServerEntry, now: float) -> pb.LinkMessage:
    """Encode a directory entry of a server; the warm-up end becomes a duration."""
    announcement = entry.announcement
    return pb.LinkMessage(
        server=pb.ServerAnnouncement(
            server_id=announcement.server_id,
            incarnation_ms=announcement.incarnation_ms,
            sequence=announcement.sequence,
            service=announcement.service,
            address=announcement.address,
            zone=announcement.zone,
            concurrency=announcement.concurrency,
            state=announcement.state.value,
            warm_up_ms=max(0, int((entry.warm_up_ends_at - now) * _MS_PER_S)),
            is_silent=entry.is_silent,
            software_version=announcement.software_version,
        )
    )


def decode_announcement(record: pb.ServerAnnouncement) -> Announcement:
    """Decode the announcement of a server."""
    return Announcement(
        record.server_id,
        record.incarnation_ms,
        record.sequence,
        record.service,
        record.address,
        record.zone,
        record.concurrency,
        ServerState(record.state),
        record.warm_up_ms / _MS_PER_S,
        record.software_version,
    )


@dataclass(frozen=True, slots=True)
class RemotePlacementRequest:
    """A received placement request whose route is not resolved yet."""

    record: pb.PlacementRequest

    @property
    def route_name(self) -> str:
        """Name of the request's route."""
        return self.record.route

    def resolve(self, route: Route, now: float, sender: str = "") -> PlacementRequest:
        """Return the request with its route and with times in this host's loop time.

        Args:
            route: Route of the request.
            now: Loop time in seconds.
            sender: Id of the host that sent it.
        """
        record = self.record
        return PlacementRequest(
            request_id=record.request_id,
            route=route,
            service=record.service,
            pieces=tuple(record.pieces),
            piece_key=record.piece_key,
            prompt=tuple(PromptPart(p.part_id, p.tokens) for p in record.prompt),
            prompt_tokens=record.prompt_tokens,
            priority=record.priority,
            objective_at=now + record.objective_left_ms / _MS_PER_S,
            give_up_at=now + record.give_up_left_ms / _MS_PER_S,
            zone=record.zone,
            is_returning=record.is_returning,
            is_resumed=record.is_resumed,
            results=tuple(decode_results(r, now) for r in record.results),
            digest=record.digest,
            software_version=(
                record.software_version if record.HasField("software_version") else None
            ),
            taken_up=(
                TakenUpStream(record.taken_up.request_id, record.taken_up.organisation)
                if record.HasField("taken_up")
                else None
            ),
            sender=sender,
            rests=tuple(
                ServerRest(rest.server_id, rest.left_ms / _MS_PER_S)
                for rest in record.rests
            ),
            excluded_ids=tuple(record.excluded_server_ids),
            output_tokens=record.output_tokens,
            expected_output_tokens=record.expected_output_tokens,
        )


def encode_request(
    request: PlacementRequest, domain: str, version: int, now: float
) -> pb.LinkMessage:
    """Encode a placement request; times become durations, as host clocks differ."""
    return pb.LinkMessage(
        place=pb.PlacementRequest(
            request_id=request.request_id,
            route=request.route.name,
            service=request.service,
            pieces=request.pieces,
            piece_key=request.piece_key,
            prompt=[
                pb.PromptPart(part_id=p.part_id, tokens=p.tokens)
                for p in request.prompt
            ],
            prompt_tokens=request.prompt_tokens,
            priority=min(max(request.priority, -_MAX_PRIORITY), _MAX_PRIORITY),
            objective_left_ms=int((request.objective_at - now) * _MS_PER_S),
            give_up_left_ms=int((request.give_up_at - now) * _MS_PER_S),
            zone=request.zone,
            version=encode_version(version),
            domain=domain,
            is_returning=request.is_returning,
            is_resumed=request.is_resumed,
            results=[_encode_results(results, now) for results in request.results],
            digest=request.digest,
            software_version=request.software_version,
            taken_up=_encode_taken_up(request.taken_up),
            rests=[
                pb.ServerRest(
                    server_id=rest.server_id, left_ms=int(rest.left_s * _MS_PER_S)
                )
                for rest in request.rests
            ],
            excluded_server_ids=request.excluded_ids,
            output_tokens=min(request.output_tokens, _MAX_TOKENS),
            expected_output_tokens=min(
                max(0, request.expected_output_tokens), _MAX_TOKENS
            ),
        )
    )


def _encode_taken_up(stream: TakenUpStream | None) -> pb.TakenUpStream | None:
    if stream is None:
        return None
    return pb.TakenUpStream(
        request_id=stream.request_id, organisation=stream.organisation
    )


def _encode_results(results: StageResults, now: float) -> pb.StageResults:
    return pb.StageResults(
        stage=results.stage,
        handles=results.handles,
        left_ms=max(0, int((results.expires_at - now) * _MS_PER_S)),
    )


def decode_results(record: pb.StageResults, now: float) -> StageResults:
    """Decode the results of a stage, with their expiry in this host's loop time."""
    expires_at = now + record.left_ms / _MS_PER_S
    return StageResults(record.stage, tuple(record.handles), expires_at)


def encode_placement_update(update: PlacementUpdate, now: float) -> pb.LinkMessage:
    """Encode a dispatcher's placement, stage progress or refusal for a request."""
    match update:
        case Placement():
            return pb.LinkMessage(
                placement=pb.Placement(
                    request_id=update.request_id,
                    server_id=update.server_id,
                    address=update.address,
                    inputs=update.inputs,
                    software_version=update.software_version,
                    service=update.service,
                    cache_source=update.cache_source,
                )
            )
        case StageProgress():
            return pb.LinkMessage(
                progress=pb.StageProgress(
                    request_id=update.request_id,
                    results=_encode_results(update.results, now),
                )
            )
        case PlacementRefusal():
            return pb.LinkMessage(
                refusal=pb.PlacementRefusal(
                    request_id=update.request_id,
                    reason=update.reason,
                    retry_after_ms=int(update.retry_after_s * _MS_PER_S),
                )
            )


def decode_placement(record: pb.Placement) -> Placement:
    """Decode a placement."""
    return Placement(
        record.request_id,
        record.server_id,
        record.address,
        tuple(record.inputs),
        record.software_version,
        record.service,
        record.cache_source,
    )


def decode_refusal(record: pb.PlacementRefusal) -> PlacementRefusal:
    """Decode a refusal."""
    return PlacementRefusal(
        record.request_id, record.reason, record.retry_after_ms / _MS_PER_S
    )


def encode_report(
    request_id: str,
    server_id: str,
    outcome: PlacementOutcome,
    rest_s: float = 0.0,
    load: ServerLoad | None = None,
) -> pb.LinkMessage:
    """Encode a report of the outcome of a placement.

    A build that knows neither rests nor requests that are held back reads these as
    rejections.

    Args:
        request_id: Id of the request.
        server_id: Server at which it was placed.
        outcome: Outcome of the placement.
        rest_s: Seconds for which the server asked this host for a rest.
        load: Load that the server reports; None if it reports none.
    """
    is_held_back = outcome is PlacementOutcome.HELD_BACK
    known = PlacementOutcome.REJECTED if is_held_back else outcome
    return pb.LinkMessage(
        report=pb.PlacementReport(
            request_id=request_id,
            server_id=server_id,
            outcome=known.value,
            rest_ms=math.ceil(rest_s * _MS_PER_S),
            is_held_back=is_held_back,
            running=load.running if load else None,
            waiting=load.waiting if load else 0,
            slots=load.slots if load else 0,
            work_time_percent=_encode_work_time(load),
        )
    )


def _encode_work_time(load: ServerLoad | None) -> int | None:
    if load is None or load.work_time_factor is None:
        return None
    return min(max(1, round(load.work_time_factor * _PERCENT)), _MAX_PERCENT)


def decode_load(record: pb.PlacementReport) -> ServerLoad | None:
    """Decode the load in a report; None if it has none."""
    if not record.HasField("running"):
        return None
    # 0 percent is no time that work can take.
    percent = record.work_time_percent
    factor = percent / _PERCENT if percent else None
    return ServerLoad(record.running, record.waiting, record.slots, factor)


def decode_outcome(record: pb.PlacementReport) -> PlacementOutcome:
    """Decode the outcome of a placement.

    Raises:
        ValueError: The outcome is unknown.
    """
    if record.is_held_back:
        return PlacementOutcome.HELD_BACK
    return PlacementOutcome(record.outcome)


def encode_held_prompts(prompts: Iterable[HeldPrompt]) -> pb.LinkMessage:
    """Encode what engines have read."""
    records = [
        pb.HeldPrompt(
            server_id=held.server_id,
            incarnation_ms=held.incarnation_ms,
            parts=[
                pb.PromptPart(part_id=part.part_id, tokens=part.tokens)
                for part in held.parts
            ],
        )
        for held in prompts
    ]
    return pb.LinkMessage(held_prompts=pb.HeldPrompts(prompts=records))


def decode_held_prompts(message: pb.HeldPrompts) -> list[HeldPrompt]:
    """Decode what engines have read; a record without parts is left out."""
    return [
        HeldPrompt(
            record.server_id,
            record.incarnation_ms,
            tuple(PromptPart(part.part_id, part.tokens) for part in record.parts),
        )
        for record in message.prompts
        if record.parts
    ]


def encode_crash(crash: ServerCrash, now: float) -> pb.LinkMessage:
    """Encode the report of a crashed server; its time becomes an age."""
    return pb.LinkMessage(
        crash=pb.ServerCrash(
            server_id=crash.server_id,
            incarnation_ms=crash.incarnation_ms,
            prompts=[pb.PartIds(part_ids=prompt) for prompt in crash.prompts],
            age_ms=max(0, int((now - crash.broken_at) * _MS_PER_S)),
        )
    )


def decode_crash(record: pb.ServerCrash, now: float) -> ServerCrash:
    """Decode the report of a crashed server, with its time in this host's loop time."""
    prompts = tuple(tuple(prompt.part_ids) for prompt in record.prompts)
    broken_at = now - record.age_ms / _MS_PER_S
    return ServerCrash(record.server_id, record.incarnation_ms, broken_at, prompts)


def encode_quarantine(record: QuarantinedPart, now: float) -> pb.LinkMessage:
    """Encode a quarantined part; the end of its term becomes a duration."""
    return pb.LinkMessage(
        quarantine=pb.PartQuarantine(
            part_id=record.part_id,
            named_by=record.named_by,
            term=record.term,
            left_ms=int((record.expires_at - now) * _MS_PER_S),
            crashes=record.crashes,
            is_lifted=record.is_lifted,
            suspected_ms=max(0, int((now - record.suspected_since) * _MS_PER_S)),
        )
    )


def decode_quarantine(record: pb.PartQuarantine, now: float) -> QuarantinedPart:
    """Decode a quarantined part, with the end of its term in this host's loop time."""
    return QuarantinedPart(
        record.part_id,
        record.named_by,
        record.term,
        now + record.left_ms / _MS_PER_S,
        record.crashes,
        record.is_lifted,
        now - record.suspected_ms / _MS_PER_S,
    )


def encode_leaving(leaving: LeavingServer) -> pb.LinkMessage:
    """Encode a server that is about to stop."""
    return pb.LinkMessage(
        leaving=pb.LeavingServer(
            server_id=leaving.server_id, incarnation_ms=leaving.incarnation_ms
        )
    )


def decode_leaving(record: pb.LeavingServer) -> LeavingServer:
    """Decode a server that is about to stop."""
    return LeavingServer(record.server_id, record.incarnation_ms)


def encode_evacuations(order: int, zones: Iterable[str]) -> pb.LinkMessage:
    """Encode the evacuated zones and the log index of their latest change."""
    return pb.LinkMessage(evacuations=pb.Evacuations(order=order, zones=zones))


def encode_departures(departures: Iterable[Departure], number: int) -> pb.LinkMessage:
    """Encode departures of servers.

    Args:
        departures: The departures.
        number: Number for the answer; 0 if none is wanted.
    """
    records = [
        pb.Departure(
            server_id=departure.server_id,
            incarnation_ms=departure.incarnation_ms,
            sequence=departure.sequence,
            state=departure.state.value,
            service=departure.service,
        )
        for departure in departures
    ]
    return pb.LinkMessage(departures=pb.Departures(number=number, departures=records))


def decode_departures(record: pb.Departures) -> list[Departure]:
    """Decode departures of servers.

    Raises:
        ValueError: A state is unknown.
    """
    return [
        Departure(
            departure.server_id,
            departure.incarnation_ms,
            departure.sequence,
            ServerState(departure.state),
            departure.service if departure.HasField("service") else None,
        )
        for departure in record.departures
    ]


def encode_limit(limit: ServerLimit, now: float) -> pb.LinkMessage:
    """Encode the limit of a server; the time at which it was heard becomes an age."""
    return pb.LinkMessage(
        limit=pb.ServerLimit(
            server_id=limit.server_id,
            incarnation_ms=limit.incarnation_ms,
            per_s=limit.per_s,
            age_ms=max(0, int((now - limit.heard_at) * _MS_PER_S)),
            max_rejections_per_s=limit.max_rejections_per_s,
        )
    )


def decode_limit(record: pb.ServerLimit, now: float) -> ServerLimit:
    """Decode the limit of a server, with times in this host's loop time."""
    return ServerLimit(
        record.server_id,
        record.incarnation_ms,
        record.per_s if record.HasField("per_s") else None,
        now - record.age_ms / _MS_PER_S,
        (
            record.max_rejections_per_s
            if record.HasField("max_rejections_per_s")
            else None
        ),
    )


def encode_bindings(
    bindings: Iterable[StreamBinding], number: int, now: float
) -> pb.LinkMessage:
    """Encode bindings of streams; times become durations, as host clocks differ.

    Args:
        bindings: The bindings.
        number: Number for the answer; 0 if none is wanted.
        now: Loop time in seconds.
    """
    records = [
        pb.StreamBinding(
            request_id=binding.request_id,
            organisation=binding.organisation,
            service=binding.service,
            software_version=binding.software_version,
            server_id=binding.server_id,
            age_ms=max(0, int((now - binding.bound_at) * _MS_PER_S)),
            left_ms=max(0, int((binding.expires_at - now) * _MS_PER_S)),
            is_ambiguous=binding.is_ambiguous,
        )
        for binding in bindings
    ]
    return pb.LinkMessage(bindings=pb.StreamBindings(number=number, bindings=records))


def decode_bindings(record: pb.StreamBindings, now: float) -> tuple[StreamBinding, ...]:
    """Decode bindings of streams, with times in this host's loop time."""
    return tuple(
        StreamBinding(
            binding.request_id,
            binding.organisation,
            binding.service,
            binding.software_version,
            binding.server_id,
            now - binding.age_ms / _MS_PER_S,
            now + binding.left_ms / _MS_PER_S,
            binding.is_ambiguous,
        )
        for binding in record.bindings
    )
