"""What goes into a dispatcher and what comes out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.models.announcements import Announcement
from galenadrum._internal.models.routing import Route


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class StageResults:
    """All results of one stage of a request.

    Attributes:
        handles: Of the pieces, in their order.
        expires_at: Loop time in seconds at which the first of them expires.
    """

    stage: int
    handles: tuple[str, ...]
    expires_at: float


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request whose stages are to run and which then needs a model engine.

    Attributes:
        service: The route's service that was drawn for it.
        pieces: Number of pieces of each stage; 0 leaves the stage out.
        piece_key: Names the request's input for stages that come first.
        prompt: Parts in their order.
        priority: Rank; 0 is the most urgent.
        objective_at: Loop time in seconds by which the first event is due.
        give_up_at: Loop time in seconds after which the caller waits no more.
        zone: Where the caller is.
        is_returning: Whether it was refused before and has come back.
        is_resumed: Whether a dispatcher that is lost had taken it.
        results: What that dispatcher had made for it.
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


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request is to be sent.

    Attributes:
        inputs: Handles of the results that the engine takes in.
    """

    request_id: str
    server_id: str
    address: str
    inputs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PlacementRefusal:
    """Says that a request was not and will not be placed."""

    request_id: str
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class StageProgress:
    """Tells a request's host of results, so that another dispatcher can go on."""

    request_id: str
    results: StageResults


class PlacementOutcome(StrEnum):
    """What became of a placement.

    REJECTED and INPUTS_GONE say that the engine did not run the request, so
    that it is to be placed again; UNREACHABLE that nothing was sent.
    """

    STARTED = "started"
    FINISHED = "finished"
    FAILED = "failed"
    REJECTED = "rejected"
    INPUTS_GONE = "inputs_gone"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class StagePiece:
    """One piece of one stage of a request, as a server is asked for it.

    Attributes:
        inputs: Handles of what it takes in; empty for stages that come first.
        left_s: Time in which its result is of use.
    """

    request_id: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]
    left_s: float


@dataclass(frozen=True, slots=True)
class StageCall:
    """Pieces of any requests that one server makes in one call."""

    call_id: int
    server: Announcement
    pieces: tuple[StagePiece, ...]
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ResultsRelease:
    """Results at one server that are of no more use."""

    address: str
    handles: tuple[str, ...]


class PieceFailure(StrEnum):
    """Why a server made no result for a piece."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class PieceResult:
    """What a server answered for one piece: a handle or a failure."""

    handle: str = ""
    failure: PieceFailure | None = None


class CallFailure(StrEnum):
    """Why a whole stage call brought no results.

    FULL and MISDIRECTED say that nothing ran.
    """

    FULL = "full"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


PlacementNews = Placement | PlacementRefusal | StageProgress
Action = PlacementNews | StageCall | ResultsRelease
