"""State of one request while it is forwarded: its limits and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from galenadrum._internal.gateway.dialect import RequestMetadata
from galenadrum._internal.models.routing import OrganisationKeys, Route
from galenadrum._internal.network.http1.heads import RequestHead

# Deadlines that callers give with their first request differ by less than this from
# the usual deadline of the route.
_FIRST_REQUEST_TOLERANCE_S = 0.1
# Rejected sends, which certainly did not run, after which a request may still be sent
# again; they do not count towards the route's attempts.
_MAX_REJECTIONS = 3
# Responses that broke off as they began, after which a request is not sent again: it
# may be what crashes its servers.
_MAX_EARLY_BREAKS = 2


@dataclass(slots=True)
class Attempts:
    """Counts the sends of one request against the limits of its route.

    Attributes:
        possible_runs: Number of sends that may have run the request.
        rejections: Number of sends that certainly did not run it.
        early_breaks: Number of responses that broke off before they had well begun.
        excluded_ids: Ids of the servers that the request was sent to.
        has_withdrawn_retry: Whether the next send is paid for from the retry budget.
    """

    route: Route
    possible_runs: int = 0
    rejections: int = 0
    early_breaks: int = 0
    excluded_ids: set[str] = field(default_factory=set)
    has_withdrawn_retry: bool = False

    @property
    def is_first(self) -> bool:
        """Whether the request has not been sent yet."""
        return not self.possible_runs and not self.rejections

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent once more."""
        if self.rejections > _MAX_REJECTIONS:
            return False
        if self.early_breaks >= _MAX_EARLY_BREAKS:
            return False
        if not self.possible_runs:
            return True
        return self.route.is_repeatable and self.possible_runs < self.route.max_attempts


@dataclass(frozen=True, slots=True)
class RequestContext:
    """A caller's request that passed all checks.

    Attributes:
        digest: Id of the request, the same under each request id.
        service: Service drawn by weight among those of the route.
        received_at: Loop time in seconds at which the request was received.
        first_requested_at: Estimated loop time in seconds of the caller's first
            request, which may have been refused.
        deadline_at: Loop time in seconds of the earlier of the caller's deadline and
            the route's timeout.
    """

    head: RequestHead
    body: bytes
    digest: str
    metadata: RequestMetadata
    route: Route
    organisation: OrganisationKeys | None
    service: str
    received_at: float
    first_requested_at: float
    deadline_at: float

    @property
    def suspect_ids(self) -> tuple[str, ...]:
        """Ids of what may crash its servers: the prompt's parts and the request."""
        return (*(part.part_id for part in self.metadata.prompt), self.digest)

    @property
    def is_returning(self) -> bool:
        """Whether the caller is estimated to have sent the request before."""
        return self.received_at - self.first_requested_at > _FIRST_REQUEST_TOLERANCE_S

    @property
    def priority(self) -> int:
        """Priority of the organisation, or of the route if it has none."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority
