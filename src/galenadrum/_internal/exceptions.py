"""The hierarchy of exceptions that galenadrum raises."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from galenadrum._internal.models.findings import Finding
    from galenadrum._internal.models.operator_api import ResourceState
    from galenadrum._internal.models.requests import Refusal


class GalenadrumError(Exception):
    """The base class of all exceptions of galenadrum."""


class InvalidAnnouncementError(GalenadrumError, ValueError):
    """Raised when a backend server's announcement has a value out of its bounds."""


class CheckFailedError(GalenadrumError):
    """Raised when settings or declarations have findings.

    Attributes:
        findings: All findings, ordered by file and position.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class UnknownZoneError(GalenadrumError):
    """Raised when an order names an availability zone that the settings don't."""

    def __init__(self, zone: str, known: tuple[str, ...]) -> None:
        expected = f"one of {', '.join(known)}" if known else "a name"
        super().__init__(f"there is no zone {zone!r}, expected {expected}")


class InvalidQueryError(GalenadrumError, ValueError):
    """Raised when a query has a value that is missing, unknown or malformed."""


class MalformedAnswerError(GalenadrumError, ValueError):
    """Raised when a host answers in a form that this version doesn't know."""


class LogError(GalenadrumError):
    """Raised when no report can be made from log files."""


class InvariantError(GalenadrumError):
    """Raised when an internal invariant is violated."""


class RequestRefusedError(GalenadrumError):
    """Raised when a request ends with a refusal.

    Attributes:
        refusal: Refusal that is sent to the caller as the final answer.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class ControlUnreachableError(GalenadrumError):
    """Raised when no control host answers as the leader in time."""


class NotLeaderError(GalenadrumError):
    """Raised when a change reaches a control host that isn't the leader.

    Attributes:
        leader_address: Peer address of the leader, or None if it is unknown.
    """

    def __init__(self, leader_address: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader_address or 'unknown'}")
        self.leader_address = leader_address


class OutcomeUnknownError(GalenadrumError):
    """Raised when a change may or may not have been accepted."""


class StorageError(GalenadrumError):
    """Raised when the data folder can't be read or written safely."""


class LogDamagedError(StorageError):
    """Raised when the log is damaged before its tail; the message says where."""


class OperatorApiError(GalenadrumError):
    """Raised when a control host refuses an operator's call.

    Attributes:
        code: The code of the refusal, such as ``not_owner``.
        findings: Findings of the control host, with paths in the request body.
    """

    def __init__(
        self, code: str, message: str, findings: tuple[Finding, ...] = ()
    ) -> None:
        super().__init__(message)
        self.code = code
        self.findings = findings


class ConflictError(OperatorApiError):
    """Raised when resources changed after the operator read them.

    Attributes:
        current: Current state of the resources.
    """

    def __init__(
        self,
        message: str,
        current: tuple[ResourceState, ...],
        findings: tuple[Finding, ...] = (),
    ) -> None:
        super().__init__("conflict", message, findings)
        self.current = current


class ChangeIdReusedError(GalenadrumError):
    """Raised when a change id is pending for other changes."""

    def __init__(self, change_id: str) -> None:
        super().__init__(
            f"change id {change_id} was used for other changes whose outcome is not"
            " known; use another id, or restore the declarations to resend them"
        )


class LogBusyError(GalenadrumError):
    """Raised when a change was not accepted since too many changes are waiting.

    The change has certainly not taken effect.
    """


class MembershipError(GalenadrumError):
    """Raised when a change to the members of the log isn't possible."""


class MemberRefusedError(GalenadrumError):
    """Raised when the cluster rejects this member with its settings and data."""
