"""Settings of the hosts that serve a routing configuration."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from galenadrum._internal.models.settings import LogFormat, ObservabilitySettings

_LOG_DEFAULTS = ObservabilitySettings(log_format=LogFormat.JSON)


@dataclass(frozen=True, slots=True)
class RoutingBounds:
    """Bounds that a deployment holds its hosts to.

    Attributes:
        announcement_interval_s: Between two announcements of a server.
        revocation_s: After the acceptance of a configuration, the time at which
            no request that it forbids may run; None where hosts may go on
            without news.
        retry_ratio: Retries to a service for each request, by all hosts.
        retry_slack: Retries beyond these in a window, by all hosts.
        grace_s: Time from the signal to stop to the end of the process.
    """

    announcement_interval_s: float = 1.0
    revocation_s: float | None = None
    retry_ratio: float = 0.1
    retry_slack: float = 30.0
    grace_s: float = 8.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of an entry host of a routing configuration.

    Attributes:
        caller_address: IP number and port for callers.
        ready_address: IP number and port for the balancer's questions.
        metrics_address: IP number and port for metrics.
        control_addresses: Peer addresses of control hosts, some or all.
    """

    host_id: str
    zone: str
    caller_address: str
    ready_address: str
    metrics_address: str
    control_addresses: tuple[str, ...]
    bounds: RoutingBounds = RoutingBounds()
    observability: ObservabilitySettings = _LOG_DEFAULTS


@dataclass(frozen=True, slots=True)
class RoutingControlSettings:
    """Settings of a control host of a routing configuration.

    Attributes:
        api_address: IP number and port for operators and servers.
        peer_address: IP number and port for other hosts of the system.
        metrics_address: IP number and port for metrics.
        seed_addresses: Peer addresses of control hosts, some or all.
        is_first_start: Whether the whole system starts for the first time.
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
