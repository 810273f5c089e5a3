"""Announcements that name no server to use, as the registry of one host holds them."""

from galenadrum._internal.directory.held_announcements import MAX_HELD
from galenadrum._internal.directory.registry import REMOVE_AFTER_S, Registry
from galenadrum._internal.gateway.link_codec import (
    decode_departures,
    encode_departures,
    encode_server_entry,
)
from galenadrum._internal.gateway.server_directory import ServerDirectory
from galenadrum._internal.models.announcements import (
    MAX_SEQUENCE,
    Departure,
    LeavingServer,
    ServerState,
)
from lib.routing_values import announcement, entry

ADDRESS = "10.0.0.1:80"
UNNAMED = "node-exporter"


def create_registry(*services):
    held = []
    registry = Registry(1.0, lambda entry: None, on_held=held.append)
    registry.set_services(services)
    return registry, held


def claim(server_id="other", **more):
    return announcement(
        server_id, UNNAMED, **{"address": ADDRESS, "incarnation_ms": 9_000, **more}
    )


class TestClaims:
    def test_unnamed_service_takes_an_address(self):
        registry, _ = create_registry("encode")
        registry.apply_announcement(announcement(address=ADDRESS), 0.0)
        assert not registry.apply_announcement(claim(), 1.0)
        assert registry.find_by_address(ADDRESS).server_id == "a-1"
        assert registry.get("a-1").accepts_requests
        assert registry.get("other") is None

    def test_unnamed_service_takes_an_id(self):
        registry, _ = create_registry("encode")
        registry.apply_announcement(announcement(address=ADDRESS), 0.0)
        for more in ({}, {"incarnation_ms": 1_000, "sequence": 10**9}):
            registry.apply_announcement(claim("a-1", **more), 1.0)
        assert registry.get("a-1").announcement.service == "encode"
        renewed = announcement(address=ADDRESS, sequence=2)
        assert registry.apply_announcement(renewed, 2.0)

    def test_unnamed_service_leaves_with_the_id_of_a_server(self):
        registry, _ = create_registry("encode")
        registry.apply_announcement(announcement(address=ADDRESS), 0.0)
        for state in (ServerState.DRAINING, ServerState.GONE):
            departure = Departure("a-1", 9_000, 5, state, UNNAMED)
            assert registry.record_departure(departure, 1.0)
        assert registry.get("a-1").accepts_requests
        renewed = announcement(address=ADDRESS, sequence=2)
        assert registry.apply_announcement(renewed, 2.0)
        assert registry.get("a-1").accepts_requests
        assert not registry.list_leaving()

    def test_empty_service_stands_for_any(self):
        # Another writer may announce a service without a name.
        registry, _ = create_registry("encode")
        registry.apply_announcement(announcement(), 0.0)
        departure = Departure("a-1", 9_000, 5, ServerState.DRAINING, "")
        (relayed,) = decode_departures(encode_departures([departure], 0).departures)
        assert relayed == departure
        registry.record_departure(relayed, 1.0)
        assert registry.get("a-1").accepts_requests
        assert registry.apply_announcement(announcement(sequence=2), 2.0)

    def test_own_departure_is_hidden_by_one_of_an_unnamed_service(self):
        registry, _ = create_registry("encode")
        registry.apply_announcement(announcement(sequence=5), 0.0)
        unnamed = Departure("a-1", 9_000, MAX_SEQUENCE, ServerState.GONE, UNNAMED)
        registry.record_departure(unnamed, 1.0)
        own = Departure("a-1", 1_000, 5, ServerState.DRAINING)
        assert registry.record_departure(own, 2.0)
        assert not registry.get("a-1").accepts_requests
        assert set(registry.list_departures()) == {own, unnamed}

    def test_departures_of_unnamed_services_are_kept_for_ever(self):
        registry, _ = create_registry("encode")
        registry.apply_announcement(announcement(), 0.0)
        unnamed = Departure("a-1", 9_000, 5, ServerState.GONE, UNNAMED)
        registry.record_departure(unnamed, 1.0)
        registry.prune(1.0 + REMOVE_AFTER_S)
        assert registry.list_departures() == [unnamed]
        registry.prune(1.1 + REMOVE_AFTER_S)
        assert registry.list_departures() == []

    def test_unnamed_service_keeps_a_dead_server_from_silence(self):
        registry, _ = create_registry("encode")
        registry.apply_announcement(announcement(), 0.0)
        registry.apply_announcement(claim("a-1"), 3.0)
        registry.expire(3.6)
        assert registry.get("a-1").is_silent

    def test_entry_of_a_service_named_no_more_defends_its_address(self):
        registry, _ = create_registry("encode", "generate")
        former = announcement(address=ADDRESS, incarnation_ms=9_000)
        registry.apply_announcement(former, 0.0)
        registry.set_services(["generate"])
        user = announcement("g", "generate", address=ADDRESS, incarnation_ms=5_000)
        assert registry.apply_announcement(user, 1.0)
        assert registry.find_by_address(ADDRESS).server_id == "g"
        assert registry.get("g").accepts_requests


