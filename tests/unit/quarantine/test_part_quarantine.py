"""Terms, tests and exchange of quarantined prompt parts."""

from dataclasses import replace

from galenadrum._internal.models.quarantine import NamedPart, QuarantinedPart
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine

PROMPT = ("first", "lethal", "own")
NAMED = NamedPart("lethal", ("s-0", "s-1", "s-2"))
TERM_S = 600.0
DAY_S = 86_400.0


class Hosts:
    """Three hosts that exchange their quarantines."""

    def __init__(self):
        self.now = 0.0
        self.by_id = {
            host_id: PartQuarantine(host_id, self._relay) for host_id in "abc"
        }

    def _relay(self, record):
        for quarantine in self.by_id.values():
            quarantine.merge(record, self.now)

    def find_bars(self):
        return [q.find_bar(PROMPT, self.now) for q in self.by_id.values()]

    def find_in_force(self):
        return [q.find_in_force(PROMPT, self.now) for q in self.by_id.values()]


class TestTerm:
    def test_all_hosts_refuse_the_part_until_the_term_ends(self):
        hosts = Hosts()
        hosts.by_id["a"].impose(NAMED, hosts.now)
        assert all(hosts.find_in_force())
        hosts.now = TERM_S - 1.0
        assert all(hosts.find_in_force())
        hosts.now = TERM_S
        assert not any(hosts.find_in_force())

    def test_other_prompts_are_accepted(self):
        quarantine = PartQuarantine("a")
        quarantine.impose(NAMED, 0.0)
        assert quarantine.find_in_force(("first", "other"), 1.0) is None

    def test_host_that_starts_later_learns_the_rest_of_the_term(self):
        hosts = Hosts()
        hosts.by_id["a"].impose(NAMED, hosts.now)
        late = PartQuarantine("d")
        for record in hosts.by_id["b"].list_records(100.0):
            late.merge(record, 100.0)
        assert late.find_in_force(PROMPT, TERM_S - 1.0)
        assert not late.find_in_force(PROMPT, TERM_S)


class TestProbation:
    def test_only_the_naming_host_tests_with_one_request_at_a_time(self):
        hosts = Hosts()
        hosts.by_id["a"].impose(NAMED, hosts.now)
        hosts.now = TERM_S
        assert [bar is None for bar in hosts.find_bars()] == [True, False, False]
        hosts.by_id["a"].begin_tests(PROMPT, "r1", hosts.now)
        assert all(hosts.find_bars())
        hosts.by_id["a"].cancel_tests("r1")
        assert hosts.by_id["a"].find_bar(PROMPT, hosts.now) is None

    def test_part_that_stays_lethal_is_sent_three_times_in_a_day(self):
        hosts = Hosts()
        hosts.by_id["a"].impose(NAMED, hosts.now)
        tests = 0
        while hosts.now < DAY_S + 2 * 3_600.0:
            for quarantine in hosts.by_id.values():
                if quarantine.find_bar(PROMPT, hosts.now) is None:
                    tests += 1
                    quarantine.begin_tests(PROMPT, f"r{tests}", hosts.now)
                    quarantine.fail_tests(f"r{tests}", hosts.now)
            hosts.now += 10.0
        assert tests == 3

    def test_successful_request_lifts_the_quarantine_on_all_hosts(self):
        hosts = Hosts()
        hosts.by_id["a"].impose(NAMED, hosts.now)
        hosts.now = 10.0
        hosts.by_id["b"].acquit(PROMPT, hosts.now)
        assert not any(hosts.find_in_force())
        assert not any(hosts.find_bars())

    def test_part_named_again_after_it_was_lifted_gets_a_longer_term(self):
        hosts = Hosts()
        hosts.by_id["a"].impose(NAMED, hosts.now)
        hosts.by_id["a"].acquit(PROMPT, hosts.now)
        hosts.by_id["b"].impose(NAMED, hosts.now)
        hosts.now = TERM_S
        assert all(hosts.find_in_force())


class TestMerge:
    def test_late_news_of_a_lifted_term_is_ignored(self):
        quarantine = PartQuarantine("a")
        record = quarantine.impose(NAMED, 0.0)
        quarantine.acquit(PROMPT, 1.0)
        assert not quarantine.merge(record, 2.0)
        assert quarantine.find_in_force(PROMPT, 2.0) is None

    def test_news_is_merged_to_the_same_record_in_any_order(self):
        news = [
            QuarantinedPart("lethal", host_id, term, term * TERM_S, 3, is_lifted)
            for host_id, term, is_lifted in (
                ("a", 1, False),
                ("b", 1, False),
                ("a", 1, True),
                ("b", 2, False),
            )
        ]
        results = set()
        for order in (news, news[::-1], [news[2], news[0], news[3], news[1]]):
            quarantine = PartQuarantine("c")
            for record in order:
                quarantine.merge(record, 0.0)
            results.add(quarantine.list_records(0.0))
        assert len(results) == 1

    def test_term_longer_than_any_host_imposes_is_cut(self):
        quarantine = PartQuarantine("a")
        forged = QuarantinedPart("lethal", "x", 1, 1e9, 3)
        assert quarantine.merge(forged, 0.0)
        assert quarantine.find_in_force(PROMPT, TERM_S) is None

    def test_records_are_bounded(self):
        quarantine = PartQuarantine("a")
        for number in range(1_000):
            record = QuarantinedPart(f"part-{number}", "x", 1, 100.0 + number / 10, 3)
            quarantine.merge(record, 0.0)
        assert len(quarantine) == 256
        assert quarantine.find_in_force(("part-999",), 1.0)
        assert not quarantine.merge(replace(record, part_id="p" * 1_000), 0.0)

    def test_forgotten_part_is_removed(self):
        quarantine = PartQuarantine("a")
        quarantine.impose(NAMED, 0.0)
        assert quarantine.list_records(TERM_S + 3_700.0) == ()
