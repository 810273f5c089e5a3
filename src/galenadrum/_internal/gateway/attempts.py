"""One request on its way to backend servers: its limits and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from galenadrum._internal.gateway.dialect import RequestFacts
from galenadrum._internal.models.routing import OrganisationKeys, Route
from galenadrum._internal.network.http1.heads import RequestHead

# Deadlines of first requests differ by less than this from their route's.
_RETURN_SLACK_S = 0.1
# Sends that a backend server certainly did not run, beyond the attempts.
_MAX_REJECTIONS = 3


@dataclass(slots=True)
class Attempts:
    """How often a request was sent, and how often it may be.

    Attributes:
        may_have_run: Sends after which it may have run.
        rejections: Sends that certainly did not run.
        excluded: Servers that it was sent to.
    """

    route: Route
    may_have_run: int = 0
    rejections: int = 0
    excluded: set[str] = field(default_factory=set)

    @property
    def is_first(self) -> bool:
        """Whether it was not sent yet."""
        return not self.may_have_run and not self.rejections

    @property
    def may_send(self) -> bool:
        """Whether it may be sent once more."""
        if self.rejections > _MAX_REJECTIONS:
            return False
        if not self.may_have_run:
            return True
        return self.route.may_repeat and self.may_have_run < self.route.max_attempts


@dataclass(frozen=True, slots=True)
class RequestContext:
    """A caller's request after all checks.

    Attributes:
        received_at: Loop time in seconds.
        asked_at: Loop time in seconds at which the caller first asked, which may
            have been refused.
        deadline_at: Loop time in seconds at which the caller or the route
            waits no longer.
        service: The route's service that was drawn for it.
    """

    head: RequestHead
    body: bytes
    facts: RequestFacts
    route: Route
    organisation: OrganisationKeys | None
    service: str
    received_at: float
    asked_at: float
    deadline_at: float

    @property
    def is_returning(self) -> bool:
        """Whether the caller has asked before."""
        return self.received_at - self.asked_at > _RETURN_SLACK_S

    @property
    def priority(self) -> int:
        """Rank of the request; an organisation's goes before the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority
