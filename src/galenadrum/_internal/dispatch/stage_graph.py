"""Progress of one request through its graph of stages."""

from __future__ import annotations

from collections.abc import Iterator

from galenadrum._internal.models.routing import RouteStage


class StageGraph:
    """Tracks which pieces of a request are due, requested and complete.

    A piece is due when all stages that its stage depends on are complete. A stage
    with no pieces is skipped: it counts as complete and has no results.

    Args:
        stages: Stages as declared by the route.
        pieces: Number of pieces of each stage; missing numbers count as 0.
    """

    def __init__(self, stages: tuple[RouteStage, ...], pieces: tuple[int, ...]) -> None:
        self.stages = stages
        self.pieces = tuple(
            pieces[i] if i < len(pieces) else 0 for i in range(len(stages))
        )
        self._handles: list[list[str | None]] = [[None] * n for n in self.pieces]
        self._requested: set[tuple[int, int]] = set()

    def request_due_pieces(self) -> Iterator[tuple[int, int]]:
        """Mark due pieces as requested and yield their stages and numbers."""
        for stage, count in enumerate(self.pieces):
            if not self.inputs_are_complete(stage):
                continue
            for number in range(count):
                key = (stage, number)
                if self._handles[stage][number] is None and key not in self._requested:
                    self._requested.add(key)
                    yield key

    def inputs_are_complete(self, stage: int) -> bool:
        """Return whether all stages that a stage depends on are complete."""
        return all(
            self.is_stage_complete(predecessor)
            for predecessor in self.stages[stage].after
        )

    def is_stage_complete(self, stage: int) -> bool:
        """Return whether all pieces of a stage have a result."""
        return None not in self._handles[stage]

    @property
    def is_complete(self) -> bool:
        """Whether all stages are complete."""
        return all(self.is_stage_complete(stage) for stage in range(len(self.stages)))

    def inputs_are_available(self, stage: int) -> bool:
        """Return whether all inputs of a stage exist and are not released."""
        return all(
            all(self._handles[predecessor]) for predecessor in self.stages[stage].after
        )

    def has_result(self, stage: int, number: int) -> bool:
        """Return whether a piece has a result, released or not."""
        return self._handles[stage][number] is not None

    def record_result(self, stage: int, number: int, handle: str) -> None:
        """Record the result of a piece."""
        self._handles[stage][number] = handle
        self._requested.discard((stage, number))

    @property
    def missing(self) -> tuple[int, ...]:
        """Number of pieces of each stage that have no result."""
        return tuple(handles.count(None) for handles in self._handles)

    def restore_results(self, stage: int, handles: tuple[str, ...]) -> None:
        """Restore the results of a stage from a lost dispatcher.

        Results of an unknown stage or in an unexpected number are ignored.
        """
        if 0 <= stage < len(self.pieces) and len(handles) == self.pieces[stage]:
            self._handles[stage] = list(handles)

    def stage_handles(self, stage: int) -> tuple[str, ...]:
        """Return the unreleased handles of a stage."""
        return tuple(handle for handle in self._handles[stage] if handle)

    def discard_results(self, stage: int) -> tuple[str, ...]:
        """Discard the results of a stage, so that its pieces become due again.

        Returns:
            The discarded handles that were not released.
        """
        return self._discard((stage,))

    def reset_request(self, stage: int, number: int) -> None:
        """Mark a piece as not requested, so that it can become due again."""
        self._requested.discard((stage, number))

    def input_handles(self, stage: int) -> tuple[str, ...]:
        """Return the handles of all inputs of a stage."""
        return tuple(
            handle
            for predecessor in self.stages[stage].after
            for handle in self._handles[predecessor]
            if handle is not None
        )

    def discard_inputs(self, stage: int) -> tuple[str, ...]:
        """Discard the inputs of a stage, so that they become due again."""
        return self._discard(self.stages[stage].after)

    def final_stages(self) -> tuple[int, ...]:
        """Return the stages that no other stage depends on."""
        depended_on = {
            predecessor for stage in self.stages for predecessor in stage.after
        }
        return tuple(i for i in range(len(self.stages)) if i not in depended_on)

    def final_handles(self) -> tuple[str, ...]:
        """Return the handles of the final stages, the inputs of the engine."""
        return tuple(
            handle
            for stage in self.final_stages()
            for handle in self._handles[stage]
            if handle is not None
        )

    def discard_final_results(self) -> tuple[str, ...]:
        """Discard the results of the final stages, so that they become due again."""
        return self._discard(self.final_stages())

    def _discard(self, stages: tuple[int, ...]) -> tuple[str, ...]:
        discarded = []
        for stage in stages:
            for number, handle in enumerate(self._handles[stage]):
                if handle is not None:
                    discarded.append(handle)
                self._handles[stage][number] = None
                self._requested.discard((stage, number))
            # Released inputs must be produced again for the repeated pieces.
            released = tuple(
                predecessor
                for predecessor in self.stages[stage].after
                if "" in self._handles[predecessor]
            )
            discarded += self._discard(released)
        return tuple(handle for handle in discarded if handle)

    def release_consumed_results(self) -> tuple[str, ...]:
        """Mark results that no stage still needs as released.

        Returns:
            Handles of complete stages whose dependent stages are all complete. Each
            handle is returned once.
        """
        released = []
        for stage in range(len(self.stages)):
            dependents = [
                i for i, spec in enumerate(self.stages) if stage in spec.after
            ]
            if dependents and all(
                self.is_stage_complete(i) for i in (stage, *dependents)
            ):
                released += [h for h in self._handles[stage] if h]
                # The empty handle keeps the piece complete with nothing to release.
                self._handles[stage] = ["" if h else h for h in self._handles[stage]]
        return tuple(released)

    def unreleased_handles(self) -> tuple[str, ...]:
        """Return all unreleased handles."""
        return tuple(h for handles in self._handles for h in handles if h)
