"""What dispatchers tell each other of the prompt parts that engines hold.

Load pattern: dispatchers that own the engines of one zone each, and parts that requests
of all zones share; or the loss of a dispatcher in a burst. A dispatcher that knows only
what it placed itself has parts read once more in its zone, and one that has just taken
over has all of them read anew.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from galenadrum._internal.dispatch.messages import PromptPart

# Prompts that are remembered for each engine, the most recently used ones.
_MAX_PROMPTS_PER_SERVER = 200
# Prompts that wait to be sent; older ones are dropped where nobody is linked.
_MAX_UNSENT = 500
# Nothing is sent again this soon: engines keep a part for longer after its last use.
_RESEND_INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class HeldPrompt:
    """The shared parts of a prompt that an engine has read.

    Attributes:
        server_id: Id of the engine.
        incarnation_ms: Start of the engine; a later one holds nothing of before.
        parts: Parts from the beginning of the prompt, in order.
    """

    server_id: str
    incarnation_ms: int
    parts: tuple[PromptPart, ...]

    @property
    def key(self) -> str:
        """Id of the last part, which stands for all of them."""
        return self.parts[-1].part_id


class HeldPrompts:
    """The prompts that engines hold, as far as this host was told."""

    def __init__(self) -> None:
        self._prompts_by_server: dict[str, OrderedDict[str, HeldPrompt]] = {}
        self._unsent: OrderedDict[tuple[str, str], HeldPrompt] = OrderedDict()
        self._sent_at: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record(self, held: HeldPrompt) -> None:
        """Remember what an engine holds."""
        prompts = self._prompts_by_server.setdefault(held.server_id, OrderedDict())
        prompts[held.key] = held
        prompts.move_to_end(held.key)
        if len(prompts) > _MAX_PROMPTS_PER_SERVER:
            prompts.popitem(last=False)

    def record_observed(self, held: HeldPrompt, now: float) -> None:
        """Remember what this host has seen, to be sent unless it was just now."""
        self.record(held)
        key = (held.server_id, held.key)
        if now - self._sent_at.get(key, -math.inf) < _RESEND_INTERVAL_S:
            return
        self._sent_at[key] = now
        self._sent_at.move_to_end(key)
        self._unsent[key] = held
        for bounded in (self._unsent, self._sent_at):
            if len(bounded) > _MAX_UNSENT:
                bounded.popitem(last=False)

    def remove_server(self, server_id: str) -> None:
        """Forget an engine that is gone."""
        self._prompts_by_server.pop(server_id, None)

    def list_prompts(self) -> Iterator[HeldPrompt]:
        """Yield all prompts, for each engine in the order of their use."""
        for prompts in self._prompts_by_server.values():
            yield from prompts.values()

    def take_unsent(self) -> tuple[HeldPrompt, ...]:
        """Return what is to be sent to other hosts, once."""
        unsent = tuple(self._unsent.values())
        self._unsent.clear()
        return unsent
