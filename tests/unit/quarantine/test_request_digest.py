"""Digests of requests, and the hosts' knowledge of those that succeeded."""

from dataclasses import replace

from galenadrum._internal.models.quarantine import QuarantinedPart
from galenadrum._internal.quarantine.request_digest import (
    describe_suspect,
    digest_request,
    is_request_digest,
)
from galenadrum._internal.quarantine.request_successes import RequestSuccesses

FIELDS = (b"POST", b"x.example", b"/plan/x", b"t1")


class TestDigest:
    def test_same_request_has_the_same_digest(self):
        first = digest_request(FIELDS, ("5c1e",), b"body")
        assert first == digest_request(
            iter(FIELDS), iter(("5c1e",)), bytearray(b"body")
        )
        assert is_request_digest(first)
        assert describe_suspect(first) == first.replace("request:", "request ")

    def test_each_field_part_and_byte_of_the_body_counts(self):
        others = [
            digest_request((*FIELDS[:3], b"t2"), ("5c1e",), b"body"),
            digest_request(
                (b"POST", b"x.example", b"/plan/", b"xt1"), ("5c1e",), b"body"
            ),
            digest_request(FIELDS, ("5c1e", ""), b"body"),
            digest_request(FIELDS, (), b"body"),
            digest_request(FIELDS, ("5c1e",), b"bodz"),
            digest_request(FIELDS, ("5c1e",), b""),
        ]
        assert len({digest_request(FIELDS, ("5c1e",), b"body"), *others}) == 7

    def test_prompt_part_is_no_request(self):
        assert not is_request_digest("5c1e")
        assert describe_suspect("5c1e") == "prompt part 5c1e"


class TestSuccesses:
    record = QuarantinedPart("request:x", "host", 1, 700.0, 3, suspected_since=10.0)

    def test_only_an_answer_since_the_first_crash_refutes(self):
        successes = RequestSuccesses()
        successes.record("request:x", 9.0)
        assert not successes.refute(self.record)
        successes.record("request:x", 11.0)
        assert successes.refute(self.record)
        assert not successes.refute(replace(self.record, part_id="request:y"))

    def test_oldest_answers_are_dropped(self):
        successes = RequestSuccesses()
        successes.record("request:x", 11.0)
        for number in range(16_384):
            successes.record(f"request:{number}", 12.0)
        assert not successes.refute(self.record)
