"""Driver that runs one member of the replicated log on the event loop."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

from galenadrum._internal.control.replication import codec, joining
from galenadrum._internal.control.replication import messages as m
from galenadrum._internal.control.replication.core import ReplicaCore, ReplicaStatus
from galenadrum._internal.control.replication.disk import Disk, FolderDisk
from galenadrum._internal.control.replication.entries import Entry, EntryKind
from galenadrum._internal.control.replication.membership import Member, Membership
from galenadrum._internal.control.replication.peer_set import PeerSet
from galenadrum._internal.control.replication.pending import (
    PendingProposals,
    PendingReads,
)
from galenadrum._internal.control.replication.persistence import PersistenceWriter
from galenadrum._internal.control.replication.service import ReplicationService
from galenadrum._internal.control.replication.state import ReplicaOptions
from galenadrum._internal.control.replication.storage import Storage, open_storage
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

# The leader's lease ends before any follower may grant a vote, even if the rates
# of their clocks differ by this fraction.
_CLOCK_RATE_MARGIN = 0.1
# Time without an answer after which a connection to a member is replaced, as a
# fraction of the election timeout.
_PEER_SILENCE_RATIO = 0.5
_FOUNDING_LOG_INTERVAL_S = 10.0
_MIN_LOG_BYTES_BETWEEN_SNAPSHOTS = 1024 * 1024
_ENTRY_OVERHEAD_BYTES = 64
_POLL_INTERVAL_S = 0.01
_LEAVE_INTERVAL_S = 0.05


class StateMachine(Protocol):
    """Deterministic state machine that the log replicates."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return its result."""

    def snapshot(self) -> bytes:
        """Return the serialised state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""


def build_replica_options(settings: ControlSettings) -> ReplicaOptions:
    """Derive the replica options from the settings of a control host."""
    election_timeout_s = settings.election_timeout_ms / 1_000
    return ReplicaOptions(
        heartbeat_s=settings.heartbeat_ms / 1_000,
        election_timeout_s=election_timeout_s,
        lease_s=election_timeout_s * (1 - _CLOCK_RATE_MARGIN),
    )


class ReplicatedLog:
    """One member of the replicated log, with its data folder and peer streams.

    Args:
        settings: Id and addresses of this member, its data folder and the
            founding members.
        state_machine: State machine; called on the event loop only.
        rng: Random generator; must be seeded differently on each member.
        on_applied: Called with the last applied index after entries were
            applied or a snapshot was restored.
        on_leadership: Called with the term and the end of the lease (loop time
            in seconds) when leadership is gained and each time the lease is
            extended; called with None in place of the time when it is lost.
        options: Replica options; derived from the settings if None.
        disk: Disk to store the log on; the settings' data folder if None.
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
        self._state_machine = state_machine
        self._rng = rng
        self._on_applied = on_applied
        self._on_leadership = on_leadership
        self._options = options or build_replica_options(settings)
        self._disk = disk
        self._core: ReplicaCore | None = None
        self._storage: Storage | None = None
        self._writer: PersistenceWriter | None = None
        self._failure: asyncio.Future[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        silence_timeout_s = self._options.election_timeout_s * _PEER_SILENCE_RATIO
        self._peers = PeerSet(self._receive, silence_timeout_s, rng)
        self._proposals = PendingProposals()
        self._reads = PendingReads()
        self._applied_index = 0
        # Of the last entry or snapshot that a leader confirmed; 0 after a start.
        self._applied_term = 0
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = 0
        self._actions_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._is_stepping_down = False
        self._next_founding_log_at = 0.0
        self._service = ReplicationService(
            self._peers.receive_inbound,
            self._peers.remove_inbound,
            self._handle_join_request,
            self._handle_leave_request,
        )

    def services(self) -> list[ReplicationService]:
        """Return the gRPC services to register on the server of this host."""
        return [self._service]

    async def start(self) -> None:
        """Load the stored state and start this member.

        Raises:
            StorageError: If the data folder can't be used.
            LogDamagedError: If synced data of the log is damaged.
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
        self._writer = PersistenceWriter(self._storage, self._record_synced, self._fail)
        self._spawn(self._writer.run())
        if self._settings.join_addresses and not self._core.has_joined():
            self._spawn(self._join())
        self._tick()

    async def stop(self) -> None:
        """Stop this member; pending proposals end with an unknown outcome."""
        if self._core is None:
            return
        self._stop_activity()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._peers.close()
        await self._loop.run_in_executor(None, self._writer.close)
        self._storage.close()

    async def wait_for_failure(self) -> None:
        """Wait until this member fails, and raise the cause.

        Raises:
            StorageError: If storage failed.
            MemberRefusedError: If the cluster doesn't accept this member.
            InvariantError: If an invariant was violated.
        """
        await asyncio.shield(self._failure)

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Commit a command and return its result from the local state machine.

        Raises:
            NotLeaderError: If this member doesn't lead; the command was not
                accepted.
            LogBusyError: If the command is too large or too many are pending;
                the command was not accepted.
            OutcomeUnknownError: If the command may have been accepted.
        """
        core = self._running_core()
        if self._is_stepping_down:
            raise NotLeaderError(None)
        index, term = core.propose(command, self._loop.time())
        deadline = self._loop.time() + timeout_s
        result = await self._wait_until_committed(index, term, timeout_s)
        await self.wait_until_settled(deadline - self._loop.time())
        return result

    async def wait_until_settled(self, timeout_s: float) -> None:
        """Wait until what is committed may be acknowledged.

        A committed change isn't acknowledged while a standby is about to take the place
        of a lost voter, since the loss of one more member could end the quorum.

        Raises:
            OutcomeUnknownError: If this member has lost leadership or the time is up.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not self._running_core().is_settled(self._loop.time()):
                    await asyncio.sleep(_POLL_INTERVAL_S)
        except NotLeaderError:
            raise OutcomeUnknownError(
                "this member no longer leads; the change may be committed"
            ) from None
        except TimeoutError:
            raise OutcomeUnknownError(
                f"a change of voters was not completed within {timeout_s:.1f} s"
            ) from None

    async def _wait_until_committed(
        self, index: int, term: int, timeout_s: float
    ) -> bytes:
        future = self._proposals.add(index, term)
        self._schedule_actions()
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
        """Transfer leadership once all pending proposals are committed.

        New proposals are rejected from now on. Returns when another leader is
        known, when no other member can lead, or after ``timeout_s`` seconds.
        """
        self._is_stepping_down = True
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
        self._schedule_actions()
        if successor_id is None:
            return False
        logger.info("member %s is asked to lead", successor_id)
        return True

    async def leave(self, timeout_s: float) -> None:
        """Let a standby vote in place of this member, which is about to stop.

        Returns at once if this member is no voter or no standby is ready, and after
        ``timeout_s`` seconds in any case.
        """
        member_id = self._settings.member_id
        try:
            async with asyncio.timeout(timeout_s):
                while self._is_running() and self._core.membership.is_voter(member_id):
                    if not await self._request_leave(member_id):
                        return
                    await asyncio.sleep(_LEAVE_INTERVAL_S)
        except TimeoutError:
            logger.info("no standby took this member's place within %s s", timeout_s)

    async def _request_leave(self, member_id: str) -> bool:
        """Ask the leader once; return whether to go on asking."""
        request = pb.LeaveRequest(member_id=member_id)
        address = self.leader_address
        if address is None:
            return True
        if address == self._settings.peer_address:
            return self._handle_leave_request(request).accepted
        response = await joining.send_leave_request(address, request)
        return response is None or bool(response.accepted or response.leader_address)

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until all entries committed before the call are applied here.

        Raises:
            NotLeaderError: If this member doesn't lead.
            LogBusyError: If too many reads are pending.
            ControlUnreachableError: If no quorum answered in time.
        """
        core = self._running_core()
        token, future = self._reads.add()
        try:
            core.request_read(token, self._loop.time())
            self._schedule_actions()
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
        """Add a member as a learner; it votes once it has caught up and synced.

        The member named by ``replaces`` is removed after that.

        Raises:
            NotLeaderError: If this member doesn't lead.
            MembershipError: If the member can't be added, now or ever.
            OutcomeUnknownError: If the member may have been added.
        """
        core = self._running_core()
        member = Member(member_id, address, voter=False, replaces=replaces)
        index, term = core.add_member(member, self._loop.time())
        await self._wait_until_committed(index, term, timeout_s)

    async def remove_member(self, member_id: str, timeout_s: float) -> None:
        """Remove a member permanently.

        Succeeds for a member that is already removed, so that a call can be
        retried.

        Raises:
            NotLeaderError: If this member doesn't lead.
            LogBusyError: If too many reads are pending.
            ControlUnreachableError: If no quorum answered in time.
            MembershipError: If the member can't be removed, now or ever.
            OutcomeUnknownError: If the member may have been removed.
        """
        core = self._running_core()
        await self.read_barrier(timeout_s)
        if core.is_removed(member_id):
            return
        index, term = core.remove_member(member_id, self._loop.time())
        await self._wait_until_committed(index, term, timeout_s)

    def silences_by_id(self) -> dict[str, float]:
        """Return the seconds without an answer to this leader, by member id."""
        if not self._is_running():
            return {}
        return self._current_core().silences_by_id(self._loop.time())

    @property
    def is_running(self) -> bool:
        """Whether this member has started and has not failed."""
        return self._is_running()

    @property
    def leaderless_s(self) -> float:
        """Seconds for which this member has known no leader, or 0."""
        if not self._is_running():
            return 0.0
        return self._current_core().leaderless_s(self._loop.time())

    @property
    def is_leader(self) -> bool:
        """Whether this member holds the leader lease now, by its own clock."""
        return self.lease_until is not None

    @property
    def lease_until(self) -> float | None:
        """End of the leader lease in loop time; None if this member doesn't lead."""
        if not self._is_running():
            return None
        return self._core.lease_until(self._loop.time())

    @property
    def has_caught_up(self) -> bool:
        """Whether all entries that earlier leaders committed are applied here.

        They precede the first entry of the current term.
        """
        return self._is_running() and 0 < self._applied_term == self.term

    @property
    def leader_address(self) -> str | None:
        """Peer address of the leader; None if it is unknown."""
        return self._current_core().leader_address() if self._is_running() else None

    @property
    def term(self) -> int:
        """Current term; used to fence orders of earlier leaders."""
        return self._core.term

    @property
    def status(self) -> ReplicaStatus:
        """Status of the log as this member sees it."""
        return self._current_core().status()

    @property
    def applied_index(self) -> int:
        """Index of the last entry that the state machine has applied."""
        return self._applied_index

    @property
    def log_bytes(self) -> int:
        """Size of the log's segments on disk, in bytes."""
        return self._storage.size_bytes

    def _is_running(self) -> bool:
        return self._core is not None and not self._failure.done()

    def _current_core(self) -> ReplicaCore:
        # A leader that was suspended must not report itself as leader on an expired
        # lease.
        self._core.expire_lease(self._loop.time())
        return self._core

    def _running_core(self) -> ReplicaCore:
        if not self._is_running():
            raise NotLeaderError(None)
        return self._core

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
        await joining.join_cluster(
            self._settings.join_addresses, request, self._core.has_joined
        )

    def _handle_join_request(self, request: pb.JoinRequest) -> pb.JoinResponse:
        if not self._is_running():
            return pb.JoinResponse(message="this member is not running")
        response = joining.handle_join_request(self._core, request, self._loop.time())
        self._schedule_actions()
        return response

    def _handle_leave_request(self, request: pb.LeaveRequest) -> pb.LeaveResponse:
        try:
            accepted = self._running_core().record_leaving(
                request.member_id, self._loop.time()
            )
        except NotLeaderError as error:
            return pb.LeaveResponse(leader_address=error.leader_address or "")
        self._schedule_actions()
        return pb.LeaveResponse(accepted=accepted)

    def _receive(self, message: m.Message) -> None:
        if not self._is_running():
            return
        try:
            self._core.receive(message, self._loop.time())
        except InvariantError as error:
            self._fail(error)
            return
        self._schedule_actions()

    def _record_synced(self, sequence: int) -> None:
        if not self._is_running():
            return
        self._core.record_synced(sequence, self._loop.time())
        self._schedule_actions()

    def _tick(self) -> None:
        self._timer = None
        self._core.tick(self._loop.time())
        self._log_missing_founders()
        self._run_pending_actions()

    def _log_missing_founders(self) -> None:
        membership = self._core.membership
        now = self._loop.time()
        if not membership.is_founding() or now < self._next_founding_log_at:
            return
        self._next_founding_log_at = now + _FOUNDING_LOG_INTERVAL_S
        logger.info(
            "the first start of the cluster waits for all founding members: %s",
            ", ".join(sorted(membership.voter_ids())),
        )

    def _schedule_actions(self) -> None:
        # The actions of all events in one loop iteration are executed together, so
        # that their messages are sent in one batch.
        if not self._actions_scheduled:
            self._actions_scheduled = True
            self._loop.call_soon(self._run_pending_actions)

    def _run_pending_actions(self) -> None:
        self._actions_scheduled = False
        if not self._is_running():
            return
        try:
            for action in self._core.collect_actions(self._loop.time()):
                self._execute_action(action)
        except Exception as error:
            # The state machine raised or an invariant was violated: the state can't be
            # trusted, so the member stops.
            self._fail(error)
            return
        self._reads.complete_through(self._applied_index)
        if self._core.has_more_to_apply:
            self._schedule_actions()
        self._arm_timer()

    def _arm_timer(self) -> None:
        wakeup = self._core.next_wakeup()
        if wakeup is None:
            return
        # An earlier timer is kept: at worst it causes one needless tick.
        if self._timer is not None and self._timer.when() <= wakeup:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(wakeup, self._tick)

    def _execute_action(self, action: m.Action) -> None:
        match action:
            case m.Send(message, address):
                self._peers.send(message, address)
            case m.Persist():
                self._writer.add(action)
            case m.Apply(entries):
                self._apply(entries)
            case m.Restore(snapshot):
                self._restore(snapshot)
                self._applied_term = snapshot.term
                self._proposals.fail_through(snapshot.index)
            case m.ReadReady(token, index):
                self._reads.ready(token, index)
            case m.ReadFailed(token):
                self._reads.failed(token, self._core.leader_address())
            case m.LeadershipChanged(term, lease_until):
                if self._on_leadership is not None:
                    self._on_leadership(term, lease_until)
            case m.RefusedByCluster(reason):
                self._fail(MemberRefusedError(reason))

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            result = b""
            if entry.kind is EntryKind.COMMAND:
                result = self._state_machine.apply(entry.index, entry.data)
            elif entry.kind is EntryKind.MEMBERSHIP:
                membership = codec.membership_from_bytes(entry.data)
                logger.info(
                    "members committed at entry %d: %s",
                    entry.index,
                    membership.describe(),
                )
                members = self._core.membership.members
                self._peers.close_links_except({member.member_id for member in members})
            self._applied_index = entry.index
            self._applied_term = entry.term
            self._bytes_since_snapshot += len(entry.data) + _ENTRY_OVERHEAD_BYTES
            self._proposals.complete(entry.index, entry.term, result)
        if self._on_applied is not None:
            self._on_applied(self._applied_index)
        # Waiting for a log as large as the last snapshot bounds the cost of snapshots
        # by that of the log that they replace.
        if self._bytes_since_snapshot > max(
            _MIN_LOG_BYTES_BETWEEN_SNAPSHOTS, self._snapshot_bytes
        ):
            self._take_snapshot()

    def _take_snapshot(self) -> None:
        data = self._state_machine.snapshot()
        self._core.record_snapshot(self._applied_index, data)
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = len(data)
        self._schedule_actions()

    def _restore(self, snapshot) -> None:
        self._state_machine.restore(snapshot.data)
        self._applied_index = snapshot.index
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = len(snapshot.data)
        if self._on_applied is not None:
            self._on_applied(snapshot.index)

    def _fail(self, error: BaseException) -> None:
        if self._failure.done():
            return
        logger.error(
            "replicated log of member %s stopped: %s", self._settings.member_id, error
        )
        self._stop_activity(error)

    def _stop_activity(self, error: BaseException | None = None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self._failure.done():
            if error is not None:
                self._failure.set_exception(error)
                # Marks the exception as retrieved, as `_fail` has logged it even if
                # nobody awaits the future.
                self._failure.exception()
            else:
                self._failure.cancel()
        self._peers.cancel()
        self._proposals.close()
        self._reads.close()
        if self._on_leadership is not None and self._core.is_leader:
            self._on_leadership(self._core.term, None)
