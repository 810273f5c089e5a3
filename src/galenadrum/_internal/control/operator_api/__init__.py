"""HTTP API through which operators manage a control host."""

from galenadrum._internal.control.operator_api.app import build_operator_app
from galenadrum._internal.control.operator_api.calls import OperatorCalls

__all__ = ["OperatorCalls", "build_operator_app"]
