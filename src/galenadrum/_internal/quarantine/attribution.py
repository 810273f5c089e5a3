"""Attribution of server crashes to the prompt part that causes them.

Load pattern: requests that share one part of their prompts crash each engine that
begins to answer them. Sound requests share their other parts and run beside them. A
part is suspected in each crash in which a prompt with it had not well begun. A request
with the part that succeeds clears it, so that popular parts are not named.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from galenadrum._internal.models.quarantine import (
    MAX_PART_ID_CHARACTERS,
    NamedPart,
    ServerCrash,
)

# A response that lasts longer than this after its first event has begun well: what
# comes later is not due to the beginning of its generation.
MIN_SURVIVAL_S = 0.3
# Number of incidents after which a part is named. A part with which requests have
# succeeded before needs more: it is in most prompts, also in those that run where
# servers crash for other reasons.
_INCIDENTS_TO_NAME = 3
_INCIDENTS_TO_NAME_KNOWN_GOOD = 5
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
    """Crashes in which a part is suspected.

    Attributes:
        server_id_by_incident: Id of one crashed server for each incident.
        position: Highest index of the part in the prompts.
        updated_at: Loop time in seconds of the last crash.
    """

    server_id_by_incident: dict[int, str] = field(default_factory=dict)
    position: int = 0
    updated_at: float = 0.0


class CrashAttribution:
    """Suspicions against prompt parts, and the parts that are known to be good."""

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
            The part to which the crashes are attributed, None if that is not certain.
        """
        self.add_evidence(crash, now)
        return self._name_part({part for prompt in crash.prompts for part in prompt})

    def add_evidence(self, crash: ServerCrash, now: float) -> None:
        """Record a crash without naming a part."""
        incident = self._find_incident(crash)
        for prompt in crash.prompts:
            for position, part_id in enumerate(filter(_is_tracked, prompt)):
                self._suspect(part_id, position, incident, crash.server_id, now)
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
        self, part_id: str, position: int, incident: int, server_id: str, now: float
    ) -> None:
        suspicion = self._suspicions_by_part.get(part_id)
        if suspicion is None or now - suspicion.updated_at > _SUSPICION_LIFETIME_S:
            suspicion = self._suspicions_by_part[part_id] = _Suspicion()
        suspicion.server_id_by_incident.setdefault(incident, server_id)
        suspicion.position = max(suspicion.position, position)
        suspicion.updated_at = now
        self._suspicions_by_part.move_to_end(part_id)

    def _name_part(self, part_ids: set[str]) -> NamedPart | None:
        """Name the most suspected part; in doubt, the one that fewest prompts share.

        Parts are ordered from the most common to the request's own.
        """
        suspected = part_ids & self._suspicions_by_part.keys()
        candidates = [part_id for part_id in suspected if self._may_be_named(part_id)]
        if not candidates:
            return None
        named = max(candidates, key=self._rank)
        evidence = self._suspicions_by_part.pop(named).server_id_by_incident
        # What the named part explains is no evidence against the parts beside it.
        for suspicion in self._suspicions_by_part.values():
            for incident in evidence:
                suspicion.server_id_by_incident.pop(incident, None)
        return NamedPart(named, tuple(evidence.values()))

    def _may_be_named(self, part_id: str) -> bool:
        needed = (
            _INCIDENTS_TO_NAME_KNOWN_GOOD
            if part_id in self._known_good
            else _INCIDENTS_TO_NAME
        )
        return len(self._suspicions_by_part[part_id].server_id_by_incident) >= needed

    def _rank(self, part_id: str) -> tuple[bool, int, int, str]:
        suspicion = self._suspicions_by_part[part_id]
        return (
            part_id not in self._known_good,
            len(suspicion.server_id_by_incident),
            suspicion.position,
            part_id,
        )


def _is_tracked(part_id: str) -> bool:
    return len(part_id) <= MAX_PART_ID_CHARACTERS
