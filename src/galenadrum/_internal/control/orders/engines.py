"""What is known of each engine, and how fresh that is."""

from __future__ import annotations

from dataclasses import dataclass

from galenadrum._internal.control.orders.messages import (
    EngineAnswered,
    EngineContents,
    EnginesReported,
    OrderProgress,
    ReportedEngine,
)

REPORT_TTL_S = 15.0
FRESH_S = 5.0
QUERY_INTERVAL_S = 1.0


@dataclass(slots=True)
class Engine:
    """One engine as the leader knows it.

    Attributes:
        reported: The engine as its zone last reported it.
        reported_at: Loop time of that report, in seconds.
        contents: What it holds, by its own last answer or else by the report.
        answered_at: Loop time at which the query of that answer was sent; None
            until the engine has answered this leader.
        asked_at: Loop time of the last query, in seconds.
        is_asked: Whether a query is under way; each ends with an answer or
            with the news that there is none.
    """

    reported: ReportedEngine
    reported_at: float
    contents: EngineContents
    answered_at: float | None = None
    asked_at: float = float("-inf")
    is_asked: bool = False

    def is_live(self, now: float) -> bool:
        """Return whether its zone still reports it."""
        return now < self.reported_at + REPORT_TTL_S

    def is_fresh(self, now: float) -> bool:
        """Return whether the engine itself has answered lately."""
        return self.answered_at is not None and now < self.answered_at + FRESH_S

    def is_running_order(self) -> bool:
        """Return whether it says that it is carrying out an order."""
        return self.contents.progress is OrderProgress.RUNNING

    def may_be_asked(self, now: float) -> bool:
        """Return whether a query is due and none is under way."""
        return not self.is_asked and now >= self.asked_at + QUERY_INTERVAL_S


class EngineTable:
    """All engines that zones report, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, Engine] = {}

    def clear(self) -> None:
        """Forget all engines."""
        self.by_id.clear()

    def take_report(self, event: EnginesReported, now: float) -> bool:
        """Take over what a zone reports; engines that it left out are gone.

        Returns:
            Whether an engine came or holds something else than before.
        """
        present = {reported.engine_id for reported in event.engines}
        for engine in self.by_id.values():
            if engine.reported.zone != event.zone:
                continue
            if engine.reported.engine_id not in present:
                engine.reported_at = float("-inf")
        changes = [self._take_engine(reported, now) for reported in event.engines]
        return any(changes)

    def take_answer(self, event: EngineAnswered) -> Engine | None:
        """Take over what an engine said; return the engine if it is newer."""
        engine = self.by_id.get(event.engine_id)
        if engine is None or event.asked_at < engine.asked_at:
            return None
        engine.is_asked = False
        if event.contents is None:
            return None
        engine.contents = event.contents
        engine.answered_at = event.asked_at
        return engine

    def drop_gone(self, keep: frozenset[str], now: float) -> None:
        """Forget engines that are no longer reported, but for ``keep``."""
        gone = [
            engine_id
            for engine_id, engine in self.by_id.items()
            if not engine.is_live(now) and engine_id not in keep
        ]
        for engine_id in gone:
            del self.by_id[engine_id]

    def _take_engine(self, reported: ReportedEngine, now: float) -> bool:
        engine = self.by_id.get(reported.engine_id)
        if engine is None:
            self.by_id[reported.engine_id] = Engine(reported, now, reported.contents)
            return True
        # Reports come late: only one that changed says more than the answer
        # that the engine gave, and the engine is asked again.
        is_changed = reported.contents != engine.reported.contents
        if is_changed:
            engine.contents = reported.contents
            engine.answered_at = None
        if reported.address != engine.reported.address:
            engine.answered_at = None
        engine.reported = reported
        engine.reported_at = now
        return is_changed
