"""The WSGI handler of backend servers' announcements."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from galenadrum._internal.entry.answers import (
    StartResponse,
    send_json,
    send_refusal,
)
from galenadrum._internal.entry.caller_requests import read_body
from galenadrum._internal.exceptions import CheckFailedError, RequestRefusedError
from galenadrum._internal.membership.announcement_codec import (
    MAX_BODY_BYTES,
    parse_announcement,
)
from galenadrum._internal.membership.verdicts import Verdict
from galenadrum._internal.membership.zone_service import ZoneService
from galenadrum._internal.models.servers import Announcement
from galenadrum._internal.network.bridge import LoopBridge

ANNOUNCEMENTS_PATH = "/v1/announcements"

_LOOP_TIMEOUT_S = 2.0


class AnnouncementsApp:
    """Answers ``POST /v1/announcements``."""

    def __init__(self, bridge: LoopBridge, zone: ZoneService) -> None:
        self._bridge = bridge
        self._zone = zone

    def answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one backend server, as WSGI asks for."""
        try:
            announcement = parse_announcement(read_body(environ, MAX_BODY_BYTES))
        except RequestRefusedError as error:
            return send_refusal(start_response, error.refusal, "")
        except CheckFailedError as error:
            return send_json(start_response, 422, _findings(error))
        peer_ip = environ.get("REMOTE_ADDR")
        verdict = self._bridge.call(
            self._announce(announcement, peer_ip), _LOOP_TIMEOUT_S
        )
        if verdict.rejection is not None:
            rejection = verdict.rejection
            error_body = {"code": str(rejection.reason), "message": rejection.message}
            return send_json(start_response, 409, {"error": error_body})
        accepted = {"accepted": True, "renew_after_s": verdict.renew_after_s}
        return send_json(start_response, 200, accepted)

    async def _announce(
        self, announcement: Announcement, peer_ip: str | None
    ) -> Verdict:
        return self._zone.announce(announcement, peer_ip)


def _findings(error: CheckFailedError) -> dict[str, Any]:
    findings = [
        {"path": finding.path, "message": finding.message} for finding in error.findings
    ]
    message = "the announcement has findings"
    return {"error": {"code": "invalid", "message": message, "findings": findings}}
