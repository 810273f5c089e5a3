"""Validated settings of the daemons."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from galenadrum._internal.models.servers import DEFAULT_REGION


class LogFormat(StrEnum):
    """Format of log records; AUTO selects text on a terminal, else JSON."""

    AUTO = "auto"
    TEXT = "text"
    JSON = "json"


@dataclass(frozen=True, slots=True)
class ObservabilitySettings:
    """Settings of logs and traces.

    Attributes:
        trace_file: JSON Lines file to which spans are appended, or None.
        trace_percent: Percentage of the traces started by this host that are
            recorded; the sampling flag in a caller's traceparent takes
            precedence.
    """

    log_level: str = "INFO"
    log_format: LogFormat = LogFormat.AUTO
    trace_file: Path | None = None
    trace_percent: int = 100


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of caller connections.

    Attributes:
        max_body_bytes: Maximum size of a request body.
        head_timeout_ms: Time limit for the complete request line and headers.
        body_timeout_ms: Time limit for the complete body.
        workers: Number of threads, and thus maximum number of requests in
            flight, of one entry host.
        idle_timeout_ms: Time after which an idle keep-alive connection is closed.
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
        caller_address: IP address and port for callers and announcements.
        operator_address: IP address and port for readiness and metrics.
        peer_address: IP address and port for other processes of the system.
        control_addresses: Peer addresses of the control hosts.
        zone_peer_addresses: Peer addresses of the zone's other entry hosts.
        other_zone_addresses: Peer addresses of entry hosts of other zones.
        drain_timeout_ms: Maximum wait for requests in flight at shutdown.
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
    """Addresses of a control host.

    Attributes:
        operator_address: Address for operators, sent in responses that redirect
            them to the leader; empty if unknown.
    """

    member_id: str
    peer_address: str
    operator_address: str = ""


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of ``galenadrum control``.

    Attributes:
        member_id: Unique name of this member; a host that has lost its disk
            must rejoin under a new one.
        data_folder: Folder for all persistent data.
        operator_address: IP address and port for the HTTP API for operators.
        peer_address: IP address and port for other processes of the system.
        members: All initial members of the cluster, including this one; empty
            if this one joins a running cluster through ``join_addresses``.
        heartbeat_ms: Interval between a leader's heartbeats.
        election_timeout_ms: Minimum time without a heartbeat after which a
            member starts an election; a random delay of up to the same length
            is added.
        replaces: Id of the member that has lost its disk and that this one
            replaces when it joins; empty otherwise.
        change_id_retention_s: Time for which the outcome of a change set is
            kept for retries with the same change id.
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
