"""Which server holds an address, over restarts, moves and reuse."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.directory.registry import REMOVE_AFTER_S, Registry
from galenadrum._internal.models.announcements import (
    MAX_SEQUENCE,
    Departure,
    ServerState,
)
from lib.routing_values import announcement

OLD, NEW = "10.0.0.1:80", "10.0.0.2:80"
SERVICES = ("encode", "generate")
IDS = ("a", "b", "c")
ADDRESSES = tuple(f"10.0.0.{number}:80" for number in range(1, 5))


def create_registry():
    changed = []
    registry = Registry(1.0, changed.append)
    registry.set_services(SERVICES)
    return registry, changed


def check_index(registry):
    """Check that what the index of addresses says is what the entries say."""
    holders = dict(registry._id_by_address)
    for address, server_id in holders.items():
        assert registry.get(server_id).announcement.address == address
    for entry in registry:
        is_holder = holders.get(entry.announcement.address) == entry.server_id
        assert is_holder or entry.announcement.state is ServerState.GONE


announcements = st.tuples(
    st.just("announce"),
    st.sampled_from(IDS),
    st.sampled_from(ADDRESSES),
    st.sampled_from((*SERVICES, "unnamed")),
    st.integers(0, 4),
    st.integers(1, 6),
    st.sampled_from(list(ServerState)),
)
steps = st.lists(
    st.one_of(
        announcements,
        st.tuples(st.just("depart"), st.sampled_from(IDS), st.integers(0, 4)),
        st.tuples(st.just("wait"), st.sampled_from([1.0, 5.0, REMOVE_AFTER_S + 1])),
        st.tuples(
            st.just("configure"), st.sets(st.sampled_from((*SERVICES, "unnamed")))
        ),
    ),
    max_size=30,
)


class TestIndex:
    @given(steps)
    def test_index_and_entries_differ(self, steps):
        registry, _ = create_registry()
        now = 0.0
        for step in steps:
            match step:
                case ("announce", server_id, address, service, born, sequence, state):
                    message = announcement(
                        server_id,
                        service,
                        address=address,
                        incarnation_ms=born,
                        sequence=sequence,
                        state=state,
                    )
                    registry.apply_announcement(message, now)
                case ("depart", server_id, born):
                    departure = Departure(
                        server_id, born, MAX_SEQUENCE, ServerState.GONE
                    )
                    registry.record_departure(departure, now)
                case ("wait", duration_s):
                    now += duration_s
                    registry.expire(now)
                    registry.prune(now)
                case ("configure", services):
                    registry.set_services(services)
            check_index(registry)


class History:
    """Servers that start, move and stop, and all that they announce meanwhile.

    Attributes:
        said: All announcements, in the order in which they were sent.
        live: The running servers by id.
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._fresh = iter(range(10, 10_000))
        self.said = []
        self.live = {}
        for now in range(1, 25):
            self._step(now * 1_000)

    def _step(self, now_ms):
        server_id = self._rng.choice(IDS)
        server = self.live.pop(server_id, None)
        match self._rng.choice(["start", "move", "stop", "renew", "renew"]):
            case "start":
                used = {s.address for s in self.live.values()}
                address = self._rng.choice([a for a in ADDRESSES if a not in used])
                service = self._rng.choice(SERVICES)
                self._say(
                    announcement(
                        server_id, service, address=address, incarnation_ms=now_ms
                    )
                )
            case "move" if server is not None:
                self._renew(server, f"10.0.1.{next(self._fresh)}:80")
            case "renew" if server is not None:
                self._renew(server)

    def _renew(self, server, address=None):
        self._say(
            announcement(
                server.server_id,
                server.service,
                address=address or server.address,
                incarnation_ms=server.incarnation_ms,
                sequence=server.sequence + 1,
            )
        )

    def _say(self, message):
        self.said.append(message)
        self.live[message.server_id] = message

    def renew_all(self):
        """Let each running server announce itself, in any order."""
        servers = list(self.live.values())
        self._rng.shuffle(servers)
        for server in servers:
            self._renew(server)

    def shuffled(self):
        """Return all announcements in any order, some of them twice."""
        messages = [*self.said, *self._rng.sample(self.said, len(self.said) // 2)]
        self._rng.shuffle(messages)
        return messages


class TestReuse:
    @given(st.integers(0, 10**6))
    def test_running_server_is_not_used_after_late_announcements(self, seed):
        history = History(seed)
        registry, _ = create_registry()
        for message in history.shuffled():
            registry.apply_announcement(message, 0.0)
            check_index(registry)
        history.renew_all()
        for message in history.said[-len(history.live) :] if history.live else ():
            registry.apply_announcement(message, 1.0)
        for server in history.live.values():
            entry = registry.get(server.server_id)
            assert entry.accepts_requests
            assert entry.announcement == server
            assert registry.find_by_address(server.address) is entry

    @pytest.mark.parametrize("restarts", [False, True])
    @pytest.mark.parametrize("is_known_first", [False, True])
    def test_moved_server_ends_with_its_former_address(self, restarts, is_known_first):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(address=OLD, sequence=7), 0.0)
        moved = announcement(
            address=NEW,
            incarnation_ms=2_000 if restarts else 1_000,
            sequence=1 if restarts else 8,
        )
        user = announcement("g", "generate", address=OLD, incarnation_ms=3_000)
        messages = (user, moved) if is_known_first else (moved, user)
        for message in messages:
            assert registry.apply_announcement(message, 1.0)
        assert registry.get("a-1").accepts_requests
        assert registry.get("g").accepts_requests
        assert registry.find_by_address(NEW).server_id == "a-1"
        assert registry.find_by_address(OLD).server_id == "g"

    def test_late_announcement_takes_the_address_back(self):
        registry, _ = create_registry()
        for born in (1_000, 2_000):
            registry.apply_announcement(announcement(address=OLD), 0.0)
            user = announcement("g", "generate", address=OLD, incarnation_ms=born)
            registry.apply_announcement(user, 1.0)
            late = announcement(address=OLD, sequence=9)
            assert not registry.apply_announcement(late, 2.0)
            assert registry.find_by_address(OLD).server_id == "g"

    def test_address_whose_holder_was_removed_can_not_be_announced(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(address=OLD), 0.0)
        moved = announcement(address=NEW, incarnation_ms=2_000)
        registry.apply_announcement(moved, 1.0)
        registry.expire(10.0)
        assert registry.prune(REMOVE_AFTER_S + 2.0) == ("a-1",)
        user = announcement("g", "generate", address=OLD, incarnation_ms=1_500)
        assert registry.apply_announcement(user, REMOVE_AFTER_S + 3.0)

    def test_server_that_is_gone_takes_an_address(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(address=OLD), 0.0)
        gone = announcement(
            "g",
            "generate",
            address=OLD,
            incarnation_ms=2_000,
            state=ServerState.GONE,
        )
        registry.apply_announcement(gone, 1.0)
        assert registry.get("a-1").accepts_requests
        assert registry.find_by_address(OLD).server_id == "a-1"

    def test_server_stays_gone_as_the_user_of_its_address_is_named_no_more(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(address=OLD), 0.0)
        user = announcement("g", "generate", address=OLD, incarnation_ms=2_000)
        registry.apply_announcement(user, 1.0)
        assert not registry.get("a-1").accepts_requests
        registry.set_services(["encode"])
        renewed = announcement(address=OLD, sequence=2)
        assert registry.apply_announcement(renewed, 2.0)
        assert registry.get("a-1").accepts_requests
