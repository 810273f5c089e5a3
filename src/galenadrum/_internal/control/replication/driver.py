"""The replicated log as the rest of a control host uses it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

from galenadrum._internal.control.replication import joining
from galenadrum._internal.control.replication import messages as m
from galenadrum._internal.control.replication.core import ReplicaCore, ReplicaStatus
from galenadrum._internal.control.replication.disk import Disk, FolderDisk
from galenadrum._internal.control.replication.entries import Entry, EntryKind
from galenadrum._internal.control.replication.membership import Member, Membership
from galenadrum._internal.control.replication.peer_set import PeerSet
from galenadrum._internal.control.replication.persistence import PersistenceWriter
from galenadrum._internal.control.replication.service import ReplicationService
from galenadrum._internal.control.replication.state import ReplicaOptions
from galenadrum._internal.control.replication.storage import Storage, open_storage
from galenadrum._internal.control.replication.waiting import (
    WaitingProposals,
    WaitingReads,
)
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    GalenadrumError,
    InvariantError,
    MemberRefusedError,
    NotLeaderError,
    OutcomeUnknownError,
)
from galenadrum._internal.models.settings import ControlSettings
from galenadrum._internal.protocol import replication_pb2 as pb

logger = logging.getLogger(__name__)

# A leader gives up before any follower may grant a vote, even if the clocks
# of the two run at rates that differ by this share.
_CLOCK_RATE_MARGIN = 0.1
_SILENCE_SHARE = 0.5
_FOUNDING_LOG_INTERVAL_S = 10.0
_SNAPSHOT_MIN_BYTES = 1024 * 1024
_ENTRY_OVERHEAD_BYTES = 64
_POLL_INTERVAL_S = 0.01


class StateMachine(Protocol):
    """What the log replicates; the same commands give the same state."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


def options_from(settings: ControlSettings) -> ReplicaOptions:
    """Return the core's options for a control host's settings."""
    election_timeout_s = settings.election_timeout_ms / 1_000
    return ReplicaOptions(
        heartbeat_s=settings.heartbeat_ms / 1_000,
        election_timeout_s=election_timeout_s,
        lease_s=election_timeout_s * (1 - _CLOCK_RATE_MARGIN),
    )


