"""HTTP API through which operators manage a control host."""

from galenadrum._internal.control.operator_api.app import build_operator_app
from galenadrum._internal.control.operator_api.calls import OperatorOperations

__all__ = ["OperatorOperations", "build_operator_app"]
