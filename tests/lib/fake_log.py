"""Fake replicated log with one member and injected failures."""

from dataclasses import dataclass
from types import SimpleNamespace

from galenadrum._internal.exceptions import (
    MembershipError,
    NotLeaderError,
    OutcomeUnknownError,
)


@dataclass
class FakeLog:
    """Commits and applies each proposal immediately.

    Attributes:
        lose_command: True if the next proposal fails before it is applied.
        lose_answer: True if the next proposal fails after it is applied.
        failure: Exception that every operation raises, or None.
    """

    state: object
    is_leader: bool = True
    leader_address: str | None = "127.0.0.1:1"
    term: int = 1
    lose_command: bool = False
    lose_answer: bool = False
    failure: Exception | None = None

    @property
    def status(self):
        member = SimpleNamespace(member=SimpleNamespace(member_id="c1"))
        return SimpleNamespace(
            member_id="c1", role="leader", term=1, leader_id="c1", members=(member,)
        )

    async def propose(self, command, timeout_s):
        await self.read_barrier(timeout_s)
        if self.lose_command:
            self.lose_command = False
            raise OutcomeUnknownError("the command was lost")
        result = self.state.apply(self.state.applied_index + 1, command)
        if self.lose_answer:
            self.lose_answer = False
            raise OutcomeUnknownError("the answer was lost")
        return result

    async def remove_member(self, member_id, timeout_s):
        await self.read_barrier(timeout_s)
        if member_id != "c2":
            raise MembershipError(f"there is no member {member_id}")

    async def read_barrier(self, timeout_s):
        if self.failure is not None:
            raise self.failure
        if not self.is_leader:
            raise NotLeaderError(self.leader_address)