class ReplicatedLog:
    """One member of the log, with its data folder and its streams.

    Args:
        settings: Names this member, its data folder and the others.
        state_machine: Called on the event loop only.
        rng: Must be seeded differently on each member.
        on_applied: Called with the index after entries were applied.
        on_leadership: Called with the term and the loop time in seconds until
            which no other leader can exist: when leadership is gained and at
            each extension; with None when it is lost.
        options: In place of those that follow from the settings.
        disk: In place of the settings' data folder.
    """

    def __init__(
        self,
        settings: ControlSettings,
        state_machine: StateMachine,
        rng: random.Random,
        *,
        on_applied: Callable[[int], None] | None = None,
        on_leadership: Callable[[int, float | None], None] | None = None,
        options: ReplicaOptions | None = None,
        disk: Disk | None = None,
    ) -> None:
        self._settings = settings
        self._machine = state_machine
        self._rng = rng
        self._on_applied = on_applied
        self._on_leadership = on_leadership
        self._options = options or options_from(settings)
        self._disk = disk
        self._core: ReplicaCore | None = None
        self._storage: Storage | None = None
        self._writer: PersistenceWriter | None = None
        self._failure: asyncio.Future[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        silence_s = self._options.election_timeout_s * _SILENCE_SHARE
        self._peers = PeerSet(self._receive, silence_s, rng)
        self._proposals = WaitingProposals()
        self._reads = WaitingReads()
        self._applied_index = 0
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = 0
        self._pump_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._is_leaving = False
        self._next_founding_log = 0.0
        self._service = ReplicationService(
            self._peers.receive_inbound, self._peers.inbound_closed, self._answer_join
        )

    def services(self) -> list[ReplicationService]:
        """Return the handlers for the grpclib server of this host."""
        return [self._service]

    async def start(self) -> None:
        """Read the data folder and take part.

        Raises:
            StorageError: When the folder can't be used.
            LogDamagedError: When the log is damaged before its tail.
        """
        self._loop = asyncio.get_running_loop()
        self._failure = self._loop.create_future()
        disk = self._disk or FolderDisk(self._settings.data_folder)
        try:
            self._storage, stored = open_storage(disk, self._rng)
        except GalenadrumError:
            disk.close()
            raise
        if stored.snapshot is not None:
            self._restore(stored.snapshot)
        founders = Membership(
            tuple(Member(f.member_id, f.peer_address) for f in self._settings.members)
        )
        self._core = ReplicaCore(
            self._settings.member_id,
            stored,
            founders,
            self._options,
            self._rng,
            self._loop.time(),
        )
        self._writer = PersistenceWriter(self._storage, self._synced, self._fail)
        self._spawn(self._writer.run())
        if self._settings.join_addresses and not self._is_member():
            self._spawn(self._join())
        self._tick()

    async def stop(self) -> None:
        """Stop taking part; what was proposed and not answered is unknown."""
        if self._core is None:
            return
        self._halt()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._peers.close()
        await self._loop.run_in_executor(None, self._writer.close)
        self._storage.close()

    async def wait_failed(self) -> None:
        """Wait until this member can't go on, and raise why.

        Raises:
            StorageError: When storage failed.
            MemberRefusedError: When the cluster doesn't accept this member.
            InvariantError: When an invariant broke.
        """
        await asyncio.shield(self._failure)

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Commit a command and return the result of applying it here.

        Raises:
            NotLeaderError: When it certainly was not accepted.
            LogBusyError: When it certainly was not accepted, for its size or
                the number of others that wait.
            OutcomeUnknownError: When it may have been accepted.
        """
        core = self._running_core()
        if self._is_leaving:
            raise NotLeaderError(None)
        index, term = core.propose(command, self._loop.time())
        return await self._wait_committed(index, term, timeout_s)

    async def _wait_committed(self, index: int, term: int, timeout_s: float) -> bytes:
        future = self._proposals.add(index, term)
        self._schedule_pump()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise OutcomeUnknownError(
                f"the change was not committed within {timeout_s} s"
            ) from None
        finally:
            self._proposals.discard(index, future)

    async def step_down(self, timeout_s: float) -> None:
        """Let another member lead, once what was proposed here is committed.

        Nothing is proposed here any more. Returns when another leader is known,
        when there is no other member to lead, or after ``timeout_s`` seconds.
        """
        self._is_leaving = True
        try:
            async with asyncio.timeout(timeout_s):
                while self._proposals:
                    await asyncio.sleep(_POLL_INTERVAL_S)
                if self._transfer_leadership():
                    while self.leader_address is None:
                        await asyncio.sleep(_POLL_INTERVAL_S)
        except TimeoutError:
            logger.info("no other member took the lead within %s s", timeout_s)

    def _transfer_leadership(self) -> bool:
        if not self.is_leader:
            return False
        successor_id = self._core.transfer_leadership(self._loop.time())
        self._schedule_pump()
        if successor_id is None:
            return False
        logger.info("member %s is asked to lead", successor_id)
        return True

    async def read_barrier(self, timeout_s: float) -> None:
        """Return when all that was committed before the call is applied here.

        Raises:
            NotLeaderError: When this member doesn't lead.
            LogBusyError: When too many reads wait.
            ControlUnreachableError: When no quorum answered in time.
        """
        core = self._running_core()
        token, future = self._reads.add()
        try:
            core.request_read(token, self._loop.time())
            self._schedule_pump()
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            raise ControlUnreachableError(
                f"no quorum of control hosts answered within {timeout_s} s"
            ) from None
        finally:
            self._reads.discard(token)

    async def add_member(
        self, member_id: str, address: str, timeout_s: float, replaces: str = ""
    ) -> None:
        """Add a member; it votes once it has caught up and synced.

        One that it replaces is removed after that.

        Raises:
            NotLeaderError: When this member doesn't lead.
            MembershipError: When it can't be added, or not now.
            OutcomeUnknownError: When it may have been added.
        """
        core = self._running_core()
        member = Member(member_id, address, voter=False, replaces=replaces)
        index, term = core.add_member(member, self._loop.time())
        await self._wait_committed(index, term, timeout_s)

    async def remove_member(self, member_id: str, timeout_s: float) -> None:
        """Remove a member for good; raises as `add_member` does.

        One that is removed already stays so, for calls that are sent again.
        """
        core = self._running_core()
        await self.read_barrier(timeout_s)
        if core.is_removed(member_id):
            return
        index, term = core.remove_member(member_id, self._loop.time())
        await self._wait_committed(index, term, timeout_s)

    def silences_by_id(self) -> dict[str, float]:
        """Return how long each other member has not answered this leader."""
        if not self._is_running():
            return {}
        return self._current_core().silences_by_id(self._loop.time())

    @property
    def is_leader(self) -> bool:
        """Whether this member leads, now, by its clock."""
        return self.lease_until is not None

    @property
    def lease_until(self) -> float | None:
        """Loop time until which no other leader can exist; None if not leader."""
        if not self._is_running():
            return None
        return self._core.lease_until(self._loop.time())

    @property
    def leader_address(self) -> str | None:
        """Peer address of the leader, when it is known."""
        return self._current_core().leader_address() if self._is_running() else None

    @property
    def term(self) -> int:
        """The current term, which fences orders of earlier leaders."""
        return self._core.term

    @property
    def status(self) -> ReplicaStatus:
        """This member's view of the log."""
        return self._current_core().status()

    @property
    def applied_index(self) -> int:
        """Last index that the state machine holds."""
        return self._applied_index

    @property
    def log_bytes(self) -> int:
        """Size of the log's segments on disk."""
        return self._storage.size_bytes

    def _is_running(self) -> bool:
        return self._core is not None and not self._failure.done()

    def _current_core(self) -> ReplicaCore:
        # A leader that was frozen must not show itself as one first.
        self._core.expire_lease(self._loop.time())
        return self._core

    def _running_core(self) -> ReplicaCore:
        if not self._is_running():
            raise NotLeaderError(None)
        return self._core

    def _is_member(self) -> bool:
        return self._core.membership.get(self._settings.member_id) is not None

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fail(task.exception())

    async def _join(self) -> None:
        request = pb.JoinRequest(
            member_id=self._settings.member_id,
            address=self._settings.peer_address,
            disk_id=self._core.status().disk_id,
            replaces=self._settings.replaces,
        )
        await joining.join(self._settings.join_addresses, request, self._is_member)

    def _answer_join(self, request: pb.JoinRequest) -> pb.JoinResponse:
        if not self._is_running():
            return pb.JoinResponse(message="this member is not running")
        response = joining.answer_join(self._core, request, self._loop.time())
        self._schedule_pump()
        return response

    def _receive(self, message: m.Message) -> None:
        if not self._is_running():
            return
        try:
            self._core.receive(message, self._loop.time())
        except InvariantError as error:
            self._fail(error)
            return
        self._schedule_pump()

    def _synced(self, sequence: int) -> None:
        if not self._is_running():
            return
        self._core.persisted(sequence, self._loop.time())
        self._schedule_pump()

    def _tick(self) -> None:
        self._timer = None
        self._core.tick(self._loop.time())
        self._log_missing_founders()
        self._pump()

    def _log_missing_founders(self) -> None:
        membership = self._core.membership
        now = self._loop.time()
        if not membership.is_founding() or now < self._next_founding_log:
            return
        self._next_founding_log = now + _FOUNDING_LOG_INTERVAL_S
        logger.info(
            "the first start needs all of %s", ", ".join(sorted(membership.voter_ids()))
        )

    def _schedule_pump(self) -> None:
        # One pump for all events of one pass of the loop sends them together.
        if not self._pump_scheduled:
            self._pump_scheduled = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._pump_scheduled = False
        if not self._is_running():
            return
        try:
            for action in self._core.collect(self._loop.time()):
                self._carry_out(action)
        except Exception as error:
            # The state machine or an invariant failed: nothing after it holds.
            self._fail(error)
            return
        self._reads.applied(self._applied_index)
        if self._core.has_more_to_apply:
            self._schedule_pump()
        self._arm_timer()

    def _arm_timer(self) -> None:
        wakeup = self._core.next_wakeup()
        if wakeup is None:
            return
        # A timer that is too early only ticks once for nothing.
        if self._timer is not None and self._timer.when() <= wakeup:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(wakeup, self._tick)

    def _carry_out(self, action: m.Action) -> None:
        match action:
            case m.Send(message, address):
                self._peers.send(message, address)
            case m.Persist():
                self._writer.add(action)
            case m.Apply(entries):
                self._apply(entries)
            case m.Restore(snapshot):
                self._restore(snapshot)
                self._proposals.restored(snapshot.index)
            case m.ReadReady(token, index):
                self._reads.ready(token, index)
            case m.ReadFailed(token):
                self._reads.failed(token, self._core.leader_address())
            case m.LeadershipChanged(term, lease_until):
                if self._on_leadership is not None:
                    self._on_leadership(term, lease_until)
            case m.Refused(reason):
                self._fail(MemberRefusedError(reason))

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            result = b""
            if entry.kind is EntryKind.COMMAND:
                result = self._machine.apply(entry.index, entry.data)
            elif entry.kind is EntryKind.MEMBERSHIP:
                members = self._core.membership.members
                self._peers.keep_only({member.member_id for member in members})
            self._applied_index = entry.index
            self._bytes_since_snapshot += len(entry.data) + _ENTRY_OVERHEAD_BYTES
            self._proposals.applied(entry.index, entry.term, result)
        if self._on_applied is not None:
            self._on_applied(self._applied_index)
        # Snapshots then cost no more than the log they take the place of.
        if self._bytes_since_snapshot > max(_SNAPSHOT_MIN_BYTES, self._snapshot_bytes):
            self._take_snapshot()

    def _take_snapshot(self) -> None:
        data = self._machine.snapshot()
        self._core.snapshot_taken(self._applied_index, data)
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = len(data)
        self._schedule_pump()

    def _restore(self, snapshot) -> None:
        self._machine.restore(snapshot.data)
        self._applied_index = snapshot.index
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = len(snapshot.data)
        if self._on_applied is not None:
            self._on_applied(snapshot.index)

    def _fail(self, error: BaseException) -> None:
        if self._failure.done():
            return
        logger.error("the log of member %s stops: %s", self._settings.member_id, error)
        self._halt(error)

    def _halt(self, error: BaseException | None = None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self._failure.done():
            if error is not None:
                self._failure.set_exception(error)
                # The error is logged even where nobody waits for it.
                self._failure.exception()
            else:
                self._failure.cancel()
        self._peers.cancel()
        self._proposals.close()
        self._reads.close()
        if self._on_leadership is not None and self._core.is_leader:
            self._on_leadership(self._core.term, None)
