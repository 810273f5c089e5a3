"""Prompt parts and requests in quarantine, as one host knows them.

What is said of parts here holds for whole requests too, under their digests.

All hosts refuse requests with a quarantined part. A quarantine lasts for a term. After
it, the part is on probation: the dispatcher of the host that named it sends a single
request as a test, all others go on refusing. If the test succeeds, the quarantine is
lifted; otherwise a longer term begins. Hosts exchange quarantines and merge them in any
order.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace

from galenadrum._internal.models.quarantine import (
    MAX_PART_ID_CHARACTERS,
    NamedPart,
    QuarantinedPart,
)
from galenadrum._internal.quarantine.request_digest import describe_suspect

logger = logging.getLogger(__name__)

# One test follows each of the first three terms, so that a part which stays lethal is
# sent three times within the first day.
_TERMS_S = (600.0, 3_600.0, 86_400.0, 7 * 86_400.0)
# Minimum time for which a part stays on probation before it is forgotten.
_MIN_PROBATION_S = 3_600.0
_MAX_PARTS = 256
# Sent with refusals while another request tests the part.
_MIN_RETRY_AFTER_S = 1.0


class PartQuarantine:
    """The quarantined parts that a host knows.

    Args:
        host_id: Id of this host.
        on_changed: Called with each record that this host imposes or lifts.
    """

    def __init__(
        self,
        host_id: str = "",
        on_changed: Callable[[QuarantinedPart], None] = lambda record: None,
    ) -> None:
        self._host_id = host_id
        self._on_changed = on_changed
        self._records_by_part: dict[str, QuarantinedPart] = {}
        self._test_request_by_part: dict[str, str] = {}
        self.revision = 0

    def __len__(self) -> int:
        return len(self._records_by_part)

    def list_records(self, now: float) -> tuple[QuarantinedPart, ...]:
        """Return all records, those of lifted quarantines too."""
        self._remove_forgotten(now)
        return tuple(self._records_by_part.values())

    def find_in_force(
        self, part_ids: Iterable[str], now: float
    ) -> QuarantinedPart | None:
        """Return the first quarantine in its term among the parts of a prompt."""
        if not self._records_by_part:
            return None
        for part_id in part_ids:
            record = self._records_by_part.get(part_id)
            if record is not None and not record.is_lifted and now < record.expires_at:
                return record
        return None

    def find_bar(self, part_ids: Iterable[str], now: float) -> QuarantinedPart | None:
        """Return the quarantine that keeps this host from placing a prompt.

        Other than `find_in_force`, this includes parts on probation, unless this host
        may test the part now.
        """
        if not self._records_by_part:
            return None
        for part_id in part_ids:
            record = self._records_by_part.get(part_id)
            if record is None or record.is_lifted or now >= _forget_at(record):
                continue
            may_test = (
                now >= record.expires_at
                and record.named_by == self._host_id
                and part_id not in self._test_request_by_part
            )
            if not may_test:
                return record
        return None

    def is_on_probation(self, part_id: str, now: float) -> bool:
        """Return whether the term of a quarantine has ended without a success."""
        record = self._records_by_part.get(part_id)
        return (
            record is not None
            and not record.is_lifted
            and record.expires_at <= now < _forget_at(record)
        )

    def impose(self, named: NamedPart, now: float) -> QuarantinedPart:
        """Begin the next term of a part to which crashes are attributed."""
        return self._impose(
            named.part_id, len(named.server_ids), now, named.suspected_since
        )

    def _impose(
        self, part_id: str, crashes: int, now: float, suspected_since: float
    ) -> QuarantinedPart:
        known = self._records_by_part.get(part_id)
        term = known.term + 1 if known else 1
        expires_at = now + _term_s(term)
        crashes += known.crashes if known else 0
        record = QuarantinedPart(
            part_id,
            self._host_id,
            term,
            expires_at,
            crashes,
            suspected_since=suspected_since,
        )
        self._store(record, now)
        self._on_changed(record)
        return record

    def begin_tests(self, part_ids: Iterable[str], request_id: str, now: float) -> None:
        """Record that a request is placed, which tests its parts on probation."""
        self._remove_forgotten(now)
        for part_id in part_ids:
            record = self._records_by_part.get(part_id)
            if record is not None and not record.is_lifted:
                self._test_request_by_part[part_id] = request_id
                logger.info(
                    "testing %s after term %d of its quarantine",
                    describe_suspect(part_id),
                    record.term,
                    extra={"request_id": request_id},
                )

    def cancel_tests(self, request_id: str) -> None:
        """Record that a test was not run."""
        for part_id in self._tested_parts(request_id):
            del self._test_request_by_part[part_id]

    def fail_tests(self, request_id: str, now: float) -> None:
        """Begin the next term of the parts that a failed request tested."""
        for part_id in self._tested_parts(request_id):
            del self._test_request_by_part[part_id]
            self._impose(part_id, 0, now, now)

    def _tested_parts(self, request_id: str) -> list[str]:
        return [p for p, r in self._test_request_by_part.items() if r == request_id]

    def acquit(self, part_ids: Iterable[str], now: float) -> None:
        """Lift the quarantine of parts with which a request has succeeded."""
        if not self._records_by_part:
            return
        for part_id in part_ids:
            record = self._records_by_part.get(part_id)
            if record is not None and not record.is_lifted:
                self._test_request_by_part.pop(part_id, None)
                lifted = replace(record, is_lifted=True)
                self._store(lifted, now)
                self._on_changed(lifted)

    def merge(self, record: QuarantinedPart, now: float) -> bool:
        """Merge the record of another host.

        Later terms replace earlier ones, whose news may be late. Terms are cut to the
        longest that any host imposes.

        Returns:
            False if the record is outdated, too long or known.
        """
        if not 0 < len(record.part_id) <= MAX_PART_ID_CHARACTERS or record.term < 1:
            logger.warning(
                "ignored a quarantine of host %s: its part id has %d characters, its "
                "term is %d",
                record.named_by,
                len(record.part_id),
                record.term,
            )
            return False
        known = self._records_by_part.get(record.part_id)
        if known is not None and _order(record) <= _order(known):
            return False
        longest_at = now + _term_s(record.term)
        self._store(replace(record, expires_at=min(record.expires_at, longest_at)), now)
        return True

    def retry_after_s(self, record: QuarantinedPart, now: float) -> float:
        """Return the time in seconds after which a refused request may come again."""
        return max(_MIN_RETRY_AFTER_S, record.expires_at - now)

    def _store(self, record: QuarantinedPart, now: float) -> None:
        self._remove_forgotten(now)
        self._records_by_part[record.part_id] = record
        if len(self._records_by_part) > _MAX_PARTS:
            first = min(self._records_by_part.values(), key=lambda r: r.expires_at)
            del self._records_by_part[first.part_id]
            logger.error(
                "more than %d suspects are quarantined; %s is accepted again",
                _MAX_PARTS,
                describe_suspect(first.part_id),
            )
        self.revision += 1
        logger.warning(
            "%s is %s (term %d, named by host %s, %d crashes, %.0f s left)",
            describe_suspect(record.part_id),
            "no longer quarantined" if record.is_lifted else "quarantined",
            record.term,
            record.named_by,
            record.crashes,
            record.expires_at - now,
        )

    def _remove_forgotten(self, now: float) -> None:
        for part_id, record in list(self._records_by_part.items()):
            if now >= _forget_at(record):
                del self._records_by_part[part_id]
                self._test_request_by_part.pop(part_id, None)


def _term_s(term: int) -> float:
    return _TERMS_S[min(term, len(_TERMS_S)) - 1]


def _forget_at(record: QuarantinedPart) -> float:
    return record.expires_at + max(_MIN_PROBATION_S, _term_s(record.term))


def _order(record: QuarantinedPart) -> tuple[int, bool, str]:
    """Return the sort key of records of one part; the latest has the highest.

    Of two hosts that begin the same term, one is chosen on all hosts alike.
    """
    return (record.term, record.is_lifted, record.named_by)
