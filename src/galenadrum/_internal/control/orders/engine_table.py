"""Latest reports and query answers of engines, with their age."""

from __future__ import annotations

from dataclasses import dataclass

from galenadrum._internal.control.orders.events import (
    EngineContents,
    EnginesReported,
    OrderProgress,
    QueryCompleted,
    ReportedEngine,
)

REPORT_TTL_S = 15.0
ANSWER_TTL_S = 5.0
QUERY_INTERVAL_S = 1.0


@dataclass(slots=True)
class Engine:
    """State of one engine, as known to the leader.

    Attributes:
        reported: Latest report of the engine by its zone.
        reported_at: Loop time of that report, in seconds.
        contents: Models, adapters and role from the engine's latest answer, or
            from the report if that is newer.
        confirmed_at: Loop time in seconds at which the query was sent whose
            answer is in `contents`; None while no such answer is valid.
        last_query_at: Loop time of the latest query, in seconds.
        is_query_pending: True until the latest query is answered or fails; each
            query ends with a `QueryCompleted` event.
    """

    reported: ReportedEngine
    reported_at: float
    contents: EngineContents
    confirmed_at: float | None = None
    last_query_at: float = float("-inf")
    is_query_pending: bool = False

    def is_live(self, now: float) -> bool:
        """Return whether the zone has reported the engine recently."""
        return now < self.reported_at + REPORT_TTL_S

    def is_fresh(self, now: float) -> bool:
        """Return whether the engine has answered a recent query."""
        return self.confirmed_at is not None and now < self.confirmed_at + ANSWER_TTL_S

    def is_running_order(self) -> bool:
        """Return whether the engine is executing an order, as it last stated."""
        return self.contents.progress is OrderProgress.RUNNING

    def is_query_due(self, now: float) -> bool:
        """Return whether no query is pending and the query interval has passed."""
        return (
            not self.is_query_pending and now >= self.last_query_at + QUERY_INTERVAL_S
        )


class EngineTable:
    """All engines that zones report, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, Engine] = {}

    def clear(self) -> None:
        """Remove all engines."""
        self.by_id.clear()

    def apply_report(self, event: EnginesReported, now: float) -> bool:
        """Apply the report of a zone; engines missing from it expire at once.

        Returns:
            True if an engine is new or its reported contents have changed.
        """
        present = {reported.engine_id for reported in event.engines}
        for engine in self.by_id.values():
            if engine.reported.zone != event.zone:
                continue
            if engine.reported.engine_id not in present:
                engine.reported_at = float("-inf")
        changes = [
            self._apply_engine_report(reported, now) for reported in event.engines
        ]
        return any(changes)

    def apply_answer(self, event: QueryCompleted) -> Engine | None:
        """Apply the answer to a query.

        Returns:
            The updated engine; None if the engine is unknown, its query failed,
            or a later query has been sent.
        """
        engine = self.by_id.get(event.engine_id)
        if engine is None or event.query_sent_at < engine.last_query_at:
            return None
        engine.is_query_pending = False
        if event.contents is None:
            return None
        engine.contents = event.contents
        engine.confirmed_at = event.query_sent_at
        return engine

    def remove_expired(self, keep: frozenset[str], now: float) -> None:
        """Remove engines that are no longer reported, except the ids in ``keep``."""
        gone = [
            engine_id
            for engine_id, engine in self.by_id.items()
            if not engine.is_live(now) and engine_id not in keep
        ]
        for engine_id in gone:
            del self.by_id[engine_id]

    def _apply_engine_report(self, reported: ReportedEngine, now: float) -> bool:
        engine = self.by_id.get(reported.engine_id)
        if engine is None:
            self.by_id[reported.engine_id] = Engine(reported, now, reported.contents)
            return True
        # Reports arrive late. An unchanged one adds nothing to the engine's answer;
        # a changed one replaces the answer and causes another query.
        is_changed = reported.contents != engine.reported.contents
        if is_changed:
            engine.contents = reported.contents
            engine.confirmed_at = None
        if reported.address != engine.reported.address:
            engine.confirmed_at = None
        engine.reported = reported
        engine.reported_at = now
        return is_changed
