"""Operators' HTTP interface of a control host."""

from galenadrum._internal.control.operator_api.app import build_operator_app

__all__ = ["build_operator_app"]
