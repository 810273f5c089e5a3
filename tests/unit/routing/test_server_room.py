"""Requests that run at once at brittle servers."""

import pytest

from galenadrum._internal.routing.server_room import BrittleServer, ServerRoom

SERVER = BrittleServer(2, 4.0)


@pytest.fixture
def room():
    return ServerRoom(lambda server_id: SERVER if server_id == "s" else None)


class TestServerRoom:
    def test_grants_as_many_as_there_are_slots_over_all_hosts(self, room):
        assert room.reserve("s", "h1", 1, 0.0)
        assert room.reserve("s", "h2", 1, 0.0)
        assert not room.reserve("s", "h3", 1, 0.0)
        room.release("s", "h2", 1, False, 0.1)
        assert room.reserve("s", "h3", 2, 0.1)

    def test_server_that_is_not_brittle_needs_no_reservation(self, room):
        assert all(room.reserve("other", "h1", n, 0.0) for n in range(9))

    def test_rejection_closes_the_server_for_a_while(self, room):
        room.reserve("s", "h1", 1, 0.0)
        room.release("s", "h1", 1, True, 1.0)
        assert not room.reserve("s", "h1", 2, 1.4)
        assert room.reserve("s", "h1", 3, 1.5)

    def test_server_with_less_room_than_slots_gets_as_many_as_ran(self, room):
        room.reserve("s", "h1", 1, 0.0)
        room.reserve("s", "h1", 2, 0.0)
        room.release("s", "h1", 2, True, 0.1)
        assert not room.reserve("s", "h1", 3, 1.0)
        assert room.reserve("s", "h1", 4, 1.2)

    def test_reservations_of_a_lost_host_end(self, room):
        room.reserve("s", "h1", 1, 0.0)
        room.reserve("s", "h1", 2, 0.0)
        room.release_all("h1")
        assert room.reserve("s", "h2", 1, 0.0)

    def test_reservation_that_is_never_released_expires(self, room):
        room.reserve("s", "h1", 1, 0.0)
        room.reserve("s", "h1", 2, 0.0)
        assert room.reserve("s", "h2", 1, 10.0)

    def test_host_without_links_uses_its_share(self):
        room = ServerRoom(lambda server_id: BrittleServer(8, 4.0), lambda: 1 / 4)
        granted = [room.reserve("s", "", n, 0.0) for n in range(3)]
        assert granted == [True, True, False]
