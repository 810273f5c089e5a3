"""A supervisor of asyncio tasks; supervisors nest into a tree."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.exceptions import GalenadrumError
from galenadrum._internal.supervision.restarts import RestartCounter, RestartPolicy

logger = logging.getLogger(__name__)

_CANCEL_TIMEOUT_S = 2.0


class Restart(StrEnum):
    """The condition under which a child that has ended is restarted."""

    ALWAYS = "always"
    ON_FAILURE = "on_failure"


class ChildFailedError(GalenadrumError):
    """Raised by a supervisor when a child failed too often to restart it."""


@dataclass(frozen=True, slots=True)
class ChildSpec:
    """A long-lived task that a supervisor runs.

    Attributes:
        name: Unique name within the supervisor.
        run: Coroutine function of the task; called again at each restart.
        stop: Coroutine function that asks the task to end by itself, for instance
            to drain; None to cancel the task instead.
        stop_timeout_s: Timeout of a graceful stop, in seconds; the task is
            cancelled after it and abandoned after a further
            ``_CANCEL_TIMEOUT_S``.
    """

    name: str
    run: Callable[[], Awaitable[None]]
    restart: Restart = Restart.ALWAYS
    stop: Callable[[], Awaitable[None]] | None = None
    stop_timeout_s: float = 5.0


@dataclass(slots=True)
class _Child:
    spec: ChildSpec
    counter: RestartCounter
    stopping: bool = False
    task: asyncio.Task[None] | None = None


class Supervisor:
    """Runs children, restarts those that fail and stops them in reverse order.

    A supervisor is itself a child of another through ``add_supervisor``. When it
    gives up on a child, it stops all its children and raises; its parent counts
    this as one failure and restarts the whole subtree.

    Args:
        name: Name for logs; nested names are joined with a slash by the caller.
        rng: Source of the jitter in restart delays.
        policy: Limits on restarts, applied to each child on its own.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        policy: RestartPolicy | None = None,
    ) -> None:
        self.name = name
        self._rng = rng
        self._policy = policy or RestartPolicy()
        self._specs: list[ChildSpec] = []
        self._children: list[_Child] = []
        self._ended: asyncio.Future[None] | None = None

    @property
    def stop_timeout_s(self) -> float:
        """The maximum duration of a graceful stop of all children, in seconds."""
        return sum(spec.stop_timeout_s + _CANCEL_TIMEOUT_S for spec in self._specs)

    def add(
        self,
        name: str,
        run: Callable[[], Awaitable[None]],
        *,
        restart: Restart = Restart.ALWAYS,
        stop: Callable[[], Awaitable[None]] | None = None,
        stop_timeout_s: float = 5.0,
    ) -> None:
        """Add a child; children start in the order in which they were added.

        Raises:
            ValueError: A child has the name already, or the supervisor is running.
        """
        if any(spec.name == name for spec in self._specs):
            raise ValueError(f"child {name} of {self.name} already exists")
        if self._ended is not None:
            raise ValueError(f"can't add a child: supervisor {self.name} is running")
        self._specs.append(ChildSpec(name, run, restart, stop, stop_timeout_s))

    def add_supervisor(self, supervisor: Supervisor) -> None:
        """Add another supervisor, with all its children, as a child."""
        self.add(
            supervisor.name,
            supervisor.run,
            restart=Restart.ON_FAILURE,
            stop_timeout_s=supervisor.stop_timeout_s,
        )

    async def run(self) -> None:
        """Run the children until cancelled or until all of them have ended.

        Raises:
            ChildFailedError: A child failed too often. All others were stopped.
        """
        if self._ended is not None:
            raise ValueError(f"supervisor {self.name} is already running")
        self._ended = asyncio.get_running_loop().create_future()
        self._children = []
        try:
            for spec in self._specs:
                self._start_child(spec)
            if self._children:
                await self._ended
        finally:
            try:
                await self._stop_children()
            finally:
                self._ended = None

    def _start_child(self, spec: ChildSpec) -> None:
        child = _Child(spec, RestartCounter(self._policy, self._rng))
        child.task = asyncio.create_task(
            self._run_with_restarts(child), name=f"{self.name}/{spec.name}"
        )
        self._children.append(child)

    async def _run_with_restarts(self, child: _Child) -> None:
        """Run a child and restart it until it has ended for good."""
        while not child.stopping:
            error = await self._run_once(child)
            if child.stopping or (
                error is None and child.spec.restart is Restart.ON_FAILURE
            ):
                break
            now = asyncio.get_running_loop().time()
            delay = child.counter.record_failure(now)
            if delay is None:
                self._give_up(child, error)
                return
            logger.warning(
                "child %s of %s ended; restarting in %.2f s",
                child.spec.name,
                self.name,
                delay,
                exc_info=error,
                extra={"supervisor": self.name, "child": child.spec.name},
            )
            await asyncio.sleep(delay)
        self._end_if_all_ended()

    async def _run_once(self, child: _Child) -> BaseException | None:
        """Run a child once and return the error that ended it, if any."""
        try:
            await child.spec.run()
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # The child raised this error itself; its supervisor did not cancel it.
            return error
        except Exception as error:
            return error
        return None

    def _give_up(self, child: _Child, error: BaseException | None) -> None:
        if self._ended is None or self._ended.done():
            return
        failure = ChildFailedError(
            f"child {child.spec.name} of {self.name} failed too often"
        )
        failure.__cause__ = error
        self._ended.set_exception(failure)

    def _end_if_all_ended(self) -> None:
        """End the supervisor if all its children have ended by themselves."""
        current = asyncio.current_task()
        others = [child.task for child in self._children if child.task is not current]
        if self._ended is None or self._ended.done():
            return
        if all(task is not None and task.done() for task in others):
            self._ended.set_result(None)

    async def _stop_children(self) -> None:
        for child in self._children:
            child.stopping = True
        try:
            for child in reversed(self._children):
                await self._stop_child(child)
        finally:
            # Children still run here only if the stop itself was cancelled.
            for child in self._children:
                child.task.cancel()

    async def _stop_child(self, child: _Child) -> None:
        if child.spec.stop is not None and not child.task.done():
            await self._stop_gracefully(child)
            child.task.cancel()
            timeout_s = _CANCEL_TIMEOUT_S
        else:
            child.task.cancel()
            timeout_s = child.spec.stop_timeout_s
        _, pending = await asyncio.wait({child.task}, timeout=timeout_s)
        if pending:
            child.task.cancel()
            logger.error(
                "child %s of %s did not stop within %.1f s; abandoning it",
                child.spec.name,
                self.name,
                timeout_s,
                extra={"supervisor": self.name, "child": child.spec.name},
            )

    async def _stop_gracefully(self, child: _Child) -> None:
        """Let a child end by itself, for at most its stop timeout."""
        try:
            async with asyncio.timeout(child.spec.stop_timeout_s):
                await child.spec.stop()
                await asyncio.wait({child.task})
        except Exception:
            logger.warning(
                "child %s of %s did not end by itself; cancelling it",
                child.spec.name,
                self.name,
                exc_info=True,
                extra={"supervisor": self.name, "child": child.spec.name},
            )
