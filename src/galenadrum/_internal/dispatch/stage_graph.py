"""Progress of one request through its stages."""

from __future__ import annotations

from collections.abc import Iterator

from galenadrum._internal.models.routing import StageSpec


class StageGraph:
    """Which pieces of a request are due, under way and made.

    A stage that is left out counts as done and has no results.

    Args:
        stages: As the route declares them.
        pieces: Number of pieces of each; missing numbers count as 0.
    """

    def __init__(self, stages: tuple[StageSpec, ...], pieces: tuple[int, ...]) -> None:
        self.stages = stages
        self.pieces = tuple(
            pieces[i] if i < len(pieces) else 0 for i in range(len(stages))
        )
        self._handles: list[list[str | None]] = [[None] * n for n in self.pieces]
        self._requested: set[tuple[int, int]] = set()

    def take_due(self) -> Iterator[tuple[int, int]]:
        """Yield the stage and number of each piece that has become due."""
        for stage, count in enumerate(self.pieces):
            if not self.inputs_are_made(stage):
                continue
            for number in range(count):
                key = (stage, number)
                if self._handles[stage][number] is None and key not in self._requested:
                    self._requested.add(key)
                    yield key

    def inputs_are_made(self, stage: int) -> bool:
        """Return whether all that a stage takes in is there."""
        return all(self.is_made(earlier) for earlier in self.stages[stage].after)

    def is_made(self, stage: int) -> bool:
        """Return whether all results of a stage are there."""
        return None not in self._handles[stage]

    @property
    def is_complete(self) -> bool:
        """Whether all stages are made."""
        return all(self.is_made(stage) for stage in range(len(self.stages)))

    def inputs_are_held(self, stage: int) -> bool:
        """Return whether all that a stage takes in is there and not released."""
        return all(all(self._handles[earlier]) for earlier in self.stages[stage].after)

    def has_result(self, stage: int, number: int) -> bool:
        """Return whether a piece is made."""
        return self._handles[stage][number] is not None

    def record(self, stage: int, number: int, handle: str) -> None:
        """Note the result of a piece."""
        self._handles[stage][number] = handle
        self._requested.discard((stage, number))

    @property
    def missing(self) -> tuple[int, ...]:
        """Number of pieces of each stage that are not made."""
        return tuple(handles.count(None) for handles in self._handles)

    def adopt(self, stage: int, handles: tuple[str, ...]) -> None:
        """Take over the results of a stage; others than expected are left out."""
        if 0 <= stage < len(self.pieces) and len(handles) == self.pieces[stage]:
            self._handles[stage] = list(handles)

    def results_of(self, stage: int) -> tuple[str, ...]:
        """Return the handles of a stage that were not released."""
        return tuple(handle for handle in self._handles[stage] if handle)

    def drop(self, stage: int) -> tuple[str, ...]:
        """Forget the results of a stage, which become due again."""
        return self._drop((stage,))

    def request_again(self, stage: int, number: int) -> None:
        """Let a piece become due once more."""
        self._requested.discard((stage, number))

    def inputs_of(self, stage: int) -> tuple[str, ...]:
        """Return the handles of all results that a stage takes in."""
        return tuple(
            handle
            for earlier in self.stages[stage].after
            for handle in self._handles[earlier]
            if handle is not None
        )

    def drop_inputs_of(self, stage: int) -> tuple[str, ...]:
        """Forget the inputs of a stage, which become due again."""
        return self._drop(self.stages[stage].after)

    def final_stages(self) -> tuple[int, ...]:
        """Return the stages that no other stage follows."""
        followed = {earlier for stage in self.stages for earlier in stage.after}
        return tuple(i for i in range(len(self.stages)) if i not in followed)

    def final_handles(self) -> tuple[str, ...]:
        """Return the handles that the request itself takes in."""
        return tuple(
            handle
            for stage in self.final_stages()
            for handle in self._handles[stage]
            if handle is not None
        )

    def drop_final(self) -> tuple[str, ...]:
        """Forget the results that the request takes in; they become due again."""
        return self._drop(self.final_stages())

    def _drop(self, stages: tuple[int, ...]) -> tuple[str, ...]:
        dropped = []
        for stage in stages:
            for number, handle in enumerate(self._handles[stage]):
                if handle is not None:
                    dropped.append(handle)
                self._handles[stage][number] = None
                self._requested.discard((stage, number))
            # Inputs that were released are needed again.
            released = tuple(
                earlier
                for earlier in self.stages[stage].after
                if "" in self._handles[earlier]
            )
            dropped += self._drop(released)
        return tuple(handle for handle in dropped if handle)

    def consumed(self) -> tuple[str, ...]:
        """Return handles whose every following stage is made, once each."""
        released = []
        for stage in range(len(self.stages)):
            followers = [i for i, spec in enumerate(self.stages) if stage in spec.after]
            if followers and all(self.is_made(i) for i in (stage, *followers)):
                released += [h for h in self._handles[stage] if h]
                # The mark keeps the stage made without a result to release.
                self._handles[stage] = ["" if h else h for h in self._handles[stage]]
        return tuple(released)

    def held_handles(self) -> tuple[str, ...]:
        """Return all handles that were not released."""
        return tuple(h for handles in self._handles for h in handles if h)
