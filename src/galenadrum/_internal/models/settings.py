"""Settings of the daemons after they were read and checked."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from galenadrum._internal.models.servers import DEFAULT_REGION


class LogFormat(StrEnum):
    """How log records are written; AUTO is text on a terminal, else JSON."""

    AUTO = "auto"
    TEXT = "text"
    JSON = "json"


@dataclass(frozen=True, slots=True)
class ObservabilitySettings:
    """Where logs and traces go.

    Attributes:
        trace_file: File of JSON lines that spans are appended to, or None.
        trace_percent: Share of the traces begun here that are recorded; a
            caller's own choice, in its traceparent, goes first.
    """

    log_level: str = "INFO"
    log_format: LogFormat = LogFormat.AUTO
    trace_file: Path | None = None
    trace_percent: int = 100


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what one caller's connection may take.

    Attributes:
        max_body_bytes: Largest accepted request body.
        head_timeout_ms: Time for the whole request line and headers.
        body_timeout_ms: Time for the whole body.
        workers: Threads, and so requests in flight, of one entry host.
        idle_timeout_ms: Time a kept-alive connection may stay idle.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_ms: int = 2_000
    body_timeout_ms: int = 5_000
    workers: int = 256
    idle_timeout_ms: int = 30_000


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of ``galenadrum entry``.

    Attributes:
        host_id: Unique name of this entry host.
        caller_address: IP number and port for callers and announcements.
        operator_address: IP number and port for readiness and metrics.
        peer_address: IP number and port for other processes of the system.
        control_addresses: Peer addresses of the control hosts.
        zone_peer_addresses: Peer addresses of the zone's other entry hosts.
        other_zone_addresses: Peer addresses of entry hosts of other zones.
        drain_timeout_ms: Longest wait for requests in flight at shutdown.
    """

    host_id: str
    zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    control_addresses: tuple[str, ...]
    region: str = DEFAULT_REGION
    zone_peer_addresses: tuple[str, ...] = ()
    other_zone_addresses: tuple[str, ...] = ()
    drain_timeout_ms: int = 10_000
    callers: CallerLimits = CallerLimits()
    observability: ObservabilitySettings = ObservabilitySettings()


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator who may change resources through this control host."""

    name: str
    token_sha256: str


@dataclass(frozen=True, slots=True)
class ControlMember:
    """A control host as its peers reach it.

    Attributes:
        operator_address: Where operators reach it, for answers that send them
            on to the leader; empty when it isn't known.
    """

    member_id: str
    peer_address: str
    operator_address: str = ""


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of ``galenadrum control``.

    Attributes:
        member_id: Unique name of this member; a host whose disk was lost
            comes back under a new one.
        data_folder: The one folder that outlives the process.
        operator_address: IP number and port for operators' HTTP.
        peer_address: IP number and port for other processes of the system.
        members: All members that start the cluster, this one included; empty
            when this one joins a running cluster through ``join_addresses``.
        heartbeat_ms: Interval between a leader's heartbeats.
        election_timeout_ms: Shortest silence after which a member asks for
            votes; a random part of the same length is added.
        replaces: Member whose disk was lost and whose place this one takes
            when it joins; empty otherwise.
        change_id_retention_s: How long a resent change finds its outcome.
    """

    member_id: str
    zone: str
    data_folder: Path
    operator_address: str
    peer_address: str
    members: tuple[ControlMember, ...]
    operators: tuple[Operator, ...]
    join_addresses: tuple[str, ...] = ()
    replaces: str = ""
    heartbeat_ms: int = 300
    election_timeout_ms: int = 1_000
    change_id_retention_s: int = 86_400
    observability: ObservabilitySettings = ObservabilitySettings()
