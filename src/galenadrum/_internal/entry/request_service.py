"""Requests on the event loop: authentication, claims and execution.

Worker threads call this through the loop bridge; all state is the loop's.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import uuid
from dataclasses import dataclass
from typing import Any, NoReturn

from galenadrum._internal.entry.answers import refusal_body, refusal_status
from galenadrum._internal.entry.claims_client import ClaimsClient
from galenadrum._internal.entry.declarations import DeclarationsView
from galenadrum._internal.entry.execution import (
    Action,
    Complete,
    PipelineExecutor,
    Refuse,
    SendCall,
)
from galenadrum._internal.entry.prefixes import estimate_tokens, prefix_hashes
from galenadrum._internal.entry.request_telemetry import claim_span
from galenadrum._internal.exceptions import RequestRefusedError
from galenadrum._internal.models.callers import CallerRequest, RecordedAnswer
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
_NOT_READY_RETRY_S = 2.0
_DRAINING_RETRY_S = 0.5
_BUSY_RETRY_S = 1.0
# Past its deadline a request is ended here even if the policy forgot it.
_DEADLINE_MARGIN_S = 0.05


@dataclass(frozen=True, slots=True)
class Opened:
    """A request that was taken on.

    Attributes:
        dispatch: The first stage call to send, or None when ``recorded`` holds
            the answer of an earlier request with the same idempotency key.
    """

    request: Request
    unrepeatable_stages: frozenset[str]
    dispatch: Dispatch | None
    recorded: RecordedAnswer | None = None


class RequestService:
    """Owns the requests in flight of one entry host.

    Args:
        executor: The pure execution of pipelines.
        view: Declared state.
        claims: Claims of requests that may not be repeated.
        max_in_flight: Requests in flight beyond which new ones are refused.

    Attributes:
        leaving: Whether the balancer is told to send no more callers.
        draining: Whether new requests are refused.
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
        self._steps_by_id: dict[str, asyncio.Future[Dispatch | None]] = {}
        self._wakeup = asyncio.Event()
        self.leaving = False
        self.draining = False

    @property
    def not_ready_reason(self) -> str:
        """Why the balancer should send no callers here; empty when it may."""
        if self.leaving or self.draining:
            return "shutting down"
        if not self._view.is_ready:
            return "no declarations yet"
        return ""

    @property
    def in_flight(self) -> int:
        """Number of requests that have no final answer yet."""
        return len(self._open_by_id)

    async def open(self, caller_request: CallerRequest, traceparent: str) -> Opened:
        """Take a request on and wait for its first stage call.

        Raises:
            RequestRefusedError: The final answer is a refusal.
        """
        request, unrepeatable = self._resolve(caller_request)
        self._admit(request)
        try:
            if unrepeatable:
                with claim_span(request, traceparent):
                    recorded = await self._acquire(caller_request, request)
                if recorded is not None:
                    self._forget(request)
                    return Opened(request, unrepeatable, None, recorded)
                self._claimed_ids.add(request.request_id)
            return await self._begin(request, unrepeatable)
        except BaseException:
            self._open_by_id.pop(request.request_id, None)
            raise

    async def open_forwarded(
        self, request: Request, unrepeatable: frozenset[str]
    ) -> Opened:
        """Take over a stage call of another zone's entry host.

        That host holds the claim of a request that may not be repeated.

        Raises:
            RequestRefusedError: The final answer is a refusal.
        """
        self._check_open()
        self._admit(request)
        try:
            return await self._begin(request, unrepeatable)
        except BaseException:
            self._open_by_id.pop(request.request_id, None)
            raise

    async def attempt_finished(
        self, dispatch: Dispatch, result: AttemptResult
    ) -> Dispatch | None:
        """Take the end of an attempt; return the next call, or None at the end.

        Raises:
            RequestRefusedError: The final answer is a refusal.
        """
        call = dispatch.call
        actions = self._executor.attempt_finished(
            call, dispatch.server_id, result, self._now()
        )
        return await self._step(call.request, actions)

    async def close(self, request: Request, answer: RecordedAnswer | None) -> None:
        """End a completed request; record the answer of a claimed one."""
        claimed = request.request_id in self._claimed_ids
        try:
            if claimed and answer is not None:
                await self._claims.record(request, answer)
        finally:
            self._claimed_ids.discard(request.request_id)
            self._open_by_id.pop(request.request_id, None)

    def abandon(self, request: Request, reason: RefusalReason) -> None:
        """End a request whose worker gave it up."""
        actions = self._executor.abandon(request.request_id, reason, self._now())
        self.carry_out(actions)
        self._open_by_id.pop(request.request_id, None)

    def carry_out(self, actions: tuple[Action, ...]) -> None:
        """Wake the workers that the actions are for."""
        for action in actions:
            self._carry_out(action)
        if actions:
            self._wakeup.set()

    async def run_ticks(self) -> None:
        """Let time act on the policy; runs for as long as the daemon."""
        while True:
            now = self._now()
            wakeup = self._executor.next_wakeup(now)
            timeout_s = None if wakeup is None else max(0.001, wakeup - now)
            try:
                async with asyncio.timeout(timeout_s):
                    await self._wakeup.wait()
            except TimeoutError:
                pass
            self._wakeup.clear()
            self.carry_out(self._executor.tick(self._now()))

    def _resolve(self, caller_request: CallerRequest) -> tuple[Request, frozenset[str]]:
        self._check_open()
        name, organisation = self._authenticate(caller_request.key)
        pipeline = self._find_pipeline(caller_request.pipeline, organisation)
        unrepeatable = self._unrepeatable_stages(pipeline)
        if unrepeatable and caller_request.idempotency_key is None:
            _refuse(
                RefusalReason.IDEMPOTENCY_KEY_REQUIRED,
                "this pipeline may not be repeated: send an Idempotency-Key",
            )
        request = _build_request(caller_request, name, organisation, pipeline)
        return request, unrepeatable

    def _check_open(self) -> None:
        if not self._view.is_ready:
            _refuse(
                RefusalReason.NOT_READY,
                "this entry host has no declarations yet",
                _NOT_READY_RETRY_S,
            )
        if self.draining:
            _refuse(
                RefusalReason.DRAINING,
                "this entry host is shutting down; call another",
                _DRAINING_RETRY_S,
            )
        if len(self._open_by_id) >= self._max_in_flight:
            _refuse(
                RefusalReason.OVERLOADED,
                "this entry host has too many requests in flight",
                _BUSY_RETRY_S,
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

    def _unrepeatable_stages(self, pipeline: PipelineSpec) -> frozenset[str]:
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

    def _forget(self, request: Request) -> None:
        self._executor.cancel_admission(request, self._now())
        self._open_by_id.pop(request.request_id, None)

    async def _begin(self, request: Request, unrepeatable: frozenset[str]) -> Opened:
        actions = self._executor.begin(
            request, unrepeatable, self._now(), claimed=bool(unrepeatable)
        )
        dispatch = await self._step(request, actions)
        return Opened(request, unrepeatable, dispatch)

    async def _acquire(
        self, caller_request: CallerRequest, request: Request
    ) -> RecordedAnswer | None:
        try:
            return await self._claims.acquire(
                request, _fingerprint(caller_request), self._retention_s(request)
            )
        except BaseException:
            self._forget(request)
            raise

    def _retention_s(self, request: Request) -> int:
        """Return what the request's pipeline declares; 0 leaves it to control."""
        pipeline = self._view.pipeline_by_name(request.pipeline)
        return pipeline.claim_retention_s if pipeline else 0

    async def _step(
        self, request: Request, actions: tuple[Action, ...]
    ) -> Dispatch | None:
        request_id = request.request_id
        step = asyncio.get_running_loop().create_future()
        self._steps_by_id[request_id] = step
        self.carry_out(actions)
        try:
            # Waits without cancelling: the step still takes the refusal that
            # giving the request up brings.
            until = request.deadline + _DEADLINE_MARGIN_S
            await asyncio.wait({step}, timeout=max(0.0, until - self._now()))
            if not step.done():
                self.abandon(request, RefusalReason.DEADLINE)
            return step.result()
        except asyncio.CancelledError:
            step.cancel()
            self.abandon(request, RefusalReason.DEADLINE)
            raise
        finally:
            self._steps_by_id.pop(request_id, None)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SendCall):
            request_id = action.dispatch.call.request.request_id
            self._finish_step(request_id, action.dispatch)
        elif isinstance(action, Complete):
            self._finish_step(action.request_id, None)
        else:
            self._refuse(action)

    def _finish_step(self, request_id: str, result: Dispatch | None) -> None:
        step = self._steps_by_id.get(request_id)
        if step is not None and not step.done():
            step.set_result(result)

    def _refuse(self, action: Refuse) -> None:
        request = self._open_by_id.pop(action.request_id, None)
        if request is not None and action.request_id in self._claimed_ids:
            self._claimed_ids.discard(action.request_id)
            self._settle_claim(request, action)
        step = self._steps_by_id.get(action.request_id)
        if step is not None and not step.done():
            step.set_exception(RequestRefusedError(action.refusal))

    def _settle_claim(self, request: Request, action: Refuse) -> None:
        if not action.effects_possible:
            self._claims.release(request)
        elif action.refusal.run is RunState.UNKNOWN:
            self._claims.record_unknown(request)
        else:
            body = refusal_body(action.refusal, request.request_id)
            answer = RecordedAnswer(
                refusal_status(action.refusal), json.dumps(body).encode()
            )
            _spawn(self._claims.record(request, answer))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


_background_tasks: set[asyncio.Task[Any]] = set()


def _spawn(coroutine: Any) -> None:
    # The loop keeps only weak references to tasks.
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
    allowed_ms = caller_request.deadline_ms or pipeline.deadline_ms
    deadline_ms = min(allowed_ms, pipeline.deadline_ms)
    return Request(
        request_id=uuid.uuid4().hex,
        organisation=organisation_name,
        pipeline=caller_request.pipeline,
        stages=pipeline.stages,
        deadline=caller_request.arrived + deadline_ms / 1_000,
        arrived=caller_request.arrived,
        priority=organisation.priority,
        weight=organisation.weight,
        input_tokens=estimate_tokens(caller_request.input_text),
        output_tokens=caller_request.max_output_tokens or _DEFAULT_OUTPUT_TOKENS,
        prefix_hashes=prefix_hashes(caller_request.input_text),
        idempotency_key=caller_request.idempotency_key,
    )


def _fingerprint(caller_request: CallerRequest) -> bytes:
    digest = hashlib.sha256()
    digest.update(caller_request.pipeline.encode())
    digest.update(b"\0")
    digest.update(caller_request.input_text.encode())
    digest.update(f"\0{caller_request.max_output_tokens}".encode())
    return digest.digest()
