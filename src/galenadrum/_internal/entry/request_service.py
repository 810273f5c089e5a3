"""Request lifecycle on the event loop: authentication, claims and execution.

Worker threads call this module through the loop bridge; its state is accessed
on the event loop only.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import uuid
from dataclasses import dataclass
from typing import Any, NoReturn

from galenadrum._internal.entry.claims_client import ClaimsClient
from galenadrum._internal.entry.declarations import DeclarationsView
from galenadrum._internal.entry.http_responses import (
    build_refusal_body,
    get_refusal_status,
)
from galenadrum._internal.entry.pipeline_executor import (
    Action,
    Complete,
    PipelineExecutor,
    Refuse,
    SendCall,
)
from galenadrum._internal.entry.prefixes import estimate_tokens, prefix_hashes
from galenadrum._internal.entry.request_telemetry import claim_span
from galenadrum._internal.exceptions import RequestRefusedError
from galenadrum._internal.models.callers import CallerRequest, RecordedResponse
from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Refusal,
    RefusalReason,
    Request,
    RunState,
)
from galenadrum._internal.models.resources import (
    OrganisationSpec,
    PipelineSpec,
)

logger = logging.getLogger(__name__)

_DEFAULT_OUTPUT_TOKENS = 128
_NOT_READY_RETRY_AFTER_S = 2.0
_DRAINING_RETRY_AFTER_S = 0.5
_OVERLOADED_RETRY_AFTER_S = 1.0
# The service itself ends a request this long after its deadline if the policy
# has not decided on it by then.
_DEADLINE_GRACE_S = 0.05


@dataclass(frozen=True, slots=True)
class OpenedRequest:
    """An admitted request and its first dispatch.

    Attributes:
        dispatch: First stage call to send, or None if ``recorded`` is set.
        recorded: Stored answer of an earlier request with the same
            idempotency key, or None.
    """

    request: Request
    unrepeatable_stages: frozenset[str]
    dispatch: Dispatch | None
    recorded: RecordedResponse | None = None


class RequestService:
    """Manages the requests in flight on one entry host.

    Args:
        executor: State machine of pipeline execution; does no I/O.
        view: Declared organisations, pipelines and stages.
        claims: Client for claims of requests with unrepeatable stages.
        max_in_flight: Number of requests in flight at which new requests are
            refused.

    Attributes:
        leaving: True once this host reports itself not ready to the balancer.
        draining: True once new requests are refused.
    """

    def __init__(
        self,
        executor: PipelineExecutor,
        view: DeclarationsView,
        claims: ClaimsClient,
        max_in_flight: int,
    ) -> None:
        self._executor = executor
        self._view = view
        self._claims = claims
        self._max_in_flight = max_in_flight
        self._open_by_id: dict[str, Request] = {}
        self._claimed_ids: set[str] = set()
        self._next_dispatches_by_id: dict[str, asyncio.Future[Dispatch | None]] = {}
        self._wakeup_changed = asyncio.Event()
        self.leaving = False
        self.draining = False

    @property
    def not_ready_reason(self) -> str:
        """Reason why this host is not ready for callers; empty if it is ready."""
        if self.leaving or self.draining:
            return "shutting down"
        if not self._view.is_ready:
            return "no declarations yet"
        return ""

    @property
    def in_flight(self) -> int:
        """Number of requests that have no final answer yet."""
        return len(self._open_by_id)

    async def open(
        self, caller_request: CallerRequest, traceparent: str
    ) -> OpenedRequest:
        """Admit a caller's request and wait for its first dispatch.

        Claims the request first if it has unrepeatable stages.

        Raises:
            RequestRefusedError: The request was refused.
        """
        request, unrepeatable = self._prepare_request(caller_request)
        self._admit(request)
        try:
            if unrepeatable:
                with claim_span(request, traceparent):
                    recorded = await self._acquire_claim(caller_request, request)
                if recorded is not None:
                    self._cancel_admission(request)
                    return OpenedRequest(request, unrepeatable, None, recorded)
                self._claimed_ids.add(request.request_id)
            return await self._start_execution(request, unrepeatable)
        except BaseException:
            self._open_by_id.pop(request.request_id, None)
            raise

    async def open_forwarded(
        self, request: Request, unrepeatable: frozenset[str]
    ) -> OpenedRequest:
        """Admit a stage call forwarded by an entry host of another zone.

        The forwarding host holds the claim if the stage is unrepeatable, so
        none is acquired here.

        Raises:
            RequestRefusedError: The request was refused.
        """
        self._check_accepting_requests()
        self._admit(request)
        try:
            return await self._start_execution(request, unrepeatable)
        except BaseException:
            self._open_by_id.pop(request.request_id, None)
            raise

    async def record_attempt_result(
        self, dispatch: Dispatch, result: AttemptResult
    ) -> Dispatch | None:
        """Record the result of an attempt and wait for the next dispatch.

        Returns:
            The next dispatch, or None if the pipeline is complete.

        Raises:
            RequestRefusedError: The request was refused.
        """
        call = dispatch.call
        actions = self._executor.record_attempt_result(
            call, dispatch.server_id, result, self._now()
        )
        return await self._wait_for_next_dispatch(call.request, actions)

    async def close(self, request: Request, answer: RecordedResponse | None) -> None:
        """Close a completed request; record its answer if it was claimed."""
        claimed = request.request_id in self._claimed_ids
        try:
            if claimed and answer is not None:
                await self._claims.record_answer(request, answer)
        finally:
            self._claimed_ids.discard(request.request_id)
            self._open_by_id.pop(request.request_id, None)

    def abandon(self, request: Request, reason: RefusalReason) -> None:
        """End a request before its pipeline is complete."""
        actions = self._executor.abandon(request.request_id, reason, self._now())
        self.apply_actions(actions)
        self._open_by_id.pop(request.request_id, None)

    def apply_actions(self, actions: tuple[Action, ...]) -> None:
        """Notify the waiting workers and end the claims of refused requests."""
        for action in actions:
            self._apply_action(action)
        if actions:
            self._wakeup_changed.set()

    async def run_ticks(self) -> None:
        """Tick the executor whenever it is due; run until cancelled."""
        while True:
            now = self._now()
            wakeup = self._executor.next_wakeup(now)
            timeout_s = None if wakeup is None else max(0.001, wakeup - now)
            try:
                async with asyncio.timeout(timeout_s):
                    await self._wakeup_changed.wait()
            except TimeoutError:
                pass
            self._wakeup_changed.clear()
            self.apply_actions(self._executor.tick(self._now()))

    def _prepare_request(
        self, caller_request: CallerRequest
    ) -> tuple[Request, frozenset[str]]:
        self._check_accepting_requests()
        name, organisation = self._authenticate(caller_request.key)
        pipeline = self._find_pipeline(caller_request.pipeline, organisation)
        unrepeatable = self._find_unrepeatable_stages(pipeline)
        if unrepeatable and caller_request.idempotency_key is None:
            _refuse(
                RefusalReason.IDEMPOTENCY_KEY_REQUIRED,
                "this pipeline may not be repeated: send an Idempotency-Key",
            )
        request = _build_request(caller_request, name, organisation, pipeline)
        return request, unrepeatable

    def _check_accepting_requests(self) -> None:
        if not self._view.is_ready:
            _refuse(
                RefusalReason.NOT_READY,
                "this entry host has no declarations yet",
                _NOT_READY_RETRY_AFTER_S,
            )
        if self.draining:
            _refuse(
                RefusalReason.DRAINING,
                "this entry host is shutting down; call another",
                _DRAINING_RETRY_AFTER_S,
            )
        if len(self._open_by_id) >= self._max_in_flight:
            _refuse(
                RefusalReason.OVERLOADED,
                "this entry host has too many requests in flight",
                _OVERLOADED_RETRY_AFTER_S,
            )

    def _authenticate(self, key: str) -> tuple[str, OrganisationSpec]:
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = self._view.organisation_by_key_digest(digest)
        if found is None:
            _refuse(RefusalReason.UNAUTHORISED, "no organisation has this key")
        return found

    def _find_pipeline(self, name: str, organisation: OrganisationSpec) -> PipelineSpec:
        pipeline = self._view.pipeline_by_name(name)
        allowed = not organisation.pipelines or name in organisation.pipelines
        if pipeline is None or not allowed:
            _refuse(RefusalReason.UNKNOWN_PIPELINE, f"no pipeline is named {name!r}")
        return pipeline

    def _find_unrepeatable_stages(self, pipeline: PipelineSpec) -> frozenset[str]:
        names = set()
        for stage in pipeline.stages:
            spec = self._view.stage_by_name(stage)
            if spec is not None and not spec.repeatable:
                names.add(stage)
        return frozenset(names)

    def _admit(self, request: Request) -> None:
        refusal = self._executor.admit(request, self._now())
        if refusal is not None:
            raise RequestRefusedError(refusal)
        self._open_by_id[request.request_id] = request

    def _cancel_admission(self, request: Request) -> None:
        self._executor.cancel_admission(request, self._now())
        self._open_by_id.pop(request.request_id, None)

    async def _start_execution(
        self, request: Request, unrepeatable: frozenset[str]
    ) -> OpenedRequest:
        actions = self._executor.begin(
            request, unrepeatable, self._now(), claimed=bool(unrepeatable)
        )
        dispatch = await self._wait_for_next_dispatch(request, actions)
        return OpenedRequest(request, unrepeatable, dispatch)

    async def _acquire_claim(
        self, caller_request: CallerRequest, request: Request
    ) -> RecordedResponse | None:
        try:
            return await self._claims.acquire_claim(
                request,
                _compute_fingerprint(caller_request),
                self._find_claim_retention_s(request),
            )
        except BaseException:
            self._cancel_admission(request)
            raise

    def _find_claim_retention_s(self, request: Request) -> int:
        """Return the claim retention of the request's pipeline, in seconds.

        0 selects the default of the control hosts.
        """
        pipeline = self._view.pipeline_by_name(request.pipeline)
        return pipeline.claim_retention_s if pipeline else 0

    async def _wait_for_next_dispatch(
        self, request: Request, actions: tuple[Action, ...]
    ) -> Dispatch | None:
        request_id = request.request_id
        next_dispatch = asyncio.get_running_loop().create_future()
        self._next_dispatches_by_id[request_id] = next_dispatch
        self.apply_actions(actions)
        try:
            # asyncio.wait() does not cancel the future on a timeout: abandon()
            # below still sets the refusal on it.
            wait_until = request.deadline + _DEADLINE_GRACE_S
            await asyncio.wait(
                {next_dispatch}, timeout=max(0.0, wait_until - self._now())
            )
            if not next_dispatch.done():
                self.abandon(request, RefusalReason.DEADLINE)
            return next_dispatch.result()
        except asyncio.CancelledError:
            next_dispatch.cancel()
            self.abandon(request, RefusalReason.DEADLINE)
            raise
        finally:
            self._next_dispatches_by_id.pop(request_id, None)

    def _apply_action(self, action: Action) -> None:
        if isinstance(action, SendCall):
            request_id = action.dispatch.call.request.request_id
            self._resolve_next_dispatch(request_id, action.dispatch)
        elif isinstance(action, Complete):
            self._resolve_next_dispatch(action.request_id, None)
        else:
            self._apply_refusal(action)

    def _resolve_next_dispatch(self, request_id: str, result: Dispatch | None) -> None:
        next_dispatch = self._next_dispatches_by_id.get(request_id)
        if next_dispatch is not None and not next_dispatch.done():
            next_dispatch.set_result(result)

    def _apply_refusal(self, action: Refuse) -> None:
        request = self._open_by_id.pop(action.request_id, None)
        if request is not None and action.request_id in self._claimed_ids:
            self._claimed_ids.discard(action.request_id)
            self._finish_claim(request, action)
        next_dispatch = self._next_dispatches_by_id.get(action.request_id)
        if next_dispatch is not None and not next_dispatch.done():
            next_dispatch.set_exception(RequestRefusedError(action.refusal))

    def _finish_claim(self, request: Request, action: Refuse) -> None:
        if not action.side_effects_possible:
            self._claims.release_claim(request)
        elif action.refusal.run is RunState.UNKNOWN:
            self._claims.record_unknown_outcome(request)
        else:
            body = build_refusal_body(action.refusal, request.request_id)
            answer = RecordedResponse(
                get_refusal_status(action.refusal), json.dumps(body).encode()
            )
            _start_background_task(self._claims.record_answer(request, answer))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


_background_tasks: set[asyncio.Task[Any]] = set()


def _start_background_task(coroutine: Any) -> None:
    # The event loop keeps only weak references to tasks, so keep a strong one
    # until the task is done.
    task = asyncio.get_running_loop().create_task(coroutine)
    _background_tasks.add(task)
    task.add_done_callback(_background_tasks.discard)


def _refuse(
    reason: RefusalReason, message: str, retry_after_s: float | None = None
) -> NoReturn:
    refusal = Refusal(reason, RunState.NOT_RUN, message, retry_after_s)
    raise RequestRefusedError(refusal)


def _build_request(
    caller_request: CallerRequest,
    organisation_name: str,
    organisation: OrganisationSpec,
    pipeline: PipelineSpec,
) -> Request:
    requested_ms = caller_request.deadline_ms or pipeline.deadline_ms
    deadline_ms = min(requested_ms, pipeline.deadline_ms)
    return Request(
        request_id=uuid.uuid4().hex,
        organisation=organisation_name,
        pipeline=caller_request.pipeline,
        stages=pipeline.stages,
        deadline=caller_request.arrived_at + deadline_ms / 1_000,
        arrived_at=caller_request.arrived_at,
        priority=organisation.priority,
        weight=organisation.weight,
        input_tokens=estimate_tokens(caller_request.input_text),
        output_tokens=caller_request.max_output_tokens or _DEFAULT_OUTPUT_TOKENS,
        prefix_hashes=prefix_hashes(caller_request.input_text),
        idempotency_key=caller_request.idempotency_key,
    )


def _compute_fingerprint(caller_request: CallerRequest) -> bytes:
    digest = hashlib.sha256()
    digest.update(caller_request.pipeline.encode())
    digest.update(b"\0")
    digest.update(caller_request.input_text.encode())
    digest.update(f"\0{caller_request.max_output_tokens}".encode())
    return digest.digest()
