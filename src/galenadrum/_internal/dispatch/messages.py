"""Requests, results and actions exchanged with a zone dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.models.announcements import Announcement
from galenadrum._internal.models.routing import Route
from galenadrum._internal.models.server_limits import ServerRest
from galenadrum._internal.models.stream_bindings import TakenUpStream

# Handles name an address and an id.
MAX_HANDLE_CHARACTERS = 512


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share.

    Attributes:
        part_id: Identifier that is equal for equal parts.
        tokens: Length in tokens.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class StageResults:
    """Complete results of one stage of a request.

    Attributes:
        stage: Index of the stage in the route.
        handles: Handles of the results, ordered by piece number.
        expires_at: Loop time in seconds at which the first result expires.
    """

    stage: int
    handles: tuple[str, ...]
    expires_at: float


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that runs its stages and is then placed at a model engine.

    Attributes:
        service: Engine service, drawn by weight from those of the route.
        pieces: Number of pieces of each stage; 0 skips the stage.
        piece_key: Key of the request's input for stages without predecessors.
        prompt: Parts of the prompt in order.
        priority: Priority rank; 0 is the most urgent.
        objective_at: Loop time in seconds by which the first event is due.
        give_up_at: Loop time in seconds at which the caller stops waiting.
        zone: Zone of the caller.
        is_returning: True for a retry of a request that was refused before.
        is_resumed: True if a dispatcher that is now lost had admitted the request.
        results: Stage results that were reported by that dispatcher.
        digest: Id of the request, the same under each request id.
        software_version: Version of the only engines that may serve it; None if any
            may.
        taken_up: The broken stream that it takes up; None if it begins one.
        sender: Id of the entry host that sends it to its engine; empty for this host.
        rests: Servers that asked that host for a rest.
        excluded_ids: Servers that turned the request away when a dispatcher that is
            now lost placed it there.
        output_tokens: Most tokens that it may generate; 0 if not given.
        expected_output_tokens: Tokens that its caller expects it to generate; 0 if not
            given.
    """

    request_id: str
    route: Route
    service: str
    pieces: tuple[int, ...]
    piece_key: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    priority: int
    objective_at: float
    give_up_at: float
    zone: str = ""
    is_returning: bool = False
    is_resumed: bool = False
    results: tuple[StageResults, ...] = ()
    digest: str = ""
    software_version: str | None = None
    taken_up: TakenUpStream | None = None
    sender: str = ""
    rests: tuple[ServerRest, ...] = ()
    excluded_ids: tuple[str, ...] = ()
    output_tokens: int = 0
    expected_output_tokens: int = 0

    @property
    def most_output_tokens(self) -> int:
        """Most tokens that it may generate, as far as its caller has told."""
        return self.output_tokens or self.expected_output_tokens

    @property
    def is_bound(self) -> bool:
        """Whether it goes on with a stream, at one software version only."""
        return self.software_version is not None

    @property
    def suspect_ids(self) -> tuple[str, ...]:
        """Ids of what may crash its engines: the prompt's parts and the request."""
        part_ids = tuple(part.part_id for part in self.prompt)
        return (*part_ids, self.digest) if self.digest else part_ids


@dataclass(frozen=True, slots=True)
class Placement:
    """Assignment of a request to a model engine.

    Attributes:
        address: Address of the engine.
        inputs: Handles of the results that the engine fetches as inputs.
        software_version: Version of the engine's software.
        cache_source: Address of the engine from whose cache it fetches what it lacks
            of the prompt; empty if it reads the prompt itself.
    """

    request_id: str
    server_id: str
    address: str
    inputs: tuple[str, ...]
    software_version: str = ""
    service: str = ""
    cache_source: str = ""


@dataclass(frozen=True, slots=True)
class PlacementRefusal:
    """Refusal of a request, which has not been and will not be placed.

    Attributes:
        reason: Reason code that is reported to the caller.
        retry_after_s: Delay in seconds after which the caller should retry.
    """

    request_id: str
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class StageProgress:
    """Report of a complete stage to the request's host.

    If this dispatcher is lost, the host passes the results to another one, which
    resumes the request.
    """

    request_id: str
    results: StageResults


class PlacementOutcome(StrEnum):
    """Outcome of a placement, as reported by the request's host.

    After REJECTED and INPUTS_LOST the engine has not run the request, and after
    UNREACHABLE and HELD_BACK, when the engine rests or leaves, the request was not
    sent; the dispatcher then places it again.
    """

    STARTED = "started"
    FINISHED = "finished"
    FAILED = "failed"
    REJECTED = "rejected"
    INPUTS_LOST = "inputs_gone"
    UNREACHABLE = "unreachable"
    HELD_BACK = "held_back"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class StagePiece:
    """One piece of one stage of a request, as sent to a stage server.

    Attributes:
        stage: Index of the stage in the route.
        number: Index of the piece within the stage.
        key: Key of the request's input.
        inputs: Handles of its inputs; empty for stages without predecessors.
        remaining_s: Time in seconds for which its result is still useful.
    """

    request_id: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]
    remaining_s: float


@dataclass(frozen=True, slots=True)
class StageCall:
    """A batch of pieces, from one or more requests, that one server processes."""

    call_id: int
    server: Announcement
    pieces: tuple[StagePiece, ...]
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ResultsRelease:
    """Results at one server that are no longer needed."""

    address: str
    handles: tuple[str, ...]
    server_id: str = ""
    incarnation_ms: int | None = None


class PieceFailure(StrEnum):
    """Reason why a server produced no result for a piece."""

    LATE = "late"
    INPUT_LOST = "input_gone"
    MEMORY_FULL = "no_room"
    ERROR = "error"


def is_valid_handle(handle: str) -> bool:
    """Return whether a result's handle can be sent on in headers and messages."""
    is_printable = handle.isascii() and handle.isprintable()
    has_separator = "," in handle or " " in handle
    return (
        0 < len(handle) <= MAX_HANDLE_CHARACTERS and is_printable and not has_separator
    )


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Result of one piece: a handle, or a failure if the handle is empty."""

    handle: str = ""
    failure: PieceFailure | None = None


class CallFailure(StrEnum):
    """Reason why a stage call returned no results at all.

    After FULL, MISDIRECTED and UNWANTED the server has not run any piece.
    """

    FULL = "full"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    UNWANTED = "unwanted"


PlacementUpdate = Placement | PlacementRefusal | StageProgress
Action = PlacementUpdate | StageCall | ResultsRelease
