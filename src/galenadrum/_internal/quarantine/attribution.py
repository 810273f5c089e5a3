"""Attribution of server crashes to the prompt part or the request that causes them.

Load pattern: requests that share one part of their prompts, or one request that comes
again unchanged, crash each server that begins to answer them. Sound requests share
their other parts and run beside them. A suspect, a part or a whole request, is
suspected in each crash in which a request with it had not well begun. A request with it
that succeeds clears it, so that popular parts are not named. A part is named only if
no single request was in all its crashes, and a request only if no other one was in all
of its.
"""

from __future__ import annotations

import itertools
from collections import Counter, OrderedDict, deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field, replace

from galenadrum._internal.models.quarantine import (
    MAX_PART_ID_CHARACTERS,
    NamedPart,
    ServerCrash,
)
from galenadrum._internal.quarantine.request_digest import is_request_digest

# A response that lasts longer than this after its first event has begun well: what
# comes later is not due to the beginning of its generation.
MIN_SURVIVAL_S = 0.3
# Number of incidents after which a suspect is named. One with which requests have
# succeeded before needs more: it is in most prompts, also in those that run where
# servers crash for other reasons.
_INCIDENTS_TO_NAME = 3
_INCIDENTS_TO_NAME_KNOWN_GOOD = 5
# A request is sent to two servers at most before its caller comes again. More that end
# together under it were lost together.
_MAX_CRASHES_PER_INCIDENT = 2
# Requests that crashed this many servers together are named one after the other; a
# sound companion is gone earlier.
_CRASHES_TO_NAME_COMPANIONS = 5
# Servers that crash within this time of each other may have one cause, such as the
# loss of a rack, and count as one incident.
_INCIDENT_DURATION_S = 0.1
_MAX_INCIDENTS = 256
_SUSPICION_LIFETIME_S = 600.0
_MAX_SUSPICIONS = 4_096
_MAX_KNOWN_GOOD = 16_384
_MAX_CRASHES = 1_024


@dataclass(slots=True)
class _Suspicion:
    """Crashes in which a part or a request is suspected.

    Attributes:
        server_id_by_incident: Id of one crashed server for each incident; for a
            request, of each crashed server by its crash.
        requests_by_incident: Digests of the requests with the part in each incident.
        position: Highest index of the part in the prompts.
        first_at: Loop time in seconds of the first crash.
        updated_at: Loop time in seconds of the last crash.
    """

    server_id_by_incident: dict[Hashable, str] = field(default_factory=dict)
    requests_by_incident: dict[Hashable, set[str]] = field(default_factory=dict)
    position: int = 0
    first_at: float = 0.0
    updated_at: float = 0.0

    def remove(self, incidents: Iterable[Hashable]) -> None:
        """Remove incidents that are explained otherwise."""
        for incident in incidents:
            self.server_id_by_incident.pop(incident, None)
            self.requests_by_incident.pop(incident, None)

    def find_common_requests(self) -> set[str]:
        """Return the digests of the requests that were in every incident."""
        groups = self.requests_by_incident.values()
        is_complete = len(groups) == len(self.server_id_by_incident)
        return set.intersection(*groups) if groups and is_complete else set()


