"""Attribution of server crashes to prompt parts."""

import itertools

import pytest

from galenadrum._internal.models.quarantine import ServerCrash
from galenadrum._internal.quarantine.attribution import CrashAttribution

LETHAL = "lethal"


class Crashes:
    """Crashes of servers, each with a request that has the lethal part."""

    def __init__(self, first_parts=("first",)):
        self.attribution = CrashAttribution()
        self._numbers = itertools.count()
        self._first_parts = itertools.cycle(first_parts)

    def crash_server(self, now, *other_prompts):
        number = next(self._numbers)
        prompt = (next(self._first_parts), LETHAL, f"own-{number}")
        crash = ServerCrash(f"s-{number}", 1, now, (prompt, *other_prompts))
        return self.attribution.record_crash(crash, now)


class TestNamedPart:
    def test_part_in_three_crashes_is_named_with_its_servers(self):
        crashes = Crashes()
        assert crashes.crash_server(1.0) is None
        assert crashes.crash_server(2.0) is None
        named = crashes.crash_server(3.0)
        assert named.part_id == LETHAL
        assert named.server_ids == ("s-0", "s-1", "s-2")

    def test_part_beside_the_named_one_needs_crashes_of_its_own(self):
        crashes = Crashes()
        for now in (1.0, 2.0, 3.0):
            named = crashes.crash_server(now)
        assert named.part_id == LETHAL
        for server_id, expected in (("a", None), ("b", None), ("c", "first")):
            now += 1.0
            crash = ServerCrash(server_id, 1, now, (("first", f"own-{server_id}"),))
            named = crashes.attribution.record_crash(crash, now)
            assert (named and named.part_id) == expected

    def test_part_of_sound_requests_in_all_crashes_is_not_named(self):
        crashes = Crashes()
        crashes.attribution.record_success(("first", "sound"))
        for now in (1.0, 2.0, 3.0):
            named = crashes.crash_server(now, ("first", "sound"))
        assert named.part_id == LETHAL

    def test_reports_of_several_hosts_about_one_crash_count_once(self):
        attribution = CrashAttribution()
        for number in range(5):
            crash = ServerCrash("s-0", 1, number, ((LETHAL, f"own-{number}"),))
            assert attribution.record_crash(crash, float(number)) is None

    def test_repeats_of_one_request_count_as_crashes_of_their_own(self):
        attribution = CrashAttribution()
        results = []
        for number in range(3):
            broken_at = 1.0 + number * 0.12
            crash = ServerCrash(f"s-{number}", 1, broken_at, ((LETHAL, "own"),))
            results.append(attribution.record_crash(crash, broken_at))
        assert results[:2] == [None, None]
        assert results[2] is not None

    def test_later_report_of_a_crash_adds_its_prompts(self):
        attribution = CrashAttribution()
        for number in range(3):
            crash = ServerCrash(f"s-{number}", 1, number, (("other", f"own-{number}"),))
            attribution.record_success(("other",))
            attribution.record_crash(crash, number)
            crash = ServerCrash(f"s-{number}", 1, number, ((LETHAL, f"last-{number}"),))
            named = attribution.record_crash(crash, number + 0.1)
        assert named.part_id == LETHAL

    def test_servers_lost_together_accuse_nothing(self):
        attribution = CrashAttribution()
        for number in range(20):
            # Hosts report some of the crashes later, in any order.
            broken_at = 1.0 + number * 7 % 20 * 0.004
            prompts = (("popular", f"own-{number}"),)
            crash = ServerCrash(f"s-{number}", 1, broken_at, prompts)
            assert attribution.record_crash(crash, 1.0 + number) is None

    @pytest.mark.parametrize("successes", ["between", "before"])
    def test_popular_part_is_not_named_by_unrelated_crashes(self, successes):
        attribution = CrashAttribution()
        attribution.record_success(("popular",))
        for number in range(4 if successes == "before" else 50):
            prompts = (("popular", f"own-{number}"),)
            crash = ServerCrash(f"s-{number}", 1, number * 2.0, prompts)
            assert attribution.record_crash(crash, number * 2.0) is None
            if successes == "between":
                attribution.record_success(("popular", f"last-{number}"))

    def test_known_good_part_that_turns_lethal_is_named_after_five_crashes(self):
        crashes = Crashes(first_parts=("f-0", "f-1", "f-2", "f-3", "f-4"))
        crashes.attribution.record_success((LETHAL,))
        results = [crashes.crash_server(now) for now in (1.0, 2.0, 3.0, 4.0, 5.0)]
        assert results[:4] == [None] * 4
        assert results[4].part_id == LETHAL

    def test_next_dispatcher_goes_on_with_the_evidence_of_a_lost_one(self):
        crashes = Crashes()
        crashes.attribution.record_success(("first",))
        successor = CrashAttribution()
        for number in range(2):
            crash = ServerCrash(
                f"s-{number}", 1, number, (("first", LETHAL, f"o-{number}"),)
            )
            crashes.attribution.record_crash(crash, float(number))
            evidence = crashes.attribution.remove_known_good(crash)
            assert evidence.prompts == ((LETHAL, f"o-{number}"),)
            successor.add_evidence(evidence, float(number))
        crash = ServerCrash("s-2", 1, 2.0, (("first", LETHAL, "o-2"),))
        assert successor.record_crash(crash, 2.0).part_id == LETHAL

    def test_parts_with_long_ids_are_not_tracked(self):
        attribution = CrashAttribution()
        for number in range(5):
            crash = ServerCrash(
                f"s-{number}", 1, number, (("x" * 1_000, f"own-{number}"),)
            )
            assert attribution.record_crash(crash, float(number)) is None

    def test_evidence_is_bounded(self):
        attribution = CrashAttribution()
        for number in range(300):
            parts = tuple(f"{number}-{i}" for i in range(100))
            crash = ServerCrash(f"s-{number}", 1, number, (parts,))
            attribution.record_crash(crash, number)
            attribution.record_success(f"good-{number}-{i}" for i in range(100))
        assert len(attribution._suspicions_by_part) == 4_096
        assert len(attribution._known_good) == 16_384

    def test_crash_with_more_parts_than_are_tracked_names_none(self):
        parts = tuple(f"part-{i}" for i in range(5_000))
        attribution = CrashAttribution()
        assert attribution.record_crash(ServerCrash("s", 1, 1.0, (parts,)), 1.0) is None


