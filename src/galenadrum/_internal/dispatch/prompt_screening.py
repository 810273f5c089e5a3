"""Screening of prompts by the dispatchers of one host.

Dispatchers know what runs on each engine. They clear prompts whose responses succeed,
attribute crashes of engines to prompt parts, and refuse requests with quarantined ones.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from galenadrum._internal.dispatch.engine_pool import Run
from galenadrum._internal.dispatch.messages import PlacementOutcome, PlacementRequest
from galenadrum._internal.models.quarantine import (
    NamedPart,
    QuarantinedPart,
    ServerCrash,
)
from galenadrum._internal.quarantine.attribution import (
    MIN_SURVIVAL_S,
    CrashAttribution,
)
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine
from galenadrum._internal.quarantine.request_digest import (
    describe_suspect,
    is_request_digest,
)

logger = logging.getLogger(__name__)

_FAILED_TEST_OUTCOMES = frozenset({PlacementOutcome.FAILED, PlacementOutcome.CANCELLED})


class PromptScreening:
    """Screens the prompts of requests.

    Args:
        quarantine: Prompt parts whose requests this host refuses.
    """

    def __init__(self, quarantine: PartQuarantine) -> None:
        self._quarantine = quarantine
        self._attribution = CrashAttribution()

    @property
    def revision(self) -> int:
        """Number that changes with the quarantined parts."""
        return self._quarantine.revision

    def find_bar(self, request: PlacementRequest, now: float) -> QuarantinedPart | None:
        """Return the quarantine that keeps a request from being placed."""
        return self._quarantine.find_bar(request.suspect_ids, now)

    def retry_after_s(self, bar: QuarantinedPart, now: float) -> float:
        """Return the seconds after which a refused request may come again."""
        return self._quarantine.retry_after_s(bar, now)

    def record_placement(self, request: PlacementRequest, now: float) -> None:
        """Record that a request is placed at an engine."""
        self._quarantine.begin_tests(request.suspect_ids, request.request_id, now)

    def record_outcome(
        self,
        request: PlacementRequest,
        run: Run | None,
        outcome: PlacementOutcome,
        now: float,
    ) -> None:
        """Clear a prompt whose response succeeded, or end the tests of its parts.

        Args:
            request: The request.
            run: Its run at the engine, None if the engine is no longer known.
            outcome: Reported outcome of the placement.
            now: Loop time in seconds.
        """
        has_started = run is not None and run.started_at is not None
        if outcome is PlacementOutcome.FINISHED and has_started:
            self._attribution.record_success(request.suspect_ids)
            self._quarantine.acquit(request.suspect_ids, now)
        elif outcome in _FAILED_TEST_OUTCOMES:
            self._quarantine.fail_tests(request.request_id, now)
        elif outcome is not PlacementOutcome.STARTED:
            self._quarantine.cancel_tests(request.request_id)

    def record_abandonment(self, request_id: str, now: float) -> None:
        """Record that the host of a request, and so its outcome, is unknown."""
        self._quarantine.fail_tests(request_id, now)

    def add_evidence(self, crash: ServerCrash, now: float) -> None:
        """Record a crash that another control host reports."""
        self._attribution.add_evidence(crash, now)

    def remove_known_good(self, crash: ServerCrash) -> ServerCrash:
        """Return a crash as evidence for other control hosts.

        Parts with which requests have succeeded are left out, as the others don't
        know of these requests.
        """
        return self._attribution.remove_known_good(crash)

    def record_crash(
        self, crash: ServerCrash, runs: Iterable[Run], now: float
    ) -> QuarantinedPart | None:
        """Record a crashed server, and quarantine the part that caused it, if certain.

        Args:
            crash: The crashed server, and the prompts that had not well begun there.
            runs: Runs at all servers, of which those that have begun are cleared.
            now: Loop time in seconds.
        """
        for run in runs:
            if run.started_at is not None and now - run.started_at >= MIN_SURVIVAL_S:
                self._attribution.record_success(part.part_id for part in run.prompt)
        named = self._attribution.record_crash(crash, now) or self._find_relapse(
            crash, now
        )
        # Requests that were sent before the part was named may crash more servers.
        if named is None or self._quarantine.find_in_force((named.part_id,), now):
            return None
        logger.warning(
            "servers %s crashed as they began to answer %s; its requests are refused",
            ",".join(named.server_ids),
            describe_suspect(named.part_id),
        )
        return self._quarantine.impose(named, now)

    def _find_relapse(self, crash: ServerCrash, now: float) -> NamedPart | None:
        """Return a request on probation that was on a crashed server.

        Plain requests are placed by their entry hosts, which accept them again when
        the term has ended.
        """
        for prompt in crash.prompts:
            for suspect_id in filter(is_request_digest, prompt):
                if self._quarantine.is_on_probation(suspect_id, now):
                    return NamedPart(suspect_id, (crash.server_id,), crash.broken_at)
        return None
