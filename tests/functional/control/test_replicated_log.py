import asyncio

import pytest

from galenadrum._internal.exceptions import MemberRefusedError, NotLeaderError
from lib.log_cluster import running_cluster, wait_until

# Bounds only how long a failing test hangs.
_TIMEOUT_S = 60


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, _TIMEOUT_S))


class TestReplicatedLog:
    def test_single_member_keeps_commands_after_restart(self, tmp_path):
        async def scenario():
            async with running_cluster(tmp_path, ["a"]) as cluster:
                member = await cluster.leader()
                assert await member.log.propose(b"first", _TIMEOUT_S) == b"1"
                await member.stop()
                await member.start()
                await cluster.leader()
                await member.log.read_barrier(_TIMEOUT_S)
                assert member.machine.commands == [b"first"]

        run(scenario())

    def test_three_members_converge_after_leader_change(self, tmp_path):
        async def scenario():
            async with running_cluster(tmp_path, ["a", "b", "c"]) as cluster:
                old_leader = await cluster.leader()
                proposals = [
                    old_leader.log.propose(b"%d" % n, _TIMEOUT_S) for n in range(50)
                ]
                await asyncio.gather(*proposals)
                await old_leader.stop()
                others = [
                    m for m in cluster.members_by_id.values() if m is not old_leader
                ]
                await wait_until(lambda: any(m.log.is_leader for m in others))
                new = next(m for m in others if m.log.is_leader)
                await new.log.read_barrier(_TIMEOUT_S)
                assert new.machine.commands == [b"%d" % n for n in range(50)]
                await old_leader.start()
                with pytest.raises(NotLeaderError):
                    await old_leader.log.propose(b"refused", _TIMEOUT_S)
                await wait_until(
                    lambda: old_leader.machine.commands == new.machine.commands
                )

        run(scenario())

    def test_member_with_lost_disk_is_refused_and_replaced(self, tmp_path):
        async def scenario():
            async with running_cluster(tmp_path, ["a", "b", "c"]) as cluster:
                leader = await cluster.leader()
                await leader.log.propose(b"kept", _TIMEOUT_S)
                lost = next(m for m in cluster.members_by_id.values() if m != leader)
                lost_id = lost.settings.member_id
                await lost.stop()
                lost.settings.data_folder.rename(tmp_path / "gone")
                await lost.start()
                with pytest.raises(MemberRefusedError, match="new member_id"):
                    await lost.log.wait_for_failure()
                new = cluster.add_joining_member("d", replaces=lost_id)
                await new.start()

                def is_replaced():
                    members = leader.log.status.members
                    voters = {m.member.member_id for m in members if m.member.voter}
                    return "d" in voters and lost_id not in voters

                await wait_until(is_replaced)
                await wait_until(lambda: new.machine.commands == [b"kept"])

        run(scenario())