class TestNamedRequest:
    """Requests that come again unchanged; "session" is a part that others have too."""

    def crash(self, attribution, number, *names, now=None):
        now = 1.0 + number if now is None else now
        prompts = tuple(("first", "session", f"request:{name}") for name in names)
        return attribution.record_crash(
            ServerCrash(f"s-{number}", 1, now, prompts), now
        )

    def test_request_in_three_crashes_is_named_before_its_parts(self):
        attribution = CrashAttribution()
        results = [self.crash(attribution, number, "bad") for number in range(3)]
        assert results[:2] == [None, None]
        assert results[2].part_id == "request:bad"
        assert results[2].server_ids == ("s-0", "s-1", "s-2")
        assert results[2].suspected_since == 1.0

    def test_part_of_several_requests_is_named_before_them(self):
        attribution = CrashAttribution()
        assert self.crash(attribution, 0, "a") is None
        assert self.crash(attribution, 1, "a") is None
        named = self.crash(attribution, 2, "b")
        assert named.part_id == "session"

    def test_part_whose_named_request_explains_two_crashes_needs_two_more(self):
        attribution = CrashAttribution()
        for number in range(3):
            named = self.crash(attribution, number, "bad")
        assert named.part_id == "request:bad"
        assert self.crash(attribution, 3, "b") is None
        assert self.crash(attribution, 4, "c").part_id == "session"

    def test_companion_in_all_crashes_delays_the_name(self):
        attribution = CrashAttribution()
        for number in range(3):
            assert self.crash(attribution, number, "bad", "sound") is None
        assert self.crash(attribution, 3, "bad", "b").part_id == "request:bad"
        assert self.crash(attribution, 4, "sound", "c") is None

    def test_companions_in_five_crashes_are_named(self):
        attribution = CrashAttribution()
        results = [self.crash(attribution, n, "a", "b") for n in range(5)]
        assert results[:4] == [None] * 4
        assert results[4].part_id in ("request:a", "request:b")

    def test_request_on_servers_lost_together_is_not_named(self):
        attribution = CrashAttribution()
        for number in range(20):
            named = self.crash(attribution, number, "x", now=1.0 + number * 0.004)
            assert named is None

    def test_request_that_crashes_two_servers_an_attempt_is_named(self):
        attribution = CrashAttribution()
        times = (1.0, 1.05, 3.0)
        results = [
            self.crash(attribution, n, "bad", now=now) for n, now in enumerate(times)
        ]
        assert results[2].part_id == "request:bad"

    def test_request_that_succeeds_in_between_is_not_named(self):
        attribution = CrashAttribution()
        for number in range(20):
            assert self.crash(attribution, number, "x") is None
            attribution.record_success(("first", "session", "request:x"))