class TestNamedLater:
    def test_server_announced_before_its_service_is_named_is_forgotten(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(sequence=3), 1.0)
        registry.apply_announcement(announcement(sequence=2), 2.0)
        assert registry.get("a-1") is None
        assert registry.find_incarnation("a-1") == 1_000
        assert registry.set_services(["encode"]) == ("a-1",)
        assert registry.get("a-1").announcement.sequence == 3
        assert registry.last_received_at("a-1") == 1.0
        assert registry.held_count == 0

    def test_claim_replaces_a_held_announcement_with_the_same_id(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(address=ADDRESS), 0.0)
        registry.apply_announcement(claim("a-1", sequence=10**9), 1.0)
        registry.set_services(["encode"])
        assert registry.get("a-1").announcement.service == "encode"

    def test_departure_is_lost_once_the_service_is_named(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(sequence=3), 0.0)
        departure = Departure("a-1", 1_000, 4, ServerState.DRAINING, "encode")
        registry.record_departure(departure, 1.0)
        registry.set_services(["encode"])
        assert not registry.get("a-1").accepts_requests

    def test_late_announcement_is_passed_on_without_the_departure(self):
        registry, held = create_registry("generate")
        departure = Departure("a-1", 1_000, 4, ServerState.DRAINING, "encode")
        registry.record_departure(departure, 0.0)
        registry.apply_announcement(announcement(sequence=3), 1.0)
        assert [a.state for a in held] == [ServerState.DRAINING]
        gone = Departure("a-2", 1_000, 4, ServerState.GONE, "encode")
        registry.record_departure(gone, 0.0)
        registry.apply_announcement(announcement("a-2", sequence=3), 1.0)
        assert len(held) == registry.held_count == 1

    def test_held_announcements_have_no_bound(self):
        registry, _ = create_registry()
        for number in range(MAX_HELD + 5):
            registry.apply_announcement(announcement(f"s-{number}"), 0.0)
        assert registry.held_count == MAX_HELD
        registry.prune(REMOVE_AFTER_S + 0.1)
        assert registry.held_count == 0


class TestOtherHosts:
    def test_claim_of_an_id_or_address_in_use_is_passed_on(self):
        registry, held = create_registry("encode")
        registry.apply_announcement(announcement(address=ADDRESS), 0.0)
        registry.apply_announcement(claim(), 1.0)
        registry.apply_announcement(claim("a-1", address="10.0.0.9:80"), 1.0)
        assert (held, registry.list_held()) == ([], [])

    def test_unchanged_claim_is_passed_on_again(self):
        registry, held = create_registry("encode")
        registry.apply_announcement(claim(sequence=1), 1.0)
        registry.apply_announcement(claim(sequence=2), 2.0)
        assert held == [claim(sequence=1)]
        registry.apply_announcement(claim(sequence=3, state=ServerState.DRAINING), 3.0)
        assert len(held) == 2
        assert [a.sequence for a in registry.list_held()] == [3]

    def test_claims_are_passed_on_before_the_first_configuration(self):
        registry, held = create_registry()
        registry.apply_announcement(claim(), 1.0)
        assert (held, registry.list_held()) == ([], [])

    def test_relayed_claim_ends_the_silence_of_a_dead_server(self):
        directory = ServerDirectory(lambda entry: None)
        directory.set_services(["encode"])

        def record(relayed, **more):
            message = encode_server_entry(relayed, 0.0).server
            message.is_silent = more.get("is_silent", False)
            directory.record_announcement("control", message, 0.0)

        record(entry())
        record(entry(), is_silent=True)
        record(entry("a-1", UNNAMED, incarnation_ms=9_000))
        assert directory.registry.get("a-1").is_silent

    def test_silence_reported_before_the_service_is_named_is_lost(self):
        directory = ServerDirectory(lambda entry: None)
        message = encode_server_entry(entry(), 0.0).server
        message.is_silent = True
        directory.record_announcement("control", message, 0.0)
        directory.set_services(["encode"])
        assert directory.registry.get("a-1").is_silent

    def test_leaving_mark_needs_a_service(self):
        registry, _ = create_registry("encode")
        registry.apply_announcement(announcement(), 0.0)
        assert registry.mark_leaving(LeavingServer("a-1", 1_000), 1.0)
        assert not registry.get("a-1").accepts_requests