class CrashAttribution:
    """Suspicions against parts and requests, and those that are known to be good."""

    def __init__(self) -> None:
        self._suspicions_by_part: OrderedDict[str, _Suspicion] = OrderedDict()
        self._known_good: OrderedDict[str, None] = OrderedDict()
        self._incident_by_crash: OrderedDict[tuple[str, int], int] = OrderedDict()
        self._incidents: deque[tuple[int, float]] = deque(maxlen=_MAX_INCIDENTS)
        self._incident_numbers = itertools.count(1)

    def record_success(self, part_ids: Iterable[str]) -> None:
        """Clear the parts of a prompt whose response went on well after its start."""
        for part_id in filter(_is_tracked, part_ids):
            self._suspicions_by_part.pop(part_id, None)
            self._known_good[part_id] = None
            self._known_good.move_to_end(part_id)
        while len(self._known_good) > _MAX_KNOWN_GOOD:
            self._known_good.popitem(last=False)

    def record_crash(self, crash: ServerCrash, now: float) -> NamedPart | None:
        """Record a crash, which several hosts may report with different prompts.

        Returns:
            The suspect to which the crashes are attributed, None if that is not
            certain.
        """
        self.add_evidence(crash, now)
        return self._name_suspect({part for prompt in crash.prompts for part in prompt})

    def add_evidence(self, crash: ServerCrash, now: float) -> None:
        """Record a crash without naming a part."""
        incident = self._find_incident(crash)
        for prompt in crash.prompts:
            digests = set(filter(is_request_digest, prompt))
            for position, part_id in enumerate(filter(_is_tracked, prompt)):
                is_request = part_id in digests
                suspicion = self._suspect(
                    part_id,
                    position,
                    (crash.server_id, crash.incarnation_ms) if is_request else incident,
                    crash,
                    now,
                )
                if digests and not is_request:
                    suspicion.requests_by_incident.setdefault(incident, set()).update(
                        digests
                    )
        while len(self._suspicions_by_part) > _MAX_SUSPICIONS:
            self._suspicions_by_part.popitem(last=False)

    def remove_known_good(self, crash: ServerCrash) -> ServerCrash:
        """Return a crash without the parts with which requests have succeeded."""
        prompts = (
            tuple(part_id for part_id in prompt if part_id not in self._known_good)
            for prompt in crash.prompts
        )
        return replace(crash, prompts=tuple(filter(None, prompts)))

    def _find_incident(self, crash: ServerCrash) -> int:
        key = (crash.server_id, crash.incarnation_ms)
        known = self._incident_by_crash.get(key)
        if known is not None:
            return known
        incident = self._find_incident_at(crash.broken_at)
        self._incident_by_crash[key] = incident
        while len(self._incident_by_crash) > _MAX_CRASHES:
            self._incident_by_crash.popitem(last=False)
        return incident

    def _find_incident_at(self, at: float) -> int:
        for incident, began_at in self._incidents:
            if abs(at - began_at) < _INCIDENT_DURATION_S:
                return incident
        incident = next(self._incident_numbers)
        self._incidents.append((incident, at))
        return incident

    def _suspect(
        self,
        part_id: str,
        position: int,
        incident: Hashable,
        crash: ServerCrash,
        now: float,
    ) -> _Suspicion:
        suspicion = self._suspicions_by_part.get(part_id)
        if suspicion is None or now - suspicion.updated_at > _SUSPICION_LIFETIME_S:
            suspicion = self._suspicions_by_part[part_id] = _Suspicion(
                first_at=crash.broken_at
            )
        suspicion.server_id_by_incident.setdefault(incident, crash.server_id)
        suspicion.position = max(suspicion.position, position)
        suspicion.updated_at = now
        self._suspicions_by_part.move_to_end(part_id)
        return suspicion

    def _name_suspect(self, part_ids: set[str]) -> NamedPart | None:
        """Name the most suspected part or request.

        In doubt, name the one that fewest requests share. Parts are ordered from the
        most common to the request's own.
        """
        suspected = part_ids & self._suspicions_by_part.keys()
        candidates = [part_id for part_id in suspected if self._may_be_named(part_id)]
        if not candidates:
            return None
        named = max(candidates, key=self._rank)
        suspicion = self._suspicions_by_part.pop(named)
        self._remove_explained(named, suspicion)
        return NamedPart(
            named, tuple(suspicion.server_id_by_incident.values()), suspicion.first_at
        )

    def _remove_explained(self, named: str, suspicion: _Suspicion) -> None:
        """Remove what a named suspect explains from the evidence against others.

        Of the crashes of a named request, one stays evidence against its parts: the
        request may be the first of several with the same part.
        """
        keys = suspicion.server_id_by_incident.keys()
        is_request = is_request_digest(named)
        incidents = {self._incident_by_crash.get(key) for key in keys}
        crashes = [k for k, i in self._incident_by_crash.items() if i in keys]
        for part_id, other in self._suspicions_by_part.items():
            if not is_request:
                other.remove(crashes if is_request_digest(part_id) else keys)
            elif is_request_digest(part_id):
                other.remove(keys)
            else:
                shared = sorted(incidents & other.server_id_by_incident.keys())
                other.remove(shared[1:])

    def _may_be_named(self, part_id: str) -> bool:
        suspicion = self._suspicions_by_part[part_id]
        needed = (
            _INCIDENTS_TO_NAME_KNOWN_GOOD
            if part_id in self._known_good
            else _INCIDENTS_TO_NAME
        )
        if self._count_evidence(part_id, suspicion) < needed:
            return False
        if is_request_digest(part_id):
            return not self._has_companion(part_id, suspicion)
        return not suspicion.find_common_requests()

    def _count_evidence(self, part_id: str, suspicion: _Suspicion) -> int:
        incidents = suspicion.server_id_by_incident
        if not is_request_digest(part_id):
            return len(incidents)
        crashes_by_incident = Counter(map(self._incident_by_crash.get, incidents))
        return sum(
            min(count, _MAX_CRASHES_PER_INCIDENT)
            for count in crashes_by_incident.values()
        )

    def _has_companion(self, digest: str, suspicion: _Suspicion) -> bool:
        """Return whether another request was in all crashes of a request."""
        crashes = suspicion.server_id_by_incident.keys()
        return len(crashes) < _CRASHES_TO_NAME_COMPANIONS and any(
            other_id != digest
            and is_request_digest(other_id)
            and crashes <= other.server_id_by_incident.keys()
            for other_id, other in self._suspicions_by_part.items()
        )

    def _rank(self, part_id: str) -> tuple[bool, int, int, str]:
        suspicion = self._suspicions_by_part[part_id]
        return (
            part_id not in self._known_good,
            self._count_evidence(part_id, suspicion),
            suspicion.position,
            part_id,
        )


def _is_tracked(part_id: str) -> bool:
    return len(part_id) <= MAX_PART_ID_CHARACTERS
