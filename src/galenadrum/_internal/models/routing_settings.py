"""Settings of entry and control hosts of a routing configuration."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from galenadrum._internal.models.settings import LogFormat, ObservabilitySettings

_LOG_DEFAULTS = ObservabilitySettings(log_format=LogFormat.JSON)


@dataclass(frozen=True, slots=True)
class RoutingBounds:
    """Time and retry limits of a deployment.

    Attributes:
        announcement_interval_s: Interval between two announcements of a server.
        revocation_s: Time after the acceptance of a configuration from which no
            request that it forbids may run, or None if hosts may keep serving
            without contact to control hosts.
        retry_ratio: Retries to a service per request, over all hosts.
        retry_slack: Additional retries allowed in a window, over all hosts.
        grace_s: Time from the stop signal to the end of the process.
        evacuation_s: Time after the acknowledgement of an evacuation from which nothing
            may be sent to the zone, or None if the deployment evacuates no zones.
        warm_up_overage: Factor on the requests per second that a cold server accepts.
        warm_up_tolerance: Requests to a cold server in one second beyond that.
    """

    announcement_interval_s: float = 1.0
    revocation_s: float | None = None
    retry_ratio: float = 0.1
    retry_slack: float = 30.0
    grace_s: float = 8.0
    evacuation_s: float | None = None
    warm_up_overage: float = 1.0
    warm_up_tolerance: float = 0.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of an entry host of a routing configuration.

    Attributes:
        caller_address: IP address and port for callers.
        ready_address: IP address and port for readiness checks by the load
            balancer.
        metrics_address: IP address and port for metrics.
        control_addresses: Peer addresses of some or all control hosts.
        relay_address: IP address and port for requests that this host forwards for
            others; empty to forward none.
        memory_bytes: Memory that the process may use; 0 if it has no limit.
    """

    host_id: str
    zone: str
    caller_address: str
    ready_address: str
    metrics_address: str
    control_addresses: tuple[str, ...]
    bounds: RoutingBounds = RoutingBounds()
    observability: ObservabilitySettings = _LOG_DEFAULTS
    relay_address: str = ""
    memory_bytes: int = 0


@dataclass(frozen=True, slots=True)
class RoutingControlSettings:
    """Settings of a control host of a routing configuration.

    Attributes:
        api_address: IP address and port for operators and servers.
        peer_address: IP address and port for other hosts of the system.
        metrics_address: IP address and port for metrics.
        seed_addresses: Peer addresses of some or all control hosts.
        is_first_start: True if the whole system starts for the first time.
        relay_address: IP address and port for requests that this host forwards for
            others; empty to forward none.
        memory_bytes: Memory that the process may use; 0 if it has no limit.
        zones: Availability zones that may be evacuated; empty if any may.
    """

    host_id: str
    zone: str
    api_address: str
    peer_address: str
    metrics_address: str
    seed_addresses: tuple[str, ...]
    data_folder: Path
    is_first_start: bool = False
    bounds: RoutingBounds = RoutingBounds()
    observability: ObservabilitySettings = _LOG_DEFAULTS
    relay_address: str = ""
    memory_bytes: int = 0
    zones: tuple[str, ...] = ()
