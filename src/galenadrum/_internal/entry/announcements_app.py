"""WSGI handler of backend servers' announcements."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from galenadrum._internal.entry.caller_requests import read_body
from galenadrum._internal.entry.http_responses import (
    StartResponse,
    send_json,
    send_refusal,
)
from galenadrum._internal.exceptions import CheckFailedError, RequestRefusedError
from galenadrum._internal.membership.announcement_codec import (
    MAX_BODY_BYTES,
    parse_announcement,
)
from galenadrum._internal.membership.announcement_results import AnnouncementResult
from galenadrum._internal.membership.zone_service import ZoneService
from galenadrum._internal.models.servers import Announcement
from galenadrum._internal.network.loop_bridge import LoopBridge

ANNOUNCEMENTS_PATH = "/v1/announcements"

_ANNOUNCE_TIMEOUT_S = 2.0


class AnnouncementsApp:
    """Answers ``POST /v1/announcements``.

    Args:
        bridge: Runs coroutines on the event loop.
        zone: Zone membership; apart from its renewals used on the event loop only.
    """

    def __init__(self, bridge: LoopBridge, zone: ZoneService) -> None:
        self._bridge = bridge
        self._zone = zone

    def answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one announcement of a backend server as a WSGI application."""
        peer_ip = environ.get("REMOTE_ADDR")
        try:
            body = read_body(environ, MAX_BODY_BYTES)
            renew_after_s = self._zone.renewals.accept_renewal(body, peer_ip)
            if renew_after_s is not None:
                return _send_accepted(start_response, renew_after_s)
            announcement = parse_announcement(body)
        except RequestRefusedError as error:
            return send_refusal(start_response, error.refusal, "")
        except CheckFailedError as error:
            return send_json(start_response, 422, _build_findings_body(error))
        verdict = self._bridge.call(
            self._announce(announcement, body, peer_ip), _ANNOUNCE_TIMEOUT_S
        )
        if verdict.rejection is not None:
            rejection = verdict.rejection
            error_body = {"code": str(rejection.reason), "message": rejection.message}
            return send_json(start_response, 409, {"error": error_body})
        return _send_accepted(start_response, verdict.renew_after_s)

    async def _announce(
        self, announcement: Announcement, body: bytes, peer_ip: str | None
    ) -> AnnouncementResult:
        return self._zone.record_announcement_body(announcement, body, peer_ip)


def _send_accepted(
    start_response: StartResponse, renew_after_s: float
) -> Iterable[bytes]:
    accepted = {"accepted": True, "renew_after_s": renew_after_s}
    return send_json(start_response, 200, accepted)


def _build_findings_body(error: CheckFailedError) -> dict[str, Any]:
    findings = [
        {"path": finding.path, "message": finding.message} for finding in error.findings
    ]
    message = "the announcement has findings"
    return {"error": {"code": "invalid", "message": message, "findings": findings}}
